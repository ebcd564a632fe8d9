#include "decisions/placement.h"

#include <algorithm>
#include <unordered_map>

namespace jl::decisions {

namespace {

using records::task_class;
using records::task_phase;
using std::chrono::milliseconds;
using observed_state = task_observation::state;

struct task_size {
    double cores = 0;
    double memory_gb = 0;
    int accelerators = 0;
};

// Load of one worker, including what this round has already planned.
struct worker_load {
    const worker_view* view = nullptr;
    task_size used;
    int tasks = 0;
    bool quarantined = false;
    std::vector<std::size_t> preemptible; // deferred tasks, which may be throttled or stopped
};

class placement_planner {
public:
    placement_planner(const placement_snapshot& snapshot, const placement_options& options,
                      placement_history& history)
        : snapshot_(snapshot), options_(options), history_(history)
    {
        for (const auto& worker : snapshot.workers) {
            auto& load = loads_[worker.vm];
            load.view = &worker;
            workers_by_pool_[worker.pool].push_back(&load);
        }
        for (const auto& team : snapshot.configuration->teams) {
            teams_[team.name] = &team;
        }
    }

    placement_plan run()
    {
        update_quarantines();
        for (std::size_t index = 0; index < snapshot_.tasks.size(); ++index) {
            process_task(index);
        }
        place_waiting_tasks();
        unthrottle_tasks();
        return std::move(plan_);
    }

private:
    task_size corrected_size(const records::task_record& task) const
    {
        task_size result{task.cores, task.memory_gb, task.accelerators};
        const auto found = history_.corrections.find(task.kind);
        if (found != history_.corrections.end()) {
            result.cores *= std::clamp(found->second.cores, options_.min_correction_factor,
                                       options_.max_correction_factor);
            result.memory_gb *= std::clamp(found->second.memory, options_.min_correction_factor,
                                           options_.max_correction_factor);
        }
        return result;
    }

    task_size current_size(const records::task_record& task) const
    {
        auto result = corrected_size(task);
        if (task.phase == task_phase::throttled) {
            result.cores *= options_.throttled_cpu_share;
        }
        return result;
    }

    records::task_record& add_step(const task_view& task, task_phase phase)
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
        for (auto& [vm, health] : history_.workers) {
            const auto load = loads_.find(vm);
            if (load == loads_.end()) {
                continue;
            }
            load->second.quarantined =
                health.quarantined_until && snapshot_.now < *health.quarantined_until;
            if (load->second.quarantined) {
                plan_.problems.push_back(
                    {vm, "worker_quarantined",
                     "its recent tasks all failed, so no tasks are placed on it"});
            }
            // After the quarantine, the worker gets one task at a time as a probe; see
            // can_accept().
        }
    }

    void learn_size(const records::task_record& task, const task_observation& observation)
    {
        // A low weight suffices because a task reports many times.
        constexpr double report_weight = 0.1;
        auto& correction = history_.corrections[task.kind];
        if (task.cores > 0 && observation.cores > 0 && task.phase == task_phase::running) {
            correction.cores += (observation.cores / task.cores - correction.cores) * report_weight;
        }
        if (task.memory_gb > 0 && observation.memory_gb > 0) {
            // Increases take effect at once, because a task that runs out of memory fails.
            const double ratio = observation.memory_gb / task.memory_gb;
            correction.memory =
                std::max(ratio, correction.memory + (ratio - correction.memory) * report_weight);
        }
    }

    void record_failure(const records::task_record& task)
    {
        auto& health = history_.workers[task.worker];
        health.failed_tasks.insert(task.task);
        const bool probe_failed = health.quarantined_until.has_value();
        if (probe_failed ||
            static_cast<int>(health.failed_tasks.size()) >= options_.quarantine_threshold) {
            health.quarantined_until = snapshot_.now + options_.quarantine_duration;
            const auto load = loads_.find(task.worker);
            if (load != loads_.end()) {
                load->second.quarantined = true;
            }
        }
    }

    // Returns true if, by the platform's rules for leases, the worker can no longer run the task.
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
        // The lease is not renewed in the phase `stopping`. If a current report from after the end
        // of the lease does not list the task, the task does not run.
        const bool expired =
            snapshot_.now - record.phase_since >= options_.lease_duration + options_.report_lag;
        return !task.observation && expired;
    }

