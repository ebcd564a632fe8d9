// A worker forgets the end of a task once it is acknowledged. From then on only the store knows it.

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
const std::string first_task = job_id + ".0.0.0";
const std::string job_records = "jl/job/";

void expect_no_violation(const test_fleet& fleet)
{
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

// Replaces the leading process by one with this name.
void replace_leader(test_fleet& fleet, const std::string& former, const std::string& next)
{
    fleet.kill(former);
    fleet.add_node(next);
}

// Guards against a new leader that reads the same end in two sessions: the first one is dropped
// because the worker's registration is not listed yet, and the second one acknowledges at once what
// the first has not recorded.
TEST(durable_ends, end_that_is_read_before_the_registrations_is_recorded_first)
{
    test_fleet fleet(2);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    fleet.nodes.at("a")->store().lost_commits = job_records;
    fleet.timers.run_for(700ms); // the tasks end, and their ends are not recorded
    replace_leader(fleet, "a", "b");
    auto& store = fleet.nodes.at("b")->store();
    store.list_delays["servers/"] = 1000ms;
    store.lost_commits = job_records;
    ASSERT_TRUE(fleet.await_leader(8s));
    fleet.timers.run_for(1s);
    replace_leader(fleet, "b", "c");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
    EXPECT_EQ(fleet.workers.start_count(first_task), 1);
    expect_no_violation(fleet);
}

// Guards against a roster without the workers whose registrations this leader has not listed: the
// next one would start their tasks again without waiting for their reports.
TEST(durable_ends, workers_stay_in_the_roster_until_the_registrations_are_listed)
{
    test_fleet fleet(2);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    fleet.nodes.at("a")->store().lost_commits = job_records;
    fleet.timers.run_for(700ms); // the task ends, and its end is not recorded
    replace_leader(fleet, "a", "b");
    fleet.nodes.at("b")->store().list_delays["servers/"] = 10s;
    fleet.nodes.at("b")->store().lost_commits = job_records;
    fleet.timers.run_for(5s); // the roster can be written
    replace_leader(fleet, "b", "c");
    const std::string worker = "w0"; // takes tasks first
    fleet.workers.set_mode(worker, worker_mode::unreachable);
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1s);
    fleet.workers.set_mode(worker, worker_mode::answering);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
    EXPECT_EQ(fleet.workers.start_count(first_task), 1);
    expect_no_violation(fleet);
}

// Guards against the ends of the other members of a gang, which are acknowledged at once although
// the end of the first one, which completes them all, is not recorded.
TEST(durable_ends, all_ends_of_a_gang_wait_for_its_record)
{
    for (const bool scheduled : {false, true}) {
        SCOPED_TRACE(scheduled ? "scheduled job" : "plain job");
        test_fleet fleet(2);
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        auto spec = make_job(job_id, 1, 2);
        spec.steps[0].gang = true;
        spec.steps[0].max_per_worker = 1;
        if (scheduled) {
            spec.occurrences = 1;
            spec.first_run = to_unix(fleet.timers.wall_now());
            spec.interval = 1000ms;
        }
        ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
        fleet.timers.run_for(500ms);
        const auto worker = fleet.workers.worker_of(first_task);
        ASSERT_NE(worker, "");
        fleet.nodes.at("a")->store().lost_commits = job_records;
        fleet.timers.run_for(700ms);
        fleet.kill("a");
        fleet.workers.restart(worker);
        fleet.list_worker(fleet.workers.registration(worker));
        fleet.add_node("b");
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
        expect_no_violation(fleet);
    }
}

// Guards against a lease that runs out between an end and its record: a later end must not
// acknowledge the earlier one with it.
TEST(durable_ends, end_waits_for_its_record_although_the_lease_has_expired)
{
    test_fleet fleet(1);
    fleet.workers.plans_by_job["00000000000000b1"].duration = 1h;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto lasting = make_job("00000000000000b1", 1, 1);
    lasting.steps[0].long_running = true;
    ASSERT_EQ(fleet.submit(lasting), submit_outcome::accepted);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    fleet.nodes.at("a")->store().lost_commits = job_records;
    fleet.timers.run_for(700ms); // the end is read and not recorded
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.timers.run_for(8s); // the lease expires, which ends the lasting task as well
    fleet.workers.set_mode("w0", worker_mode::answering);
    fleet.timers.run_for(1s);
    replace_leader(fleet, "a", "b");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
    EXPECT_EQ(fleet.workers.start_count(first_task), 1);
    expect_no_violation(fleet);
}

// Guards against a worker that is forgotten with ends that are not recorded: the next leader would
// not wait for its report.
TEST(durable_ends, worker_with_unrecorded_ends_stays_in_the_roster)
{
    test_fleet fleet(2);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    const auto worker = fleet.workers.worker_of(first_task);
    ASSERT_NE(worker, "");
    fleet.nodes.at("a")->store().lost_commits = job_records;
    fleet.unlist_worker(worker);
    fleet.timers.run_for(8s);
    replace_leader(fleet, "a", "b");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
    EXPECT_EQ(fleet.workers.start_count(first_task), 1);
    expect_no_violation(fleet);
}

} // namespace
} // namespace jl::jobs
