// A maintenance wave over real processes with requests running, a planner killed and store answers
// lost on the way. Compares the rollout with a lower bound computed here from the budgets alone.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "records/records.h"
#include "tests/harness/deployment.h"

namespace {

using namespace jl;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int vms_per_pool = 8;
constexpr int vms_per_rack = 2;
constexpr int max_in_pool = 3;
constexpr int max_in_rack = 2;
constexpr int max_in_centre = 4;
constexpr milliseconds reboot_time{10000};
constexpr milliseconds list_lag{300};
constexpr std::chrono::seconds wave_limit{45};

// The example's objects with short timeouts, budgets for this fleet, and no wave or one.
std::string make_document(const std::string& example, bool with_wave)
{
    auto document = json::parse(example);
    json objects = json::array();
    for (auto object : document["objects"]) {
        const auto kind = object["kind"].get<std::string>();
        if (kind == "budget" || (kind == "maintenance_wave" && !with_wave)) {
            continue;
        }
        if (kind == "service") {
            // The planner trusts no drain before entries unknown to it have timed out.
            object["default_timeout_ms"] = 2000;
            object["max_timeout_ms"] = 2000;
            objects.push_back({{"kind", "budget"},
                               {"name", object["name"]},
                               {"scope", "service"},
                               {"scope_name", object["name"]},
                               {"max_unavailable", max_in_pool}});
        }
        objects.push_back(object);
    }
    objects.push_back({{"kind", "budget"},
                       {"name", "racks"},
                       {"scope", "rack"},
                       {"scope_name", "*"},
                       {"max_unavailable", max_in_rack}});
    objects.push_back({{"kind", "budget"},
                       {"name", "centres"},
                       {"scope", "data_centre"},
                       {"scope_name", "*"},
                       {"max_unavailable", max_in_centre}});
    document["objects"] = objects;
    return document.dump();
}

// Follows every change of the VM records and counts the states that break a budget.
class record_auditor {
public:
    explicit record_auditor(store::key_value_store& store)
    {
        watch_ = store.start_watch(records::vms_prefix, store::prefix_end(records::vms_prefix), 1,
                                   [this](const auto& events, std::int64_t) { observe(events); });
    }

    int breaches() const
    {
        const std::lock_guard lock(mutex_);
        return breaches_;
    }
    bool watching() const { return watch_ && watch_->active(); }
    std::map<std::string, records::vm_record> read_records() const
    {
        const std::lock_guard lock(mutex_);
        return records_;
    }
    int maintained() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(
            std::count_if(records_.begin(), records_.end(), [](const auto& item) {
                return item.second.maintained_at.count() > 0 &&
                       item.second.phase == records::vm_phase::in_service;
            }));
    }

private:
    void observe(const std::vector<store::watch_event>& events)
    {
        const std::lock_guard lock(mutex_);
        for (std::size_t index = 0; index < events.size(); ++index) {
            if (const auto record = records::parse_vm(events[index].item.value)) {
                records_[record->vm] = *record;
            }
            // Records of one transaction change together.
            const bool last = index + 1 == events.size() || events[index + 1].item.mod_revision !=
                                                                events[index].item.mod_revision;
            if (last) {
                breaches_ += breaks_budget() ? 1 : 0;
            }
        }
    }

    bool breaks_budget() const
    {
        std::map<std::string, int> in_pool;
        std::map<std::string, int> in_rack;
        std::map<std::string, int> in_centre;
        bool breach = false;
        for (const auto& [vm, record] : records_) {
            if (record.phase != records::vm_phase::in_service) {
                breach = ++in_pool[record.pool] > max_in_pool || breach;
                breach = ++in_rack[record.rack] > max_in_rack || breach;
                breach = ++in_centre[record.data_centre] > max_in_centre || breach;
            }
        }
        return breach;
    }

    mutable std::mutex mutex_;
    std::map<std::string, records::vm_record> records_;
    int breaches_ = 0;
    std::unique_ptr<store::watch> watch_;
};

// No schedule is shorter: each domain needs its number of VMs divided by its budget, rounded up, in
// maintenances one after the other, and each takes at least the reboot and the lag of the VM list
// that shows its end.
double lower_bound_seconds(const std::map<std::string, records::vm_record>& records)
{
    std::map<std::string, int> in_pool;
    std::map<std::string, int> in_rack;
    std::map<std::string, int> in_centre;
    for (const auto& [vm, record] : records) {
        ++in_pool[record.pool];
        ++in_rack[record.rack];
        ++in_centre[record.data_centre];
    }
    int turns = 0;
    const auto add = [&turns](const std::map<std::string, int>& domains, int limit) {
        for (const auto& [name, count] : domains) {
            turns = std::max(turns, (count + limit - 1) / limit);
        }
    };
    add(in_pool, max_in_pool);
    add(in_rack, max_in_rack);
    add(in_centre, max_in_centre);
    return turns * std::chrono::duration<double>(reboot_time + list_lag).count();
}

