#include "decisions/placement.h"

#include <algorithm>
#include <unordered_map>

namespace jl::decisions {

namespace {

using records::task_class;
using records::task_phase;
using std::chrono::milliseconds;
using observed_state = task_observation::state;

struct size {
    double cores = 0;
    double memory_gb = 0;
    int accelerators = 0;
};

struct worker_load {
    const worker_view* view = nullptr;
    size used;
    int tasks = 0;
    bool quarantined = false;
    std::vector<std::size_t> deferred; // tasks that may be throttled or stopped
};

class placer {
public:
    placer(const placement_snapshot& snapshot, const placement_options& options,
           placement_memory& memory)
        : snapshot_(snapshot), options_(options), memory_(memory)
    {
        for (const auto& worker : snapshot.workers) {
            auto& load = loads_[worker.vm];
            load.view = &worker;
            by_pool_[worker.pool].push_back(&load);
        }
        for (const auto& team : snapshot.configuration->teams) {
            teams_[team.name] = &team;
        }
    }

    placement_plan run()
    {
        update_quarantines();
        for (std::size_t index = 0; index < snapshot_.tasks.size(); ++index) {
            follow(index);
        }
        place_waiting();
        release_throttled();
        return std::move(plan_);
    }

private:
    size corrected(const records::task_record& task) const
    {
        size result{task.cores, task.memory_gb, task.accelerators};
        const auto found = memory_.corrections.find(task.kind);
        if (found != memory_.corrections.end()) {
            result.cores *= std::clamp(found->second.cores, options_.smallest_correction,
                                       options_.largest_correction);
            result.memory_gb *= std::clamp(found->second.memory, options_.smallest_correction,
                                           options_.largest_correction);
        }
        return result;
    }

    size present_size(const records::task_record& task) const
    {
        auto result = corrected(task);
        if (task.phase == task_phase::throttled) {
            result.cores *= options_.throttled_share;
        }
        return result;
    }

    records::task_record& change(const task_view& task, task_phase phase)
    {
        task_step step;
        step.expected_revision = task.revision;
        step.next = task.record;
        step.next.phase = phase;
        step.next.phase_since = snapshot_.now;
        plan_.steps.push_back(std::move(step));
        return plan_.steps.back().next;
    }

    void update_quarantines()
    {
        for (auto& [vm, health] : memory_.workers) {
            const auto load = loads_.find(vm);
            if (load == loads_.end()) {
                continue;
            }
            load->second.quarantined =
                health.quarantined_until && snapshot_.now < *health.quarantined_until;
            if (load->second.quarantined) {
                plan_.problems.push_back(
                    {vm, "worker_quarantined", "every task that it started failed"});
            }
            // Afterwards one task at a time serves as a probe; see free_for().
        }
    }

    void learn_size(const records::task_record& task, const task_observation& observation)
    {
        // Weight of one report; a task reports many times.
        constexpr double share = 0.1;
        auto& correction = memory_.corrections[task.kind];
        if (task.cores > 0 && observation.cores > 0 && task.phase == task_phase::running) {
            correction.cores += (observation.cores / task.cores - correction.cores) * share;
        }
        if (task.memory_gb > 0 && observation.memory_gb > 0) {
            // Memory follows increases at once: a shortage fails tasks.
            const double ratio = observation.memory_gb / task.memory_gb;
            correction.memory =
                std::max(ratio, correction.memory + (ratio - correction.memory) * share);
        }
    }

    void note_failure(const records::task_record& task)
    {
        auto& health = memory_.workers[task.worker];
        health.failed_tasks.insert(task.task);
        const bool probe_failed = health.quarantined_until.has_value();
        if (probe_failed ||
            static_cast<int>(health.failed_tasks.size()) >= options_.failures_to_quarantine) {
            health.quarantined_until = snapshot_.now + options_.quarantine;
            const auto load = loads_.find(task.worker);
            if (load != loads_.end()) {
                load->second.quarantined = true;
            }
        }
    }

    // The worker cannot run the task any more, by the platform's rules for leases.
    bool provably_stopped(const task_view& task, const worker_load* worker) const
    {
        const auto& record = task.record;
        if (worker != nullptr && worker->view->listed &&
            worker->view->boot_id != record.worker_boot_id) {
            return true;
        }
        if (!snapshot_.reports_current) {
            return false;
        }
        // In the phase stopping the lease is not renewed. A report that is current after the lease
        // has ended and does not name the task shows that it does not run.
        const bool expired =
            snapshot_.now - record.phase_since >= options_.lease + options_.report_lag;
        return !task.observation && expired;
    }

