#include <mutex>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet/fake_fleet_test.h"
#include "fleet/planner.h"

namespace jl::fleet {
namespace {

using records::vm_phase;
using std::chrono::milliseconds;

// Two pools of four VMs in two racks, one VM of each pool out of service at a time.
std::shared_ptr<objects::object_set> small_configuration()
{
    auto set = std::make_shared<objects::object_set>();
    set->generation = 1;
    for (const std::string name : {"a", "b"}) {
        objects::pool pool;
        pool.name = name;
        pool.min_vms = 1;
        pool.max_vms = 8;
        set->pools.push_back(pool);
        objects::service service;
        service.name = "service-" + name;
        service.pool = name;
        service.default_timeout = service.max_timeout = milliseconds(1000);
        set->services.push_back(service);
        objects::budget budget;
        budget.name = "one-" + name;
        budget.scope = objects::budget_scope::pool;
        budget.scope_name = name;
        budget.max_unavailable = 1;
        set->budgets.push_back(budget);
    }
    objects::maintenance_wave wave;
    wave.name = "w";
    wave.pools = {"a", "b"};
    set->waves.push_back(wave);
    return set;
}

class fleet_fixture {
public:
    fleet_fixture() : store(clock), observer(store), api(machines.api())
    {
        observer.set = small_configuration();
        for (int number = 0; number < 8; ++number) {
            machines.add("vm" + std::to_string(number), number < 4 ? "a" : "b",
                         number % 2 == 0 ? "r0" : "r1");
        }
        for (int number = 0; number < 2; ++number) {
            leases.push_back(std::make_unique<store::process_lease>(
                store, clock, "planner-" + std::to_string(number), std::chrono::seconds(5)));
            planners.push_back(std::make_unique<planner>(store, *leases.back(), api, observer,
                                                         clock, metric, planner_options{}));
        }
    }

    // One planner renews its lease and plans; the other is paused.
    round_report step(std::size_t active, milliseconds passed = milliseconds(1000))
    {
        clock.advance(passed);
        leases[active]->renew();
        return planners[active]->run_round();
    }

    std::map<std::string, records::vm_record> read_records()
    {
        std::map<std::string, records::vm_record> result;
        const auto items = store.range(
            {records::vms_prefix, store::prefix_end(records::vms_prefix), 0}, steady_time{});
        for (const auto& item : items->items) {
            auto record = records::parse_vm(item.value);
            result[record->vm] = *record;
        }
        return result;
    }

    void put(const std::string& key, const std::string& value)
    {
        store::transaction transaction;
        transaction.on_success.push_back(store::put(key, value));
        store.commit(transaction, steady_time{});
    }

    // Runs until the wave has ended or the rounds are used up; returns the number of VMs done.
    int run_wave(std::size_t active, int rounds)
    {
        int done = 0;
        for (int round = 0; round < rounds && done < 8; ++round) {
            observer.refresh();
            const auto report = step(active);
            done = report.waves.empty() ? 0 : report.waves[0].done;
        }
        return done;
    }

