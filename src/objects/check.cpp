#include <set>

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

void check_teams(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& team : set.teams) {
        for (const auto& [pool, slots] : team.quotas) {
            const std::string label = "team " + team.name;
            if (set.find_pool(pool) == nullptr) {
                errors.push_back({label, "quotas", "no pool named \"" + pool + "\""});
            }
            if (slots < 0) {
                errors.push_back({label, "quotas", "the quota of " + pool + " is negative"});
            }
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
    }
}

void check_waves(const object_set& set, std::vector<object_error>& errors)
{
    for (const auto& wave : set.waves) {
        for (const auto& pool : wave.pools) {
            if (set.find_pool(pool) == nullptr) {
                errors.push_back(
                    {"maintenance_wave " + wave.name, "pools", "no pool named \"" + pool + "\""});
            }
        }
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
}

} // namespace jl::objects
