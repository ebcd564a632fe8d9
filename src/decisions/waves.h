#pragma once

#include <cstddef>
#include <vector>

#include "decisions/drains.h"

namespace jl::decisions {

// Progress of one wave in its current period, derived from the VM records.
struct wave_progress {
    std::string wave;
    records::wave_state state = records::wave_state::running;
    std::chrono::milliseconds period_start{}; // since the Unix epoch
    int done = 0;
    int in_progress = 0;
    int due = 0; // not maintained in this period and not in progress
};

// Returns the progress of each configured wave that has started.
std::vector<wave_progress> describe_waves(const fleet_snapshot& snapshot);

// Returns the largest subset of `candidates` (indexes into `vms`) that all budgets allow to be
// taken out of service at once. Among subsets of that size, it prefers VMs in the failure domains
// that need the longest time under their budgets, because these domains determine the length of the
// rollout.
std::vector<std::size_t> largest_allowed_set(const std::vector<fleet_vm>& vms,
                                             const std::vector<std::size_t>& candidates,
                                             const budget_ledger& ledger);

// Starts the drains that operators requested, then those of the running waves, as far as the
// budgets allow. Counts the VMs as unavailable in `ledger`.
void plan_maintenance(const fleet_snapshot& snapshot, const planning_limits& limits,
                      budget_ledger& ledger, fleet_plan& plan);

} // namespace jl::decisions