    manual_clock clock;
    standins::memory_store store;
    fake_platform machines;
    fake_observer observer;
    platform::platform_api api;
    metrics metric;
    std::vector<std::unique_ptr<store::process_lease>> leases;
    std::vector<std::unique_ptr<planner>> planners;
};

// Guards against a wave that does not end, or that reboots a VM twice.
TEST(planner, maintains_every_vm_once)
{
    fleet_fixture fleet;
    EXPECT_EQ(fleet.run_wave(0, 100), 8);
    for (const auto& [vm, machine] : fleet.machines.machines) {
        EXPECT_EQ(machine.reboots.size(), 1U) << vm;
        EXPECT_FALSE(machine.listed.leaving) << vm;
    }
}

// Guards against progress lost with the planner: the next one continues from the records.
TEST(planner, successor_continues_the_wave)
{
    fleet_fixture fleet;
    fleet.run_wave(0, 15);
    EXPECT_EQ(fleet.run_wave(1, 100), 8);
    for (const auto& [vm, machine] : fleet.machines.machines) {
        EXPECT_EQ(machine.reboots.size(), 1U) << vm;
    }
}

// Guards against operators' controls being ignored.
TEST(planner, pause_stops_new_drains_and_an_operator_drain_runs)
{
    fleet_fixture fleet;
    fleet.put(std::string(records::waves_prefix) + "w", R"({"state": "paused"})");
    fleet.put(std::string(records::operator_drains_prefix) + "vm3",
              R"({"requested_by": "eleri", "requested_at_ms": 1})");
    EXPECT_EQ(fleet.run_wave(0, 30), 1);
    EXPECT_EQ(fleet.machines.machines["vm3"].reboots.size(), 1U);
    const auto left =
        fleet.store.range({std::string(records::operator_drains_prefix) + "vm3", "", 0}, {});
    EXPECT_TRUE(left->items.empty());
}

// Guards against a rack lost in mid-wave, and a VM that never returns, being ignored.
TEST(planner, lost_rack_withdraws_drains)
{
    fleet_fixture fleet;
    fleet.run_wave(0, 8);
    for (auto& [vm, machine] : fleet.machines.machines) {
        machine.dead = machine.listed.rack == "r0";
    }
    fleet.run_wave(0, 10);
    for (const auto& [vm, record] : fleet.read_records()) {
        EXPECT_NE(record.phase, vm_phase::preparing) << vm;
        EXPECT_NE(record.phase, vm_phase::leaving) << vm;
    }
    for (auto& [vm, machine] : fleet.machines.machines) {
        machine.dead = false;
    }
    EXPECT_EQ(fleet.run_wave(0, 100), 8);
}

// Guards against a budget broken, or a VM maintained twice, after any interleaving of planner
// changes, pauses past the lease, lost store answers and an unavailable store.
RC_GTEST_PROP(planner, faults_never_break_a_budget, ())
{
    fleet_fixture fleet;
    for (int round = 0; round < 40; ++round) {
        fleet.observer.refresh();
        const auto active = static_cast<std::size_t>(*rc::gen::inRange(0, 2));
        const auto fault = *rc::gen::inRange(0, 6);
        if (fault < 2) {
            fleet.store.inject(fault == 0 ? standins::store_fault::lost_answer
                                          : standins::store_fault::unavailable,
                               *rc::gen::inRange(1, 4));
        }
        fleet.step(active, milliseconds(*rc::gen::inRange(200, 7000)));
        fleet.store.inject(standins::store_fault::none);
        std::map<std::string, int> unavailable;
        for (const auto& [vm, record] : fleet.read_records()) {
            unavailable[record.pool] += record.phase == vm_phase::in_service ? 0 : 1;
        }
        for (const auto& [pool, count] : unavailable) {
            RC_ASSERT(count <= 1);
        }
    }
    RC_ASSERT(fleet.run_wave(0, 200) == 8);
    for (const auto& [vm, machine] : fleet.machines.machines) {
        RC_ASSERT(machine.reboots.size() == 1U);
    }
}

// Delivers chosen writes late: the caller gets "outcome unknown" and the write arrives afterwards.
class delaying_store final : public store::key_value_store {
public:
    explicit delaying_store(standins::memory_store& inner) : inner_(inner) {}

    std::optional<store::transaction_result> commit(const store::transaction& transaction,
                                                    steady_time deadline) override
    {
        const bool grant = !transaction.on_success.empty() &&
                           transaction.on_success[0].value.find("preparing") != std::string::npos;
        if (grant && !delayed) {
            delayed = transaction;
            return store::internal::fail(store::store_error_code::outcome_unknown, "delayed");
        }
        return inner_.commit(transaction, deadline);
    }
    std::optional<store::range_result> range(const store::range_request& request,
                                             steady_time deadline) override
    {
        return inner_.range(request, deadline);
    }
    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl, steady_time deadline) override
    {
        return inner_.grant_lease(ttl, deadline);
    }
    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override
    {
        return inner_.keep_alive(lease, deadline);
    }
    bool revoke_lease(std::int64_t lease, steady_time deadline) override
    {
        return inner_.revoke_lease(lease, deadline);
    }
    std::unique_ptr<store::watch> start_watch(const std::string& key, const std::string& range_end,
                                              std::int64_t start_revision,
                                              store::watch_callback callback) override
    {
        return inner_.start_watch(key, range_end, start_revision, std::move(callback));
    }

