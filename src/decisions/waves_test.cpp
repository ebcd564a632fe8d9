#include <functional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/waves.h"

namespace jl::decisions {
namespace {

using records::vm_phase;
using std::chrono::milliseconds;

constexpr int racks_per_data_centre = 3;

objects::budget random_budget(int number)
{
    using objects::budget_scope;
    objects::budget budget;
    budget.name = "b" + std::to_string(number);
    budget.scope = *rc::gen::element(budget_scope::service, budget_scope::pool, budget_scope::rack,
                                     budget_scope::data_centre);
    const bool all_instances = *rc::gen::arbitrary<bool>();
    const auto index = std::to_string(*rc::gen::inRange(0, 2));
    switch (budget.scope) {
    case budget_scope::service:
        budget.scope_name = "s" + index;
        break;
    case budget_scope::pool:
        budget.scope_name = "p" + index;
        break;
    case budget_scope::rack:
        budget.scope_name = all_instances ? "*" : "d" + index + "-r0";
        break;
    case budget_scope::data_centre:
        budget.scope_name = all_instances ? "*" : "d" + index;
        break;
    }
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        budget.min_available = *rc::gen::inRange(0, 6);
        break;
    case 1:
        budget.max_unavailable = *rc::gen::inRange(0, 4);
        break;
    default:
        budget.max_unavailable_percent = *rc::gen::inRange(0, 60);
        break;
    }
    return budget;
}

objects::object_set_ptr random_configuration()
{
    auto set = std::make_shared<objects::object_set>();
    for (const std::string index : {"0", "1"}) {
        set->data_centres.push_back({"d" + index, "r"});
        objects::pool pool;
        pool.name = "p" + index;
        set->pools.push_back(pool);
        objects::service service;
        service.name = "s" + index;
        service.pool = "p" + index;
        set->services.push_back(service);
    }
    const int budgets = *rc::gen::inRange(0, 5);
    for (int number = 0; number < budgets; ++number) {
        set->budgets.push_back(random_budget(number));
    }
    objects::maintenance_wave wave;
    wave.name = "w";
    wave.pools = {"p0", "p1"};
    wave.drain_limit = std::chrono::seconds(20);
    set->waves.push_back(wave);
    return set;
}

fleet_vm make_vm(int number, int pool, int data_centre, int rack)
{
    fleet_vm vm;
    vm.record.vm = "vm" + std::to_string(number);
    vm.record.pool = "p" + std::to_string(pool);
    vm.record_revision = 1;
    vm.data_centre = "d" + std::to_string(data_centre);
    vm.rack = vm.data_centre + "-r" + std::to_string(rack);
    vm.listed = true;
    vm.boot_id = 1;
    return vm;
}

std::vector<fleet_vm> random_vms(int count)
{
    std::vector<fleet_vm> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        vms.push_back(make_vm(number, *rc::gen::inRange(0, 2), *rc::gen::inRange(0, 2),
                              *rc::gen::inRange(0, racks_per_data_centre)));
    }
    return vms;
}

bool is_covered_by(const objects::budget& budget, const std::string& scope_instance,
                   const fleet_vm& vm, bool arriving)
{
    const auto& pool = arriving ? vm.record.move_to_pool : vm.record.pool;
    switch (budget.scope) {
    case objects::budget_scope::service:
        return !pool.empty() && "s" + pool.substr(1) == scope_instance;
    case objects::budget_scope::pool:
        return pool == scope_instance;
    case objects::budget_scope::rack:
        return !arriving && vm.rack == scope_instance;
    case objects::budget_scope::data_centre:
        return !arriving && vm.data_centre == scope_instance;
    }
    return false;
}

