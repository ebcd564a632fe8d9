#include "decisions/drains.h"

#include <algorithm>

namespace jl::decisions {

namespace {

using records::vm_phase;
using std::chrono::milliseconds;

constexpr const char* wave_reason_prefix = "wave ";
constexpr const char* operator_reason_prefix = "operator ";
constexpr const char* withdrawn_reason_prefix = "withdrawn: ";
constexpr const char* time_limit_cause = "time limit";

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

const objects::maintenance_wave* wave_of(const fleet_snapshot& snapshot,
                                         const records::vm_record& record)
{
    if (!starts_with(record.reason, wave_reason_prefix)) {
        return nullptr;
    }
    const auto name = record.reason.substr(std::string(wave_reason_prefix).size());
    for (const auto& wave : snapshot.configuration->waves) {
        if (wave.name == name) {
            return &wave;
        }
    }
    return nullptr;
}

// Returns true if the reason for the drain is gone: its wave was cancelled or removed, the operator
// withdrew the request, or the destination pool was removed.
bool drain_no_longer_requested(const fleet_snapshot& snapshot, const records::vm_record& record)
{
    if (starts_with(record.reason, wave_reason_prefix)) {
        const auto* wave = wave_of(snapshot, record);
        if (wave == nullptr) {
            return true;
        }
        const auto state = snapshot.waves.find(wave->name);
        return state != snapshot.waves.end() && state->second == records::wave_state::cancelled;
    }
    if (starts_with(record.reason, operator_reason_prefix)) {
        return snapshot.operator_drains.count(record.vm) == 0;
    }
    return !record.move_to_pool.empty() &&
           snapshot.configuration->find_pool(record.move_to_pool) == nullptr;
}

// Reports of the entries about one VM that is being drained.
struct acknowledgment_summary {
    bool acknowledged = false;        // by every entry that may still send work
    bool idle = false;                // no request is in flight in any report
    std::string unacknowledged_entry; // one that has not acknowledged; empty if there is none
};

acknowledgment_summary summarize_acknowledgments(const fleet_snapshot& snapshot, const fleet_vm& vm)
{
    acknowledgment_summary acknowledgments;
    acknowledgments.idle = true;
    acknowledgments.acknowledged = !snapshot.entries.empty();
    for (const auto& entry : snapshot.entries) {
        if (entry.provably_inactive) {
            continue;
        }
        const auto report = entry.reports.find(vm.record.vm);
        // A report for an earlier revision says nothing about requests that the entry sent after
        // it.
        if (!entry.live || report == entry.reports.end() ||
            report->second.record_revision != vm.record_revision) {
            acknowledgments.acknowledged = false;
            acknowledgments.unacknowledged_entry = entry.member;
            continue;
        }
        acknowledgments.idle = acknowledgments.idle && report->second.in_flight == 0;
    }
    return acknowledgments;
}

class drain_planner {
public:
    drain_planner(const fleet_snapshot& snapshot, const planning_limits& limits,
                  budget_ledger ledger, fleet_plan& plan)
        : snapshot_(snapshot), limits_(limits), ledger_(std::move(ledger)), plan_(plan)
    {
    }

