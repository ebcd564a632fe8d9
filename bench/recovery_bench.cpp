// Time until decisions go on after the death or pause of their holder, the replacement of all
// entries and a store outage, and the promises that were broken meanwhile (baseline: none).

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/ids.h"
#include "bench/request_load.h"
#include "records/records.h"
#include "tests/harness/deployment.h"

namespace {

using namespace std::chrono_literals;
using jl::harness::deployment;
using jl::harness::eventually;
using nlohmann::json;
using seconds = std::chrono::duration<double>;

constexpr int entries = 5;
constexpr std::chrono::seconds recovery_limit{60};
constexpr std::chrono::seconds pause_time{8}; // longer than the lease of 5 s

seconds measure(const std::function<bool()>& recovered)
{
    const auto start = std::chrono::steady_clock::now();
    eventually(recovered, recovery_limit);
    return std::chrono::steady_clock::now() - start;
}

class recovery_run {
public:
    recovery_run(const std::string& example, std::uint64_t seed)
        : seed_(seed), deployment_(make_options(example))
    {
        deployment_.start();
        const auto document = json::parse(deployment_.example_document());
        for (const auto& object : document.at("objects")) {
            if (object.at("kind") == "service" && service_.empty()) {
                service_ = object.at("name");
            }
            if (object.at("kind") == "team" && team_.empty()) {
                team_ = object.at("name");
            }
        }
    }

    json run()
    {
        eventually([this] { return !owner("planner").empty() && !queue_owner().empty(); });
        json figures;
        figures["planner_killed_s"] = planner_killed().count();
        figures["queue_owner_killed_s"] = queue_owner_killed().count();
        figures["queue_owner_paused_s"] = queue_owner_paused().count();
        figures["all_entries_replaced_s"] = all_entries_replaced().count();
        figures["store_outage_s"] = store_outage().count();
        double worst = 0;
        for (const auto& [name, value] : figures.items()) {
            worst = std::max(worst, value.get<double>());
        }
        figures["resume_max_s"] = worst;
        figures["broken_promises"] = broken_promises();
        return figures;
    }

private:
    static jl::harness::deployment_options make_options(const std::string& example)
    {
        jl::harness::deployment_options options;
        options.example = example;
        options.entries = entries;
        options.vms_per_pool = 8;
        options.planners = true;
        return options;
    }

    std::string owner(const std::string& role)
    {
        const auto found =
            deployment_.store().range({std::string(jl::records::owners_prefix) + role, "", 0},
                                      std::chrono::steady_clock::now() + 2s);
        return found && !found->items.empty() ? found->items[0].value : "";
    }

    std::string queue_owner() { return owner("queue/" + service_); }

    int index_of(const std::string& name) const
    {
        for (int index = 0; index < entries; ++index) {
            const std::string suffix = "-" + std::to_string(index);
            if (name == "entry" + suffix || name.rfind("planner" + suffix, 0) == 0) {
                return index;
            }
        }
        return -1;
    }

    // Submits a non-idempotent deferred request to a living entry; true once it was accepted.
    bool defer(int entry, const std::string& token)
    {
        const auto answer = deployment_.request(deployment_.caller_address(entry), "POST",
                                                "/v1/services/" + service_ + "/deferred",
                                                json{{"token", token}, {"work_ms", 5}}.dump(),
                                                {{"Jl-Team", team_}, {"Idempotency-Key", token}});
        if (answer && answer->status == 202) {
            accepted_.push_back(token);
            return true;
        }
        return false;
    }

    bool answered(int entry, const std::string& token)
    {
        const auto answer = deployment_.request(deployment_.caller_address(entry), "GET",
                                                "/v1/requests/" + token + "/answer");
        return answer && answer->status == 200;
    }

    std::string next_token()
    {
        return "recovery-" + std::to_string(seed_) + "-" + std::to_string(tokens_++);
    }

    // Time until a request deferred after the fault has been answered.
    seconds until_deferred_work_runs(int entry)
    {
        const auto token = next_token();
        bool accepted = false;
        return measure([&] {
            accepted = accepted || defer(entry, token);
            return accepted && answered(entry, token);
        });
    }

    seconds planner_killed()
    {
        const auto former = owner("planner");
        const int index = index_of(former);
        deployment_.planner(index).kill();
        const auto time = measure([&] {
            const auto present = owner("planner");
            return !present.empty() && present != former;
        });
        deployment_.restart_planner(index);
        return time;
    }

    seconds queue_owner_killed()
    {
        const int index = index_of(queue_owner());
        deployment_.entry(index).kill();
        const auto time = until_deferred_work_runs((index + 1) % entries);
        deployment_.restart_entry(index);
        eventually([&] { return ready(index); });
        return time;
    }

    seconds queue_owner_paused()
    {
        const int index = index_of(queue_owner());
        const int other = (index + 1) % entries;
        defer(other, next_token());
        deployment_.entry(index).pause();
        const auto paused_at = std::chrono::steady_clock::now();
        const auto time = until_deferred_work_runs(other);
        eventually([&] { return std::chrono::steady_clock::now() - paused_at > pause_time; });
        deployment_.entry(index).resume();
        eventually([&] { return ready(index); });
        return time;
    }

    bool ready(int entry)
    {
        const auto answer =
            deployment_.request(deployment_.caller_address(entry), "GET", "/readyz", "", {}, 1s);
        return answer && answer->status == 200;
    }

    seconds all_entries_replaced()
    {
        defer(0, next_token());
        for (int index = 0; index < entries; ++index) {
            deployment_.entry(index).kill();
        }
        for (int index = 0; index < entries; ++index) {
            deployment_.restart_entry(index);
        }
        return until_deferred_work_runs(0);
    }

    // Counted from the return of the store.
    seconds store_outage()
    {
        deployment_.store_fault({{"fault", "unavailable"}});
        const auto start = std::chrono::steady_clock::now();
        eventually([&] { return std::chrono::steady_clock::now() - start > pause_time; });
        deployment_.store_fault({{"fault", "none"}});
        return until_deferred_work_runs(1);
    }

    // Accepted requests that ran twice, or that are neither answered nor known as unknown.
    int broken_promises()
    {
        int broken = 0;
        for (const auto& token : accepted_) {
            const bool settled = eventually(
                [&] {
                    const auto answer = deployment_.request(deployment_.caller_address(0), "GET",
                                                            "/v1/requests/" + token);
                    if (!answer || answer->status != 200) {
                        return false;
                    }
                    const auto state = json::parse(answer->body, nullptr, false).value("state", "");
                    return state == "answered" || state == "unknown";
                },
                10s);
            broken += settled ? 0 : 1;
        }
        for (const auto& [token, execution] : deployment_.ledger()) {
            broken += execution.starts > 1 ? 1 : 0;
        }
        return broken;
    }

    const std::uint64_t seed_;
    deployment deployment_;
    std::string service_;
    std::string team_;
    std::vector<std::string> accepted_;
    int tokens_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::fprintf(stderr, "usage: recovery_bench [--seed N] [--deployment co-op|head-office]\n");
        return 2;
    }
    recovery_run run(arguments.deployment, arguments.seed);
    const json figures = run.run();
    std::printf("%s\n", json{{"bench", "recovery"},
                             {"seed", arguments.seed},
                             {"figures", figures},
                             {"baselines", {{"lease_ttl_s", 5}}}}
                            .dump()
                            .c_str());
    return 0;
}