    void follow(std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        switch (record.phase) {
        case task_phase::waiting:
        case task_phase::unplaceable:
            waiting_.push_back(index);
            return;
        case task_phase::finished:
        case task_phase::failed:
            if (snapshot_.now - record.phase_since >= options_.retention) {
                change(task, record.phase);
                plan_.steps.back().remove = true;
            }
            return;
        case task_phase::running:
        case task_phase::throttled:
        case task_phase::stopping:
            break;
        }
        const auto found = loads_.find(record.worker);
        auto* worker = found == loads_.end() ? nullptr : &found->second;
        const auto& observation = task.observation;
        if (observation && observation->fencing_token == record.fencing_token &&
            ended(index, *observation)) {
            return;
        }
        if (record.phase == task_phase::stopping) {
            if (provably_stopped(task, worker)) {
                change(task, task_phase::waiting).worker.clear();
                return;
            }
        }
        else if (worker == nullptr || !worker->view->accepts_tasks ||
                 worker->view->boot_id != record.worker_boot_id || lost(task)) {
            change(task, task_phase::stopping);
            changed_.insert(index);
        }
        occupy(index, worker);
    }

    // A task that its worker does not report has not started or was lost.
    bool lost(const task_view& task) const
    {
        return snapshot_.reports_current && !task.observation &&
               snapshot_.now - task.record.phase_since >= options_.lease + options_.report_lag;
    }

    bool ended(std::size_t index, const task_observation& observation)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        switch (observation.observed) {
        case observed_state::running:
        case observed_state::throttled:
            learn_size(record, observation);
            return false;
        case observed_state::finished: {
            memory_.workers[record.worker] = {};
            change(task, task_phase::finished);
            return true;
        }
        case observed_state::stopped: {
            auto& next = change(task, task_phase::waiting);
            next.worker.clear();
            next.checkpoint =
                observation.checkpoint.empty() ? record.checkpoint : observation.checkpoint;
            return true;
        }
        case observed_state::failed:
            break;
        }
        note_failure(record);
        const bool gives_up = record.failed_on.size() + 1 >= options_.failures_to_give_up;
        auto& next = change(task, gives_up ? task_phase::failed : task_phase::waiting);
        next.failed_on.push_back(record.worker);
        next.worker.clear();
        if (gives_up) {
            next.reason = "failed on " + std::to_string(next.failed_on.size()) + " workers";
            plan_.problems.push_back({record.task, "task_failed", next.reason});
        }
        return true;
    }

    void occupy(std::size_t index, worker_load* worker)
    {
        const auto& record = snapshot_.tasks[index].record;
        const auto used = present_size(record);
        team_cores_[record.team + '\n' + record.pool] += record.cores;
        if (worker == nullptr) {
            return;
        }
        worker->used.cores += used.cores;
        worker->used.memory_gb += used.memory_gb;
        worker->used.accelerators += used.accelerators;
        ++worker->tasks;
        if (record.urgency == task_class::deferred &&
            (record.phase == task_phase::running || record.phase == task_phase::throttled)) {
            worker->deferred.push_back(index);
        }
    }

    bool holds(const worker_view& worker, const size& used, const size& wanted) const
    {
        return used.cores + wanted.cores <= worker.cores * options_.overcommit &&
               used.memory_gb + wanted.memory_gb <= worker.memory_gb &&
               used.accelerators + wanted.accelerators <= worker.accelerators;
    }

    static bool matches(const worker_view& worker, const records::task_record& task)
    {
        return task.rack.empty() || worker.rack == task.rack;
    }

    static bool failed_on(const records::task_record& task, const std::string& vm)
    {
        return std::count(task.failed_on.begin(), task.failed_on.end(), vm) > 0;
    }

    bool usable(const worker_load& worker, const records::task_record& task) const
    {
        if (!worker.view->accepts_tasks || worker.quarantined || !matches(*worker.view, task) ||
            failed_on(task, worker.view->vm)) {
            return false;
        }
        const auto health = memory_.workers.find(worker.view->vm);
        const bool probing =
            health != memory_.workers.end() && health->second.quarantined_until.has_value();
        return !probing || worker.tasks == 0;
    }

