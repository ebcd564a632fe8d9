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

// Guards against a filler task that stays slow for good: an order without an answer, sent while a
// serving task came close to its target, takes effect after the orders that ended the slow-down.
TEST(unanswered_paces, late_order_does_not_slow_a_filler_task_for_good)
{
    test_fleet fleet{1};
    fleet.workers.default_plan.duration = 10min;
    fleet.workers.late_order_delay = 10s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(100ms);

    auto serving = make_job("00000000000000a1", 1, 1);
    serving.steps[0].long_running = true;
    serving.steps[0].latency_target = 100ms;
    const auto serving_task = serving.id + ".0.0.0";
    auto filler = make_job("00000000000000a2", 1, 1);
    filler.steps[0].long_running = true;
    filler.steps[0].filler = true;
    const auto filler_task = filler.id + ".0.0.0";
    ASSERT_EQ(fleet.submit(serving), submit_outcome::accepted);
    ASSERT_EQ(fleet.submit(filler), submit_outcome::accepted);
    fleet.timers.run_for(2s);
    ASSERT_EQ(fleet.workers.pace_of(filler_task), 100);

    fleet.workers.loads[serving_task] = 95; // ms
    fleet.workers.set_mode("w0", worker_mode::late_orders);
    fleet.timers.run_for(1500ms);
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.workers.loads[serving_task] = 0;
    fleet.timers.run_for(8s);
    ASSERT_EQ(fleet.workers.pace_of(filler_task), 100);
    fleet.timers.run_for(30s);
    EXPECT_EQ(fleet.workers.pace_of(filler_task), 100);
}

} // namespace
} // namespace jl::jobs