    // Plans the next step of a task that is assigned or has ended, and queues any other task for
    // placement.
    void process_task(std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        switch (record.phase) {
        case task_phase::waiting:
        case task_phase::unplaceable:
            unassigned_.push_back(index);
            return;
        case task_phase::finished:
        case task_phase::failed:
            if (snapshot_.now - record.phase_since >= options_.record_retention) {
                add_step(task, record.phase);
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
            process_observation(index, *observation)) {
            return;
        }
        if (record.phase == task_phase::stopping) {
            if (provably_stopped(task, worker)) {
                add_step(task, task_phase::waiting).worker.clear();
                return;
            }
        }
        else if (worker == nullptr || !worker->view->accepts_tasks ||
                 worker->view->boot_id != record.worker_boot_id || presumed_lost(task)) {
            add_step(task, task_phase::stopping);
            throttled_or_stopped_.insert(index);
        }
        add_to_load(index, worker);
    }

    // Returns true if the worker should have reported the task by now but did not, so the task
    // either never started or was lost.
    bool presumed_lost(const task_view& task) const
    {
        return snapshot_.reports_current && !task.observation &&
               snapshot_.now - task.record.phase_since >=
                   options_.lease_duration + options_.report_lag;
    }

    // Applies the reported state and returns true if the task has ended on its worker.
    bool process_observation(std::size_t index, const task_observation& observation)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        switch (observation.observed) {
        case observed_state::running:
        case observed_state::throttled:
            learn_size(record, observation);
            return false;
        case observed_state::finished: {
            history_.workers[record.worker] = {};
            add_step(task, task_phase::finished);
            return true;
        }
        case observed_state::stopped: {
            auto& next = add_step(task, task_phase::waiting);
            next.worker.clear();
            next.checkpoint =
                observation.checkpoint.empty() ? record.checkpoint : observation.checkpoint;
            return true;
        }
        case observed_state::failed:
            break;
        }
        record_failure(record);
        const bool final_failure = record.failed_on.size() + 1 >= options_.max_failures_per_task;
        auto& next = add_step(task, final_failure ? task_phase::failed : task_phase::waiting);
        next.failed_on.push_back(record.worker);
        next.worker.clear();
        if (final_failure) {
            next.reason = "failed on " + std::to_string(next.failed_on.size()) + " workers";
            plan_.problems.push_back({record.task, "task_failed", next.reason});
        }
        return true;
    }

    // Counts a task that still runs against its worker and its team.
    void add_to_load(std::size_t index, worker_load* worker)
    {
        const auto& record = snapshot_.tasks[index].record;
        const auto used = current_size(record);
        cores_by_team_and_pool_[record.team + '\n' + record.pool] += record.cores;
        if (worker == nullptr) {
            return;
        }
        worker->used.cores += used.cores;
        worker->used.memory_gb += used.memory_gb;
        worker->used.accelerators += used.accelerators;
        ++worker->tasks;
        if (record.urgency == task_class::deferred &&
            (record.phase == task_phase::running || record.phase == task_phase::throttled)) {
            worker->preemptible.push_back(index);
        }
    }

    bool fits(const worker_view& worker, const task_size& used, const task_size& wanted) const
    {
        return used.cores + wanted.cores <= worker.cores * options_.cpu_overcommit_factor &&
               used.memory_gb + wanted.memory_gb <= worker.memory_gb &&
               used.accelerators + wanted.accelerators <= worker.accelerators;
    }

    static bool rack_matches(const worker_view& worker, const records::task_record& task)
    {
        return task.rack.empty() || worker.rack == task.rack;
    }

    static bool failed_on_worker(const records::task_record& task, const std::string& vm)
    {
        return std::count(task.failed_on.begin(), task.failed_on.end(), vm) > 0;
    }

    bool can_accept(const worker_load& worker, const records::task_record& task) const
    {
        if (!worker.view->accepts_tasks || worker.quarantined ||
            !rack_matches(*worker.view, task) || failed_on_worker(task, worker.view->vm)) {
            return false;
        }
        const auto health = history_.workers.find(worker.view->vm);
        const bool probing =
            health != history_.workers.end() && health->second.quarantined_until.has_value();
        return !probing || worker.tasks == 0;
    }

    int core_quota(const records::task_record& task) const
    {
        constexpr int unlimited = 1 << 30;
        const auto team = teams_.find(task.team);
        if (team == teams_.end()) {
            return unlimited;
        }
        const auto found = team->second->quotas.find(task.pool);
        return found == team->second->quotas.end() ? unlimited : found->second;
    }

