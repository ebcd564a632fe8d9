// Maintenance waves and moves of VMs while tasks run on the VMs.

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::store_mode;
using testing::test_fleet;

const std::string job_id = "00000000000000a1";

class fleet_changes : public ::testing::Test {
protected:
    // Adds `pool` VMs to the pool "rounds" and `standby` powered-off VMs to the pool "spare".
    void add_vms(int pool, int standby)
    {
        fleet.documents.config.services = {{"rounds", false, true}, {"spare", true, true}};
        fleet.vms.standby_pool = "spare";
        for (int index = 0; index < pool; ++index) {
            fleet.vms.add("m" + std::to_string(index), "rounds");
        }
        for (int index = 0; index < standby; ++index) {
            fleet.vms.add("s" + std::to_string(index), "spare");
        }
    }

    static job_spec long_running_job(const std::string& id, int tasks, int max_per_worker)
    {
        auto spec = make_job(id, 1, tasks);
        spec.steps[0].long_running = true;
        spec.steps[0].max_per_worker = max_per_worker;
        spec.steps[0].max_unavailable = 1;
        return spec;
    }

    int count_tasks_at_work(int tasks) const
    {
        int count = 0;
        for (int index = 0; index < tasks; ++index) {
            count += fleet.workers.is_at_work(task_name{job_id, 0, 0, index}.to_string()) ? 1 : 0;
        }
        return count;
    }

    // Runs the fleet for `span` and returns the longest time for which any task was not at work.
    // Expects that at most one task at a time is not.
    std::chrono::milliseconds longest_interruption(std::chrono::milliseconds span, int tasks)
    {
        constexpr auto interval = 20ms;
        std::map<int, std::chrono::milliseconds> interrupted_for;
        std::chrono::milliseconds longest{0};
        for (auto elapsed = 0ms; elapsed < span; elapsed += interval) {
            fleet.timers.run_for(interval);
            EXPECT_GE(count_tasks_at_work(tasks), tasks - 1)
                << "more than one task was not at work, after " << elapsed.count() << " ms";
            for (int index = 0; index < tasks; ++index) {
                const bool at_work =
                    fleet.workers.is_at_work(task_name{job_id, 0, 0, index}.to_string());
                interrupted_for[index] = at_work ? 0ms : interrupted_for[index] + interval;
                longest = std::max(longest, interrupted_for[index]);
            }
        }
        return longest;
    }

    wave_request wave_of(int vms, int max_concurrent) const
    {
        wave_request wave;
        wave.wave = 1;
        for (int index = 0; index < vms; ++index) {
            wave.vms.push_back("m" + std::to_string(index));
        }
        wave.duration = 60s;
        wave.max_concurrent = max_concurrent;
        return wave;
    }

    // Expects that the wave's status is completed and that `maintained` VMs were maintained.
    void expect_wave_completed(int completed_maintenances) const
    {
        EXPECT_EQ(fleet.vms.completed_maintenances(), completed_maintenances);
        const auto* const status = fleet.store.find("status/1");
        ASSERT_NE(status, nullptr);
        EXPECT_EQ(status->value, "completed");
    }

    test_fleet fleet{0};
};

// Guards against a wave that stops long-running tasks while no other worker has capacity for them:
// they did not run for 20 s.
TEST_F(fleet_changes, wave_keeps_long_running_tasks_available)
{
    fleet.workers.default_plan.duration = 600s;
    add_vms(5, 4);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 5, 1)), submit_outcome::accepted);
    fleet.timers.run_for(4s);
    ASSERT_EQ(count_tasks_at_work(5), 5);
    fleet.request_wave(wave_of(5, 2));
    EXPECT_LE(longest_interruption(30s, 5), 1500ms);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 5);
    EXPECT_LE(fleet.vms.most_in_maintenance(), 2);
    const auto* const status = fleet.store.find("status/1");
    ASSERT_NE(status, nullptr);
    EXPECT_EQ(status->value, "completed");
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Without standby VMs, each task pauses during the maintenance of its own VM, one task at a time.
TEST_F(fleet_changes, wave_without_spare_vms_pauses_one_task_at_a_time)
{
    fleet.workers.default_plan.duration = 600s;
    add_vms(5, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 5, 1)), submit_outcome::accepted);
    fleet.timers.run_for(4s);
    fleet.request_wave(wave_of(5, 2));
    EXPECT_LE(longest_interruption(50s, 5), 3000ms);
    expect_wave_completed(5);
}

