#pragma once

#include <string>
#include <vector>

namespace jl::decisions {

// A pool as the division of the VMs sees it.
struct pool_state {
    std::string pool;
    bool standby = false; // VMs in it are powered off and cost nothing
    int vms = 0;          // up or on their way into it
    int pinned_vms = 0;   // that run long-running tasks
    int spread_vms = 0;   // over which the tasks of some step have to be spread
    // Loads are in VMs that they fill, by the resource that is scarcest for each task.
    double wanted_load = 0;   // of tasks that run, or wait and could run now
    double pinned_load = 0;   // of these, long-running tasks
    double expected_load = 0; // of other tasks, expected when a VM that moves now is there
    double late_load = 0;     // of tasks whose job misses its objective in any case
};

struct sizing_settings {
    double usable_share = 0.9; // of a VM; the rest is lost to tasks that do not fit
    int least_vms = 2;         // of a pool with a queue
    double late_share = 0.25;  // of the VMs that late tasks would fill
};

// How many VMs each pool should have, in the order of `pools`. Standby pools get what is left.
//
// Load pattern: the queues take turns to ask for several times what their pools hold, and leave
// them almost idle in between. VMs go to where the work is or is about to come; a pool between its
// turns keeps only what its long-running tasks and its few other tasks need. After a turn, jobs are
// left that have missed their objective: they get a share of the VMs that no pool wants, beside
// those that run long-running tasks, where a large task may never find room.
std::vector<int> size_pools(const std::vector<pool_state>& pools, const sizing_settings& settings);

} // namespace jl::decisions
