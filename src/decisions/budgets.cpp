#include "decisions/budgets.h"

#include <algorithm>
#include <set>

namespace jl::decisions {

namespace {

bool moving(const records::vm_record& record)
{
    return !record.move_to_pool.empty() && record.move_to_pool != record.pool;
}

} // namespace

int budget_ledger::group::room() const
{
    int left = unlimited;
    if (budget->min_available) {
        left = std::min(left, total - unavailable - *budget->min_available);
    }
    if (budget->max_unavailable) {
        left = std::min(left, *budget->max_unavailable - unavailable - arrivals);
    }
    if (budget->max_unavailable_percent) {
        // Rounded down: 30% of 8 VMs is 2.
        left =
            std::min(left, total * *budget->max_unavailable_percent / 100 - unavailable - arrivals);
    }
    return left;
}

budget_ledger::budget_ledger(const objects::object_set& set, const std::vector<fleet_vm>& vms)
    : vms_(vms), taken_(vms.size())
{
    add_budgets(set);
    for (std::size_t index = 0; index < vms_.size(); ++index) {
        taken_[index] = !vms_[index].available();
        for_each_group(index, [&](group& item) {
            ++item.total;
            item.unavailable += taken_[index] ? 1 : 0;
        });
        if (moving(vms_[index].record)) {
            for (const auto id : groups_of(pools_, vms_[index].record.move_to_pool)) {
                ++groups_[id].arrivals;
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
        const auto add_matching = [&](const std::set<std::string>& names, group_map& map) {
            if (budget.scope_name != "*") {
                add_group(budget, map, budget.scope_name);
                return;
            }
            for (const auto& name : names) {
                add_group(budget, map, name);
            }
        };
        switch (budget.scope) {
        case objects::budget_scope::service:
            for (const auto& [pool, service] : service_of_pool) {
                if (budget.scope_name == "*" || budget.scope_name == service) {
                    add_group(budget, pools_, pool);
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

void budget_ledger::add_group(const objects::budget& budget, group_map& map,
                              const std::string& name)
{
    map[name].push_back(groups_.size());
    group item;
    item.budget = &budget;
    groups_.push_back(item);
}

const budget_ledger::group_list& budget_ledger::groups_of(const group_map& map,
                                                          const std::string& name)
{
    static const group_list none;
    const auto found = map.find(name);
    return found == map.end() ? none : found->second;
}

template <typename Function>
void budget_ledger::for_each_group(std::size_t index, Function function)
{
    const auto& vm = vms_[index];
    for (const auto* list : {&groups_of(pools_, vm.record.pool), &groups_of(racks_, vm.rack),
                             &groups_of(data_centres_, vm.data_centre)}) {
        for (const auto id : *list) {
            function(groups_[id]);
        }
    }
}

int budget_ledger::room(const group_map& map, const std::string& name) const
{
    int left = unlimited;
    for (const auto id : groups_of(map, name)) {
        left = std::min(left, groups_[id].room());
    }
    return std::max(left, 0);
}

int budget_ledger::pool_room(const std::string& pool) const
{
    return room(pools_, pool);
}

int budget_ledger::rack_room(const std::string& rack) const
{
    return room(racks_, rack);
}

int budget_ledger::data_centre_room(const std::string& data_centre) const
{
    return room(data_centres_, data_centre);
}

bool budget_ledger::allows(std::size_t index, const std::string& destination) const
{
    const auto& vm = vms_[index];
    if (taken_[index] || pool_room(vm.record.pool) < 1 || rack_room(vm.rack) < 1 ||
        data_centre_room(vm.data_centre) < 1) {
        return false;
    }
    // On arrival the VM adds to the total and to the unavailable VMs, so min_available of the
    // destination is not affected and only the limits on unavailable VMs are checked.
    const auto& arrival_groups = groups_of(pools_, destination);
    return std::all_of(arrival_groups.begin(), arrival_groups.end(), [&](std::size_t id) {
        const auto& item = groups_[id];
        const auto& budget = *item.budget;
        const int unavailable = item.unavailable + item.arrivals + 1;
        return (!budget.max_unavailable || unavailable <= *budget.max_unavailable) &&
               (!budget.max_unavailable_percent ||
                unavailable * 100 <= item.total * *budget.max_unavailable_percent);
    });
}

void budget_ledger::take(std::size_t index, const std::string& destination)
{
    if (!taken_[index]) {
        taken_[index] = true;
        for_each_group(index, [](group& item) { ++item.unavailable; });
    }
    for (const auto id : groups_of(pools_, destination)) {
        ++groups_[id].arrivals;
    }
}

std::string budget_ledger::exceeded_budget(std::size_t index) const
{
    const auto& vm = vms_[index];
    for (const auto* list :
         {&groups_of(pools_, vm.record.pool), &groups_of(racks_, vm.rack),
          &groups_of(data_centres_, vm.data_centre), &groups_of(pools_, vm.record.move_to_pool)}) {
        for (const auto id : *list) {
            if (groups_[id].room() < 0) {
                return groups_[id].budget->name;
            }
        }
    }
    return {};
}

void budget_ledger::withdraw(std::size_t index)
{
    const auto& vm = vms_[index];
    // The platform lists a VM as leaving because of the drain itself.
    if (taken_[index] && vm.listed && vm.answering) {
        taken_[index] = false;
        for_each_group(index, [](group& item) { --item.unavailable; });
    }
    if (moving(vm.record)) {
        for (const auto id : groups_of(pools_, vm.record.move_to_pool)) {
            --groups_[id].arrivals;
        }
    }
}

} // namespace jl::decisions