class hand_over_during_wave : public fleet_changes, public ::testing::WithParamInterface<int> {};

// A leader stops a task and hands over before the task has ended. Guards against the next leader,
// which took the task for available and stopped another one.
TEST_P(hand_over_during_wave, long_running_tasks_stay_available)
{
    constexpr int tasks = 5;
    fleet.workers.default_plan.duration = 600s;
    add_vms(5, 4);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, tasks, 1)), submit_outcome::accepted);
    fleet.timers.run_for(4s);
    ASSERT_EQ(count_tasks_at_work(tasks), tasks);
    fleet.workers.stop_time = 400ms; // the longest that the platform allows
    fleet.workers.startup = 1000ms;
    auto wave = wave_of(1, 1);
    fleet.request_wave(wave);
    const auto no_stop = fleet.workers.stopped_at();
    for (int step = 0; step < 500 && fleet.workers.stopped_at() == no_stop; ++step) {
        fleet.timers.run_for(5ms);
    }
    ASSERT_NE(fleet.workers.stopped_at(), no_stop);
    fleet.timers.run_for(milliseconds(GetParam()));
    // The next leader begins with other VMs.
    fleet.store.remove("op/wave/1");
    wave.wave = 2;
    wave.vms = {"m1", "m2", "m3"};
    fleet.request_wave(wave);
    const auto name = fleet.leader_name();
    fleet.nodes.at(name)->election().step_down("hand-over");
    longest_interruption(20s, tasks);
    EXPECT_EQ(fleet.store.find("status/2")->value, "completed");
}

INSTANTIATE_TEST_SUITE_P(ms_after_a_stop, hand_over_during_wave,
                         ::testing::Values(0, 50, 100, 150, 200, 250, 300));

// A new leader continues a wave and does not maintain finished VMs again.
TEST_F(fleet_changes, wave_continues_under_a_new_leader)
{
    add_vms(6, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(500ms);
    fleet.request_wave(wave_of(6, 1));
    fleet.timers.run_for(7s);
    EXPECT_GE(fleet.vms.completed_maintenances(), 2);
    fleet.kill("a");
    fleet.timers.run_for(25s);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 6);
    EXPECT_EQ(fleet.vms.most_in_maintenance(), 1);
    EXPECT_EQ(fleet.store.find("status/1")->value, "completed");
}

// A worker crashes for good just before the leader is replaced, while its VM is still listed as up.
// Guards against a new leader that counts the VM as capacity of the pool and waits for a lease of
// ten seconds: the task did not run for 22 s.
TEST_F(fleet_changes, new_leader_soon_restarts_the_task_of_a_crashed_worker)
{
    fleet.workers.default_plan.duration = 600s;
    add_vms(5, 4);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 5, 1)), submit_outcome::accepted);
    fleet.timers.run_for(4s);
    ASSERT_EQ(count_tasks_at_work(5), 5);
    const auto crashed = fleet.workers.worker_of(job_id + ".0.0.0");
    fleet.workers.crash(crashed);
    fleet.kill("a");
    fleet.timers.run_for(4500ms);
    fleet.unlist_worker(crashed);
    fleet.timers.run_for(4500ms);
    EXPECT_EQ(count_tasks_at_work(5), 5);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// The list of VMs lags: after a VM returns from maintenance it still shows the former worker, which
// has no tasks. Guards against maintaining the VM again while its new worker runs long-running
// tasks.
TEST_F(fleet_changes, returned_vm_with_tasks_is_not_considered_drained)
{
    fleet.vms.list_lag = 1200ms;
    fleet.workers.default_plan.duration = 600s;
    add_vms(6, 3);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(2s);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 5, 1)), submit_outcome::accepted);
    fleet.timers.run_for(5s);
    ASSERT_EQ(count_tasks_at_work(5), 5);
    fleet.request_wave(wave_of(6, 3));
    EXPECT_LE(longest_interruption(40s, 5), 3000ms);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 6);
}

