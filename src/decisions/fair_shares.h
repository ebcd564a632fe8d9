#pragma once

#include <cstddef>
#include <vector>

#include "decisions/task_resources.h"

namespace jl::decisions {

// A waiting job of a team.
struct team_job {
    std::size_t job = 0;   // identifies the job to the caller
    std::size_t team = 0;  // index in the list of teams
    int rank = 0;          // jobs of a lower rank come first, whatever the shares
    task_resources demand; // of the tasks that can start now
};

// A team that competes for a pool.
struct team_share {
    double weight = 1.0; // its part of a full pool, relative to the other teams
    task_resources used; // by its tasks in the pool
};

// Returns the jobs of one pool, by team_job::job, in the order in which their tasks are started:
// weighted dominant-resource fairness within each rank. The next job is that of the team whose
// largest share of CPU, memory or accelerators, divided by its weight, is smallest. The jobs of one
// team keep their order. Shares only order the jobs, so that no capacity stays free for a team that
// does not ask for it.
//
// Load pattern: one team sends several times its usual load for some seconds, and its jobs fill the
// queue of a pool before those of all other teams. Teams differ in what they need most of, CPU or
// memory, so that neither alone shows who has more than its part.
//
// `jobs` are in ascending order of rank.
std::vector<std::size_t> order_by_share(const std::vector<team_job>& jobs,
                                        std::vector<team_share> teams,
                                        const task_resources& pool_size);

} // namespace jl::decisions
