#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "objects/objects.h"
#include "records/records.h"

namespace jl::decisions {

// One VM as the planner sees it: its record combined with the VM list.
struct fleet_vm {
    records::vm_record record;
    std::int64_t record_revision = 0; // 0: the record is not in the store yet
    std::string data_centre;
    std::string rack;
    bool listed = false;         // in the VM list
    bool listed_leaving = false; // marked as leaving there
    bool answering = true;       // false: the entries see it as not live
    std::int64_t boot_id = 0;
    int tasks = 0;                           // tasks that may still run on it
    std::chrono::milliseconds missing_for{}; // time since it was last in the VM list

    bool live() const { return listed && !listed_leaving && answering; }
    // Every phase but in_service counts as unavailable, and so does any loss.
    bool available() const { return live() && record.phase == records::vm_phase::in_service; }
};

// Counts unavailable VMs against every availability budget.
//
//   budget_ledger ledger(set, vms);
//   if (ledger.allows(index)) { ledger.take(index); } // a planned disruption of vms[index]
//
// `set` and `vms` must outlive the ledger and must not change. A value type without
// synchronization.
class budget_ledger {
public:
    // Room of a scope that no budget limits.
    static constexpr int unlimited = 1 << 20;

    budget_ledger(const objects::object_set& set, const std::vector<fleet_vm>& vms);

    // True if taking the VM out of service, and moving it to the pool `destination` unless that is
    // empty, keeps every budget.
    bool allows(std::size_t index, const std::string& destination = {}) const;
    // Counts the disruption. Taking a VM that is already unavailable changes nothing but the
    // arrival in `destination`.
    void take(std::size_t index, const std::string& destination = {});
    // Name of an exceeded budget that covers the VM or the pool it moves to; empty if there is
    // none.
    std::string exceeded_budget(std::size_t index) const;
    // Undoes the count of a VM whose drain is withdrawn. The VM is back in service only after the
    // write of its record, so a ledger changed in this way must not be used to grant anything.
    void withdraw(std::size_t index);

    // Further VMs that the budgets of the pool (its service included), rack or data centre allow
    // to be taken; not negative.
    int pool_room(const std::string& pool) const;
    int rack_room(const std::string& rack) const;
    int data_centre_room(const std::string& data_centre) const;

private:
    struct group {
        const objects::budget* budget = nullptr;
        int total = 0;
        int unavailable = 0;
        int arrivals = 0; // VMs on their way into the pool: unavailable when they arrive
        int room() const;
    };
    using group_list = std::vector<std::size_t>;
    using group_map = std::unordered_map<std::string, group_list>;

    static const group_list& groups_of(const group_map& map, const std::string& name);
    int room(const group_map& map, const std::string& name) const;
    void add_group(const objects::budget& budget, group_map& map, const std::string& name);
    void add_budgets(const objects::object_set& set);
    template <typename Function>
    void for_each_group(std::size_t index, Function function);

    const std::vector<fleet_vm>& vms_;
    std::vector<group> groups_;
    group_map pools_;
    group_map racks_;
    group_map data_centres_;
    std::vector<bool> taken_; // counted as unavailable
};

} // namespace jl::decisions
