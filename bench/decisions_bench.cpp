// Time of a whole planning round (budgets, drains, moves, waves, placement) at today's size and at
// the design size, while a wave runs, queues peak in turn and tasks come and go.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>

#include <nlohmann/json.hpp>

#include "decisions/capacity.h"
#include "decisions/placement.h"
#include "decisions/waves.h"

namespace {

using namespace jl;
using std::chrono::milliseconds;

struct fleet_size {
    int pools;
    int vms;
    int teams;
    int data_centres;
    int entries;
    int tasks_per_vm;
};

constexpr int measured_rounds = 300;

class fleet {
public:
    fleet(const fleet_size& size, unsigned seed) : size_(size), random_(seed)
    {
        auto set = std::make_shared<objects::object_set>();
        for (int pool = 0; pool < size.pools; ++pool) {
            add_pool(*set, pool);
        }
        for (int team = 0; team < size.teams; ++team) {
            objects::team item;
            item.name = "team-" + std::to_string(team);
            item.weight = 1 + team % 3;
            set->teams.push_back(item);
        }
        add_place_budgets(*set);
        objects::maintenance_wave wave;
        wave.name = "monthly";
        for (const auto& pool : set->pools) {
            wave.pools.push_back(pool.name);
        }
        set->waves.push_back(wave);
        snapshot_.configuration = set;
        snapshot_.platform_data_current = true;
        snapshot_.fencing_token = 1;
        snapshot_.now = std::chrono::hours(1000);
        for (int vm = 0; vm < size.vms; ++vm) {
            add_vm(vm);
        }
        placement_.configuration = set;
        placement_.reports_current = true;
        for (int task = 0; task < size.vms * size.tasks_per_vm; ++task) {
            add_task(task);
        }
    }

    // One round; returns the time that the decisions took.
    std::chrono::duration<double, std::milli> run_round()
    {
        prepare_round();
        const auto started = std::chrono::steady_clock::now();
        decisions::fleet_plan plan;
        decisions::budget_ledger ledger(*snapshot_.configuration, snapshot_.vms);
        decisions::advance_drains(snapshot_, {}, ledger, plan);
        decisions::plan_moves(snapshot_, {}, {}, outlooks_, ledger, plan);
        decisions::plan_maintenance(snapshot_, {}, ledger, plan);
        const auto progress = decisions::describe_waves(snapshot_);
        const auto placed = decisions::plan_placement(placement_, {}, memory_);
        const auto took = std::chrono::steady_clock::now() - started;
        steps += static_cast<int>(plan.steps.size() + placed.steps.size());
        apply(plan, placed);
        return took;
    }

    int steps = 0;

private:
    void add_pool(objects::object_set& set, int number)
    {
        objects::pool pool;
        pool.name = "pool-" + std::to_string(number);
        pool.spare = number % 5 == 4;
        pool.min_vms = 1;
        pool.max_vms = 40;
        set.pools.push_back(pool);
        objects::service service;
        service.name = "service-" + std::to_string(number);
        service.pool = pool.name;
        set.services.push_back(service);
        objects::budget budget;
        budget.name = "budget-" + std::to_string(number);
        budget.scope = objects::budget_scope::service;
        budget.scope_name = service.name;
        budget.max_unavailable_percent = 40;
        set.budgets.push_back(budget);
    }

    static void add_place_budgets(objects::object_set& set)
    {
        objects::budget racks;
        racks.name = "racks";
        racks.scope = objects::budget_scope::rack;
        racks.scope_name = "*";
        racks.max_unavailable = 2;
        set.budgets.push_back(racks);
        objects::budget centres;
        centres.name = "centres";
        centres.scope = objects::budget_scope::data_centre;
        centres.scope_name = "*";
        centres.max_unavailable_percent = 10;
        set.budgets.push_back(centres);
    }

    void add_vm(int number)
    {
        decisions::fleet_vm vm;
        vm.record.vm = "vm-" + std::to_string(number);
        vm.record.pool = "pool-" + std::to_string(number % size_.pools);
        vm.record_revision = 1;
        vm.rack = "rack-" + std::to_string(number / 4);
        vm.data_centre = "centre-" + std::to_string(number / 4 % size_.data_centres);
        vm.listed = true;
        vm.boot_id = 1;
        snapshot_.vms.push_back(vm);
        decisions::worker_view worker;
        worker.vm = vm.record.vm;
        worker.rack = vm.rack;
        worker.cores = 64;
        worker.memory_gb = 128;
        worker.boot_id = 1;
        worker.listed = true;
        placement_.workers.push_back(worker);
    }

    void add_task(int number)
    {
        decisions::task_view task;
        task.revision = 1;
        task.record.task = "task-" + std::to_string(number);
        task.record.team = "team-" + std::to_string(number % size_.teams);
        task.record.pool = "pool-" + std::to_string(number % size_.pools);
        task.record.kind = "kind-" + std::to_string(number % 20);
        task.record.urgency = static_cast<records::task_class>(number % 3);
        task.record.cores = std::uniform_int_distribution<int>(1, 32)(random_);
        task.record.memory_gb = std::uniform_int_distribution<int>(1, 48)(random_);
        placement_.tasks.push_back(task);
    }

