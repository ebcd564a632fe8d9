// Entries of the store that name no worker to use.

#include <string>

#include <gtest/gtest.h>

#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;

const std::string first_job = "00000000000000a1";
const std::string second_job = "00000000000000a2";

// Guards against new tasks on a worker whose entry became unreadable, and against running its
// present tasks a second time.
TEST(odd_entries, worker_whose_entry_becomes_unreadable_gets_no_new_tasks)
{
    test_fleet fleet(2);
    fleet.workers.default_plan.duration = 4s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(first_job, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    const auto task = first_job + ".0.0.0";
    const auto worker = fleet.workers.worker_of(task);
    ASSERT_FALSE(worker.empty());
    fleet.documents.workers.erase(worker); // the test's decoder rejects the entry from now on
    fleet.store.put("servers/" + worker, "unreadable");
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.submit(make_job(second_job, 1, 4)), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    for (int index = 0; index < 4; ++index) {
        const auto name = task_name{second_job, 0, 0, index}.to_string();
        EXPECT_NE(fleet.workers.worker_of(name), worker) << name;
    }
    EXPECT_TRUE(fleet.await_state(first_job, job_state::completed, 5s));
    EXPECT_TRUE(fleet.await_state(second_job, job_state::completed, 20s));
    EXPECT_EQ(fleet.workers.start_count(task), 1);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

// Guards against a leader that waits for a worker, or stops, because of entries that it rejects.
TEST(odd_entries, leader_follows_the_other_entries)
{
    test_fleet fleet(2);
    for (int number = 0; number < 50; ++number) {
        fleet.store.put("servers/odd-" + std::to_string(number), "unreadable");
    }
    fleet.store.put("servers/", "unreadable");
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(first_job, 2, 4)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(first_job, job_state::completed, 10s));
    EXPECT_TRUE(fleet.workers.violations().empty());
}

} // namespace
} // namespace jl::jobs
