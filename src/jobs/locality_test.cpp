// Tasks that prefer a rack, in virtual time.

#include <string>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;

constexpr task_resources task_size{4000, 4096, 0}; // of make_job()
const std::string first_task = ".0.0.0";

std::string job_id(int number)
{
    const auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

// A pool with one worker of one task on rack "r0" and three large ones on rack "r1".
class locality : public ::testing::Test {
protected:
    locality() : fleet(0)
    {
        fleet.workers.remote_slowdown_factor = 3.0;
        add_worker("near", "r0", task_size);
        for (const auto* const worker : {"far1", "far2", "far3"}) {
            add_worker(worker, "r1", {64000, 131072, 0});
        }
        fleet.add_node("a");
        EXPECT_TRUE(fleet.await_leader());
    }

    void add_worker(const std::string& id, const std::string& rack, const task_resources& capacity)
    {
        auto info = fleet.workers.add(id, "rounds", capacity);
        info.rack = rack;
        info.labels = {"a", rack};
        fleet.list_worker(info);
    }

    // Submits a job with one task that prefers rack "r0" and runs for `duration`, as estimated.
    void submit(int number, milliseconds duration)
    {
        fleet.workers.plans_by_job[job_id(number)].duration = duration;
        auto spec = make_job(job_id(number), 1, 1);
        spec.steps[0].preferred_rack = "r0";
        spec.steps[0].estimate = duration;
        ASSERT_EQ(fleet.submit(spec, 200ms), submit_outcome::accepted);
        fleet.timers.run_for(20ms);
    }

    std::string worker_of(int number) const
    {
        return fleet.workers.worker_of(job_id(number) + first_task);
    }

    test_fleet fleet;
};

// Guards against a start on another rack, three times as long, right before the rack is free.
TEST_F(locality, task_waits_while_its_rack_is_free_soon)
{
    submit(0, 500ms);
    ASSERT_EQ(worker_of(0), "near");
    submit(1, 1000ms);
    EXPECT_EQ(worker_of(1), "");
    fleet.timers.run_for(700ms);
    EXPECT_EQ(worker_of(1), "near");
}

// Guards against a wait that costs more than it saves.
TEST_F(locality, task_starts_elsewhere_if_its_rack_is_busy_for_long)
{
    submit(0, 5000ms);
    ASSERT_EQ(worker_of(0), "near");
    submit(1, 1000ms);
    EXPECT_NE(worker_of(1), "");
    EXPECT_NE(worker_of(1), "near");
}

// Load pattern: many jobs want one rack. Guards against jobs that starve there and against other
// racks that stay empty.
TEST_F(locality, hot_rack_sends_the_rest_elsewhere)
{
    constexpr int jobs = 12;
    submit(0, 400ms);
    for (int number = 1; number < jobs; ++number) {
        submit(number, 1000ms);
    }
    int elsewhere = 0;
    for (int number = 1; number < jobs; ++number) {
        const auto worker = worker_of(number);
        elsewhere += !worker.empty() && worker != "near" ? 1 : 0;
    }
    EXPECT_GE(elsewhere, jobs - 3);
    for (int number = 0; number < jobs; ++number) {
        EXPECT_TRUE(fleet.await_state(job_id(number), job_state::completed, 6s)) << number;
    }
}

// Guards against a wait for a rack whose worker does not answer any more or whose tasks stand
// still.
TEST_F(locality, wait_ends_although_the_rack_stays_busy)
{
    submit(0, 600ms);
    ASSERT_EQ(worker_of(0), "near");
    fleet.workers.set_mode("near", testing::worker_mode::unreachable);
    submit(1, 1000ms);
    // The wait is worth 2 s at the most, and the task takes one.
    EXPECT_TRUE(fleet.await_state(job_id(1), job_state::completed, 3500ms));
}

// Guards against a gang that is spread over racks while one rack has room for all of it.
TEST_F(locality, gang_gets_one_rack_if_there_is_one)
{
    auto gang = make_job(job_id(0), 1, 4);
    gang.steps[0].gang = true;
    gang.steps[0].same_rack = true;
    ASSERT_EQ(fleet.submit(gang, 200ms), submit_outcome::accepted);
    fleet.timers.run_for(50ms);
    for (int member = 0; member < 4; ++member) {
        const auto worker = fleet.workers.worker_of(job_id(0) + ".0.0." + std::to_string(member));
        EXPECT_EQ(worker.substr(0, 3), "far") << member;
    }
}

} // namespace
} // namespace jl::jobs
