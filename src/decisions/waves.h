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
    int due = 0; // neither done nor in progress
};

std::vector<wave_progress> describe_waves(const fleet_snapshot& snapshot);

// Largest subset of `candidates` (indexes into `vms`) that all budgets allow to be taken at once.
// Among the largest, VMs of the failure domains that need the longest time at their budget are
// preferred, because these domains determine the length of the rollout.
std::vector<std::size_t> largest_allowed_set(const std::vector<fleet_vm>& vms,
                                             const std::vector<std::size_t>& candidates,
                                             const budget_ledger& ledger);

// Starts the drains that operators asked for, then those of the running waves. Takes the VMs from
// `ledger`.
void plan_maintenance(const fleet_snapshot& snapshot, const planning_limits& limits,
                      budget_ledger& ledger, fleet_plan& plan);

} // namespace jl::decisions
