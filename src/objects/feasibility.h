#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "objects/objects.h"

namespace jl::objects {

// VMs of a pool of `max_vms` VMs that the budgets allow to be unavailable at once.
struct pool_limit {
    int at_once = 0;
    std::string budget; // the budget that sets the limit; empty: no budget covers the pool
};

// Considers the budgets of the pool, of its service, and those of every rack or data centre that
// leave no VM at all. The sizes of racks and data centres are not part of the configuration.
pool_limit drain_limit_of(const object_set& set, const pool& pool);

// How long a wave takes if every pool has its largest size and every drain takes its limit.
struct wave_estimate {
    int vms = 0;
    int at_once = 0;                              // over all pools, while each has VMs left
    std::optional<std::chrono::seconds> duration; // nothing: some VM can never be drained
    std::string limiting_pool;
    std::string limiting_budget;
};

wave_estimate estimate_wave(const object_set& set, const maintenance_wave& wave);

} // namespace jl::objects
