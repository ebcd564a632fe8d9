#include "decisions/pool_sizing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jl::decisions {

namespace {

int min_vms(const pool_state& pool, const sizing_settings& settings)
{
    return pool.standby ? 0 : std::max({pool.pinned_vms, pool.spread_vms, settings.min_vms});
}

int desired_vms(const pool_state& pool, const sizing_settings& settings)
{
    if (pool.standby) {
        return 0;
    }
    const double load = std::max(pool.current_load, pool.pinned_load + pool.expected_load);
    const int vms = static_cast<int>(std::ceil(load / settings.usable_share));
    return std::max(vms, min_vms(pool, settings));
}

int late_vms(const pool_state& pool, const sizing_settings& settings)
{
    return pool.standby ? 0 : static_cast<int>(std::ceil(pool.late_load * settings.late_share));
}

} // namespace

std::vector<int> size_pools(const std::vector<pool_state>& pools, const sizing_settings& settings)
{
    int unassigned_vms = 0;
    std::vector<int> sizes;
    std::vector<int> desired;
    for (const auto& pool : pools) {
        unassigned_vms += pool.vms;
        sizes.push_back(min_vms(pool, settings));
        desired.push_back(desired_vms(pool, settings));
    }
    unassigned_vms -= std::accumulate(sizes.begin(), sizes.end(), 0);
    // Gives one VM at a time to the pool with the smallest share of its desired size.
    while (unassigned_vms > 0) {
        std::size_t least_satisfied = pools.size();
        double smallest_share = 1.0;
        for (std::size_t index = 0; index < pools.size(); ++index) {
            if (sizes[index] >= desired[index]) {
                continue;
            }
            const double satisfied_share = static_cast<double>(sizes[index]) / desired[index];
            if (satisfied_share < smallest_share) {
                smallest_share = satisfied_share;
                least_satisfied = index;
            }
        }
        if (least_satisfied == pools.size()) {
            break;
        }
        ++sizes[least_satisfied];
        --unassigned_vms;
    }
    for (std::size_t index = 0; index < pools.size() && unassigned_vms > 0; ++index) {
        const int granted = std::min(unassigned_vms, late_vms(pools[index], settings));
        sizes[index] += granted;
        unassigned_vms -= granted;
    }
    // VMs that no pool needs are powered off, or stay in their pool if there is no standby pool.
    for (std::size_t index = 0; index < pools.size() && unassigned_vms > 0; ++index) {
        if (pools[index].standby) {
            sizes[index] += unassigned_vms;
            unassigned_vms = 0;
        }
    }
    for (std::size_t index = 0; index < pools.size() && unassigned_vms > 0; ++index) {
        const int kept = std::clamp(pools[index].vms - sizes[index], 0, unassigned_vms);
        sizes[index] += kept;
        unassigned_vms -= kept;
    }
    return sizes;
}

} // namespace jl::decisions
