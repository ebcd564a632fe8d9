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

// One VM as the planner sees it: its stored record combined with the platform's VM list.
struct fleet_vm {
    records::vm_record record;
    std::int64_t record_revision = 0; // 0: the record is not in the store yet
    std::string data_centre;
    std::string rack;
    bool listed = false;         // present in the VM list
    bool listed_leaving = false; // marked as leaving in the VM list
    bool reported_live = true;   // false: the entries report that the VM is not live
    std::int64_t boot_id = 0;
    int tasks = 0;                           // number of tasks that may still run on the VM
    std::chrono::milliseconds missing_for{}; // time since it was last in the VM list

    bool live() const { return listed && !listed_leaving && reported_live; }
    // A VM counts as unavailable in every phase other than in_service, and whenever it is not live.
    bool available() const { return live() && record.phase == records::vm_phase::in_service; }
};

// Counts unavailable VMs against every availability budget.
//
//   budget_ledger ledger(set, vms);
//   if (ledger.allows(index)) { ledger.record_disruption(index); }
//
// `set` and `vms` must outlive the ledger and must not change. A value type without
// synchronization.
class budget_ledger {
public:
    // Number of allowed disruptions where no budget applies.
    static constexpr int unlimited = 1 << 20;

    budget_ledger(const objects::object_set& set, const std::vector<fleet_vm>& vms);

    // Returns true if no budget would be exceeded after taking vms[index] out of service and, if
    // `destination` is not empty, moving it to that pool.
    bool allows(std::size_t index, const std::string& destination = {}) const;
    // Counts vms[index] as unavailable and, if `destination` is not empty, as arriving in that
    // pool. A VM that already counts as unavailable is not counted twice.
    void record_disruption(std::size_t index, const std::string& destination = {});
    // Returns the name of an exceeded budget that applies to vms[index] or to the pool that the VM
    // moves to; empty if there is none.
    std::string exceeded_budget(std::size_t index) const;
    // Stops counting vms[index] as unavailable because its drain is withdrawn. The VM is back in
    // service only once its record has been written, so a ledger changed in this way must not be
    // used to grant further disruptions: they could exceed a budget until that write.
    void undo_disruption(std::size_t index);

    // Number of further VMs that may be taken out of service in the pool, rack or data centre
    // without exceeding its budgets; never negative. The budgets of a pool include those of its
    // service.
    int pool_disruptions_allowed(const std::string& pool) const;
    int rack_disruptions_allowed(const std::string& rack) const;
    int data_centre_disruptions_allowed(const std::string& data_centre) const;

private:
    // One budget applied to one pool, rack or data centre.
    struct scoped_budget {
        const objects::budget* budget = nullptr;
        int total = 0;
        int unavailable = 0;
        int arrivals = 0; // VMs that move into the pool; they are unavailable when they arrive
        int disruptions_allowed() const;
    };
    using index_list = std::vector<std::size_t>;                   // indexes into scoped_budgets_
    using scope_map = std::unordered_map<std::string, index_list>; // by name of the scope

    static const index_list& budgets_of(const scope_map& map, const std::string& name);
    int disruptions_allowed(const scope_map& map, const std::string& name) const;
    void add_scoped_budget(const objects::budget& budget, scope_map& map, const std::string& name);
    void add_budgets(const objects::object_set& set);
    template <typename Function>
    void for_each_budget(std::size_t index, Function function);

    const std::vector<fleet_vm>& vms_;
    std::vector<scoped_budget> scoped_budgets_;
    scope_map pools_;
    scope_map racks_;
    scope_map data_centres_;
    std::vector<bool> unavailable_; // by index in vms_: the VM is counted as unavailable
};

} // namespace jl::decisions