    int quota(const records::task_record& task) const
    {
        constexpr int unlimited = 1 << 30;
        const auto team = teams_.find(task.team);
        if (team == teams_.end()) {
            return unlimited;
        }
        const auto found = team->second->quotas.find(task.pool);
        return found == team->second->quotas.end() ? unlimited : found->second;
    }

    // Why the task can never run on this fleet; empty if it can.
    std::string impossible(const records::task_record& task) const
    {
        if (task.cores > quota(task)) {
            return "the team's quota in pool " + task.pool + " is " + std::to_string(quota(task)) +
                   " cores";
        }
        const auto pool = by_pool_.find(task.pool);
        if (pool == by_pool_.end()) {
            return "pool " + task.pool + " has no workers";
        }
        const auto wanted = corrected(task);
        bool rack_known = false;
        bool large_enough = false;
        for (const auto* worker : pool->second) {
            const bool matching = matches(*worker->view, task);
            rack_known = rack_known || matching;
            if (matching && holds(*worker->view, {}, wanted)) {
                large_enough = true;
                if (!failed_on(task, worker->view->vm)) {
                    return {};
                }
            }
        }
        if (large_enough) {
            return "it failed on every worker of pool " + task.pool + " that can hold it";
        }
        return rack_known ? "no worker of pool " + task.pool + " is large enough"
                          : "pool " + task.pool + " has no worker in rack " + task.rack;
    }

    void place_waiting()
    {
        std::sort(waiting_.begin(), waiting_.end(), [this](std::size_t left, std::size_t right) {
            const auto& first = snapshot_.tasks[left].record;
            const auto& second = snapshot_.tasks[right].record;
            if (first.urgency != second.urgency) {
                return first.urgency < second.urgency;
            }
            const double first_use = weighted_use(first);
            const double second_use = weighted_use(second);
            return first_use != second_use ? first_use < second_use
                                           : first.submitted_at < second.submitted_at;
        });
        for (const auto index : waiting_) {
            place(index);
        }
    }

    // Cores that the team uses in the pool per unit of its weight, before this round.
    double weighted_use(const records::task_record& task) const
    {
        const auto used = team_cores_.find(task.team + '\n' + task.pool);
        const auto team = teams_.find(task.team);
        const double weight = team == teams_.end() ? 1 : std::max(team->second->weight, 0.001);
        return used == team_cores_.end() ? 0 : used->second / weight;
    }

    void place(std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        const auto reason = impossible(record);
        if (!reason.empty()) {
            plan_.problems.push_back({record.task, "task_unplaceable", reason});
            if (record.phase != task_phase::unplaceable || record.reason != reason) {
                change(task, task_phase::unplaceable).reason = reason;
            }
            return;
        }
        auto& team_used = team_cores_[record.team + '\n' + record.pool];
        const auto wanted = corrected(record);
        worker_load* worker = nullptr;
        if (team_used + record.cores <= quota(record)) {
            worker = best_worker(record, wanted);
            if (worker == nullptr && record.urgency == task_class::urgent) {
                worker = make_room(record, wanted);
            }
        }
        if (worker == nullptr) {
            if (record.phase == task_phase::unplaceable) {
                change(task, task_phase::waiting).reason.clear();
            }
            return;
        }
        auto& next = change(task, task_phase::running);
        next.worker = worker->view->vm;
        next.worker_boot_id = worker->view->boot_id;
        ++next.fencing_token;
        next.reason.clear();
        team_used += record.cores;
        worker->used.cores += wanted.cores;
        worker->used.memory_gb += wanted.memory_gb;
        worker->used.accelerators += wanted.accelerators;
        ++worker->tasks;
    }

    // The worker with the least room left that holds the task, so that large tasks find room too.
    worker_load* best_worker(const records::task_record& task, const size& wanted)
    {
        worker_load* best = nullptr;
        double least = 0;
        for (auto* worker : by_pool_[task.pool]) {
            if (!usable(*worker, task) || !holds(*worker->view, worker->used, wanted)) {
                continue;
            }
            const double left =
                worker->view->cores * options_.overcommit - worker->used.cores - wanted.cores;
            // A worker without an accelerator is kept free of tasks that need none.
            const bool wasteful = worker->view->accelerators > 0 && wanted.accelerators == 0;
            const double rank = left + (wasteful ? 1e6 : 0);
            if (best == nullptr || rank < least) {
                best = worker;
                least = rank;
            }
        }
        return best;
    }

