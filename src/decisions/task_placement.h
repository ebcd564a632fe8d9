#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl::decisions {

// A worker that may be chosen for a task. Refers to strings that the caller owns, because
// candidates are created again for thousands of workers in each scheduling pass.
struct candidate_worker {
    std::string_view worker;
    std::string_view rack;
    std::string_view vm;
    const std::vector<std::string>* labels = nullptr; // null: none
    std::int64_t free_millicores = 0;
    std::int64_t free_memory_mb = 0;
    std::int64_t free_accelerators = 0;
    // What becomes free when the tasks on the worker have ended that end by themselves.
    std::int64_t releasable_millicores = 0;
    std::int64_t releasable_memory_mb = 0;
    std::int64_t releasable_accelerators = 0;
    int tasks_of_step = 0;    // tasks on the worker that belong to the step being placed
    int serving_tasks = 0;    // tasks with a latency target
    int filler_tasks = 0;     // best-effort tasks that use only idle CPU time
    double failure_score = 0; // recent failures; 0: none
    int tasks = 0;
    int long_running_tasks = 0;
    int crash_suspects = 0;                          // tasks that have lost a worker before
    std::chrono::nanoseconds survived_last_start{0}; // how long it is known to have run since then
    std::string_view isolated_job; // only tasks of this job may start on it; empty: no limit
};

// What a task requires of its worker.
struct task_demand {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::string required_label; // empty: any worker
    std::string preferred_rack; // empty: none
    int max_per_worker = 0;     // 0: no limit
    bool filler = false;        // uses only idle CPU time, so `millicores` is ignored
    bool serving = false;       // has a latency target
    bool long_running = false;
    std::string avoided_worker; // on which the last run failed; empty: none
};

// Returns the index in `workers` of the worker that should run the task; nothing if it fits on
// none.
//
// Load patterns:
// - In a nearly full pool, small gaps on many workers fit no large task. The worker with the least
//   free CPU on which the task fits is chosen, which also empties other workers so that they can
//   move.
// - A worker may fail all tasks that it starts. It is avoided while another one has room.
// - Filler tasks slow down serving tasks. They are placed on different workers if possible.
std::optional<std::size_t> choose_worker(const task_demand& task,
                                         const std::vector<candidate_worker>& workers);

// Returns the index in `workers` of the worker on which to start a task of `job` that may crash it;
// nothing if it fits on none. The task must wait for the chosen worker, to which no other job's
// task may be added meanwhile, unless can_start_isolated() holds for it.
//
// Load pattern: a worker was lost with several tasks that had just been started. Each of them
// starts again where no other start can be confused with it, and where the fewest tasks are lost if
// it is the cause.
//
// `used_vms`: on which workers were lost under the task. They are avoided, to tell a task that
// crashes its workers from a VM that crashes by itself.
std::optional<std::size_t> choose_isolated_worker(const task_demand& task, std::string_view job,
                                                  const std::vector<std::string>& used_vms,
                                                  const std::vector<candidate_worker>& workers);
// True if a crash of the worker shortly after the start of a task of `job` could be explained by no
// other start.
bool can_start_isolated(std::string_view job, const candidate_worker& worker);

// Remembers the tasks that fit on no worker during a scheduling pass. Free capacity only shrinks
// during a pass, so a task that requests at least as much fits nowhere either and need not be
// tried.
//
// Load pattern: hundreds of jobs wait while a queue needs several times the capacity of its pool,
// and each pass would try to place all of them.
class unplaceable_demands {
public:
    // `task` fits on no worker.
    void add(const task_demand& task);
    // True if the task certainly fits on no worker.
    bool rules_out(const task_demand& task) const;

private:
    std::vector<task_demand> demands_;
};

// Returns the index in `workers` of the worker to keep free for a task that fits on none now;
// nothing if it would not fit on any worker when the tasks have ended that end by themselves.
//
// Load patterns:
// - A large task never starts if small tasks take the place of each one that ends.
// - Long-running tasks fill the pool and others wait. Workers that are kept free for these would
//   stay so, and all other jobs would wait with them.
std::optional<std::size_t> choose_reservation(const task_demand& task,
                                              const std::vector<candidate_worker>& workers);

} // namespace jl::decisions
