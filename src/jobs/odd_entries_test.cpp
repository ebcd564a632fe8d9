// Entries of the store that name no worker to use.

#include <functional>
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

    // The item of the worker with the tasks states a later start from now on; `change` may damage
    // it further.
    void overwrite_entry(const std::function<void(worker_registration&)>& change = nullptr)
    {
        fleet.renewals_paused = true;
        auto entry = fleet.workers.registration(worker);
        entry.started_at_ms += 100;
        if (change) {
            change(entry);
        }
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

// Guards against the same through an entry whose service the configuration names: an entry alone
// ended the session with the worker, which went on running its tasks.
TEST_F(foreign_entries, entry_of_a_configured_service_ends_no_worker)
{
    put_foreign_entry("rounds");
    expect_each_task_runs_once();
    ASSERT_EQ(fleet.submit(make_job(second_job, 1, 8)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_GT(fleet.workers.running(worker), 0) << "the worker must stay in use";
}

// Guards against a healthy job that is given up: each such entry counted as a crash of the worker.
TEST_F(foreign_entries, entries_for_one_worker_after_the_other_are_no_crashes)
{
    for (int number = 0; number < 4; ++number) {
        worker = "w" + std::to_string(number % 2);
        put_foreign_entry("rounds");
        fleet.timers.run_for(2s);
        fleet.unlist_worker("other-writer");
        fleet.timers.run_for(100ms);
    }
    expect_each_task_runs_once();
}

// Guards against tasks that run twice because a worker is silent for a while beside such an entry.
TEST_F(foreign_entries, entry_and_silence_end_no_worker_before_its_lease)
{
    fleet.workers.set_mode(worker, testing::worker_mode::unreachable);
    put_foreign_entry("rounds");
    fleet.timers.run_for(2500ms);
    EXPECT_EQ(fleet.workers.start_count(first_job + ".0.0.0"), 1);
    fleet.workers.set_mode(worker, testing::worker_mode::answering);
    expect_each_task_runs_once();
}

// Guards against the end of a worker through the entry of another worker, which answers, but states
// the wrong VM.
TEST_F(foreign_entries, answer_of_a_worker_with_a_wrong_vm_ends_no_worker)
{
    auto entry = fleet.workers.add("w9", "rounds", {64000, 131072, 0}, 200);
    entry.vm = fleet.workers.registration(worker).vm;
    fleet.renewals_paused = true;
    fleet.list_worker(entry);
    expect_each_task_runs_once();
}

// Guards against a worker's entry, overwritten with a later time of start, that counts as its
// restart: its tasks were started elsewhere and its answers were not believed any more.
TEST_F(foreign_entries, later_start_in_an_entry_is_no_restart)
{
    overwrite_entry();
    expect_each_task_runs_once();
    ASSERT_EQ(fleet.submit(make_job(second_job, 1, 8)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_GT(fleet.workers.running(worker), 0) << "the worker must stay in use";
}

// Guards against the same if the entry states another address as well.
TEST_F(foreign_entries, later_start_at_another_address_is_no_restart)
{
    overwrite_entry([](worker_registration& entry) { entry.address.port = 9; });
    expect_each_task_runs_once();
}

// Guards against a worker that stays unused because its first entry had a time of start that was
// too late.
TEST_F(foreign_entries, worker_with_a_late_start_in_its_first_entry_is_used)
{
    auto entry = fleet.workers.add("w9", "rounds");
    entry.started_at_ms += 100;
    fleet.list_worker(entry);
    fleet.renewals_paused = true;
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(make_job(second_job, 1, 40)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_GT(fleet.workers.running("w9"), 0);
}

// Guards against tasks that wait for the end of a lease although their worker's successor answers.
TEST_F(foreign_entries, tasks_of_a_replaced_worker_start_again_soon)
{
    fleet.workers.crash(worker);
    fleet.timers.run_for(100ms);
    auto successor = fleet.workers.add("w9", "rounds", {64000, 131072, 0}, 200);
    successor.vm = fleet.workers.registration(worker).vm;
    fleet.renewals_paused = true;
    fleet.list_worker(successor);
    fleet.timers.run_for(1800ms);
    EXPECT_EQ(fleet.workers.start_count(first_job + ".0.0.0"), 2);
    EXPECT_TRUE(fleet.workers.violations().empty());
}

} // namespace
} // namespace jl::jobs
