#pragma once

#include <string>
#include <vector>

namespace jl::decisions {

// The state of a pool on which its size depends.
struct pool_state {
    std::string pool;
    bool standby = false; // VMs in it are powered off and cost nothing
    int vms = 0;          // VMs that are up in it or moving into it
    int pinned_vms = 0;   // VMs that run long-running tasks and so have to stay
    int spread_vms = 0;   // VMs that the most widely spread step needs, by its limit per worker
    // Loads are in VMs: each task counts with its largest share of a VM in any resource.
    double current_load = 0;  // of tasks that run or could run now
    double pinned_load = 0;   // part of `current_load`: long-running tasks
    double expected_load = 0; // of other tasks, at the time when a VM that moves now arrives
    double late_load = 0;     // of tasks whose job can no longer meet its objective
};

struct sizing_settings {
    double usable_share = 0.9; // of a VM; the rest is lost to fragmentation
    int min_vms = 2;           // of each pool that is not standby
    double late_share = 0.25;  // of the VMs that `late_load` would fill
};

// Returns how many VMs each pool should have, in the order of `pools`. The VMs that no pool needs
// go to the first standby pool, or stay where they are if there is none.
//
// Load pattern: the queues take turns to need several times the capacity of their pools, and leave
// them almost idle in between. VMs therefore go to the pools that have work or expect it; an idle
// pool keeps only what its long-running tasks and its few other tasks need. After such a peak, jobs
// remain that have missed their objective. They get a share of the VMs that no pool needs, because
// a large task may never fit on the VMs that run long-running tasks.
std::vector<int> size_pools(const std::vector<pool_state>& pools, const sizing_settings& settings);

} // namespace jl::decisions