// Guards against a list from before an order that is taken for the return of the VM: the next VM of
// the wave was ordered while the first one was still in maintenance.
TEST_F(fleet_changes, wave_keeps_its_limit_while_the_list_lags)
{
    fleet.vms.list_lag = 1200ms;
    add_vms(4, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(2s);
    fleet.request_wave(wave_of(4, 1));
    fleet.timers.run_for(30s);
    expect_wave_completed(4);
    EXPECT_EQ(fleet.vms.most_in_maintenance(), 1);
}

// A worker whose registration has expired, for example because the store loses writes, still runs
// its tasks. Guards against considering its VM drained, which stopped several tasks of one step at
// once.
TEST_F(fleet_changes, vm_with_unregistered_worker_is_not_considered_drained)
{
    fleet.workers.default_plan.duration = 600s;
    add_vms(4, 3);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(2s);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 4, 2)), submit_outcome::accepted);
    fleet.timers.run_for(5s);
    ASSERT_EQ(count_tasks_at_work(4), 4);
    const auto worker = fleet.workers.worker_of(job_id + ".0.0.0");
    fleet.vms.vms_without_worker_name.insert(fleet.documents.workers.at(worker).vm);
    fleet.unlist_worker(worker);
    auto wave = wave_of(4, 4);
    wave.vms.emplace_back("s0");
    wave.vms.emplace_back("s1");
    wave.vms.emplace_back("s2");
    fleet.request_wave(wave);
    longest_interruption(20s, 4); // expects at most one interrupted task at a time
}

// The answer to an order arrives after the VM has returned with a new worker. Guards against ending
// the session of the new worker instead of the former one: the tasks of the new worker were started
// elsewhere while they still ran.
TEST_F(fleet_changes, late_answer_to_an_order_does_not_affect_the_new_worker)
{
    fleet.vms.answer_delay = 2300ms;
    add_vms(4, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    fleet.request_wave(wave_of(4, 2));
    for (int number = 0; number < 150; ++number) {
        fleet.leader()->submit(make_job("0000000000000" + std::to_string(100 + number), 1, 4),
                               [](const submit_answer&) {});
        fleet.timers.run_for(100ms);
    }
    fleet.timers.run_for(5s);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 4);
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

// Guards against a write of a wave's status that got no answer and replaces the status that was
// written after it: a completed wave was said to be running.
TEST_F(fleet_changes, late_write_does_not_replace_the_status_of_a_completed_wave)
{
    add_vms(3, 0);
    auto& node = fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    fleet.request_wave(wave_of(3, 3));
    fleet.timers.run_for(10ms); // the leader learns of the wave
    ASSERT_EQ(fleet.store.find("status/1"), nullptr);
    node.store().mode = store_mode::answer_lost;
    node.store().lost_answer_delay = 8s;
    fleet.timers.run_for(200ms); // the status is written for the first time
    node.store().mode = store_mode::serving;
    fleet.timers.run_for(6s);
    expect_wave_completed(3);
    fleet.timers.run_for(6s);
    expect_wave_completed(3);
}

// Guards against new tasks on a VM whose order is in progress: an order without an answer was
// repeated, the second attempt was throttled, and the VM got new tasks although the first attempt
// was still being executed. Here the platform executes few orders at a time and takes longer than
// the order timeout, and demand returns while surplus VMs leave the pool.
TEST_F(fleet_changes, no_task_starts_on_a_vm_with_an_order_in_progress)
{
    fleet.vms.order_delay = 2200ms;
    fleet.vms.order_timeout = 1500ms;
    fleet.vms.max_pending_orders = 3;
    fleet.workers.default_plan.duration = 900ms;
    add_vms(10, 4);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1800ms); // orders to move surplus VMs out are sent
    for (int number = 0; number < 60; ++number) {
        fleet.leader()->submit(
            {make_job("0000000000000" + std::to_string(100 + number), 1, 20), {}},
            [](const submit_answer&) {});
        fleet.timers.run_for(50ms);
    }
    fleet.timers.run_for(10s);
    EXPECT_GT(fleet.vms.move_count(), 0);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
}

