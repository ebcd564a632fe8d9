#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace jl::decisions {

// What the order of jobs in one pool depends on.
struct job_demand {
    std::size_t job = 0; // the caller's index
    int priority = 0;    // 0 is the most urgent
    bool long_running = false;
    bool started = false;                        // some task has run
    std::chrono::milliseconds time_left{0};      // until the objective; negative: missed
    std::chrono::milliseconds late_time_left{0}; // until late completion earns nothing more
    std::chrono::milliseconds chain{0};          // longest chain of work that is left
    double core_seconds = 0;                     // work that is left
};

// The order in which jobs of one pool get their tasks started.
//
// Load pattern: a queue asks for several times what its pool holds for some seconds, then for
// almost nothing. Jobs that can still meet their objective come first, those begun before those
// not begun, since work on a job earns only when the job ends; small ones before large ones, since
// more of them can be completed in the same time. Jobs that can only be completed late follow,
// then the rest, which run in the lull.
std::vector<std::size_t> order_jobs(const std::vector<job_demand>& jobs);

} // namespace jl::decisions
