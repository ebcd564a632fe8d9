// Workers that restart under their ids while orders to their former incarnations are on the way. A
// lease ends at a time on the worker's clock, which starts anew, so such an order grants the
// longest lease that the worker allows.

#include <set>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;
using testing::worker_mode;

const std::string job_id = "00000000000000a1";
const std::string only_task = job_id + ".0.0.0";
const std::string other_job = "00000000000000a2";
const std::string other_task = other_job + ".0.0.0";
// Longer than the leader takes to start a task again.
constexpr auto slow_answers = 20ms;

class restarted_workers : public ::testing::Test {
protected:
    // Starts a leader. The clocks of the workers are well ahead of that of a new incarnation.
    void start_leader(milliseconds max_lease = 6000ms)
    {
        fleet.workers.max_lease = max_lease;
        fleet.workers.default_plan.duration = 9s;
        fleet.renew_registrations(1s);
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        fleet.timers.run_for(12s);
    }

    // Worker w0 starts again with a new clock, and its registration says so.
    void restart_first_worker()
    {
        fleet.workers.restart("w0");
        fleet.list_worker(fleet.workers.registration("w0"));
    }

    // Submits the task and waits until it runs, on worker w0.
    void submit_to_first_worker()
    {
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        while (!fleet.workers.is_running(only_task)) {
            fleet.timers.run_for(1ms);
        }
        ASSERT_EQ(fleet.workers.worker_of(only_task), "w0");
    }

    // Restarts worker w0 and starts the task there before the leader knows of the restart.
    void submit_to_restarted_worker()
    {
        fleet.workers.restart("w0");
        submit_to_first_worker();
        fleet.timers.run_for(fleet.workers.latency + 1ms); // the start is answered
    }

    void cut_off_first_worker(milliseconds duration)
    {
        fleet.workers.set_mode("w0", worker_mode::unreachable);
        fleet.timers.run_for(duration);
        fleet.workers.set_mode("w0", worker_mode::answering);
    }

    // Another node takes over while worker w0, which is unreachable, stays so beyond its lease.
    void replace_leader_during_the_cut()
    {
        fleet.kill("a");
        fleet.add_node("b");
        fleet.timers.run_for(14s);
        fleet.workers.set_mode("w0", worker_mode::answering);
    }

    void expect_completion_without_violation()
    {
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 60s));
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

    test_fleet fleet{2};
};

// (late order delay, time from the start to the worker's restart)
class late_start_after_restart
    : public restarted_workers,
      public ::testing::WithParamInterface<std::tuple<milliseconds, milliseconds>> {};

// Guards against a task that is started elsewhere when the lease has expired that its leader
// counts, while a late start has begun it on the restarted worker.
TEST_P(late_start_after_restart, does_not_run_beside_the_next_run)
{
    const auto [delay, restart_after] = GetParam();
    start_leader();
    fleet.workers.late_order_delay = delay;
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(restart_after);
    restart_first_worker();
    cut_off_first_worker(14s);
    expect_completion_without_violation();
}

// Guards against the same where the worker is cut off before its leader hears of the restart.
TEST_P(late_start_after_restart, does_not_run_beside_the_next_run_if_the_restart_is_unseen)
{
    const auto [delay, restart_after] = GetParam();
    start_leader();
    fleet.workers.late_order_delay = delay;
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(restart_after);
    fleet.renewals_paused = true;
    fleet.workers.restart("w0");
    cut_off_first_worker(20s);
    expect_completion_without_violation();
}

INSTANTIATE_TEST_SUITE_P(moments, late_start_after_restart,
                         ::testing::Combine(::testing::Values(2000ms, 4000ms, 6000ms, 8000ms),
                                            ::testing::Values(100ms, 700ms, 1500ms)));

// Guards against a run that its leader takes for lost with the former incarnation, although the
// restarted worker has accepted it and goes on with it.
TEST_F(restarted_workers, run_of_the_new_incarnation_is_not_lost)
{
    start_leader();
    fleet.workers.latency = slow_answers;
    fleet.renewals_paused = true;
    submit_to_restarted_worker();
    expect_completion_without_violation();
    EXPECT_EQ(fleet.workers.start_count(only_task), 1);
}