// Returns true if every budget that applies to the VM is kept. Counts the unavailable VMs from the
// state alone, independently of budget_ledger.
bool budgets_hold(const objects::object_set& set, const std::vector<fleet_vm>& vms,
                  const fleet_vm& checked_vm)
{
    for (const auto& budget : set.budgets) {
        for (const std::string& scope_instance :
             {"s" + checked_vm.record.pool.substr(1), checked_vm.record.pool, checked_vm.rack,
              checked_vm.data_centre}) {
            if ((budget.scope_name != "*" && budget.scope_name != scope_instance) ||
                !is_covered_by(budget, scope_instance, checked_vm, false)) {
                continue;
            }
            int total = 0;
            int unavailable = 0;
            for (const auto& vm : vms) {
                if (is_covered_by(budget, scope_instance, vm, false)) {
                    ++total;
                    unavailable += vm.available() ? 0 : 1;
                }
            }
            const bool within_budget =
                (!budget.min_available || total - unavailable >= *budget.min_available) &&
                (!budget.max_unavailable || unavailable <= *budget.max_unavailable) &&
                (!budget.max_unavailable_percent ||
                 unavailable * 100 <= total * *budget.max_unavailable_percent);
            if (!within_budget) {
                return false;
            }
        }
    }
    return true;
}

entry_view acknowledging_entry(const std::string& name, const std::vector<fleet_vm>& vms)
{
    entry_view entry;
    entry.member = name;
    entry.live = true;
    for (const auto& vm : vms) {
        entry.reports[vm.record.vm] = {vm.record_revision, 0};
    }
    return entry;
}

// Model of a fleet in which every planned step takes effect. Faults can be injected between rounds.
class fleet_model {
public:
    explicit fleet_model(objects::object_set_ptr set, std::vector<fleet_vm> vms)
    {
        snapshot_.configuration = std::move(set);
        snapshot_.vms = std::move(vms);
        snapshot_.now = std::chrono::hours(1);
        snapshot_.fencing_token = 1;
        not_reporting_.resize(3);
        lost_.resize(snapshot_.vms.size());
    }

    void inject_fault()
    {
        const auto vm =
            static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(snapshot_.vms.size())));
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            lost_[vm] = true;
            break;
        case 1: // all VMs of a rack are lost
            for (std::size_t index = 0; index < lost_.size(); ++index) {
                lost_[index] = lost_[index] || snapshot_.vms[index].rack == snapshot_.vms[vm].rack;
            }
            break;
        case 2:
            lost_.assign(lost_.size(), false);
            break;
        case 3:
            not_reporting_[vm % not_reporting_.size()] =
                !not_reporting_[vm % not_reporting_.size()];
            break;
        case 4:
            ++snapshot_.fencing_token; // another planner continues from the records
            break;
        default:
            break;
        }
    }

    fleet_plan run_round(milliseconds passed)
    {
        snapshot_.now += passed;
        snapshot_.platform_data_current = *rc::gen::inRange(0, 8) != 0;
        for (std::size_t index = 0; index < lost_.size(); ++index) {
            auto& vm = snapshot_.vms[index];
            vm.listed = !lost_[index];
            vm.listed_leaving = vm.record.phase == vm_phase::leaving;
            if (vm.record.phase == vm_phase::rebooting && *rc::gen::arbitrary<bool>()) {
                ++vm.boot_id;
            }
        }
        snapshot_.entries.clear();
        for (std::size_t index = 0; index < not_reporting_.size(); ++index) {
            auto entry = acknowledging_entry("e" + std::to_string(index), snapshot_.vms);
            entry.live = !not_reporting_[index];
            snapshot_.entries.push_back(std::move(entry));
        }
        fleet_plan plan;
        budget_ledger ledger(*snapshot_.configuration, snapshot_.vms);
        advance_drains(snapshot_, limits, ledger, plan);
        plan_maintenance(snapshot_, limits, ledger, plan);
        return plan;
    }

    fleet_vm& apply(const vm_step& step)
    {
        for (auto& vm : snapshot_.vms) {
            if (vm.record.vm == step.next.vm) {
                RC_ASSERT(vm.record_revision == step.expected_revision);
                vm.record = step.next;
                ++vm.record_revision;
                vm.listed_leaving = vm.record.phase == vm_phase::leaving;
                return vm;
            }
        }
        RC_FAIL("the plan contains a step for a VM that is not in the fleet");
    }

    const fleet_snapshot& snapshot() const { return snapshot_; }

    planning_limits limits;