// Requests to every service until stopped.
class request_load {
public:
    request_load(const harness::deployment& deployment, std::vector<std::string> services,
                 std::string team)
    {
        for (int number = 0; number < 6; ++number) {
            threads_.emplace_back([this, number, &deployment, services, team] {
                for (std::size_t turn = 0; !stopping_; ++turn) {
                    const auto& service =
                        services[(turn + static_cast<std::size_t>(number)) % services.size()];
                    send(deployment, number % 3, service, team);
                }
            });
        }
    }
    ~request_load()
    {
        stopping_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

    std::atomic<int> answered{0};
    std::atomic<int> not_run{0};
    std::atomic<int> cut{0};

private:
    void send(const harness::deployment& deployment, int entry, const std::string& service,
              const std::string& team)
    {
        const auto answer = deployment.call(
            entry, service,
            {{"Jl-Team", team}, {"Jl-Class", "normal"}, {"Content-Type", "application/json"}},
            R"({"work_ms": 100})");
        const auto outcome =
            answer ? http::find_header(answer->headers, "Jl-Outcome").value_or("") : "";
        if (outcome == "answered" && answer->status == 200) {
            ++answered;
        }
        else if (outcome == "not-run") {
            ++not_run;
            std::this_thread::sleep_for(milliseconds(50));
        }
        else {
            ++cut;
        }
    }

    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

// Kills the planner that holds the role; returns its number.
int kill_active_planner(harness::deployment& deployment)
{
    const auto owner =
        deployment.store().range({std::string(records::owners_prefix) + "planner", "", 0},
                                 steady_clock::now() + std::chrono::seconds(2));
    if (!owner || owner->items.empty()) {
        return -1;
    }
    const int number = owner->items[0].value.at(std::string("planner-").size()) - '0';
    deployment.planner(number).kill();
    return number;
}

std::vector<std::string> names_of(const std::string& document, const std::string& kind)
{
    std::vector<std::string> names;
    const auto parsed = json::parse(document);
    for (const auto& object : parsed["objects"]) {
        if (object["kind"] == kind) {
            names.push_back(object["name"].get<std::string>());
        }
    }
    return names;
}

json run(const std::string& example, unsigned seed)
{
    harness::deployment_options options;
    options.example = example;
    options.vms_per_pool = vms_per_pool;
    options.vms_per_rack = vms_per_rack;
    options.planners = true;
    options.reboot_time = reboot_time;
    options.list_lag = list_lag;
    options.planner_settings = {{"planner", {{"round_ms", 200}, {"lease_s", 3}}}};
    harness::deployment deployment(options);
    deployment.start();
    const auto document = deployment.example_document();
    deployment.publish(make_document(document, false));
    record_auditor auditor(deployment.store());
    const auto vms = deployment.vms().size();
    harness::eventually([&] { return auditor.read_records().size() == vms; });
    // Entries unknown to the planners must have timed out, as in a deployment that has run longer.
    std::this_thread::sleep_for(milliseconds(4500));

    request_load load(deployment, names_of(document, "service"),
                      names_of(document, "team").front());
    const auto started = steady_clock::now();
    deployment.publish(make_document(document, true));
    const auto rebooting = [&] {
        const auto records = auditor.read_records();
        return std::any_of(records.begin(), records.end(), [](const auto& item) {
            return item.second.phase == records::vm_phase::rebooting;
        });
    };
    harness::eventually(rebooting);
    const int killed = kill_active_planner(deployment);
    std::this_thread::sleep_for(milliseconds(9000 + seed % 5 * 500));
    deployment.store_fault({{"fault", "lost_answer"}, {"count", 3}});
    const bool ended = harness::eventually(
        [&] { return auditor.maintained() == static_cast<int>(vms); },
        std::chrono::duration_cast<milliseconds>(started + wave_limit - steady_clock::now()));
    const std::chrono::duration<double> took = steady_clock::now() - started;
    const double bound = lower_bound_seconds(auditor.read_records());
    const double one = std::chrono::duration<double>(reboot_time + list_lag).count();
    const int pools = static_cast<int>(vms) / vms_per_pool;
    const int batches = (vms_per_pool + max_in_pool - 1) / max_in_pool;
    return {{"figures",
             {{"rollout_ratio", took.count() / bound},
              {"rollout_s", took.count()},
              {"ended", ended},
              {"maintained", auditor.maintained()},
              {"vms", vms},
              {"budget_breaches", auditor.breaches()},
              {"auditor_complete", auditor.watching()},
              {"cut_requests", load.cut.load()},
              {"answered_requests", load.answered.load()},
              {"not_run_requests", load.not_run.load()},
              {"killed_planner", killed}}},
            {"baselines",
             {{"lower_bound_s", bound},
              {"one_at_a_time_s", one * static_cast<double>(vms)},
              // One pool after the other, each in batches of its budget.
              {"fixed_batches_s", one * pools * batches}}}};
}

} // namespace

int main(int argc, char** argv)
{
    unsigned seed = 1;
    std::string example = "co-op";
    for (int index = 1; index + 1 < argc; index += 2) {
        if (std::string(argv[index]) == "--seed") {
            seed = static_cast<unsigned>(std::stoul(argv[index + 1]));
        }
        if (std::string(argv[index]) == "--deployment") {
            example = argv[index + 1];
        }
    }
    json result = run(example, seed);
    result["bench"] = "wave";
    result["seed"] = seed;
    std::cout << result.dump() << "\n";
    return 0;
}
