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

#include "bench/request_load.h"
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
constexpr milliseconds reboot_time{10000};
constexpr milliseconds list_lag{300};
constexpr std::chrono::seconds wave_limit{45};

// Limits that let every domain end in three turns: the four data centres of the co-op hold 10 VMs
// each, the largest of the head office's three holds 20.
int max_in_centre(const std::string& example)
{
    return example == "co-op" ? 4 : 7;
}

// The example's objects with short timeouts, budgets for this fleet, and no wave or one.
std::string make_document(const std::string& example, int centre_limit, bool with_wave)
{
    auto document = json::parse(example);
    json objects = json::array();
    for (auto object : document["objects"]) {
        const auto kind = object["kind"].get<std::string>();
        if (kind == "budget" || (kind == "maintenance_wave" && !with_wave)) {
            continue;
        }
        if (kind == "service") {
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
                       {"max_unavailable", centre_limit}});
    document["objects"] = objects;
    return document.dump();
}

// Follows every change of the VM records and counts the states that break a budget.
class record_auditor {
public:
    record_auditor(store::key_value_store& store, int centre_limit) : centre_limit_(centre_limit)
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
                breach = ++in_centre[record.data_centre] > centre_limit_ || breach;
            }
        }
        return breach;
    }

    const int centre_limit_;
    mutable std::mutex mutex_;
    std::map<std::string, records::vm_record> records_;
    int breaches_ = 0;
    std::unique_ptr<store::watch> watch_;
};

// No schedule is shorter: each domain needs its number of VMs divided by its budget, rounded up, in
// maintenances one after the other, and each takes at least the reboot and the lag of the VM list
// that shows its end.
double lower_bound_seconds(const std::map<std::string, records::vm_record>& records,
                           int centre_limit)
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
    add(in_centre, centre_limit);
    return turns * std::chrono::duration<double>(reboot_time + list_lag).count();
}

// Requests to every service until stopped.
class request_load {
public:
    request_load(const harness::deployment& deployment, const std::vector<std::string>& services,
                 const std::string& team)
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

    json cut_details() const
    {
        const std::lock_guard lock(mutex_);
        return details_;
    }

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
            const std::chrono::duration<double> at = steady_clock::now() - started_;
            const std::lock_guard lock(mutex_);
            details_.push_back({{"at_s", at.count()},
                                {"service", service},
                                {"status", answer ? answer->status : 0},
                                {"outcome", outcome}});
        }
    }

    const steady_clock::time_point started_ = steady_clock::now();
    mutable std::mutex mutex_;
    json details_ = json::array();
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
    const int centre_limit = max_in_centre(example);
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
    deployment.publish(make_document(document, centre_limit, false));
    record_auditor auditor(deployment.store(), centre_limit);
    const auto vms = deployment.vms().size();
    harness::eventually([&] { return auditor.read_records().size() == vms; });

    request_load load(deployment, names_of(document, "service"),
                      names_of(document, "team").front());
    const auto started = steady_clock::now();
    deployment.publish(make_document(document, centre_limit, true));
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
    const double bound = lower_bound_seconds(auditor.read_records(), centre_limit);
    const double one = std::chrono::duration<double>(reboot_time + list_lag).count();
    const int pools = static_cast<int>(vms) / vms_per_pool;
    const int batches = (vms_per_pool + max_in_pool - 1) / max_in_pool;
    return {{"figures",
             {{"rollout_ratio", ended ? json(took.count() / bound) : json()},
              {"rollout_s", took.count()},
              {"ended", ended},
              {"maintained", auditor.maintained()},
              {"vms", vms},
              {"budget_breaches", auditor.breaches()},
              {"auditor_complete", auditor.watching()},
              {"cut_requests", load.cut.load()},
              {"cut_details", load.cut_details()},
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
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::cerr << "usage: wave_bench [--seed N] [--deployment co-op|head-office]\n";
        return 2;
    }
    const auto seed = static_cast<unsigned>(arguments.seed);
    json result = run(arguments.deployment, seed);
    result["bench"] = "wave";
    result["seed"] = seed;
    std::cout << result.dump() << "\n";
    return result["figures"]["ended"].get<bool>() ? 0 : 1;
}
