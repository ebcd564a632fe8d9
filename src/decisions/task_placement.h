#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl::decisions {

// A worker as the placement of one task sees it. Refers to strings of the caller, since rooms are
// made anew for thousands of workers at each pass.
struct worker_room {
    std::string_view worker;
    std::string_view rack;
    const std::vector<std::string>* labels = nullptr; // null: none
    std::int64_t free_millicores = 0;
    std::int64_t free_memory_mb = 0;
    std::int64_t free_accelerators = 0;
    std::int64_t total_millicores = 0;
    std::int64_t total_memory_mb = 0;
    int tasks_of_step = 0;    // tasks of the step in question that it runs
    int serving_tasks = 0;    // tasks with a latency target
    int filler_tasks = 0;     // tasks that use what others leave
    double failure_score = 0; // recent failures; 0: none
};

struct task_demand {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::string required_label; // empty: any worker
    std::string preferred_rack; // empty: none
    int max_per_worker = 0;     // 0: no limit
    bool filler = false;
    bool serving = false;
    bool long_running = false;
    std::string avoided_worker; // where the last run failed; empty: none
};

// Chooses the worker for one task; nothing if none has room. Returns an index into `workers`.
//
// Load patterns: a pool that is nearly full, where spread-out gaps fit no large task, so the
// fullest worker that has room is taken, which also empties others for moves; workers that fail
// what they start, which are avoided while others have room; tasks that fill beside tasks that
// serve users, which are kept apart.
std::optional<std::size_t> choose_worker(const task_demand& task,
                                         const std::vector<worker_room>& workers);

// Demands that no worker had room for, while room only shrinks: another task that asks for as much
// has no room either, so it need not be tried. Load pattern: hundreds of jobs wait while a queue
// asks for several times what its pool holds, and each pass tries them all.
class exhausted_room {
public:
    void note_no_room(const task_demand& task);
    // True if the task certainly fits nowhere.
    bool rules_out(const task_demand& task) const;

private:
    std::vector<task_demand> refused_;
};

// Chooses the worker that is to be kept free for a task that none has room for; nothing if no
// worker could ever run it. Returns an index into `workers`.
//
// Load pattern: small tasks that end and are replaced at once never leave room for a large one.
std::optional<std::size_t> choose_reservation(const task_demand& task,
                                              const std::vector<worker_room>& workers);

} // namespace jl::decisions