// Guards against tasks on a VM that is still to be moved: an order without an answer was repeated,
// the repetition was rejected, and the first attempt was carried out afterwards.
TEST_F(fleet_changes, no_task_starts_on_a_vm_after_only_a_repeated_order_was_rejected)
{
    fleet.vms.order_delay = 5s;
    fleet.vms.order_timeout = 500ms;
    fleet.workers.default_plan.duration = 900ms;
    add_vms(10, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1800ms); // orders to move surplus VMs out are sent
    fleet.vms.refusal = vm_order_status::rejected;
    for (int number = 0; number < 100; ++number) {
        fleet.leader()->submit(
            {make_job("0000000000000" + std::to_string(100 + number), 1, 20), {}},
            [](const submit_answer&) {});
        fleet.timers.run_for(50ms);
    }
    fleet.timers.run_for(5s);
    EXPECT_GT(fleet.vms.move_count(), 0);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
}

// Guards against a move that is carried out late and takes a VM out of the pool that it has been
// moved back to: the repetition of the move was accepted while the first attempt had no answer.
TEST_F(fleet_changes, late_move_does_not_undo_the_next_move_of_its_vm)
{
    fleet.vms.order_delay = 6s;
    fleet.vms.order_timeout = 500ms;
    fleet.workers.default_plan.duration = 900ms;
    add_vms(10, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1800ms); // orders to move surplus VMs out are sent
    fleet.vms.order_delay = 5ms;
    fleet.timers.run_for(1s); // their repetitions are accepted
    ASSERT_LE(fleet.vms.vms_in("rounds"), 3);
    for (int number = 0; number < 120; ++number) {
        fleet.leader()->submit(
            {make_job("0000000000000" + std::to_string(100 + number), 1, 20), {}},
            [](const submit_answer&) {});
        fleet.timers.run_for(200ms);
    }
    EXPECT_GE(fleet.vms.vms_in("rounds"), 5);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
}

// Guards against the same after a change of leaders: the next leader moves the VM back before the
// previous leader's attempt without an answer is carried out.
TEST_F(fleet_changes, late_move_of_a_previous_leader_does_not_undo_the_next_move)
{
    fleet.vms.order_delay = 12s;
    fleet.vms.order_timeout = 500ms;
    fleet.workers.default_plan.duration = 900ms;
    add_vms(10, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(1800ms); // orders to move surplus VMs out are sent
    fleet.vms.order_delay = 5ms;
    fleet.timers.run_for(1s); // their repetitions are accepted
    ASSERT_LE(fleet.vms.vms_in("rounds"), 3);
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    for (int number = 0; number < 140; ++number) {
        fleet.leader()->submit(
            {make_job("0000000000000" + std::to_string(100 + number), 1, 20), {}},
            [](const submit_answer&) {});
        fleet.timers.run_for(200ms);
    }
    EXPECT_GE(fleet.vms.vms_in("rounds"), 5);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
    EXPECT_EQ(fleet.vms.conflicting_orders(), 0);
}

// A maintenance order for a VM that the wave has already maintained has no effect, and the VM keeps
// its worker. Guards against never starting tasks on that worker again.
TEST_F(fleet_changes, workers_get_tasks_after_a_repeated_maintenance_order)
{
    add_vms(3, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(500ms);
    fleet.request_wave(wave_of(3, 3));
    fleet.timers.run_for(400ms); // all VMs are in maintenance, none is recorded as finished
    fleet.kill("a");
    fleet.timers.run_for(20s);
    EXPECT_EQ(fleet.store.find("status/1")->value, "completed");
    const int in_pool = fleet.vms.vms_in("rounds");
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 48)), submit_outcome::accepted);
    fleet.timers.run_for(600ms);
    int workers_with_tasks = 0;
    for (const auto& [worker, info] : fleet.documents.workers) {
        workers_with_tasks += fleet.workers.running(worker) > 0 ? 1 : 0;
    }
    EXPECT_GE(workers_with_tasks, in_pool);
}