    void plan_vm(std::size_t index)
    {
        const auto& vm = snapshot_.vms[index];
        if (!vm.listed && vm.missing_for >= limits_.missing_record_retention &&
            snapshot_.platform_data_current) {
            add_step(vm, step_kind::forget, vm.record.phase);
            return;
        }
        switch (vm.record.phase) {
        case vm_phase::in_service:
            break;
        case vm_phase::preparing:
        case vm_phase::leaving:
            plan_draining_vm(index);
            break;
        case vm_phase::rebooting:
            plan_rebooting_vm(vm);
            break;
        case vm_phase::returning:
            plan_returning_vm(vm);
            break;
        }
    }

private:
    void plan_draining_vm(std::size_t index)
    {
        const auto& vm = snapshot_.vms[index];
        const auto time_in_phase = snapshot_.now - vm.record.phase_since;
        const auto* wave = wave_of(snapshot_, vm.record);
        const milliseconds limit =
            wave == nullptr ? limits_.drain_limit : milliseconds(wave->drain_limit);
        const auto budget = ledger_.exceeded_budget(index);
        if (!budget.empty()) {
            withdraw(index, "budget " + budget + " is exceeded");
            return;
        }
        if (drain_no_longer_requested(snapshot_, vm.record)) {
            withdraw(index, "cancelled by an operator");
            return;
        }
        const auto acknowledgments = summarize_acknowledgments(snapshot_, vm);
        if (!acknowledgments.acknowledged && time_in_phase >= limits_.acknowledgment_limit) {
            withdraw(index,
                     "no acknowledgment from " + (acknowledgments.unacknowledged_entry.empty()
                                                      ? "any entry"
                                                      : acknowledgments.unacknowledged_entry));
            return;
        }
        if (time_in_phase >= limit) {
            plan_.problems.push_back({vm.record.vm, "drain_stuck",
                                      "the drain took longer than its limit and was withdrawn"});
            withdraw(index, time_limit_cause);
            return;
        }
        if (!acknowledgments.acknowledged) {
            return;
        }
        if (vm.record.phase == vm_phase::preparing) {
            add_step(vm, step_kind::leave, vm_phase::leaving);
            return;
        }
        if (!acknowledgments.idle || vm.tasks > 0 || !snapshot_.platform_data_current ||
            !vm.listed) {
            return;
        }
        if (!vm.record.move_to_pool.empty()) {
            add_step(vm, step_kind::change_pool, vm_phase::returning);
            plan_.steps.back().next.pool = vm.record.move_to_pool;
            return;
        }
        add_step(vm, step_kind::reboot, vm_phase::rebooting);
        plan_.steps.back().next.boot_id = vm.boot_id;
    }

    void plan_rebooting_vm(const fleet_vm& vm)
    {
        if (vm.live() && snapshot_.platform_data_current && vm.boot_id != vm.record.boot_id) {
            add_step(vm, step_kind::booted, vm_phase::returning);
            return;
        }
        report_overdue_return(vm);
    }

    void plan_returning_vm(const fleet_vm& vm)
    {
        if (!vm.live() || !snapshot_.platform_data_current) {
            report_overdue_return(vm);
            return;
        }
        add_step(vm, step_kind::finish, vm_phase::in_service);
        auto& step = plan_.steps.back();
        if (vm.record.move_to_pool.empty()) {
            step.next.maintained_at = snapshot_.now;
            step.ends_operator_drain = snapshot_.operator_drains.count(vm.record.vm) > 0;
        }
        step.next.reason.clear();
        step.next.move_to_pool.clear();
    }

    void report_overdue_return(const fleet_vm& vm)
    {
        if (snapshot_.now - vm.record.phase_since >= limits_.return_limit) {
            plan_.problems.push_back({vm.record.vm, "vm_not_returned",
                                      std::string("the VM has been ") + to_text(vm.record.phase) +
                                          " for longer than the limit"});
        }
    }

    void add_step(const fleet_vm& vm, step_kind kind, vm_phase phase)
    {
        vm_step step;
        step.kind = kind;
        step.expected_revision = vm.record_revision;
        step.next = vm.record;
        step.next.phase = phase;
        step.next.phase_since = snapshot_.now;
        step.next.data_centre = vm.data_centre;
        step.next.rack = vm.rack;
        plan_.steps.push_back(std::move(step));
    }

    void withdraw(std::size_t index, const std::string& cause)
    {
        const auto& vm = snapshot_.vms[index];
        add_step(vm, step_kind::withdraw, vm_phase::in_service);
        auto& next = plan_.steps.back().next;
        next.reason = std::string(withdrawn_reason_prefix).append(cause);
        next.move_to_pool.clear();
        ledger_.undo_disruption(index);
    }