// Guards against the same where the restart is learned of from the registration.
TEST_F(restarted_workers, run_of_the_new_incarnation_is_not_lost_by_a_registration)
{
    start_leader();
    fleet.workers.latency = slow_answers;
    fleet.renewals_paused = true;
    submit_to_restarted_worker();
    fleet.list_worker(fleet.workers.registration("w0"));
    expect_completion_without_violation();
    EXPECT_EQ(fleet.workers.start_count(only_task), 1);
}

// Guards against a run of the former incarnation that is kept for one of the new incarnation.
TEST_F(restarted_workers, run_of_the_former_incarnation_starts_again)
{
    start_leader();
    fleet.renewals_paused = true;
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    while (!fleet.workers.is_running(only_task)) {
        fleet.timers.run_for(1ms);
    }
    fleet.timers.run_for(2ms); // the start is answered, but no report has listed the run yet
    ASSERT_EQ(fleet.workers.worker_of(only_task), "w0");
    fleet.workers.restart("w0");
    fleet.timers.run_for(500ms);
    EXPECT_EQ(fleet.workers.start_count(only_task), 2);
    expect_completion_without_violation();
}

// Guards against a healthy gang that starts again because one member was taken for lost.
TEST_F(restarted_workers, gang_on_the_new_incarnation_goes_on)
{
    start_leader();
    fleet.renewals_paused = true;
    fleet.workers.restart("w0");
    auto spec = make_job(job_id, 1, 2);
    spec.steps[0].gang = true;
    spec.steps[0].max_per_worker = 1;
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    expect_completion_without_violation();
    EXPECT_EQ(fleet.workers.start_count(only_task), 1);
}

