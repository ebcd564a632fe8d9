#include "decisions/pool_sizing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jl::decisions {

namespace {

int least_vms(const pool_state& pool, const sizing_settings& settings)
{
    return pool.standby ? 0 : std::max({pool.pinned_vms, pool.spread_vms, settings.least_vms});
}

int wanted_vms(const pool_state& pool, const sizing_settings& settings)
{
    if (pool.standby) {
        return 0;
    }
    const double load = std::max(pool.wanted_load, pool.pinned_load + pool.expected_load);
    const int vms = static_cast<int>(std::ceil(load / settings.usable_share));
    return std::max(vms, least_vms(pool, settings));
}

int late_vms(const pool_state& pool, const sizing_settings& settings)
{
    return pool.standby ? 0 : static_cast<int>(std::ceil(pool.late_load * settings.late_share));
}

} // namespace

std::vector<int> size_pools(const std::vector<pool_state>& pools, const sizing_settings& settings)
{
    int left = 0;
    std::vector<int> sizes;
    std::vector<int> wanted;
    for (const auto& pool : pools) {
        left += pool.vms;
        sizes.push_back(least_vms(pool, settings));
        wanted.push_back(wanted_vms(pool, settings));
    }
    left -= std::accumulate(sizes.begin(), sizes.end(), 0);
    // One VM at a time to the pool that has the smallest part of what it wants.
    while (left > 0) {
        std::size_t neediest = pools.size();
        double smallest = 1.0;
        for (std::size_t index = 0; index < pools.size(); ++index) {
            if (sizes[index] >= wanted[index]) {
                continue;
            }
            const double part = static_cast<double>(sizes[index]) / wanted[index];
            if (part < smallest) {
                smallest = part;
                neediest = index;
            }
        }
        if (neediest == pools.size()) {
            break;
        }
        ++sizes[neediest];
        --left;
    }
    for (std::size_t index = 0; index < pools.size() && left > 0; ++index) {
        const int given = std::min(left, late_vms(pools[index], settings));
        sizes[index] += given;
        left -= given;
    }
    // What nobody wants is powered off, or stays where it is if no pool is.
    for (std::size_t index = 0; index < pools.size() && left > 0; ++index) {
        if (pools[index].standby) {
            sizes[index] += left;
            left = 0;
        }
    }
    for (std::size_t index = 0; index < pools.size() && left > 0; ++index) {
        const int kept = std::clamp(pools[index].vms - sizes[index], 0, left);
        sizes[index] += kept;
        left -= kept;
    }
    return sizes;
}

} // namespace jl::decisions
