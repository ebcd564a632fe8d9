#include <set>

#include "objects/feasibility.h"
#include "objects/objects.h"

namespace jl::objects {

namespace {

void check_services(const object_set& set, std::vector<object_error>& errors)
{
    std::set<std::string> pools;
    for (const auto& service : set.services) {
        const std::string label = "service " + service.name;
        if (set.find_pool(service.pool) == nullptr) {
            errors.push_back({label, "pool", "no pool named \"" + service.pool + "\""});
        }
        else if (!pools.insert(service.pool).second) {
            errors.push_back({label, "pool", "pool " + service.pool + " has another service"});
        }
        if (service.default_timeout > service.max_timeout) {
            errors.push_back({label, "default_timeout_ms", "exceeds max_timeout_ms"});
        }
    }
}

void check_pools(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& pool : set.pools) {
        if (pool.min_vms > pool.max_vms) {
            errors.push_back({"pool " + pool.name, "min_vms", "exceeds max_vms"});
        }
    }
}

void check_quota(const object_set& set, const std::string& label, const std::string& pool_name,
                 int slots, std::vector<object_error>& errors)
{
    const auto* pool = set.find_pool(pool_name);
    if (pool == nullptr) {
        errors.push_back({label, "quotas", "no pool named \"" + pool_name + "\""});
        return;
    }
    const auto* service = set.find_service_of_pool(pool_name);
    if (service == nullptr) {
        return; // a pool that only runs tasks has no slots to compare with
    }
    const int capacity = pool->max_vms * service->slots_per_instance;
    if (slots > capacity) {
        errors.push_back({label, "quotas",
                          "the quota of " + std::to_string(slots) + " slots exceeds the " +
                              std::to_string(capacity) + " slots that pool " + pool_name +
                              " has at its largest"});
    }
}

void check_teams(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& team : set.teams) {
        for (const auto& [pool, slots] : team.quotas) {
            check_quota(set, "team " + team.name, pool, slots, errors);
        }
    }
}

void check_owners(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& [object, owner] : set.owners) {
        if (!owner.empty() && set.find_team(owner) == nullptr) {
            errors.push_back({object, "owner", "no team named \"" + owner + "\""});
        }
    }
}

bool scope_exists(const object_set& set, const budget& budget)
{
    switch (budget.scope) {
    case budget_scope::service:
        return set.find_service(budget.scope_name) != nullptr;
    case budget_scope::pool:
        return set.find_pool(budget.scope_name) != nullptr;
    case budget_scope::rack:
        return true;
    case budget_scope::data_centre:
        break;
    }
    if (budget.scope_name == "*") {
        return true;
    }
    for (const auto& data_centre : set.data_centres) {
        if (data_centre.name == budget.scope_name) {
            return true;
        }
    }
    return false;
}

// VMs that the scope can have at most; nothing if the configuration does not tell.
std::optional<int> largest_scope(const object_set& set, const budget& budget)
{
    const pool* pool = nullptr;
    if (budget.scope == budget_scope::pool) {
        pool = set.find_pool(budget.scope_name);
    }
    else if (budget.scope == budget_scope::service) {
        const auto* service = set.find_service(budget.scope_name);
        pool = service == nullptr ? nullptr : set.find_pool(service->pool);
    }
    else {
        int total = 0;
        for (const auto& item : set.pools) {
            total += item.max_vms;
        }
        return total;
    }
    if (pool == nullptr) {
        return std::nullopt;
    }
    return pool->max_vms;
}

void check_budgets(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& budget : set.budgets) {
        const std::string label = "budget " + budget.name;
        if (!scope_exists(set, budget)) {
            errors.push_back(
                {label, "scope_name", "nothing is named \"" + budget.scope_name + "\""});
        }
        if (!budget.min_available && !budget.max_unavailable && !budget.max_unavailable_percent) {
            errors.push_back({label, "",
                              "one of min_available, max_unavailable and "
                              "max_unavailable_percent is required"});
        }
        const auto largest = largest_scope(set, budget);
        if (budget.min_available && largest && *budget.min_available > *largest) {
            errors.push_back({label, "min_available",
                              std::to_string(*budget.min_available) +
                                  " can never hold: the scope has at most " +
                                  std::to_string(*largest) + " VMs"});
        }
    }
}

void check_wave_duration(const object_set& set, const maintenance_wave& wave,
                         std::vector<object_error>& errors)
{
    const std::string label = "maintenance_wave " + wave.name;
    const auto estimate = estimate_wave(set, wave);
    if (!estimate.duration) {
        errors.push_back({label, "pools",
                          "no VM of pool " + estimate.limiting_pool +
                              " can ever be drained under budget " + estimate.limiting_budget});
        return;
    }
    if (*estimate.duration > wave.period) {
        errors.push_back(
            {label, "period_hours",
             "the wave cannot be sure to end within its period: " + std::to_string(estimate.vms) +
                 " VMs with " + std::to_string(estimate.at_once) + " at once and up to " +
                 std::to_string(wave.drain_limit.count()) + " s each take up to " +
                 std::to_string(estimate.duration->count()) + " s of " +
                 std::to_string(std::chrono::seconds(wave.period).count()) + " s" +
                 (estimate.limiting_budget.empty()
                      ? ""
                      : "; budget " + estimate.limiting_budget + " limits pool " +
                            estimate.limiting_pool)});
    }
}

void check_waves(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& wave : set.waves) {
        const std::string label = "maintenance_wave " + wave.name;
        if (wave.pools.empty()) {
            errors.push_back({label, "pools", "expected at least one pool"});
        }
        std::set<std::string> seen;
        for (const auto& pool : wave.pools) {
            if (set.find_pool(pool) == nullptr) {
                errors.push_back({label, "pools", "no pool named \"" + pool + "\""});
            }
            if (!seen.insert(pool).second) {
                errors.push_back({label, "pools", "pool " + pool + " is listed twice"});
            }
        }
        check_wave_duration(set, wave, errors);
    }
}

} // namespace

void check_objects(const object_set& set, std::vector<object_error>& errors)
{
    check_pools(set, errors);
    check_services(set, errors);
    check_teams(set, errors);
    check_budgets(set, errors);
    check_waves(set, errors);
    check_owners(set, errors);
}

} // namespace jl::objects
