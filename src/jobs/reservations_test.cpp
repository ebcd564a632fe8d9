// Workers that are kept free for one job while others could use them.

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

const std::string present_job = "00000000000000a1";
const std::string waiting_job = "00000000000000b1";
const std::string short_job = "00000000000000c1";

// Returns a job of `steps` independent steps with long-running tasks.
job_spec make_long_running_job(const std::string& id, int steps, int tasks_per_step,
                               task_resources request)
{
    auto spec = make_job(id, steps, tasks_per_step);
    for (auto& step : spec.steps) {
        step.after.clear();
        step.request = request;
        step.long_running = true;
        step.max_per_worker = 1;
    }
    return spec;
}

job_spec make_short_job(const std::string& id)
{
    auto spec = make_job(id, 1, 2);
    spec.steps[0].request = {1000, 512, 0};
    return spec;
}

// Guards against a long-running job without room that closes the pool: each of its steps kept one
// worker free although nothing there would end.
TEST(reservations, long_running_tasks_do_not_wait_for_each_other)
{
    test_fleet fleet(8);
    fleet.workers.plans_by_job[present_job].duration = 1h;
    fleet.workers.plans_by_job[waiting_job].duration = 1h;
    fleet.workers.plans_by_job[short_job].duration = 300ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.submit(make_long_running_job(present_job, 1, 8, {5000, 64000, 0}));
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.workers.started_runs(), 8U);
    fleet.submit(make_long_running_job(waiting_job, 8, 1, {5000, 68000, 0}));
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.workers.started_runs(), 8U); // the second job has no room
    fleet.submit(make_short_job(short_job));
    EXPECT_TRUE(fleet.await_state(short_job, job_state::completed, 3s));
}

// Guards against the same where short tasks will end, but take their time: half of the pool stays
// open to other jobs.
TEST(reservations, waiting_tasks_leave_half_of_the_pool_open)
{
    test_fleet fleet(8);
    fleet.workers.plans_by_job[present_job].duration = 30s;
    fleet.workers.plans_by_job[waiting_job].duration = 1h;
    fleet.workers.plans_by_job[short_job].duration = 300ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto present = make_job(present_job, 1, 8);
    present.steps[0].request = {1000, 512, 0};
    present.steps[0].max_per_worker = 1;
    fleet.submit(present);
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.workers.started_runs(), 8U);
    fleet.submit(make_long_running_job(waiting_job, 8, 1, {64000, 68000, 0}));
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.workers.started_runs(), 8U);
    fleet.submit(make_short_job(short_job));
    EXPECT_TRUE(fleet.await_state(short_job, job_state::completed, 3s));
}

// Guards against a gang that is never started again after a worker was lost under it, because its
// members need more workers than are kept free for suspects.
TEST(reservations, gang_over_half_of_the_pool_starts_again_after_a_crash)
{
    test_fleet fleet(9);
    fleet.workers.default_plan.duration = 8s;
    fleet.renew_registrations(1s);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto gang = make_job(present_job, 1, 13);
    gang.steps[0].request = {20000, 512, 0};
    gang.steps[0].gang = true;
    fleet.submit(gang);
    fleet.timers.run_for(300ms);
    const auto lost = fleet.workers.worker_of(present_job + ".0.0.0");
    ASSERT_NE(lost, "");
    fleet.workers.set_mode(lost, worker_mode::unreachable);
    fleet.timers.run_for(4500ms);
    fleet.workers.restart(lost);
    fleet.workers.set_mode(lost, worker_mode::answering);
    fleet.list_worker(fleet.workers.registration(lost));
    EXPECT_TRUE(fleet.await_state(present_job, job_state::completed, 14s));
    EXPECT_EQ(fleet.workers.start_count(present_job + ".0.0.0"), 2);
}

// Guards against workers that are kept free for a gang that has no room: other jobs would wait.
TEST(reservations, gang_without_room_keeps_no_worker_free)
{
    test_fleet fleet(4);
    fleet.workers.plans_by_job[waiting_job].duration = 20s;
    fleet.workers.plans_by_job[present_job].duration = 1h;
    fleet.renew_registrations(1s);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto gang = make_job(waiting_job, 1, 4);
    gang.steps[0].request = {40000, 512, 0};
    gang.steps[0].gang = true;
    fleet.submit(gang);
    fleet.timers.run_for(300ms);
    const auto lost = fleet.workers.worker_of(waiting_job + ".0.0.0");
    ASSERT_NE(lost, "");
    fleet.workers.set_mode(lost, worker_mode::unreachable); // for good: three are left for four
    fleet.timers.run_for(8s);
    ASSERT_FALSE(fleet.workers.is_running(waiting_job + ".0.0.1"));
    fleet.submit(make_long_running_job(present_job, 1, 2, {30000, 512, 0}));
    fleet.timers.run_for(1s);
    for (int number = 0; number < 6; ++number) {
        auto spec = make_short_job(std::to_string(1000000000000000 + number));
        fleet.workers.plans_by_job[spec.id].duration = 300ms;
        spec.steps[0].request = {30000, 512, 0};
        fleet.submit(spec);
        EXPECT_TRUE(fleet.await_state(spec.id, job_state::completed, 3s)) << number;
    }
}

// Guards against a large task that never starts because small ones take the place of each one that
// ends.
TEST(reservations, long_running_task_gets_room_in_a_stream_of_short_ones)
{
    test_fleet fleet(1);
    fleet.workers.plans_by_job[waiting_job].duration = 1h;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    int submitted = 0;
    const auto submit_short_jobs = [&](int count) {
        for (int number = 0; number < count; ++number) {
            auto spec = make_job(std::to_string(1000000000000000 + submitted++), 1, 1);
            spec.steps[0].request = {8000, 512, 0};
            fleet.leader()->submit(spec, [](const submit_answer&) {});
        }
    };
    submit_short_jobs(8);
    fleet.timers.run_for(100ms);
    fleet.submit(make_long_running_job(waiting_job, 1, 1, {64000, 68000, 0}));
    for (int round = 0; round < 20; ++round) {
        submit_short_jobs(1);
        fleet.timers.run_for(100ms);
    }
    EXPECT_TRUE(fleet.workers.is_running(waiting_job + ".0.0.0"));
}

} // namespace
} // namespace jl::jobs