    std::optional<store::transaction> delayed;

private:
    standins::memory_store& inner_;
};

// Guards against a grant whose write is still on its way when the planner reads back and grants
// another VM: the late write must fail, or both VMs of a pool would be out of service.
TEST(planner, write_that_arrives_late_has_no_effect)
{
    fleet_fixture fleet;
    delaying_store slow(fleet.store);
    store::process_lease lease(slow, fleet.clock, "slow", std::chrono::seconds(5));
    planner subject(slow, lease, fleet.api, fleet.observer, fleet.clock, fleet.metric, {});
    for (int round = 0; round < 30 && !slow.delayed; ++round) {
        fleet.clock.advance(milliseconds(1000));
        lease.renew();
        fleet.observer.refresh();
        subject.run_round();
    }
    ASSERT_TRUE(slow.delayed.has_value());
    // The VMs of the late write are not chosen again, so their records do not change.
    fleet.put(std::string(records::waves_prefix) + "w", R"({"state": "paused"})");
    for (int round = 0; round < 4; ++round) {
        fleet.clock.advance(milliseconds(1000));
        lease.renew();
        fleet.observer.refresh();
        subject.run_round();
    }
    const auto late = fleet.store.commit(*slow.delayed, {});
    ASSERT_TRUE(late.has_value());
    EXPECT_FALSE(late->succeeded);
}

// Guards against a planner that forgets entry processes that may still have work at a VM: one that
// it has seen, and one whose lease expired before it started, known from its key alone.
TEST(member_tracker, process_is_silent_only_after_the_limit)
{
    const steady_time start{};
    const auto limit = milliseconds(5000);
    member_tracker tracker;
    const std::set<std::string> keys = {"e1/1", "e2/1"};
    tracker.observe_leases({"e1/1"}, start + milliseconds(1000));
    tracker.observe_processes(keys, {}, start + milliseconds(1500));
    const auto entries_at = [&](int now) {
        return tracker.entries({}, start + milliseconds(now), milliseconds(2000), limit);
    };
    ASSERT_EQ(entries_at(5500).size(), 2U);
    EXPECT_FALSE(entries_at(5500)[0].provably_inactive);
    EXPECT_FALSE(entries_at(5500)[1].provably_inactive);
    EXPECT_TRUE(tracker.silent(start + milliseconds(5500), limit).empty());
    EXPECT_EQ(entries_at(6200).size(), 1U);
    EXPECT_EQ(tracker.silent(start + milliseconds(6200), limit), std::vector<std::string>{"e1/1"});
    EXPECT_TRUE(entries_at(6500).empty());
    // A graceful stop removes the key, and the wait ends.
    tracker.observe_leases({"e3/1"}, start + milliseconds(7000));
    tracker.observe_processes({"e1/1", "e2/1"}, {}, start + milliseconds(7100));
    EXPECT_TRUE(entries_at(7200).empty());
}

// Guards against waiting for a new process under the name of an old one, or the reverse: the old
// one may have work at a VM although the new one has none.
TEST(member_tracker, processes_of_one_entry_are_told_apart)
{
    const steady_time start{};
    member_tracker tracker;
    cluster::member_status restarted;
    restarted.member.member = "e1";
    restarted.member.incarnation = 2;
    restarted.alive = true;
    tracker.observe_leases({"e1/1"}, start);
    tracker.observe({restarted}, start + milliseconds(1000));
    tracker.observe_processes({"e1/1"}, {restarted}, start + milliseconds(1000));
    const auto entries = tracker.entries({restarted}, start + milliseconds(1000),
                                         milliseconds(2000), milliseconds(5000));
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_FALSE(entries[0].live);
    EXPECT_TRUE(entries[1].live);
}

// Demand that fills the given number of VMs of a service.
cluster::service_load load_of(const std::string& service, int vms)
{
    cluster::service_load load;
    load.service = service;
    load.running = vms * 7;
    load.arrival_rate = vms * 70;
    return load;
}

// Guards against demand that is not followed by a move, and against a move that reboots the VM.
TEST(planner, moves_vms_to_the_pool_that_needs_them)
{
    fleet_fixture fleet;
    auto set = small_configuration();
    set->waves.clear();
    fleet.observer.set = set;
    fleet.observer.loads = {load_of("service-a", 6), load_of("service-b", 1)};
    for (int round = 0; round < 60; ++round) {
        fleet.observer.refresh();
        fleet.step(0);
    }
    int in_a = 0;
    for (const auto& [vm, record] : fleet.read_records()) {
        in_a += record.pool == "a" ? 1 : 0;
        EXPECT_EQ(record.phase, vm_phase::in_service) << vm;
        EXPECT_TRUE(fleet.machines.machines[vm].reboots.empty()) << vm;
        EXPECT_FALSE(fleet.machines.machines[vm].listed.leaving) << vm;
    }
    EXPECT_EQ(in_a, 6);
}

// Guards against a VM in no pool or in two after any interleaving of two planners with changing
// demand, pauses past the lease and lost answers. Each record change must keep the pool, or move a
// drained VM to the pool recorded when its move was granted.
RC_GTEST_PROP(planner, vm_is_in_exactly_one_pool, ())
{
    fleet_fixture fleet;
    std::mutex mutex;
    std::vector<records::vm_record> history;
    const auto watch = fleet.store.start_watch(
        records::vms_prefix, store::prefix_end(records::vms_prefix), 1,
        [&](const std::vector<store::watch_event>& events, std::int64_t /*revision*/) {
            const std::lock_guard lock(mutex);
            for (const auto& event : events) {
                history.push_back(records::parse_vm(event.item.value).value());
            }
        });
    for (int round = 0; round < 40; ++round) {
        fleet.observer.refresh();
        const bool first = *rc::gen::inRange(0, 4) != 0;
        fleet.observer.loads = {load_of("service-a", first ? 6 : 1),
                                load_of("service-b", first ? 1 : 6)};
        if (*rc::gen::inRange(0, 3) == 0) {
            fleet.store.inject(standins::store_fault::lost_answer, *rc::gen::inRange(1, 4));
        }
        fleet.step(static_cast<std::size_t>(*rc::gen::inRange(0, 2)),
                   milliseconds(*rc::gen::inRange(200, 7000)));
        fleet.store.inject(standins::store_fault::none);
        const auto current = fleet.read_records();
        RC_ASSERT(current.empty() || current.size() == 8U);
    }
    const std::lock_guard lock(mutex);
    std::map<std::string, records::vm_record> last;
    for (const auto& record : history) {
        const auto before = last.find(record.vm);
        RC_ASSERT(record.pool == "a" || record.pool == "b");
        if (before != last.end() && before->second.pool != record.pool) {
            RC_ASSERT(before->second.phase == vm_phase::leaving);
            RC_ASSERT(before->second.move_to_pool == record.pool);
            RC_ASSERT(record.phase == vm_phase::returning);
        }
        last[record.vm] = record;
    }
}

// Guards against a drain that cuts a task: it is checkpointed, stopped and started elsewhere, and
// the VM is rebooted only afterwards.
TEST(planner, tasks_leave_a_vm_before_its_reboot)
{
    fleet_fixture fleet;
    fleet.observer.set = small_configuration();
    records::task_record task;
    task.task = "t1";
    task.team = "planning";
    task.pool = "a";
    task.kind = "match";
    task.cores = 4;
    task.memory_gb = 8;
    fleet.put(std::string(records::tasks_prefix) + "t1", records::to_json(task));
    EXPECT_EQ(fleet.run_wave(0, 200), 8);
    const auto& starts = fleet.machines.task_starts;
    ASSERT_GE(starts.size(), 2U);
    EXPECT_NE(starts[0].second, starts[1].second);
    const auto stored = fleet.store.range({std::string(records::tasks_prefix) + "t1", "", 0}, {});
    const auto record = records::parse_task(stored->items.at(0).value);
    EXPECT_EQ(record->fencing_token, static_cast<std::int64_t>(starts.size()));
    EXPECT_NE(record->checkpoint.find("checkpoint of t1"), std::string::npos);
    for (const auto& [vm, machine] : fleet.machines.machines) {
        EXPECT_EQ(machine.reboots.size(), 1U) << vm;
    }
}

} // namespace
} // namespace jl::fleet