    // Returns why no worker of the fleet can ever run the task; empty if one can.
    std::string unplaceable_reason(const records::task_record& task) const
    {
        if (task.cores > core_quota(task)) {
            return "the team's quota in pool " + task.pool + " is " +
                   std::to_string(core_quota(task)) + " cores";
        }
        const auto pool = workers_by_pool_.find(task.pool);
        if (pool == workers_by_pool_.end()) {
            return "pool " + task.pool + " has no workers";
        }
        const auto wanted = corrected_size(task);
        bool rack_has_workers = false;
        bool any_worker_fits = false;
        for (const auto* worker : pool->second) {
            const bool in_rack = rack_matches(*worker->view, task);
            rack_has_workers = rack_has_workers || in_rack;
            if (in_rack && fits(*worker->view, {}, wanted)) {
                any_worker_fits = true;
                if (!failed_on_worker(task, worker->view->vm)) {
                    return {};
                }
            }
        }
        if (any_worker_fits) {
            return "it failed on every worker of pool " + task.pool + " that can hold it";
        }
        return rack_has_workers ? "no worker of pool " + task.pool + " is large enough"
                                : "pool " + task.pool + " has no worker in rack " + task.rack;
    }

    void place_waiting_tasks()
    {
        std::sort(unassigned_.begin(), unassigned_.end(),
                  [this](std::size_t left, std::size_t right) {
                      const auto& first = snapshot_.tasks[left].record;
                      const auto& second = snapshot_.tasks[right].record;
                      if (first.urgency != second.urgency) {
                          return first.urgency < second.urgency;
                      }
                      const double first_use = weighted_team_use(first);
                      const double second_use = weighted_team_use(second);
                      return first_use != second_use ? first_use < second_use
                                                     : first.submitted_at < second.submitted_at;
                  });
        for (const auto index : unassigned_) {
            place_task(index);
        }
    }

    // Returns the cores that the team uses in the pool divided by its weight, as of the start of
    // this round.
    double weighted_team_use(const records::task_record& task) const
    {
        const auto used = cores_by_team_and_pool_.find(task.team + '\n' + task.pool);
        const auto team = teams_.find(task.team);
        const double weight = team == teams_.end() ? 1 : std::max(team->second->weight, 0.001);
        return used == cores_by_team_and_pool_.end() ? 0 : used->second / weight;
    }

    void place_task(std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto& record = task.record;
        const auto reason = unplaceable_reason(record);
        if (!reason.empty()) {
            plan_.problems.push_back({record.task, "task_unplaceable", reason});
            if (record.phase != task_phase::unplaceable || record.reason != reason) {
                add_step(task, task_phase::unplaceable).reason = reason;
            }
            return;
        }
        auto& team_cores = cores_by_team_and_pool_[record.team + '\n' + record.pool];
        const auto wanted = corrected_size(record);
        worker_load* worker = nullptr;
        if (team_cores + record.cores <= core_quota(record)) {
            worker = best_fit_worker(record, wanted);
            if (worker == nullptr && record.urgency == task_class::urgent) {
                worker = preempt_for(record, wanted);
            }
        }
        if (worker == nullptr) {
            if (record.phase == task_phase::unplaceable) {
                add_step(task, task_phase::waiting).reason.clear();
            }
            return;
        }
        auto& next = add_step(task, task_phase::running);
        next.worker = worker->view->vm;
        next.worker_boot_id = worker->view->boot_id;
        ++next.fencing_token;
        next.reason.clear();
        team_cores += record.cores;
        worker->used.cores += wanted.cores;
        worker->used.memory_gb += wanted.memory_gb;
        worker->used.accelerators += wanted.accelerators;
        ++worker->tasks;
    }

    // Best fit: returns the worker that has the fewest cores left after taking the task, so that
    // room for large tasks remains on other workers; null if none fits.
    worker_load* best_fit_worker(const records::task_record& task, const task_size& wanted)
    {
        worker_load* best = nullptr;
        double least_left = 0;
        for (auto* worker : workers_by_pool_[task.pool]) {
            if (!can_accept(*worker, task) || !fits(*worker->view, worker->used, wanted)) {
                continue;
            }
            const double left = worker->view->cores * options_.cpu_overcommit_factor -
                                worker->used.cores - wanted.cores;
            // Workers with accelerators are kept free for the tasks that need one.
            const bool wastes_accelerators =
                worker->view->accelerators > 0 && wanted.accelerators == 0;
            const double rank = left + (wastes_accelerators ? 1e6 : 0);
            if (best == nullptr || rank < least_left) {
                best = worker;
                least_left = rank;
            }
        }
        return best;
    }