private:
    fleet_snapshot snapshot_;
    std::vector<bool> not_reporting_;
    std::vector<bool> lost_;
};

// Guards against the start of a drain or a reboot that exceeds a budget after any sequence of lost
// VMs, entries that do not report, stale platform data and planner changes.
RC_GTEST_PROP(waves, grants_keep_every_budget_under_faults, ())
{
    fleet_model model(random_configuration(), random_vms(*rc::gen::inRange(1, 14)));
    for (int round = 0; round < 25; ++round) {
        if (*rc::gen::inRange(0, 3) == 0) {
            model.inject_fault();
        }
        const auto plan = model.run_round(milliseconds(*rc::gen::inRange(200, 12000)));
        std::vector<const fleet_vm*> granted;
        for (const auto& step : plan.steps) {
            const auto& vm = model.apply(step);
            if (step.kind == step_kind::start || step.kind == step_kind::reboot) {
                granted.push_back(&vm);
            }
        }
        for (const auto* vm : granted) {
            RC_ASSERT(budgets_hold(*model.snapshot().configuration, model.snapshot().vms, *vm));
        }
    }
}

// Guards against a wave that never ends or reboots a VM more than once although no fault occurs.
RC_GTEST_PROP(waves, wave_without_faults_maintains_each_vm_once, ())
{
    auto set = std::make_shared<objects::object_set>(*random_configuration());
    set->budgets.clear();
    objects::budget budget;
    budget.name = "one";
    budget.scope = objects::budget_scope::data_centre;
    budget.scope_name = "*";
    budget.max_unavailable = 1;
    set->budgets.push_back(budget);
    fleet_model model(set, random_vms(8));
    std::map<std::string, int> reboots;
    for (int round = 0; round < 400; ++round) {
        for (const auto& step : model.run_round(milliseconds(500)).steps) {
            model.apply(step);
            reboots[step.next.vm] += step.kind == step_kind::reboot ? 1 : 0;
        }
    }
    const auto progress = describe_waves(model.snapshot());
    RC_ASSERT(progress.size() == 1U);
    RC_ASSERT(progress[0].done == 8);
    for (const auto& [vm, count] : reboots) {
        RC_ASSERT(count == 1);
    }
}

int largest_set_size_by_exhaustive_search(const std::vector<fleet_vm>& vms,
                                          const budget_ledger& ledger, std::size_t next)
{
    if (next == vms.size()) {
        return 0;
    }
    int best = largest_set_size_by_exhaustive_search(vms, ledger, next + 1);
    if (ledger.allows(next)) {
        budget_ledger ledger_with_next = ledger;
        ledger_with_next.record_disruption(next);
        best = std::max(best,
                        1 + largest_set_size_by_exhaustive_search(vms, ledger_with_next, next + 1));
    }
    return best;
}

// Guards against selecting fewer VMs than the budgets allow at once.
RC_GTEST_PROP(waves, selection_is_largest, ())
{
    const auto set = random_configuration();
    auto vms = random_vms(*rc::gen::inRange(1, 10));
    for (auto& vm : vms) {
        vm.listed = *rc::gen::inRange(0, 6) != 0;
    }
    const budget_ledger ledger(*set, vms);
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        if (ledger.allows(index)) {
            candidates.push_back(index);
        }
    }
    const auto selected = largest_allowed_set(vms, candidates, ledger);
    RC_ASSERT(static_cast<int>(selected.size()) ==
              largest_set_size_by_exhaustive_search(vms, ledger, 0));
}

class drain_test : public testing::Test {
protected:
    drain_test()
    {
        auto set = std::make_shared<objects::object_set>();
        objects::pool pool;
        pool.name = "p0";
        set->pools.push_back(pool);
        objects::maintenance_wave wave;
        wave.name = "w";
        wave.pools = {"p0"};
        wave.drain_limit = std::chrono::seconds(30);
        set->waves.push_back(wave);
        snapshot.configuration = set;
        snapshot.now = std::chrono::hours(1);
        snapshot.platform_data_current = true;
        snapshot.vms = {make_vm(0, 0, 0, 0)};
        snapshot.waves["w"] = records::wave_state::running;
        set_vm_phase(vm_phase::preparing);
    }

