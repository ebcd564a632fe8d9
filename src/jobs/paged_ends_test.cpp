// More tasks end on a worker than it lists in one report.

#include <string>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;

constexpr int job_count = 32;
constexpr int tasks_per_job = 20;

std::string job_id(int number)
{
    return std::to_string(1000000000000000 + number);
}

// A fleet of one worker, on which the tasks of all jobs start at about the same time.
class paged_ends : public ::testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(fleet.start_leader_and_standby());
        for (int number = 0; number < job_count; ++number) {
            auto spec = make_job(job_id(number), 1, tasks_per_job);
            spec.steps[0].request = {90, 128, 0};
            fleet.leader()->submit(spec, [](const submit_answer&) {});
        }
    }

    void expect_each_task_runs_once()
    {
        for (int number = 0; number < job_count; ++number) {
            EXPECT_TRUE(fleet.await_state(job_id(number), job_state::completed, 20s));
            for (int index = 0; index < tasks_per_job; ++index) {
                const auto name = task_name{job_id(number), 0, 0, index}.to_string();
                EXPECT_EQ(fleet.workers.start_count(name), 1) << name;
            }
        }
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

    test_fleet fleet{1};
};

// Guards against a new leader that takes a task for one that runs nowhere because its end is not on
// the first page.
TEST_F(paged_ends, new_leader_reads_all_pages_before_it_starts_tasks_again)
{
    fleet.workers.default_plan.duration = 2000ms;
    fleet.timers.run_for(1900ms);
    ASSERT_EQ(fleet.workers.running("w0"), job_count * tasks_per_job);
    fleet.kill("a");
    expect_each_task_runs_once();
}

// Guards against the same conclusion about a task that this leader has started.
TEST_F(paged_ends, task_whose_end_is_on_a_later_page_has_not_vanished)
{
    fleet.workers.default_plan.duration = 1000ms;
    expect_each_task_runs_once();
}

// Guards against a worker whose lease runs out while its leader reads the pages in a slow store.
TEST_F(paged_ends, new_leader_with_a_slow_store_reads_all_pages)
{
    fleet.workers.default_plan.duration = 2000ms;
    fleet.timers.run_for(1900ms);
    fleet.nodes.at("b")->store().latency = 250ms;
    fleet.kill("a");
    expect_each_task_runs_once();
}

} // namespace
} // namespace jl::jobs