// Guards against a healthy task that counts as the cause of a crash that preceded its start.
TEST_F(restarted_workers, run_of_the_new_incarnation_is_no_crash_evidence)
{
    start_leader();
    fleet.renewals_paused = true;
    for (const auto* const job : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
        fleet.workers.restart("w0");
        fleet.workers.restart("w1");
        ASSERT_EQ(fleet.submit(make_job(job, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(500ms);
        ASSERT_EQ(fleet.workers.start_count(std::string(job) + ".0.0.0"), 1) << job;
    }
    EXPECT_EQ(fleet.nodes.at("a")->metrics().to_text().find("jl_isolated_starts_total"),
              std::string::npos);
    expect_completion_without_violation();
}

// Guards against a new leader that counts the lease which its predecessor asked for, although an
// order to the former incarnation has got the longest lease from the restarted worker.
TEST_F(restarted_workers, new_leader_counts_the_longest_lease)
{
    start_leader(10000ms);
    fleet.workers.default_plan.duration = 20s;
    fleet.renewals_paused = true;
    submit_to_restarted_worker();
    fleet.list_worker(fleet.workers.registration("w0"));
    fleet.timers.run_for(200ms);
    fleet.kill("a");
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.add_node("b");
    fleet.timers.run_for(14s);
    fleet.workers.set_mode("w0", worker_mode::answering);
    expect_completion_without_violation();
}

// Guards against the same where only the worker's clock tells of the restart.
TEST_F(restarted_workers, new_leader_counts_the_longest_lease_after_a_new_clock)
{
    start_leader(10000ms);
    fleet.workers.default_plan.duration = 20s;
    fleet.renewals_paused = true;
    submit_to_restarted_worker();
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.timers.run_for(100ms);
    replace_leader_during_the_cut();
    expect_completion_without_violation();
}

// Guards against the same where neither leader hears of the restart.
TEST_F(restarted_workers, new_leader_counts_the_longest_lease_after_an_unseen_restart)
{
    start_leader(10000ms);
    fleet.workers.default_plan.duration = 20s;
    fleet.renewals_paused = true;
    submit_to_restarted_worker();
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.timers.run_for(2ms);
    replace_leader_during_the_cut();
    expect_completion_without_violation();
}

// Guards against a leader that counts the lease it asked for, although a restarted worker has taken
// the start, whose answer is lost, and the leader hears nothing more of the worker.
TEST_F(restarted_workers, unanswered_start_after_an_unseen_restart_is_counted_in_full)
{
    start_leader(10000ms);
    fleet.workers.default_plan.duration = 20s;
    fleet.renewals_paused = true;
    fleet.workers.restart("w0");
    fleet.workers.set_mode("w0", worker_mode::answer_lost);
    submit_to_first_worker();
    cut_off_first_worker(14s);
    expect_completion_without_violation();
}

// Guards against the same after a prompt start, whose answer is the first sign of the restart.
TEST_F(restarted_workers, lease_granted_across_a_restart_is_counted_in_full)
{
    start_leader();
    fleet.renewals_paused = true;
    fleet.workers.restart("w0");
    submit_to_first_worker();
    cut_off_first_worker(14s); // the answer is on its way, the stop that follows gets lost
    expect_completion_without_violation();
}

// Guards against a new leader that counts only the lease of its predecessor, whose late start
// begins a task on a worker that has restarted.
TEST_F(restarted_workers, new_leader_waits_for_late_starts_on_a_restarted_worker)
{
    start_leader();
    fleet.workers.late_order_delay = 9s;
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(100ms);
    fleet.kill("a");
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.add_node("b");
    ASSERT_TRUE(fleet.await_leader());
    restart_first_worker();
    cut_off_first_worker(14s);
    expect_completion_without_violation();
}

class unseen_restarts : public ::testing::Test {
protected:
    void start_leader()
    {
        fleet.workers.default_plan.duration = 20s;
        fleet.renew_registrations(1s);
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        fleet.timers.run_for(12s);
        fleet.renewals_paused = true;
    }

    void restart(const std::string& id, bool lists_itself)
    {
        fleet.workers.restart(id);
        if (lists_itself) {
            fleet.list_worker(fleet.workers.registration(id));
        }
    }

    // Starts a leader. Worker w0 restarts while a start is open that it will carry out 9 s after it
    // was sent.
    void restart_with_an_open_start()
    {
        start_leader();
        fleet.workers.late_order_delay = 9s;
        fleet.workers.refuse_starts("w1", order_status::no_room);
        fleet.workers.set_mode("w0", worker_mode::late_orders);
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(100ms);
        restart("w0", true);
        fleet.timers.run_for(50ms);
        fleet.workers.set_mode("w0", worker_mode::answering);
    }

    bool await_running(const std::string& task, milliseconds limit = 3000ms)
    {
        const auto end = fleet.timers.now() + limit;
        while (fleet.timers.now() < end && !fleet.workers.is_running(task)) {
            fleet.timers.run_for(1ms);
        }
        return fleet.workers.is_running(task);
    }

    void expect_no_violation()
    {
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

    test_fleet fleet{2};
};

// Guards against a late start on the third incarnation of a worker, whose stop only the second has
// confirmed.
TEST_F(unseen_restarts, stray_confirmed_by_the_former_incarnation_is_stopped_on_the_next)
{
    start_leader();
    fleet.workers.late_order_delay = 6000ms;
    fleet.workers.refuse_starts("w1", order_status::no_room);
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(50ms); // the first attempt is on its way
    fleet.workers.refuse_starts("w0", order_status::no_room);
    fleet.workers.refuse_starts("w1", order_status::accepted);
    fleet.workers.set_mode("w0", worker_mode::answering);
    ASSERT_TRUE(await_running(only_task, 4000ms));
    ASSERT_EQ(fleet.workers.worker_of(only_task), "w1");
    fleet.workers.refuse_starts("w0", order_status::accepted);
    restart("w0", true);       // the open start is stopped on the new incarnation
    fleet.timers.run_for(6ms); // which confirms that
    restart("w0", true);
    fleet.workers.set_mode("w0", worker_mode::late_orders); // stops are late, holds are answered
    fleet.workers.late_order_delay = 12s;
    fleet.timers.run_for(2000ms);
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.timers.run_for(8s);
    expect_no_violation();
}

// Guards against a next leader that isolates a healthy task because the incarnation before the one
// that runs it has ended.
TEST_F(unseen_restarts, next_leader_does_not_confirm_evidence_against_a_run_of_the_new_incarnation)
{
    start_leader();
    fleet.workers.plans_by_job[job_id] = {6000ms, 1};
    restart("w0", false);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(await_running(only_task));
    const auto first = fleet.workers.worker_of(only_task);
    fleet.timers.run_for(2ms);
    fleet.workers.set_mode(first, worker_mode::unreachable);
    fleet.timers.run_for(1800ms);
    fleet.kill("a");
    fleet.add_node("b");
    fleet.timers.run_for(50ms);
    fleet.workers.set_mode(first, worker_mode::answering);
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(8s); // the run fails by itself and starts again
    EXPECT_EQ(fleet.workers.start_count(only_task), 2);
    EXPECT_EQ(fleet.nodes.at("b")->metrics().to_text().find("jl_isolated_starts_total"),
              std::string::npos);
    expect_no_violation();
}

// Guards against holds without a pause while a stop on the new incarnation gets no answer.
TEST_F(unseen_restarts, holds_wait_while_a_stop_is_unanswered)
{
    start_leader();
    fleet.workers.late_order_delay = 15s;
    fleet.workers.refuse_starts("w1", order_status::no_room);
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(100ms);
    restart("w0", true);
    fleet.timers.run_for(500ms);
    const auto before = fleet.workers.holds();
    fleet.timers.run_for(3s);
    EXPECT_LE(fleet.workers.holds() - before, 30U); // the shortest wait of a hold is 100 ms
}

// Guards against a lease that a late start of a former incarnation's run prolongs for other tasks.
TEST_F(unseen_restarts, late_start_prolongs_the_lease_of_other_tasks)
{
    restart_with_an_open_start();
    fleet.timers.run_for(2500ms); // the stop has been confirmed
    fleet.workers.refuse_starts("w1", order_status::no_room);
    ASSERT_EQ(fleet.submit(make_job(other_job, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(await_running(other_task));
    ASSERT_EQ(fleet.workers.worker_of(other_task), "w0");
    fleet.workers.refuse_starts("w1", order_status::accepted);
    fleet.timers.run_for(6500ms); // the late start has arrived
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.timers.run_for(14s);
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.timers.run_for(2s);
    expect_no_violation();
}

// Guards against a next leader that counts the longest lease from its own start, although an order
// of its predecessor to a former incarnation is still open.
TEST_F(unseen_restarts, next_leader_counts_late_orders_of_its_predecessor_to_a_former_incarnation)
{
    start_leader();
    fleet.workers.latency = 100ms; // the leader is lost before the restarted worker has seen more
    fleet.timers.run_for(3s);
    fleet.workers.late_order_delay = 9s;
    fleet.workers.refuse_starts("w1", order_status::no_room);
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(20ms); // the start is on its way
    fleet.workers.restart("w0");
    fleet.workers.set_mode("w0", worker_mode::answering);
    ASSERT_EQ(fleet.submit(make_job(other_job, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(await_running(other_task, 300ms));
    ASSERT_EQ(fleet.workers.worker_of(other_task), "w0");
    fleet.timers.run_for(120ms); // the leader has heard of the restart and has recorded it
    fleet.kill("a");
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.workers.refuse_starts("w1", order_status::accepted);
    fleet.add_node("b");
    fleet.timers.run_for(16s);
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.timers.run_for(2s);
    expect_no_violation();
}

// Guards against a leader that is deposed by a worker that it has forgotten and meets again: the
// worker has seen a higher token of this leader than a new session would begin with.
TEST_F(unseen_restarts, worker_that_is_listed_again_has_seen_no_later_leader)
{
    restart_with_an_open_start();
    fleet.workers.refuse_starts("w0", order_status::no_room);
    fleet.workers.refuse_starts("w1", order_status::accepted);
    fleet.timers.run_for(2500ms);
    const auto term = fleet.nodes.at("a")->election().leader()->term;
    fleet.unlist_worker("w0");
    fleet.timers.run_for(60s); // the leader forgets it
    fleet.list_worker(fleet.workers.registration("w0"));
    fleet.timers.run_for(3s);
    ASSERT_TRUE(fleet.nodes.at("a")->election().leader());
    EXPECT_EQ(fleet.nodes.at("a")->election().leader()->term, term);
}

// Guards against a next leader that counts too short a lease because its predecessor, which knew of
// the restart, could not record it.
TEST_F(unseen_restarts, next_leader_counts_the_longest_lease_though_the_roster_was_not_written)
{
    start_leader();
    fleet.workers.refuse_starts("w1", order_status::no_room);
    fleet.workers.restart("w0");
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(await_running(only_task));
    fleet.nodes.at("a")->store().lost_commits = "jl/roster/";
    fleet.timers.run_for(700ms);
    fleet.kill("a");
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.workers.refuse_starts("w1", order_status::accepted);
    fleet.add_node("b");
    fleet.timers.run_for(14s);
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.timers.run_for(2s);
    expect_no_violation();
}

// Guards against a task that starts by the labels and capacity of the former incarnation.
TEST_F(unseen_restarts, task_with_a_requirement_waits_for_the_registration_of_the_new_incarnation)
{
    start_leader();
    fleet.workers.refuse_starts("w1", order_status::no_room);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(await_running(only_task));
    fleet.timers.run_for(1500ms);
    fleet.workers.restart("w0"); // noticed by the hold; the registration is that of the former one
    fleet.timers.run_for(200ms);
    auto spec = make_job(other_job, 1, 1);
    spec.steps[0].required_label = "kind";
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_EQ(fleet.workers.start_count(other_task), 0);
}

// Guards against a healthy task that is given up: its runs lapse on workers that have restarted
// unseen and are cut off right after; no worker crashes under it.
TEST(unseen_restarts_in_series, healthy_task_on_unseen_restarts_that_are_cut_off_is_not_given_up)
{
    test_fleet fleet{5};
    fleet.workers.max_lease = 10000ms;
    fleet.workers.default_plan.duration = 20s;
    fleet.renew_registrations(1s);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(12s);
    fleet.renewals_paused = true;
    std::set<std::string> used;
    const auto restart_idle = [&fleet, &used] {
        for (int number = 0; number < 5; ++number) {
            const auto id = "w" + std::to_string(number);
            if (used.count(id) == 0) {
                fleet.workers.restart(id);
            }
        }
    };
    restart_idle();
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    for (int round = 0; round < 3; ++round) {
        for (int waited = 0; waited < 20000 && !fleet.workers.is_running(only_task); ++waited) {
            fleet.timers.run_for(1ms);
        }
        ASSERT_TRUE(fleet.workers.is_running(only_task)) << round;
        const auto worker = fleet.workers.worker_of(only_task);
        used.insert(worker);
        fleet.timers.run_for(2ms); // the start is answered
        fleet.workers.set_mode(worker, worker_mode::unreachable);
        restart_idle();
        for (int waited = 0; waited < 20000 && fleet.workers.start_count(only_task) == round + 1;
             ++waited) {
            fleet.timers.run_for(1ms);
        }
        fleet.workers.set_mode(worker, worker_mode::answering);
    }
    EXPECT_EQ(fleet.workers.crash_count(only_task), 0);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 60s));
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

// Guards against a task on a worker of a service that the job's record does not name: the next
// leader would not wait for that worker's report.
TEST(changed_service, is_recorded_before_a_task_starts_there)
{
    test_fleet fleet(1);
    fleet.list_worker(fleet.workers.add("c0", "crews"));
    fleet.list_worker(fleet.workers.add("p0", "calls"));
    fleet.workers.default_plan.duration = 9s;
    auto draining = fleet.workers.registration("w0");
    draining.draining = true;
    fleet.list_worker(draining);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    const auto route_to = [&fleet](const char* service) {
        fleet.documents.config.queues[0].service = service;
        ++fleet.documents.config.version;
        fleet.store.put(fleet.documents.config_key(), "");
    };
    fleet.nodes.at("a")->store().lost_commits = "jl/job/";
    route_to("crews");
    fleet.timers.run_for(1s);
    fleet.kill("a");
    fleet.workers.set_mode("c0", worker_mode::unreachable);
    route_to("calls");
    fleet.add_node("b");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

} // namespace
} // namespace jl::jobs