// Guards against a new leader that sends orders to VMs before their workers have reported their
// tasks, which stopped those tasks. Here the workers do not answer for a while.
TEST_F(fleet_changes, new_leader_sends_no_vm_orders_before_workers_have_reported)
{
    fleet.workers.default_plan.duration = 600s;
    add_vms(6, 2);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 5, 1)), submit_outcome::accepted);
    fleet.timers.run_for(6s);
    ASSERT_EQ(count_tasks_at_work(5), 5);
    const auto set_workers = [&](testing::worker_mode mode) {
        for (const auto& [worker, info] : fleet.documents.workers) {
            fleet.workers.set_mode(worker, mode);
        }
    };
    fleet.add_node("b");
    fleet.timers.run_for(100ms);
    fleet.kill("a");
    set_workers(testing::worker_mode::unreachable);
    fleet.request_wave(wave_of(6, 6));
    fleet.timers.run_for(3200ms); // within the leases of the tasks
    ASSERT_NE(fleet.leader(), nullptr);
    EXPECT_EQ(count_tasks_at_work(5), 5);
    set_workers(testing::worker_mode::answering);
    fleet.timers.run_for(1500ms);
    EXPECT_GE(count_tasks_at_work(5), 4);
}

// Guards against a new leader that waits three seconds before any order to a VM because it does not
// know which VMs have orders of the previous leader. Rising demand was not served meanwhile.
TEST_F(fleet_changes, new_leader_moves_vms_without_earlier_orders_at_once)
{
    add_vms(4, 20);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(1s);
    fleet.leader()->submit(make_job(job_id, 1, 100), [](const submit_answer&) {});
    fleet.timers.run_for(200ms);
    const int moved_before = fleet.vms.move_count();
    EXPECT_GT(moved_before, 0);
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    for (int number = 0; number < 6; ++number) {
        fleet.leader()->submit(make_job("00000000000000d" + std::to_string(number), 1, 60),
                               [](const submit_answer&) {});
    }
    fleet.timers.run_for(700ms);
    EXPECT_GT(fleet.vms.move_count(), moved_before);
    fleet.timers.run_for(8s);
    EXPECT_EQ(fleet.vms.conflicting_orders(), 0);
}

// Load pattern: a demand peak has moved VMs into the pool, its leader ends, and demand goes on.
// Guards against a new leader that powers VMs off although it knows nothing of the demand yet.
TEST_F(fleet_changes, new_leader_powers_nothing_off_before_it_knows_the_demand)
{
    add_vms(2, 14);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1s);
    fleet.leader()->submit(make_job("00000000000000a2", 1, 160), [](const submit_answer&) {});
    fleet.timers.run_for(2200ms);
    const int pool_size = fleet.vms.vms_in("rounds");
    ASSERT_GE(pool_size, 9);
    fleet.kill("a");
    fleet.add_node("b");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(600ms);
    EXPECT_EQ(fleet.vms.vms_in("rounds"), pool_size);
    // Needs all VMs of the pool and runs for a second.
    fleet.workers.plans_by_job[job_id].duration = 1s;
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 8 * pool_size)), submit_outcome::accepted);
    fleet.timers.run_for(400ms);
    EXPECT_GE(count_tasks_at_work(8 * pool_size), 6 * pool_size);
    fleet.timers.run_for(8s);
    EXPECT_EQ(fleet.vms.conflicting_orders(), 0);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Guards against a new leader that assumes running tasks on each worker of a recently powered-off