    void set_vm_phase(vm_phase phase)
    {
        auto& vm = snapshot.vms[0];
        vm.record.phase = phase;
        vm.record.reason = "wave w";
        vm.record.operation_id = "o";
        vm.record.phase_since = snapshot.now;
        ++vm.record_revision;
        snapshot.entries = {acknowledging_entry("e0", snapshot.vms),
                            acknowledging_entry("e1", snapshot.vms)};
    }

    std::vector<step_kind> step_kinds_after(milliseconds passed)
    {
        snapshot.now += passed;
        plan = {};
        advance_drains(snapshot, {}, budget_ledger(*snapshot.configuration, snapshot.vms), plan);
        std::vector<step_kind> step_kinds;
        for (const auto& step : plan.steps) {
            step_kinds.push_back(step.kind);
        }
        return step_kinds;
    }

    using step_kinds = std::vector<step_kind>;
    fleet_snapshot snapshot;
    fleet_plan plan;
};

// Guards against rebooting a VM while an entry that has not acknowledged the drain may still send
// work to it.
TEST_F(drain_test, drain_is_withdrawn_without_acknowledgment)
{
    snapshot.entries[1].reports["vm0"].record_revision -= 1;
    EXPECT_EQ(step_kinds_after(milliseconds(1900)), step_kinds{});
    EXPECT_EQ(step_kinds_after(milliseconds(200)), step_kinds{step_kind::withdraw});
    snapshot.vms[0].record = plan.steps[0].next;
    EXPECT_TRUE(recently_withdrawn(snapshot, {}, snapshot.vms[0]));
}

// Guards against a wave that waits for the acknowledgment of an entry that can no longer send work.
TEST_F(drain_test, drain_proceeds_without_provably_inactive_entry)
{
    snapshot.entries[1].live = false;
    snapshot.entries[1].provably_inactive = true;
    EXPECT_EQ(step_kinds_after(milliseconds(100)), step_kinds{step_kind::leave});
}

// Guards against interrupting requests or tasks that still run on the VM.
TEST_F(drain_test, busy_vm_keeps_running_until_drain_limit_withdraws_drain)
{
    set_vm_phase(vm_phase::leaving);
    snapshot.entries[0].reports["vm0"].in_flight = 1;
    EXPECT_EQ(step_kinds_after(milliseconds(1000)), step_kinds{});
    snapshot.entries[0].reports["vm0"].in_flight = 0;
    snapshot.vms[0].tasks = 1;
    EXPECT_EQ(step_kinds_after(milliseconds(1000)), step_kinds{});
    EXPECT_EQ(step_kinds_after(std::chrono::seconds(30)), step_kinds{step_kind::withdraw});
    ASSERT_EQ(plan.problems.size(), 1U);
    EXPECT_EQ(plan.problems[0].kind, "drain_stuck");
}

// Guards against drains that continue after their wave was cancelled.
TEST_F(drain_test, cancelled_wave_withdraws_its_drains)
{
    snapshot.waves["w"] = records::wave_state::cancelled;
    EXPECT_EQ(step_kinds_after(milliseconds(100)), step_kinds{step_kind::withdraw});
}

// Guards against a VM that does not return from its reboot and is not reported, or counts as
// maintained.
TEST_F(drain_test, vm_that_does_not_return_from_reboot_is_reported)
{
    set_vm_phase(vm_phase::rebooting);
    snapshot.vms[0].record.boot_id = snapshot.vms[0].boot_id;
    EXPECT_EQ(step_kinds_after(std::chrono::minutes(20)), step_kinds{});
    ASSERT_EQ(plan.problems.size(), 1U);
    EXPECT_EQ(plan.problems[0].kind, "vm_not_returned");
    const auto commands = outstanding_commands(snapshot);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, command_kind::reboot);
}

} // namespace
} // namespace jl::decisions
