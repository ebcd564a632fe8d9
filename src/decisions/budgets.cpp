#include "decisions/budgets.h"

#include <algorithm>
#include <set>

namespace jl::decisions {

namespace {

bool is_moving(const records::vm_record& record)
{
    return !record.move_to_pool.empty() && record.move_to_pool != record.pool;
}

} // namespace

int budget_ledger::scoped_budget::disruptions_allowed() const
{
    int allowed = unlimited;
    if (budget->min_available) {
        allowed = std::min(allowed, total - unavailable - *budget->min_available);
    }
    if (budget->max_unavailable) {
        allowed = std::min(allowed, *budget->max_unavailable - unavailable - arrivals);
    }
    if (budget->max_unavailable_percent) {
        // Rounded down: 30% of 8 VMs is 2.
        allowed = std::min(allowed,
                           total * *budget->max_unavailable_percent / 100 - unavailable - arrivals);
    }
    return allowed;
}

budget_ledger::budget_ledger(const objects::object_set& set, const std::vector<fleet_vm>& vms)
    : vms_(vms), unavailable_(vms.size())
{
    add_budgets(set);
    for (std::size_t index = 0; index < vms_.size(); ++index) {
        unavailable_[index] = !vms_[index].available();
        for_each_budget(index, [&](scoped_budget& item) {
            ++item.total;
            item.unavailable += unavailable_[index] ? 1 : 0;
        });
        if (is_moving(vms_[index].record)) {
            for (const auto id : budgets_of(pools_, vms_[index].record.move_to_pool)) {
                ++scoped_budgets_[id].arrivals;
            }
        }
    }
}

void budget_ledger::add_budgets(const objects::object_set& set)
{
    std::set<std::string> pool_names;
    std::set<std::string> rack_names;
    std::set<std::string> data_centre_names;
    for (const auto& vm : vms_) {
        pool_names.insert(vm.record.pool);
        rack_names.insert(vm.rack);
        data_centre_names.insert(vm.data_centre);
    }
    std::unordered_map<std::string, std::string> service_of_pool;
    for (const auto& pool : set.pools) {
        pool_names.insert(pool.name);
    }
    for (const auto& service : set.services) {
        service_of_pool[service.pool] = service.name;
    }
    for (const auto& budget : set.budgets) {
        const auto add_matching = [&](const std::set<std::string>& names, scope_map& map) {
            if (budget.scope_name != "*") {
                add_scoped_budget(budget, map, budget.scope_name);
                return;
            }
            for (const auto& name : names) {
                add_scoped_budget(budget, map, name);
            }
        };
        switch (budget.scope) {
        case objects::budget_scope::service:
            for (const auto& [pool, service] : service_of_pool) {
                if (budget.scope_name == "*" || budget.scope_name == service) {
                    add_scoped_budget(budget, pools_, pool);
                }
            }
            break;
        case objects::budget_scope::pool:
            add_matching(pool_names, pools_);
            break;
        case objects::budget_scope::rack:
            add_matching(rack_names, racks_);
            break;
        case objects::budget_scope::data_centre:
            add_matching(data_centre_names, data_centres_);
            break;
        }
    }
}

void budget_ledger::add_scoped_budget(const objects::budget& budget, scope_map& map,
                                      const std::string& name)
{
    map[name].push_back(scoped_budgets_.size());
    scoped_budget item;
    item.budget = &budget;
    scoped_budgets_.push_back(item);
}

const budget_ledger::index_list& budget_ledger::budgets_of(const scope_map& map,
                                                           const std::string& name)
{
    static const index_list none;
    const auto found = map.find(name);
    return found == map.end() ? none : found->second;
}

template <typename Function>
void budget_ledger::for_each_budget(std::size_t index, Function function)
{
    const auto& vm = vms_[index];
    for (const auto* list : {&budgets_of(pools_, vm.record.pool), &budgets_of(racks_, vm.rack),
                             &budgets_of(data_centres_, vm.data_centre)}) {
        for (const auto id : *list) {
            function(scoped_budgets_[id]);
        }
    }
}

int budget_ledger::disruptions_allowed(const scope_map& map, const std::string& name) const
{
    int allowed = unlimited;
    for (const auto id : budgets_of(map, name)) {
        allowed = std::min(allowed, scoped_budgets_[id].disruptions_allowed());
    }
    return std::max(allowed, 0);
}

int budget_ledger::pool_disruptions_allowed(const std::string& pool) const
{
    return disruptions_allowed(pools_, pool);
}

int budget_ledger::rack_disruptions_allowed(const std::string& rack) const
{
    return disruptions_allowed(racks_, rack);
}

int budget_ledger::data_centre_disruptions_allowed(const std::string& data_centre) const
{
    return disruptions_allowed(data_centres_, data_centre);
}

bool budget_ledger::allows(std::size_t index, const std::string& destination) const
{
    const auto& vm = vms_[index];
    if (unavailable_[index] || pool_disruptions_allowed(vm.record.pool) < 1 ||
        rack_disruptions_allowed(vm.rack) < 1 ||
        data_centre_disruptions_allowed(vm.data_centre) < 1) {
        return false;
    }
    // On arrival the VM increases both the total and the number of unavailable VMs of the
    // destination. This leaves the number of available VMs unchanged, so min_available need not be
    // checked here, only the limits on unavailable VMs.
    const auto& destination_budgets = budgets_of(pools_, destination);
    return std::all_of(destination_budgets.begin(), destination_budgets.end(), [&](std::size_t id) {
        const auto& item = scoped_budgets_[id];
        const auto& budget = *item.budget;
        const int unavailable = item.unavailable + item.arrivals + 1;
        return (!budget.max_unavailable || unavailable <= *budget.max_unavailable) &&
               (!budget.max_unavailable_percent ||
                unavailable * 100 <= item.total * *budget.max_unavailable_percent);
    });
}

void budget_ledger::record_disruption(std::size_t index, const std::string& destination)
{
    if (!unavailable_[index]) {
        unavailable_[index] = true;
        for_each_budget(index, [](scoped_budget& item) { ++item.unavailable; });
    }
    for (const auto id : budgets_of(pools_, destination)) {
        ++scoped_budgets_[id].arrivals;
    }
}

std::string budget_ledger::exceeded_budget(std::size_t index) const
{
    const auto& vm = vms_[index];
    for (const auto* list : {&budgets_of(pools_, vm.record.pool), &budgets_of(racks_, vm.rack),
                             &budgets_of(data_centres_, vm.data_centre),
                             &budgets_of(pools_, vm.record.move_to_pool)}) {
        for (const auto id : *list) {
            if (scoped_budgets_[id].disruptions_allowed() < 0) {
                return scoped_budgets_[id].budget->name;
            }
        }
    }
    return {};
}

void budget_ledger::undo_disruption(std::size_t index)
{
    const auto& vm = vms_[index];
    // `listed_leaving` is ignored because the drain itself makes the platform list the VM as
    // leaving.
    if (unavailable_[index] && vm.listed && vm.reported_live) {
        unavailable_[index] = false;
        for_each_budget(index, [](scoped_budget& item) { --item.unavailable; });
    }
    if (is_moving(vm.record)) {
        for (const auto id : budgets_of(pools_, vm.record.move_to_pool)) {
            --scoped_budgets_[id].arrivals;
        }
    }
}

} // namespace jl::decisions