    void prepare_round()
    {
        ++round_;
        snapshot_.now += std::chrono::seconds(1);
        placement_.now = snapshot_.now;
        snapshot_.entries.clear();
        for (int number = 0; number < size_.entries; ++number) {
            decisions::entry_view entry;
            entry.member = "entry-" + std::to_string(number);
            entry.live = true;
            for (const auto& vm : snapshot_.vms) {
                if (vm.record.phase != records::vm_phase::in_service) {
                    entry.reports[vm.record.vm] = {vm.record_revision, 0};
                }
            }
            snapshot_.entries.push_back(std::move(entry));
        }
        for (std::size_t index = 0; index < snapshot_.vms.size(); ++index) {
            auto& vm = snapshot_.vms[index];
            vm.listed_leaving = vm.record.phase == records::vm_phase::leaving;
            vm.boot_id += vm.record.phase == records::vm_phase::rebooting ? 1 : 0;
            placement_.workers[index].pool = vm.record.pool;
            placement_.workers[index].accepts_tasks = vm.available();
            placement_.workers[index].boot_id = vm.boot_id;
        }
        const int peak = round_ / 20 % size_.pools;
        for (int pool = 0; pool < size_.pools; ++pool) {
            const double mean = 0.5 * size_.vms / size_.pools;
            outlooks_["pool-" + std::to_string(pool)].forecast.observe(
                snapshot_.now, pool % 5 == peak % 5 ? mean * 5 : mean / 20);
        }
        for (auto& task : placement_.tasks) {
            advance_task(task);
        }
    }

    void advance_task(decisions::task_view& task)
    {
        using records::task_phase;
        task.observation.reset();
        if (task.record.phase == task_phase::finished) {
            // Its place is taken by a new task of the same size.
            task.record.phase = task_phase::waiting;
            task.record.worker.clear();
            task.record.failed_on.clear();
            return;
        }
        if (task.record.worker.empty()) {
            return;
        }
        using state = decisions::task_observation::state;
        const bool ends = std::uniform_int_distribution<int>(0, 30)(random_) == 0;
        decisions::task_observation observation;
        observation.observed = task.record.phase == task_phase::stopping ? state::stopped
                               : ends                                    ? state::finished
                                                                         : state::running;
        observation.fencing_token = task.record.fencing_token;
        observation.cores = task.record.cores / 2;
        observation.memory_gb = task.record.memory_gb;
        task.observation = observation;
    }

    void apply(const decisions::fleet_plan& plan, const decisions::placement_plan& placed)
    {
        std::map<std::string, const records::vm_record*> vm_changes;
        for (const auto& step : plan.steps) {
            vm_changes[step.next.vm] = &step.next;
        }
        for (auto& vm : snapshot_.vms) {
            const auto change = vm_changes.find(vm.record.vm);
            if (change != vm_changes.end()) {
                vm.record = *change->second;
                ++vm.record_revision;
            }
        }
        std::map<std::string, const records::task_record*> task_changes;
        for (const auto& step : placed.steps) {
            task_changes[step.next.task] = &step.next;
        }
        for (auto& task : placement_.tasks) {
            const auto change = task_changes.find(task.record.task);
            if (change != task_changes.end()) {
                task.record = *change->second;
                ++task.revision;
            }
        }
    }

    fleet_size size_;
    std::mt19937 random_;
    int round_ = 0;
    decisions::fleet_snapshot snapshot_;
    std::map<std::string, decisions::pool_outlook> outlooks_;
    decisions::placement_snapshot placement_;
    decisions::placement_history memory_;
};

struct timing {
    double median = 0;
    double p99 = 0;
    double maximum = 0;
    int steps = 0;
};

timing measure(const fleet_size& size, unsigned seed)
{
    fleet subject(size, seed);
    std::vector<double> times;
    times.reserve(measured_rounds);
    for (int round = 0; round < measured_rounds; ++round) {
        times.push_back(subject.run_round().count());
    }
    std::sort(times.begin(), times.end());
    return {times[times.size() / 2], times[times.size() * 99 / 100], times.back(), subject.steps};
}

nlohmann::json describe(const timing& item)
{
    return {{"p50_ms", item.median},
            {"p99_ms", item.p99},
            {"max_ms", item.maximum},
            {"steps", item.steps}};
}

} // namespace

int main(int argc, char** argv)
{
    unsigned seed = 1;
    for (int index = 1; index + 1 < argc; index += 2) {
        if (std::string(argv[index]) == "--seed") {
            seed = static_cast<unsigned>(std::stoul(argv[index + 1]));
        }
    }
    const auto today = measure({5, 50, 8, 4, 7, 5}, seed);
    const auto two_year = measure({215, 1200, 77, 5, 14, 5}, seed);
    std::cout << nlohmann::json{{"bench", "decisions"},
                                {"seed", seed},
                                {"figures",
                                 {{"round_ms_two_year", two_year.p99},
                                  {"round_ms_today", today.p99},
                                  {"two_year", describe(two_year)}}},
                                {"baselines", {{"today", describe(today)}}}}
                     .dump()
              << "\n";
    return 0;
}
