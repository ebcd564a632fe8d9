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

// A fleet with one job of two long tasks on one worker.
class foreign_entries : public ::testing::Test {
protected:
    void SetUp() override
    {
        fleet.workers.default_plan.duration = 9s;
        fleet.renew_registrations(1s);
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        auto spec = make_job(first_job, 1, 2);
        spec.steps[0].request = {2000, 1024, 0};
        ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
        fleet.timers.run_for(1s);
        worker = fleet.workers.worker_of(first_job + ".0.0.0");
        ASSERT_FALSE(worker.empty());
    }

    // Another writer claims that a worker of this service has replaced the one with the tasks.
    void put_foreign_entry(const std::string& service)
    {
        auto entry = fleet.workers.registration(worker);
        entry.id = "other-writer";
        entry.service = service;
        entry.address = {"10.9.9.9", 9};
        entry.started_at_ms += 100;
        fleet.list_worker(entry);
    }

    void expect_each_task_runs_once()
    {
        EXPECT_TRUE(fleet.await_state(first_job, job_state::completed, 12s));
        for (const auto* const task : {".0.0.0", ".0.0.1"}) {
            EXPECT_EQ(fleet.workers.start_count(first_job + task), 1) << task;
        }
        EXPECT_TRUE(fleet.workers.violations().empty());
    }

    test_fleet fleet{2};
    std::string worker;
};

// Guards against the loss of a worker's running tasks through an entry of another writer, whose
// service no configuration names: the tasks were started a second time beside themselves.
TEST_F(foreign_entries, entry_of_a_service_that_is_not_configured_ends_no_worker)
{
    put_foreign_entry("inventory");
    expect_each_task_runs_once();
    EXPECT_EQ(fleet.workers.holds_to_unknown_workers(), 0U);
}

} // namespace
} // namespace jl::jobs
