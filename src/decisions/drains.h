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

// An entry's statement that it sends no new work to a VM whose record has this revision.
struct drain_report {
    std::int64_t record_revision = 0;
    int in_flight = 0;
};

struct entry_view {
    std::string member;
    bool live = false; // reported within the acknowledgment limit
    // Its lease expired so long ago that it neither sends work nor waits for an answer.
    bool provably_silent = false;
    std::unordered_map<std::string, drain_report> reports; // by VM
};

// Everything that one planning round decides from.
struct fleet_snapshot {
    objects::object_set_ptr configuration; // not null
    std::vector<fleet_vm> vms;
    std::vector<entry_view> entries; // every entry that may still send work
    std::map<std::string, records::wave_state> waves;
    std::map<std::string, records::operator_drain_record> operator_drains; // by VM
    // The VM list and the workers' reports are those of this round. Without them nothing is
    // granted and no VM is stopped.
    bool platform_current = false;
    std::chrono::milliseconds now{}; // since the Unix epoch
    std::int64_t fencing_token = 0;
};

struct planning_limits {
    std::chrono::milliseconds acknowledgment{2000};
    std::chrono::milliseconds drain{600000}; // of moves and operators' drains
    std::chrono::milliseconds return_time{600000};
    // A withdrawn drain is not granted again before these times, so that a VM is not taken out of
    // service over and over.
    std::chrono::milliseconds retry{10000};
    std::chrono::milliseconds retry_after_limit{60000};
    // The record of a VM missing from the VM list for this long is removed; otherwise VMs that the
    // platform has replaced would count as unavailable forever.
    std::chrono::milliseconds forget{3600000};
};

enum class step_kind {
    create,
    start,
    leave,
    reboot,
    change_pool,
    booted,
    finish,
    withdraw,
    forget, // removes the record of a VM that has long been missing from the VM list
};

const char* to_text(step_kind kind);

// One write of a VM record, conditional on the revision it was decided from.
struct vm_step {
    step_kind kind = step_kind::create;
    std::int64_t expected_revision = 0; // 0: the record must be absent
    records::vm_record next;
    bool ends_operator_drain = false; // the operator's request is removed in the same transaction
};

// Something an operator should look at; `subject` is a VM, a pool or a task.
struct fleet_problem {
    std::string subject;
    std::string kind; // from a bounded set, e.g. "drain_stuck"
    std::string message;
};

struct fleet_plan {
    std::vector<vm_step> steps;
    std::vector<fleet_problem> problems;
};

// Whether new drains may start at all; `reason` is empty if so.
struct start_permission {
    bool allowed = false;
    std::string reason;
};
start_permission may_start_drains(const fleet_snapshot& snapshot);

// Next phases of the drains in progress. Never grants a new disruption.
void advance_drains(const fleet_snapshot& snapshot, const planning_limits& limits,
                    const budget_ledger& ledger, fleet_plan& plan);

// Takes the VM out of service: the first step of a drain. `reason` as in records::vm_record.
vm_step start_drain(const fleet_snapshot& snapshot, const fleet_vm& vm, const std::string& reason,
                    const std::string& move_to_pool);

// True if a drain of the VM was withdrawn so recently that it should not start again.
bool recently_withdrawn(const fleet_snapshot& snapshot, const planning_limits& limits,
                        const fleet_vm& vm);

enum class command_kind { drain, cancel_drain, reboot };

struct vm_command {
    command_kind kind = command_kind::drain;
    std::string vm;
    std::string operation_id;
};

// Commands that the recorded phases call for and the VM list does not yet show. They follow from
// the records alone, so a new planner repeats those that its predecessor may not have sent.
std::vector<vm_command> commands_for(const fleet_snapshot& snapshot);

} // namespace jl::decisions