    // Throttles deferred tasks; if that does not help on any worker, checkpoints and stops some.
    // Returns the worker if there is room at once.
    worker_load* make_room(const records::task_record& task, const size& wanted)
    {
        for (auto* worker : by_pool_[task.pool]) {
            if (usable(*worker, task) && throttle_for(*worker, wanted)) {
                return worker;
            }
        }
        worker_load* best = nullptr;
        std::vector<std::size_t> fewest;
        for (auto* worker : by_pool_[task.pool]) {
            if (!usable(*worker, task)) {
                continue;
            }
            auto stops = stops_for(*worker, wanted);
            if (stops && (best == nullptr || stops->size() < fewest.size())) {
                best = worker;
                fewest = std::move(*stops);
            }
        }
        if (best == nullptr) {
            return nullptr;
        }
        for (const auto index : fewest) {
            stop(*best, index);
        }
        // The room is there when the tasks have stopped; it is kept for this task meanwhile.
        best->used.cores += wanted.cores;
        best->used.memory_gb += wanted.memory_gb;
        best->used.accelerators += wanted.accelerators;
        return nullptr;
    }

    bool throttle_for(worker_load& worker, const size& wanted)
    {
        auto used = worker.used;
        std::vector<std::size_t> throttled;
        for (const auto index : worker.deferred) {
            if (holds(*worker.view, used, wanted)) {
                break;
            }
            const auto& record = snapshot_.tasks[index].record;
            if (record.phase == task_phase::running && changed_.count(index) == 0) {
                used.cores -= corrected(record).cores * (1 - options_.throttled_share);
                throttled.push_back(index);
            }
        }
        if (!holds(*worker.view, used, wanted)) {
            return false;
        }
        for (const auto index : throttled) {
            change(snapshot_.tasks[index], task_phase::throttled);
            changed_.insert(index);
        }
        worker.used = used;
        return true;
    }

    // Deferred tasks whose end makes room; nothing if all of them together do not.
    std::optional<std::vector<std::size_t>> stops_for(const worker_load& worker,
                                                      const size& wanted) const
    {
        auto used = worker.used;
        std::vector<std::size_t> stops;
        for (const auto index : worker.deferred) {
            if (holds(*worker.view, used, wanted)) {
                break;
            }
            if (changed_.count(index) > 0) {
                continue;
            }
            const auto size = present_size(snapshot_.tasks[index].record);
            used.cores -= size.cores;
            used.memory_gb -= size.memory_gb;
            used.accelerators -= size.accelerators;
            stops.push_back(index);
        }
        if (!holds(*worker.view, used, wanted)) {
            return std::nullopt;
        }
        return stops;
    }

    // Gives throttled tasks their processors back where there is room again.
    void release_throttled()
    {
        // Otherwise a task would change with every short urgent task.
        constexpr std::chrono::seconds least_time{5};
        for (auto& [vm, worker] : loads_) {
            for (const auto index : worker.deferred) {
                const auto& task = snapshot_.tasks[index];
                const size more{corrected(task.record).cores * (1 - options_.throttled_share), 0,
                                0};
                if (task.record.phase == task_phase::throttled && changed_.count(index) == 0 &&
                    snapshot_.now - task.record.phase_since >= least_time &&
                    holds(*worker.view, worker.used, more)) {
                    worker.used.cores += more.cores;
                    change(task, task_phase::running);
                }
            }
        }
    }

    void stop(worker_load& worker, std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto size = present_size(task.record);
        worker.used.cores -= size.cores;
        worker.used.memory_gb -= size.memory_gb;
        worker.used.accelerators -= size.accelerators;
        change(task, task_phase::stopping);
        changed_.insert(index);
    }

    const placement_snapshot& snapshot_;
    const placement_options& options_;
    placement_memory& memory_;
    placement_plan plan_;
    std::unordered_map<std::string, worker_load> loads_;
    std::unordered_map<std::string, std::vector<worker_load*>> by_pool_;
    std::unordered_map<std::string, const objects::team*> teams_;
    std::unordered_map<std::string, double> team_cores_;
    std::vector<std::size_t> waiting_;
    std::set<std::size_t> changed_; // tasks throttled or stopped in this round
};

} // namespace

placement_plan plan_placement(const placement_snapshot& snapshot, const placement_options& options,
                              placement_memory& memory)
{
    return placer(snapshot, options, memory).run();
}

} // namespace jl::decisions
