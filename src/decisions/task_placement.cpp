#include "decisions/task_placement.h"

#include <algorithm>
#include <tuple>

#include "decisions/crash_evidence.h"

namespace jl::decisions {

namespace {

// Workers with this failure score or more are avoided while another one has room.
constexpr double avoided_failure_score = 1.5;
// A worker with more tasks of a long-running step than this is avoided while another one has room.
constexpr int max_uncrowded_tasks_of_step = 1;

bool satisfies_constraints(const task_demand& task, const candidate_worker& worker)
{
    return (task.max_per_worker == 0 || worker.tasks_of_step < task.max_per_worker) &&
           (task.required_label.empty() ||
            (worker.labels != nullptr && std::find(worker.labels->begin(), worker.labels->end(),
                                                   task.required_label) != worker.labels->end()));
}

std::int64_t needed_millicores(const task_demand& task)
{
    return task.filler ? 0 : task.millicores;
}

bool fits(const task_demand& task, const candidate_worker& worker)
{
    return needed_millicores(task) <= worker.free_millicores &&
           task.memory_mb <= worker.free_memory_mb &&
           task.accelerators <= worker.free_accelerators && satisfies_constraints(task, worker);
}

bool fits_later(const task_demand& task, const candidate_worker& worker)
{
    auto later = worker;
    later.free_millicores += worker.releasable_millicores;
    later.free_memory_mb += worker.releasable_memory_mb;
    later.free_accelerators += worker.releasable_accelerators;
    return fits(task, later);
}

// Returns the share of the task's demand that the worker has free, for the scarcer of CPU and
// memory.
double free_share(const task_demand& task, const candidate_worker& worker)
{
    const auto share = [](std::int64_t free, std::int64_t needed) {
        return needed <= 0
                   ? 1.0
                   : std::clamp(static_cast<double>(free) / static_cast<double>(needed), 0.0, 1.0);
    };
    return std::min(share(worker.free_millicores, needed_millicores(task)),
                    share(worker.free_memory_mb, task.memory_mb));
}

} // namespace

std::optional<std::size_t> choose_worker(const task_demand& task,
                                         const std::vector<candidate_worker>& workers)
{
    // The worker with the lowest rank is chosen. Earlier members take precedence.
    const auto rank = [&](const candidate_worker& worker) {
        const bool failing = worker.failure_score >= avoided_failure_score ||
                             (!task.avoided_worker.empty() && worker.worker == task.avoided_worker);
        const bool outside_preferred_rack =
            !task.preferred_rack.empty() && worker.rack != task.preferred_rack;
        const int interfering_tasks = task.filler    ? worker.serving_tasks
                                      : task.serving ? worker.filler_tasks
                                                     : 0;
        // Spreading the long-running tasks of a step limits the damage if a worker is lost. Sharing
        // workers keeps the number of VMs low that run long-running tasks and so cannot be moved.
        const int crowding =
            task.long_running ? std::max(0, worker.tasks_of_step - max_uncrowded_tasks_of_step) : 0;
        return std::make_tuple(failing, outside_preferred_rack, interfering_tasks, crowding,
                               worker.free_millicores);
    };
    std::optional<std::size_t> best;
    decltype(rank(candidate_worker{})) best_rank;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!workers[index].isolated_job.empty() || !fits(task, workers[index])) {
            continue;
        }
        const auto candidate_rank = rank(workers[index]);
        if (!best || candidate_rank < best_rank) {
            best = index;
            best_rank = candidate_rank;
        }
    }
    return best;
}

bool can_start_isolated(std::string_view job, const candidate_worker& worker)
{
    return worker.isolated_job == job || worker.survived_last_start >= crash_window;
}

std::optional<std::size_t> choose_isolated_worker(const task_demand& task, std::string_view job,
                                                  const std::vector<std::string>& used_vms,
                                                  const std::vector<candidate_worker>& workers)
{
    // A worker that has to be waited for is chosen by how long it has survived its last start, so
    // that repeated calls choose the same one.
    const auto rank = [&](const candidate_worker& worker) {
        const bool ready = can_start_isolated(job, worker);
        const bool same_job = worker.isolated_job == job;
        const bool used = std::find(used_vms.begin(), used_vms.end(), worker.vm) != used_vms.end();
        return std::make_tuple(used, !ready, !same_job, ready ? worker.long_running_tasks : 0,
                               ready ? worker.crash_suspects : 0, ready ? worker.tasks : 0,
                               -worker.survived_last_start.count());
    };
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto& worker = workers[index];
        const bool closed = !worker.isolated_job.empty() && worker.isolated_job != job;
        if (closed || !fits(task, worker)) {
            continue;
        }
        if (!best || rank(worker) < rank(workers[*best])) {
            best = index;
        }
    }
    return best;
}

void unplaceable_demands::add(const task_demand& task)
{
    // A label or a limit per worker may have excluded workers that have room for other tasks.
    if (task.required_label.empty() && task.max_per_worker == 0) {
        demands_.push_back(task);
    }
}

bool unplaceable_demands::rules_out(const task_demand& task) const
{
    return std::any_of(demands_.begin(), demands_.end(), [&](const task_demand& refused) {
        return needed_millicores(task) >= needed_millicores(refused) &&
               task.memory_mb >= refused.memory_mb && task.accelerators >= refused.accelerators;
    });
}

std::optional<std::size_t> choose_reservation(const task_demand& task,
                                              const std::vector<candidate_worker>& workers)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto& worker = workers[index];
        if (!worker.isolated_job.empty() || !fits_later(task, worker)) {
            continue;
        }
        if (!best || free_share(task, worker) > free_share(task, workers[*best])) {
            best = index;
        }
    }
    return best;
}

} // namespace jl::decisions