// VM: with a roster of 644 workers on 355 VMs, tasks waited for seven seconds.
TEST_F(fleet_changes, tasks_do_not_wait_for_workers_of_powered_off_vms)
{
    fleet.workers.default_plan.duration = 600ms;
    add_vms(10, 2);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    fleet.timers.run_for(4500ms);
    ASSERT_GE(fleet.vms.move_count(), 6); // surplus VMs were just powered off
    ASSERT_EQ(fleet.submit(make_job(job_id, 2, 4)), submit_outcome::accepted);
    fleet.timers.run_for(300ms);
    fleet.kill("a");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Guards against a stale index of workers by VM: a worker that had changed its VM stayed in the
// index of the former VM after its removal, and the next lookup of that VM crashed the process.
TEST_F(fleet_changes, worker_may_register_under_another_vm)
{
    add_vms(3, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    auto info = fleet.documents.workers.begin()->second;
    info.vm = "elsewhere";
    fleet.list_worker(info);
    fleet.timers.run_for(500ms);
    fleet.workers.crash(info.id);
    fleet.unlist_worker(info.id);
    fleet.timers.run_for(15s);
    fleet.request_wave(wave_of(3, 3));
    fleet.timers.run_for(5s);
    EXPECT_NE(fleet.leader(), nullptr);
}

class powered_off_workers : public fleet_changes, public ::testing::WithParamInterface<int> {};

// Guards against starts on the worker of a VM that was just powered off: its registration is there
// for a while, and it is being asked whether it is gone. The demand comes around the end of the
// move.
TEST_P(powered_off_workers, get_no_tasks)
{
    add_vms(6, 0);
    fleet.workers.default_plan.duration = 30s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    const auto registered = fleet.documents.workers;
    const auto run_with_old_registrations = [&](milliseconds span) {
        fleet.timers.run_for(span);
        for (const auto& [worker, info] : registered) {
            if (fleet.documents.workers.count(worker) == 0) {
                fleet.list_worker(info);
            }
        }
    };
    for (int step = 0; step < 600 && fleet.vms.vms_in("rounds") > 2; ++step) {
        run_with_old_registrations(10ms);
    }
    ASSERT_EQ(fleet.vms.vms_in("rounds"), 2);
    run_with_old_registrations(milliseconds(GetParam()));
    for (int number = 0; number < 8; ++number) {
        auto spec = make_job(std::to_string(1000000000000000 + number), 1, 1);
        spec.steps[0].request.millicores = 64000; // a whole VM
        fleet.leader()->submit(std::move(spec), [](const submit_answer&) {});
    }
    fleet.timers.run_for(200ms);
    EXPECT_EQ(fleet.workers.starts_on_stopped_workers(), 0U);
}

INSTANTIATE_TEST_SUITE_P(ms_after_the_order, powered_off_workers, ::testing::Range(1400, 1900, 25));

// Guards against powered-off VMs that cannot be used until the leases of their former workers are
// over, because the next leader finds these workers in the roster.
TEST_F(fleet_changes, new_leader_uses_vms_that_were_just_powered_off)
{
    fleet.workers.default_plan.duration = 30s;
    add_vms(6, 0);
    ASSERT_TRUE(fleet.start_leader_and_standby());
    for (int step = 0; step < 100 && fleet.vms.vms_in("rounds") > 2; ++step) {
        fleet.timers.run_for(100ms);
    }
    ASSERT_EQ(fleet.vms.vms_in("rounds"), 2);
    fleet.nodes.at("a")->election().resign();
    fleet.timers.run_for(20ms);
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 60)), submit_outcome::accepted);
    fleet.timers.run_for(3600ms); // the orders of the first leader are over
    EXPECT_GE(fleet.vms.vms_in("rounds"), 3);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Guards against an entry of another writer that hides the worker of a VM from a wave: the wave
