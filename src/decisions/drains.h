#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/budgets.h"
#include "objects/objects.h"
#include "records/records.h"

namespace jl::decisions {

// Acknowledgment of an entry that it sends no new work to a VM whose record has this revision.
struct drain_report {
    std::int64_t record_revision = 0;
    int in_flight = 0; // requests of this entry that still run on the VM
};

struct entry_view {
    std::string member;
    bool live = false; // reported within planning_limits::acknowledgment_limit
    // Its lease expired so long ago that it neither sends work nor waits for a response.
    bool provably_inactive = false;
    std::unordered_map<std::string, drain_report> reports; // by VM
};

// Complete input of one planning round.
struct fleet_snapshot {
    objects::object_set_ptr configuration; // not null
    std::vector<fleet_vm> vms;
    std::vector<entry_view> entries; // every entry that may still send work
    std::map<std::string, records::wave_state> waves;
    std::map<std::string, records::operator_drain_record> operator_drains; // by VM
    // True if the VM list and the workers' reports were read in this round. Otherwise no drain
    // starts and no VM is rebooted or moved.
    bool platform_data_current = false;
    std::chrono::milliseconds now{}; // since the Unix epoch
    std::int64_t fencing_token = 0;
};

struct planning_limits {
    // A drain is withdrawn if an entry has not acknowledged it after this time. An entry that has
    // not reported for longer than this counts as not live.
    std::chrono::milliseconds acknowledgment_limit{2000};
    // Applies to moves and operators' drains; each wave sets its own limit.
    std::chrono::milliseconds drain_limit{600000};
    // A VM that takes longer than this to return to service is reported as a problem.
    std::chrono::milliseconds return_limit{600000};
    // Minimum time between the withdrawal of a drain and the next drain of the same VM. Without it
    // the VM would be taken out of service repeatedly. The longer delay applies if the drain was
    // withdrawn because it exceeded its limit.
    std::chrono::milliseconds retry_delay{10000};
    std::chrono::milliseconds retry_delay_after_limit{60000};
    // The record of a VM that has been missing from the VM list for this long is removed.
    // Otherwise VMs that the platform has replaced would count as unavailable forever.
    std::chrono::milliseconds missing_record_retention{3600000};
};

enum class step_kind {
    create,      // adds the record of a VM that is new in the VM list
    start,       // in_service -> preparing: the entries stop sending work
    leave,       // preparing -> leaving: all entries have acknowledged
    reboot,      // leaving -> rebooting: no requests or tasks are left on the VM
    change_pool, // leaving -> returning, in another pool and without a reboot
    booted,      // rebooting -> returning: the VM has a new boot id
    finish,      // returning -> in_service
    withdraw,    // preparing or leaving -> in_service: the drain is cancelled
    forget,      // removes the record of a VM that has long been missing from the VM list
};

const char* to_text(step_kind kind);

// One write of a VM record, conditional on the revision that the decision is based on.
struct vm_step {
    step_kind kind = step_kind::create;
    std::int64_t expected_revision = 0; // 0: the record must be absent
    records::vm_record next;            // the record as written
    bool ends_operator_drain = false;   // removes the operator's request in the same transaction
};

// Condition that an operator should look at; `subject` names a VM, a pool or a task.
struct fleet_problem {
    std::string subject;
    std::string kind; // from a bounded set, e.g. "drain_stuck"
    std::string message;
};

struct fleet_plan {
    std::vector<vm_step> steps;
    std::vector<fleet_problem> problems;
};

// Whether new drains may start at all; if not, `reason` says why.
struct start_permission {
    bool allowed = false;
    std::string reason;
};
start_permission may_start_drains(const fleet_snapshot& snapshot);

// Adds the steps that move drains in progress to their next phase. Never starts a drain.
void advance_drains(const fleet_snapshot& snapshot, const planning_limits& limits,
                    const budget_ledger& ledger, fleet_plan& plan);

// Returns the first step of a drain, which takes the VM out of service. `reason` and `move_to_pool`
// are stored in the record; see records::vm_record.
vm_step start_drain(const fleet_snapshot& snapshot, const fleet_vm& vm, const std::string& reason,
                    const std::string& move_to_pool);

// Returns true if a drain of the VM was withdrawn so recently that no new one should start yet.
bool recently_withdrawn(const fleet_snapshot& snapshot, const planning_limits& limits,
                        const fleet_vm& vm);

enum class command_kind { drain, cancel_drain, reboot };

struct vm_command {
    command_kind kind = command_kind::drain;
    std::string vm;
    std::string operation_id;
};

// Returns the commands that the recorded phases require and whose effect the VM list does not show
// yet. They depend only on the records and the VM list, so a new planner repeats the commands that
// its predecessor may not have sent.
std::vector<vm_command> outstanding_commands(const fleet_snapshot& snapshot);

} // namespace jl::decisions
