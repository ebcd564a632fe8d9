#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace jl::decisions {

// The properties of a waiting job that determine its place in the order.
struct job_demand {
    std::size_t job = 0; // identifies the job to the caller
    int priority = 0;    // 0 is the most urgent
    bool long_running = false;
    bool started = false;                        // some task has been started
    std::chrono::milliseconds time_left{0};      // until the objective; negative: missed
    std::chrono::milliseconds late_time_left{0}; // until completion earns no credit
    std::chrono::milliseconds critical_path{0};  // longest chain of dependent steps left
    double core_seconds = 0;                     // work left
    bool beyond_rate = false; // its team has submitted more than its rate of jobs
};

// Returns the jobs of one pool, by job_demand::job, in the order in which their tasks are started.
//
// Load pattern: for some seconds a queue needs several times the capacity of its pool, then almost
// nothing. Long-running jobs come first. Then come jobs that can still meet their objective, then
// those that can only complete late, and last those that earn no credit, which run once the load is
// low. Jobs beyond the rate of their team come before these only, so that they cost the other teams
// nothing. Among jobs of one class and priority, started jobs come first, because a job earns
// credit only when it completes. Then come, of the jobs on time, those with the earliest objective,
// so that large ones do not lose theirs to a stream of small ones, and of the others the small
// ones, because more of them complete in the same time.
std::vector<std::size_t> order_jobs(const std::vector<job_demand>& jobs);

// Returns a number that rises with the class and priority of the jobs in the order above, and is
// lower for a started job than for others like it. Jobs with the same number may change places to
// give each team its share; a started job keeps its place, because it earns credit only when it
// completes.
int order_rank(const job_demand& job);

} // namespace jl::decisions
