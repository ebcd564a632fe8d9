// A start without an answer may be carried out seconds later, whatever later attempts are answered.

#include <string>

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

class unanswered_starts_test : public ::testing::Test {
protected:
    // Sends attempts of the task's start to worker w0, which carries them out after `delay`. Later
    // starts can only go to w1.
    void start_without_an_answer(milliseconds delay = 3000ms)
    {
        fleet.workers.default_plan.duration = 1500ms;
        fleet.workers.late_order_delay = delay;
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        fleet.timers.run_for(100ms);
        fleet.workers.set_mode("w0", worker_mode::delayed);
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(200ms);
        ASSERT_EQ(fleet.workers.start_count(only_task), 0);
        auto draining = fleet.workers.registration("w0");
        draining.draining = true;
        fleet.list_worker(draining);
        fleet.list_worker(fleet.workers.add("w1", "rounds"));
        fleet.workers.set_mode("w0", worker_mode::answering);
    }

    void expect_completion_without_violation()
    {
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 20s));
        fleet.timers.run_for(5s);
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

    test_fleet fleet{1};
};

class refused_repetition : public unanswered_starts_test,
                           public ::testing::WithParamInterface<order_status> {};

// Guards against a task that runs twice: a refusal of the repeated start was taken for the outcome
// of all attempts, the task was started elsewhere, and the first attempt was carried out after all.
TEST_P(refused_repetition, task_does_not_run_twice)
{
    start_without_an_answer();
    fleet.workers.refuse_starts("w0", GetParam());
    fleet.timers.run_for(800ms);
    fleet.workers.refuse_starts("w0", order_status::accepted);
    expect_completion_without_violation();
}

INSTANTIATE_TEST_SUITE_P(reasons, refused_repetition,
                         ::testing::Values(order_status::no_room, order_status::unhealthy,
                                           order_status::ticket_rejected, order_status::rejected,
                                           order_status::lease_too_late),
                         [](const auto& info) { return to_string(info.param); });

// Guards against a task that runs twice: the worker rejected the order to stop it, which was taken
// for the end of all attempts to start it.
TEST_F(unanswered_starts_test, rejected_stop_does_not_settle_an_open_start)
{
    start_without_an_answer();
    fleet.workers.refuse_starts("w0", order_status::no_room);
    fleet.workers.refuse_stops("w0", order_status::rejected);
    fleet.timers.run_for(800ms);
    fleet.workers.refuse_starts("w0", order_status::accepted);
    fleet.timers.run_for(1500ms);
    fleet.workers.refuse_stops("w0", order_status::accepted);
    expect_completion_without_violation();
}

class restart_with_open_start : public unanswered_starts_test,
                                public ::testing::WithParamInterface<milliseconds> {};

// Guards against a task that runs twice: an attempt without an answer is carried out by the next
// incarnation of its worker, although a later attempt was accepted and the run was lost or has
// ended.
TEST_P(restart_with_open_start, task_does_not_run_twice)
{
    start_without_an_answer();
    fleet.timers.run_for(GetParam());
    ASSERT_EQ(fleet.workers.start_count(only_task), 1);
    fleet.workers.restart("w0");
    fleet.timers.run_for(20ms);
    fleet.list_worker(fleet.workers.registration("w0"));
    expect_completion_without_violation();
}

INSTANTIATE_TEST_SUITE_P(moments, restart_with_open_start, ::testing::Values(300ms, 1000ms, 2200ms),
                         [](const auto& info) {
                             return "after_" + std::to_string(info.param.count()) + "_ms";
                         });

// Guards against a task that runs again after its end: a start of a former leader reaches the new
// incarnation of its worker, which has not seen the present leader's fencing token yet.
TEST_F(unanswered_starts_test, start_of_a_former_leader_is_fenced_after_a_restart)
{
    start_without_an_answer(8s);
    fleet.kill("a");
    fleet.add_node("b");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_TRUE(fleet.await_state(job_id, job_state::completed, 4s));
    fleet.workers.restart("w0");
    fleet.list_worker(fleet.workers.registration("w0"));
    fleet.timers.run_for(8s);
    expect_completion_without_violation();
    EXPECT_EQ(fleet.workers.start_count(only_task), 1);
}

// Guards against a start of a former leader without an answer that the next incarnation of its
// worker carries out beside the run that the present leader has started meanwhile.
TEST(unanswered_starts, start_of_former_leader_does_not_run_beside_its_successor)
{
    for (int restart_ms = 0; restart_ms < 800; restart_ms += 100) {
        SCOPED_TRACE("restart after " + std::to_string(restart_ms) + " ms");
        test_fleet fleet{2};
        fleet.workers.late_order_delay = 3500ms;
        fleet.workers.default_plan.duration = 8s;
        ASSERT_TRUE(fleet.start_leader_and_standby());
        fleet.workers.set_mode("w0", worker_mode::late_orders);
        fleet.workers.set_mode("w1", worker_mode::late_orders);
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(1900ms);
        fleet.kill("a");
        ASSERT_TRUE(fleet.await_leader());
        for (auto waited = 0ms; waited < 9s && !fleet.workers.is_running(only_task);
             waited += 5ms) {
            fleet.timers.run_for(5ms);
        }
        const auto worker = fleet.workers.worker_of(only_task);
        ASSERT_FALSE(worker.empty());
        fleet.workers.set_mode(worker == "w0" ? "w1" : "w0", worker_mode::answering);
        fleet.timers.run_for(100ms + milliseconds(restart_ms));
        fleet.workers.restart(worker);
        fleet.workers.set_mode(worker, worker_mode::unreachable);
        fleet.list_worker(fleet.workers.registration(worker));
        fleet.timers.run_for(2s);
        fleet.workers.set_mode(worker, worker_mode::answering);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }
}

} // namespace
} // namespace jl::jobs