// stood still, or took the VM down under its tasks.
TEST_F(fleet_changes, wave_maintains_a_vm_beside_an_entry_of_another_writer)
{
    fleet.workers.default_plan.duration = 3s;
    add_vms(3, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    worker_registration foreign;
    foreign.id = "other-writer";
    foreign.service = "rounds";
    foreign.address = {"10.9.9.9", 9};
    foreign.vm = "m0";
    foreign.capacity = {64000, 131072, 0};
    foreign.started_at_ms = 1000;
    fleet.list_worker(foreign);
    ASSERT_EQ(fleet.submit(make_job(job_id, 3, 40)), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    fleet.request_wave(wave_of(3, 1));
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 40s));
    fleet.timers.run_for(20s);
    expect_wave_completed(3);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Demand rises within two seconds, stays for a while and falls again. VMs arrive from the standby
// pool in time and return to it, with few repeated moves of one VM.
TEST_F(fleet_changes, pool_size_follows_the_demand_of_a_queue)
{
    add_vms(2, 14);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1s);
    int number = 0;
    const auto submit_for = [&](std::chrono::milliseconds span, int jobs_per_second) {
        for (int elapsed = 0; elapsed < span.count(); elapsed += 1000 / jobs_per_second) {
            auto spec = make_job("00000000000" + std::to_string(10000 + number++), 1, 8);
            fleet.leader()->submit(std::move(spec), [](const submit_answer&) {});
            fleet.timers.run_for(std::chrono::milliseconds(1000 / jobs_per_second));
        }
    };
    submit_for(1s, 6);
    submit_for(4s, 20); // 20 jobs of 8 tasks of 4 cores: 10 VMs
    EXPECT_GE(fleet.vms.vms_in("rounds"), 9);
    fleet.timers.run_for(8s);
    EXPECT_LE(fleet.vms.vms_in("rounds"), 3);
    EXPECT_LE(fleet.vms.move_count(), 34);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Each VM of the pool runs a long-running task, and a job that has missed its objective needs a
// larger part of a VM than is free. Guards against never running the job although standby VMs
// exist.
TEST_F(fleet_changes, late_job_with_large_tasks_completes)
{
    fleet.documents.config.queues[0].stretch = 0.1; // every job is late from its submission
    fleet.documents.config.queues[0].latency_objective = 1ms;
    fleet.workers.plans_by_job[job_id].duration = 1h;
    add_vms(3, 3);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(long_running_job(job_id, 3, 1)), submit_outcome::accepted);
    fleet.timers.run_for(3s);
    auto large = make_job("00000000000000b2", 2, 2);
    for (auto& step : large.steps) {
        step.request.millicores = 62000;
    }
    ASSERT_EQ(fleet.submit(large), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state("00000000000000b2", job_state::completed, 30s));
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Guards against moving VMs whose tasks have ended while the store does not answer: the ends were
// recorded nowhere, so a new leader ran the tasks again.
TEST_F(fleet_changes, vm_with_unrecorded_task_ends_is_not_moved)
{
    fleet.workers.default_plan.duration = 3000ms;
    add_vms(2, 4);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    auto job = make_job(job_id, 1, 4);
    job.steps[0].request.millicores = 60000;
    job.steps[0].estimate = 3000ms;
    ASSERT_EQ(fleet.submit(job), submit_outcome::accepted);
    while (fleet.workers.start_count(job_id + ".0.0.3") == 0) {
        fleet.timers.run_for(20ms);
    }
    fleet.timers.run_for(2500ms);
    for (auto& [name, node] : fleet.nodes) {
        node->store().mode = store_mode::unreachable;
    }
    fleet.timers.run_for(1950ms); // all tasks end before the leader's lease does
    fleet.kill("a");
    fleet.nodes.at("b")->store().mode = store_mode::serving;
    ASSERT_TRUE(fleet.await_state(job_id, job_state::completed, 20s));
    for (int index = 0; index < 4; ++index) {
        EXPECT_EQ(fleet.workers.start_count(task_name{job_id, 0, 0, index}.to_string()), 1);
    }
}

// Guards against completing a wave without a VM that is missing from a single list.
TEST_F(fleet_changes, wave_maintains_a_vm_that_is_missing_from_one_list)
{
    add_vms(4, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    fleet.vms.unlisted_vms = {"m2"};
    fleet.request_wave(wave_of(4, 1));
    fleet.timers.run_for(1s);
    fleet.vms.unlisted_vms.clear();
    fleet.timers.run_for(20s);
    expect_wave_completed(4);
}

// A wave may contain a VM that was just added and is not listed yet.
TEST_F(fleet_changes, wave_maintains_a_vm_that_is_listed_late)
{
    add_vms(4, 0);
    fleet.vms.unlisted_vms = {"m2"};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(10s);
    fleet.request_wave(wave_of(4, 1));
    fleet.timers.run_for(3s);
    fleet.vms.unlisted_vms.clear();
    fleet.timers.run_for(20s);
    expect_wave_completed(4);
}

TEST_F(fleet_changes, wave_completes_without_a_vm_that_has_left_the_fleet)
{
    add_vms(4, 0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(500ms);
    fleet.vms.unlisted_vms = {"m2"};
    fleet.request_wave(wave_of(4, 1));
    fleet.timers.run_for(25s);
    expect_wave_completed(3);
}

} // namespace
} // namespace jl::jobs
