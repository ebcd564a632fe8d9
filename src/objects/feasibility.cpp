#include "objects/feasibility.h"

#include <algorithm>

namespace jl::objects {

namespace {

bool covers(const object_set& set, const budget& budget, const pool& pool)
{
    switch (budget.scope) {
    case budget_scope::pool:
        return budget.scope_name == pool.name;
    case budget_scope::service: {
        const auto* service = set.find_service(budget.scope_name);
        return service != nullptr && service->pool == pool.name;
    }
    case budget_scope::rack:
    case budget_scope::data_centre:
        break;
    }
    return budget.scope_name == "*";
}

// VMs that a budget over `vms` VMs allows to be unavailable. The size of a rack or data centre is
// not known here, so only limits that allow no VM of any size count for these.
int allowed_by(const budget& budget, int vms)
{
    const bool whole_pool =
        budget.scope == budget_scope::pool || budget.scope == budget_scope::service;
    int allowed = vms;
    if (budget.min_available && whole_pool) {
        allowed = std::min(allowed, vms - *budget.min_available);
    }
    if (budget.max_unavailable && (whole_pool || *budget.max_unavailable == 0)) {
        allowed = std::min(allowed, *budget.max_unavailable);
    }
    if (budget.max_unavailable_percent && (whole_pool || *budget.max_unavailable_percent == 0)) {
        allowed = std::min(allowed, vms * *budget.max_unavailable_percent / 100);
    }
    return std::max(0, allowed);
}

// Limit over all pools from budgets that apply to each data centre separately.
std::optional<int> limit_of_data_centres(const object_set& set)
{
    std::optional<int> limit;
    const int count = static_cast<int>(set.data_centres.size());
    for (const auto& budget : set.budgets) {
        if (budget.scope == budget_scope::data_centre && budget.scope_name == "*" &&
            budget.max_unavailable && count > 0) {
            const int total = *budget.max_unavailable * count;
            limit = std::min(limit.value_or(total), total);
        }
    }
    return limit;
}

int rounds(int vms, int at_once)
{
    return (vms + at_once - 1) / at_once;
}

} // namespace

pool_limit drain_limit_of(const object_set& set, const pool& pool)
{
    pool_limit limit{pool.max_vms, ""};
    for (const auto& budget : set.budgets) {
        if (!covers(set, budget, pool)) {
            continue;
        }
        const int allowed = allowed_by(budget, pool.max_vms);
        if (allowed < limit.at_once) {
            limit = {allowed, budget.name};
        }
    }
    return limit;
}

wave_estimate estimate_wave(const object_set& set, const maintenance_wave& wave)
{
    wave_estimate estimate;
    int longest = 0;
    for (const auto& name : wave.pools) {
        const auto* pool = set.find_pool(name);
        if (pool == nullptr) {
            continue;
        }
        const auto limit = drain_limit_of(set, *pool);
        estimate.vms += pool->max_vms;
        estimate.at_once += limit.at_once;
        if (limit.at_once == 0) {
            estimate.duration.reset();
            estimate.limiting_pool = name;
            estimate.limiting_budget = limit.budget;
            return estimate;
        }
        if (const int needed = rounds(pool->max_vms, limit.at_once); needed > longest) {
            longest = needed;
            estimate.limiting_pool = name;
            estimate.limiting_budget = limit.budget;
        }
    }
    if (const auto limit = limit_of_data_centres(set);
        limit && *limit > 0 && *limit < estimate.at_once) {
        estimate.at_once = *limit;
        longest = std::max(longest, rounds(estimate.vms, *limit));
    }
    estimate.duration = wave.drain_limit * longest;
    return estimate;
}

} // namespace jl::objects