    // Preempts deferred tasks in favour of `task`: throttles them or, if that frees too little on
    // every worker, stops the fewest possible. Returns the worker if the room is available at once,
    // and null if it is available only after tasks have stopped or not at all.
    worker_load* preempt_for(const records::task_record& task, const task_size& wanted)
    {
        for (auto* worker : workers_by_pool_[task.pool]) {
            if (can_accept(*worker, task) && throttle_for(*worker, wanted)) {
                return worker;
            }
        }
        worker_load* best = nullptr;
        std::vector<std::size_t> fewest_stops;
        for (auto* worker : workers_by_pool_[task.pool]) {
            if (!can_accept(*worker, task)) {
                continue;
            }
            auto stops = tasks_to_stop(*worker, wanted);
            if (stops && (best == nullptr || stops->size() < fewest_stops.size())) {
                best = worker;
                fewest_stops = std::move(*stops);
            }
        }
        if (best == nullptr) {
            return nullptr;
        }
        for (const auto index : fewest_stops) {
            stop_task(*best, index);
        }
        // The room becomes available when the tasks have stopped. Until the end of this round it is
        // reserved, so that no other task takes it.
        best->used.cores += wanted.cores;
        best->used.memory_gb += wanted.memory_gb;
        best->used.accelerators += wanted.accelerators;
        return nullptr;
    }

    bool throttle_for(worker_load& worker, const task_size& wanted)
    {
        auto used = worker.used;
        std::vector<std::size_t> throttled;
        for (const auto index : worker.preemptible) {
            if (fits(*worker.view, used, wanted)) {
                break;
            }
            const auto& record = snapshot_.tasks[index].record;
            if (record.phase == task_phase::running && throttled_or_stopped_.count(index) == 0) {
                used.cores -= corrected_size(record).cores * (1 - options_.throttled_cpu_share);
                throttled.push_back(index);
            }
        }
        if (!fits(*worker.view, used, wanted)) {
            return false;
        }
        for (const auto index : throttled) {
            add_step(snapshot_.tasks[index], task_phase::throttled);
            throttled_or_stopped_.insert(index);
        }
        worker.used = used;
        return true;
    }

    // Returns deferred tasks to stop so that `wanted` fits; nullopt if stopping all of them would
    // not free enough.
    std::optional<std::vector<std::size_t>> tasks_to_stop(const worker_load& worker,
                                                          const task_size& wanted) const
    {
        auto used = worker.used;
        std::vector<std::size_t> stops;
        for (const auto index : worker.preemptible) {
            if (fits(*worker.view, used, wanted)) {
                break;
            }
            if (throttled_or_stopped_.count(index) > 0) {
                continue;
            }
            const auto size = current_size(snapshot_.tasks[index].record);
            used.cores -= size.cores;
            used.memory_gb -= size.memory_gb;
            used.accelerators -= size.accelerators;
            stops.push_back(index);
        }
        if (!fits(*worker.view, used, wanted)) {
            return std::nullopt;
        }
        return stops;
    }

    // Returns throttled tasks to their full share of cores where these are available again.
    void unthrottle_tasks()
    {
        // Without a minimum time, a task would be throttled and released for each short urgent
        // task.
        constexpr std::chrono::seconds min_throttled_time{5};
        for (auto& [vm, worker] : loads_) {
            for (const auto index : worker.preemptible) {
                const auto& task = snapshot_.tasks[index];
                const task_size restored{
                    corrected_size(task.record).cores * (1 - options_.throttled_cpu_share), 0, 0};
                if (task.record.phase == task_phase::throttled &&
                    throttled_or_stopped_.count(index) == 0 &&
                    snapshot_.now - task.record.phase_since >= min_throttled_time &&
                    fits(*worker.view, worker.used, restored)) {
                    worker.used.cores += restored.cores;
                    add_step(task, task_phase::running);
                }
            }
        }
    }

    void stop_task(worker_load& worker, std::size_t index)
    {
        const auto& task = snapshot_.tasks[index];
        const auto size = current_size(task.record);
        worker.used.cores -= size.cores;
        worker.used.memory_gb -= size.memory_gb;
        worker.used.accelerators -= size.accelerators;
        add_step(task, task_phase::stopping);
        throttled_or_stopped_.insert(index);
    }

    const placement_snapshot& snapshot_;
    const placement_options& options_;
    placement_history& history_;
    placement_plan plan_;
    std::unordered_map<std::string, worker_load> loads_;
    std::unordered_map<std::string, std::vector<worker_load*>> workers_by_pool_;
    std::unordered_map<std::string, const objects::team*> teams_;
    std::unordered_map<std::string, double> cores_by_team_and_pool_;
    std::vector<std::size_t> unassigned_;
    std::set<std::size_t> throttled_or_stopped_; // tasks throttled or stopped in this round
};

} // namespace

placement_plan plan_placement(const placement_snapshot& snapshot, const placement_options& options,
                              placement_history& history)
{
    return placement_planner(snapshot, options, history).run();
}

} // namespace jl::decisions