    const fleet_snapshot& snapshot_;
    const planning_limits& limits_;
    // A copy: in the shared ledger a withdrawn VM stays unavailable until its record is written.
    budget_ledger ledger_;
    fleet_plan& plan_;
};

} // namespace

const char* to_text(step_kind kind)
{
    switch (kind) {
    case step_kind::create:
        return "create";
    case step_kind::start:
        return "start";
    case step_kind::leave:
        return "leave";
    case step_kind::reboot:
        return "reboot";
    case step_kind::change_pool:
        return "change_pool";
    case step_kind::booted:
        return "booted";
    case step_kind::finish:
        return "finish";
    case step_kind::withdraw:
        return "withdraw";
    case step_kind::forget:
        return "forget";
    }
    return "";
}

start_permission may_start_drains(const fleet_snapshot& snapshot)
{
    if (!snapshot.platform_data_current) {
        return {false, "the VM list or the workers' reports could not be read"};
    }
    std::size_t live_entries = 0;
    std::string not_reporting_entry;
    for (const auto& entry : snapshot.entries) {
        live_entries += entry.live ? 1 : 0;
        if (!entry.live && !entry.provably_inactive) {
            not_reporting_entry = entry.member;
        }
    }
    if (live_entries * 2 <= snapshot.entries.size()) {
        return {false, "not more than half of the entries are live"};
    }
    // The drain would be withdrawn because this entry's acknowledgment is missing, after the VM had
    // been taken out of service to no purpose.
    if (!not_reporting_entry.empty()) {
        return {false, "entry " + not_reporting_entry + " does not report and may still send work"};
    }
    return {true, ""};
}

void advance_drains(const fleet_snapshot& snapshot, const planning_limits& limits,
                    const budget_ledger& ledger, fleet_plan& plan)
{
    drain_planner planner(snapshot, limits, ledger, plan);
    for (std::size_t index = 0; index < snapshot.vms.size(); ++index) {
        planner.plan_vm(index);
    }
}

vm_step start_drain(const fleet_snapshot& snapshot, const fleet_vm& vm, const std::string& reason,
                    const std::string& move_to_pool)
{
    vm_step step;
    step.kind = step_kind::start;
    step.expected_revision = vm.record_revision;
    step.next = vm.record;
    step.next.phase = vm_phase::preparing;
    step.next.phase_since = snapshot.now;
    step.next.operation_id = vm.record.vm + "-" + std::to_string(vm.record_revision) + "-" +
                             std::to_string(snapshot.fencing_token);
    step.next.reason = reason;
    step.next.move_to_pool = move_to_pool;
    step.next.data_centre = vm.data_centre;
    step.next.rack = vm.rack;
    return step;
}

bool recently_withdrawn(const fleet_snapshot& snapshot, const planning_limits& limits,
                        const fleet_vm& vm)
{
    if (!starts_with(vm.record.reason, withdrawn_reason_prefix)) {
        return false;
    }
    const bool withdrawn_by_time_limit = starts_with(
        vm.record.reason.substr(std::string(withdrawn_reason_prefix).size()), time_limit_cause);
    return snapshot.now - vm.record.phase_since <
           (withdrawn_by_time_limit ? limits.retry_delay_after_limit : limits.retry_delay);
}

std::vector<vm_command> outstanding_commands(const fleet_snapshot& snapshot)
{
    // A previous planner that was paused may send its drain command after the cancellation took
    // effect. The platform executes each id only once, so the cancellation gets a new id every ten
    // seconds while the VM is still listed as leaving.
    const auto cancellation_period = std::to_string(snapshot.now / std::chrono::seconds(10));
    std::vector<vm_command> commands;
    for (const auto& vm : snapshot.vms) {
        const auto& operation = vm.record.operation_id;
        if (operation.empty() || !vm.listed) {
            continue;
        }
        switch (vm.record.phase) {
        case vm_phase::preparing:
            break;
        case vm_phase::leaving:
            if (!vm.listed_leaving) {
                commands.push_back({command_kind::drain, vm.record.vm, operation + "-drain"});
            }
            break;
        case vm_phase::rebooting:
            if (vm.boot_id == vm.record.boot_id) {
                commands.push_back({command_kind::reboot, vm.record.vm, operation + "-reboot"});
            }
            break;
        case vm_phase::returning:
        case vm_phase::in_service:
            if (vm.listed_leaving) {
                commands.push_back({command_kind::cancel_drain, vm.record.vm,
                                    operation + "-cancel-" + cancellation_period});
            }
            break;
        }
    }
    return commands;
}

} // namespace jl::decisions
