#include "decisions/task_placement.h"

#include <algorithm>
#include <tuple>

namespace jl::decisions {

namespace {

// Recent failures from which a worker is avoided while another has room.
constexpr double avoided_failure_score = 1.5;
// Long-running tasks of one step that may share a worker while others have room.
constexpr int uncrowded_tasks_of_step = 1;

bool allowed(const task_demand& task, const worker_room& worker)
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

bool fits(const task_demand& task, const worker_room& worker)
{
    return needed_millicores(task) <= worker.free_millicores &&
           task.memory_mb <= worker.free_memory_mb &&
           task.accelerators <= worker.free_accelerators && allowed(task, worker);
}

// Part of what the task needs that the worker has free, by the scarcer resource.
double free_part(const task_demand& task, const worker_room& worker)
{
    const auto part = [](std::int64_t free, std::int64_t needed) {
        return needed <= 0
                   ? 1.0
                   : std::clamp(static_cast<double>(free) / static_cast<double>(needed), 0.0, 1.0);
    };
    return std::min(part(worker.free_millicores, needed_millicores(task)),
                    part(worker.free_memory_mb, task.memory_mb));
}

} // namespace

std::optional<std::size_t> choose_worker(const task_demand& task,
                                         const std::vector<worker_room>& workers)
{
    // Smaller is better, the first member counts most.
    const auto rank = [&](const worker_room& worker) {
        const bool failing = worker.failure_score >= avoided_failure_score ||
                             (!task.avoided_worker.empty() && worker.worker == task.avoided_worker);
        const bool remote = !task.preferred_rack.empty() && worker.rack != task.preferred_rack;
        const int disturbance = task.filler    ? worker.serving_tasks
                                : task.serving ? worker.filler_tasks
                                               : 0;
        // The loss of a worker should take few long-running tasks of a step; but each worker that
        // runs some has to stay.
        const int crowding =
            task.long_running ? std::max(0, worker.tasks_of_step - uncrowded_tasks_of_step) : 0;
        return std::make_tuple(failing, remote, disturbance, crowding, worker.free_millicores);
    };
    std::optional<std::size_t> best;
    decltype(rank(worker_room{})) best_rank;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!fits(task, workers[index])) {
            continue;
        }
        const auto present = rank(workers[index]);
        if (!best || present < best_rank) {
            best = index;
            best_rank = present;
        }
    }
    return best;
}

void exhausted_room::note_no_room(const task_demand& task)
{
    // Labels and spread rule out workers that have room for others.
    if (task.required_label.empty() && task.max_per_worker == 0) {
        refused_.push_back(task);
    }
}

bool exhausted_room::rules_out(const task_demand& task) const
{
    return std::any_of(refused_.begin(), refused_.end(), [&](const task_demand& refused) {
        return needed_millicores(task) >= needed_millicores(refused) &&
               task.memory_mb >= refused.memory_mb && task.accelerators >= refused.accelerators;
    });
}

std::optional<std::size_t> choose_reservation(const task_demand& task,
                                              const std::vector<worker_room>& workers)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto& worker = workers[index];
        if (!allowed(task, worker) || needed_millicores(task) > worker.total_millicores ||
            task.memory_mb > worker.total_memory_mb) {
            continue;
        }
        if (!best || free_part(task, worker) > free_part(task, workers[*best])) {
            best = index;
        }
    }
    return best;
}

} // namespace jl::decisions
