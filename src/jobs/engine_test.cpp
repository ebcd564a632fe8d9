#include <limits>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/job_record.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::store_mode;
using testing::test_fleet;
using testing::worker_mode;

const std::string job_id = "00000000000000a1";

// Adds a test failure for each invariant that the fake workers found violated.
void expect_no_violation(const test_fleet& fleet)
{
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

// Each task of a job with several steps runs exactly once.
TEST(engine, runs_each_task_of_a_job_once)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.submit(make_job(job_id, 3, 4)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 4s));
    for (int step = 0; step < 3; ++step) {
        for (int index = 0; index < 4; ++index) {
            const auto name = task_name{job_id, 0, step, index}.to_string();
            EXPECT_EQ(fleet.workers.start_count(name), 1) << name;
        }
    }
    expect_no_violation(fleet);
}

// A job that its caller submits again, immediately or after completion, must not run twice.
TEST(engine, repeated_submission_runs_job_once)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    const auto spec = make_job(job_id, 1, 1);
    fleet.leader()->submit(spec, [](const submit_answer&) {});
    EXPECT_EQ(fleet.submit(spec), submit_outcome::accepted);
    ASSERT_TRUE(fleet.await_state(job_id, job_state::completed, 4s));
    EXPECT_EQ(fleet.submit(spec), submit_outcome::accepted);
    fleet.timers.run_for(5s);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 1);
}

// The leader is killed at various times after a submission. The next leader must finish the job; no
// task may run twice at the same time or start again after its end was acknowledged.
TEST(engine, new_leader_finishes_job_after_leader_crash)
{
    for (int kill_time_ms = 0; kill_time_ms < 2400; kill_time_ms += 37) {
        SCOPED_TRACE("leader killed after " + std::to_string(kill_time_ms) + " ms");
        test_fleet fleet;
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 2, 3)), submit_outcome::accepted);
        fleet.timers.run_for(milliseconds(kill_time_ms));
        fleet.kill("a");
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 12s));
        expect_no_violation(fleet);
    }
}

// As above, but workers that run tasks do not answer the new leader. It may start their tasks
// elsewhere only once their leases have certainly expired.
TEST(engine, new_leader_waits_for_leases_of_unreachable_workers)
{
    for (int kill_time_ms = 20; kill_time_ms < 2400; kill_time_ms += 97) {
        SCOPED_TRACE("leader killed after " + std::to_string(kill_time_ms) + " ms");
        test_fleet fleet;
        fleet.workers.default_plan.duration = 8000ms;
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 3)), submit_outcome::accepted);
        fleet.timers.run_for(milliseconds(kill_time_ms));
        for (int worker = 0; worker < 3; ++worker) {
            fleet.workers.set_mode("w" + std::to_string(worker), worker_mode::unreachable);
        }
        fleet.kill("a");
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 40s));
        expect_no_violation(fleet);
    }
}

// The leader loses the store while other processes can still reach it. The leader must stop issuing
// orders before the next leader issues any, although the two do not communicate.
TEST(engine, leader_without_store_access_is_replaced)
{
    for (const auto mode :
         {store_mode::unreachable, store_mode::refusing, store_mode::answer_lost}) {
        SCOPED_TRACE(static_cast<int>(mode));
        test_fleet fleet;
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 3, 3)), submit_outcome::accepted);
        fleet.timers.run_for(500ms);
        fleet.nodes.at("a")->store().mode = mode;
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 20s));
        expect_no_violation(fleet);
        fleet.nodes.at("a")->store().mode = store_mode::serving;
        fleet.timers.run_for(5s);
        expect_no_violation(fleet);
    }
}

// The leader key is removed while the leader's lease is still valid. Two leaders exist for a short
// time, and the fencing on the workers must prevent the former leader from starting tasks.
TEST(engine, former_leader_with_valid_lease_cannot_start_tasks)
{
    test_fleet fleet;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 3, 6)), submit_outcome::accepted);
    fleet.timers.run_for(300ms);
    fleet.nodes.at("a")->store().mode = store_mode::unreachable;
    fleet.store.remove(leadership::leader_key);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 20s));
    expect_no_violation(fleet);
}

// Workers restart under the same id while orders are pending. Guards against two failures: a start
// order that reaches the restarted worker runs in parallel with its replacement, and an
// acknowledgement meant for the former process makes the new one discard ends that no leader has
// seen.
TEST(engine, workers_restart_under_same_id_with_orders_pending)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 200ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        if (round % 20 == 0) {
            fleet.leader()->submit(
                make_job("000000000000" + std::to_string(1000 + round / 20), 2, 6),
                [](const submit_answer&) {});
        }
        if (round % 331 == 0) {
            const auto worker = "w" + std::to_string(round / 331 % 4);
            fleet.workers.restart(worker);
        }
        fleet.timers.run_for(1ms);
    }
    fleet.timers.run_for(10s);
    expect_no_violation(fleet);
}

// A run fails while the leader cannot write records, and a second run is started. The next leader
// takes over the second run before it learns of the first failure. It must count that failure too,
// or the task exceeds its limit of attempts.
TEST(engine, counts_failures_that_the_former_leader_did_not_record)
{
    test_fleet fleet;
    const std::string task = job_id + ".0.0.0";
    fleet.documents.config.queues.at(0).max_attempts = 3;
    fleet.workers.default_plan.duration = 2500ms;
    fleet.workers.default_plan.failures = 100;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(2300ms);
    const auto first_worker = fleet.workers.worker_of(task);
    ASSERT_FALSE(first_worker.empty());
    fleet.nodes.at("a")->store().mode = store_mode::refusing;
    fleet.timers.run_for(400ms); // the first run has failed, the second one is running
    ASSERT_EQ(fleet.workers.start_count(task), 2);
    fleet.workers.set_mode(first_worker, worker_mode::unreachable);
    while (fleet.leader_name() != "b") {
        fleet.timers.run_for(10ms);
    }
    fleet.timers.run_for(100ms); // the second run has been taken over
    fleet.workers.set_mode(first_worker, worker_mode::answering);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 20s));
    EXPECT_LE(fleet.workers.start_count(task), 3);
}

// A worker is unreachable until after its lease has expired, so the leader considers its tasks
// lost, although they completed before. When the worker reports their ends, they must not be
// started again.
TEST(engine, accepts_end_of_run_considered_lost)
{
    for (int outage_ms = 4800; outage_ms < 6000; outage_ms += 50) {
        SCOPED_TRACE("worker unreachable for " + std::to_string(outage_ms) + " ms");
        test_fleet fleet{1};
        fleet.workers.default_plan.duration = 300ms;
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        fleet.timers.run_for(100ms);
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
        fleet.timers.run_for(100ms);
        fleet.workers.set_mode("w0", worker_mode::unreachable);
        fleet.timers.run_for(milliseconds(outage_ms));
        fleet.workers.set_mode("w0", worker_mode::answering);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 10s));
        EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 1);
        expect_no_violation(fleet);
    }
}

// The store executes transactions late and their answers are lost. All jobs must still complete,
// and no task may run twice at the same time.
TEST(engine, completes_jobs_despite_lost_store_answers)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.lost_answer_delay = 700ms;
    for (int round = 0; round < 6; ++round) {
        const auto id = "00000000000000b" + std::to_string(round);
        fleet.leader()->submit(make_job(id, 2, 2), [](const submit_answer&) {});
        store.mode = store_mode::answer_lost;
        fleet.timers.run_for(350ms);
        store.mode = store_mode::serving;
        fleet.timers.run_for(400ms);
    }
    for (int round = 0; round < 6; ++round) {
        EXPECT_TRUE(fleet.await_state("00000000000000b" + std::to_string(round),
                                      job_state::completed, 15s));
    }
    expect_no_violation(fleet);
}

// Workers execute orders without answering them, either immediately or seconds later. No task may
// run twice at the same time.
TEST(engine, unanswered_and_delayed_orders_start_no_task_twice)
{
    for (const auto mode : {worker_mode::answer_lost, worker_mode::delayed}) {
        SCOPED_TRACE(static_cast<int>(mode));
        test_fleet fleet;
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        fleet.timers.run_for(100ms);
        fleet.workers.set_mode("w0", mode);
        fleet.workers.set_mode("w1", mode);
        fleet.leader()->submit(make_job(job_id, 2, 40), [](const submit_answer&) {});
        fleet.timers.run_for(1500ms);
        fleet.workers.set_mode("w0", worker_mode::answering);
        fleet.workers.set_mode("w1", worker_mode::answering);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
        expect_no_violation(fleet);
    }
}

// A worker that restarts under the same id has lost its tasks; they must be started again.
TEST(engine, tasks_of_restarted_worker_run_again)
{
    test_fleet fleet(1);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
    fleet.timers.run_for(400ms);
    ASSERT_EQ(fleet.workers.running("w0"), 2);
    fleet.workers.restart("w0");
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 10s));
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 2);
    expect_no_violation(fleet);
}

// A cancelled job stops, and the next leader does not run it again.
TEST(engine, cancelled_job_stops_and_stays_cancelled)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 60s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.add_node("b");
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 3)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_EQ(fleet.cancel(job_id), cancel_outcome::cancelled);
    fleet.timers.run_for(400ms);
    EXPECT_FALSE(fleet.workers.is_running(job_id + ".0.0.0"));
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::cancelled);
    fleet.timers.run_for(10s);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 1);
    EXPECT_EQ(fleet.cancel("00000000000000ff"), cancel_outcome::no_such_job);
}

TEST(engine, job_fails_when_a_task_has_used_all_attempts)
{
    test_fleet fleet;
    fleet.workers.plans_by_job[job_id] = {300ms, 10};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 10s));
    fleet.timers.run_for(5s);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 4);
}

// Guards against counting only failed runs above the highest run number counted so far: a failure
// that is reported late would not count, and the task would exceed its limit of attempts.
TEST(engine, failed_attempts_are_counted_across_leaders)
{
    for (int kill_time_ms = 0; kill_time_ms < 1800; kill_time_ms += 41) {
        SCOPED_TRACE("leader killed after " + std::to_string(kill_time_ms) + " ms");
        test_fleet fleet;
        fleet.workers.plans_by_job[job_id] = {300ms, 10};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        // While records cannot be written, ends remain unacknowledged on several workers.
        fleet.timers.run_for(milliseconds(kill_time_ms / 2));
        fleet.nodes.at("a")->store().mode = store_mode::unreachable;
        fleet.timers.run_for(milliseconds(kill_time_ms / 2));
        fleet.kill("a");
        fleet.add_node("b");
        EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 20s));
        fleet.timers.run_for(3s);
        EXPECT_LE(fleet.workers.start_count(job_id + ".0.0.0"), 4);
    }
}

// Guards against a record that crashes each process that becomes the leader: dependencies on steps
// that do not exist were followed, and a huge number of tasks exhausted the memory.
TEST(engine, invalid_job_records_stop_no_leader)
{
    const auto valid = [] {
        job source;
        source.spec = make_job("00000000000000b0", 2, 2);
        begin_occurrence(source);
        return source;
    };
    std::vector<std::string> records{"", "x", std::string(200, '\xff')};
    auto unknown_dependency = valid();
    unknown_dependency.spec.steps[1].after = {17};
    records.push_back(encode_job(unknown_dependency));
    auto later_dependency = valid();
    later_dependency.spec.steps[0].after = {1};
    records.push_back(encode_job(later_dependency));
    auto many_tasks = valid();
    many_tasks.spec.steps[0].count = std::numeric_limits<int>::max();
    records.push_back(encode_job(many_tasks));
    auto negative = valid();
    negative.spec.steps[0].count = -1;
    records.push_back(encode_job(negative));
    auto no_steps = valid();
    no_steps.spec.steps.clear();
    records.push_back(encode_job(no_steps));
    auto too_many_occurrences = valid();
    for (int copy = 0; copy < 40; ++copy) {
        too_many_occurrences.spec.steps[0].count = 1000;
        begin_occurrence(too_many_occurrences);
    }
    records.push_back(encode_job(too_many_occurrences));
    test_fleet fleet;
    for (std::size_t index = 0; index < records.size(); ++index) {
        fleet.store.put(std::string(job_prefix) + "00000000000000c" + std::to_string(index),
                        records[index]);
    }
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 2, 2)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 10s));
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::completed);
}

// No change of bytes in a record may end the process that loads it.
TEST(engine, damaged_job_records_are_rejected)
{
    job source;
    source.spec = make_job(job_id, 2, 3);
    begin_occurrence(source);
    source.occurrences.begin()->second.steps[0].tasks[1].failed_runs = {1, 2};
    source.occurrences.begin()->second.steps[0].tasks[2].crashes = {
        {"w1", 17, "vm-1", 1234ms, decisions::crash_link::sole, true}};
    const auto record = encode_job(source);
    std::mt19937 random(3); // NOLINT: the same bytes in each run
    for (int round = 0; round < 20000; ++round) {
        auto damaged = record;
        for (unsigned change = 0; change <= round % 3U; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        damaged.resize(round % 5 == 0 ? random() % damaged.size() : damaged.size());
        job restored;
        restored.spec.id = job_id;
        if (decode_job(damaged, restored)) {
            EXPECT_EQ(critical_paths(restored.spec).size(), restored.spec.steps.size());
        }
    }
}

// A new leader must know the state of a finished job and must not run the job again.
TEST(engine, finished_jobs_are_known_after_a_change_of_leaders)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
    fleet.kill("a");
    fleet.add_node("b");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::completed);
    EXPECT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(3s);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 1);
}

TEST(engine, scheduled_job_runs_each_occurrence_when_due)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 200ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto spec = make_job(job_id, 1, 1);
    spec.occurrences = 3;
    spec.first_run = to_unix(fleet.timers.wall_now()) + 1000ms;
    spec.interval = 700ms;
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    fleet.timers.run_for(900ms);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 0);
    fleet.timers.run_for(400ms);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".0.0.0"), 1);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
    EXPECT_EQ(fleet.workers.start_count(job_id + ".1.0.0"), 1);
    EXPECT_EQ(fleet.workers.start_count(job_id + ".2.0.0"), 1);
    expect_no_violation(fleet);
}

// While records cannot be written, a submission is rejected immediately instead of waiting until
// the caller's deadline. A rejected job never runs.
TEST(engine, submission_is_rejected_immediately_while_records_cannot_be_written)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.mode = store_mode::refusing;
    fleet.leader()->submit(make_job(job_id, 1, 1), [](const submit_answer&) {});
    fleet.timers.run_for(100ms);
    const std::string rejected_id = "00000000000000a2";
    EXPECT_EQ(fleet.submit(make_job(rejected_id, 1, 1), 10ms), submit_outcome::unavailable);
    store.mode = store_mode::serving;
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
    fleet.timers.run_for(5s);
    EXPECT_EQ(fleet.workers.start_count(rejected_id + ".0.0.0"), 0);
    EXPECT_FALSE(fleet.leader()->state(rejected_id));
}

// Load pattern: three writes in ten are done and not answered. Guards against refusing submissions
// because of one lost answer: 229 of 900 were refused while the store worked.
TEST(engine, submission_survives_a_lost_answer_of_the_store)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.mode = store_mode::unreachable;
    fleet.leader()->submit(make_job(job_id, 1, 1), [](const submit_answer&) {});
    std::optional<submit_outcome> outcome;
    fleet.timers.run_for(store.timeout + 50ms);
    fleet.leader()->submit(make_job("00000000000000a2", 1, 1),
                           [&](const submit_answer& answer) { outcome = answer.outcome; });
    EXPECT_FALSE(outcome.has_value());
    store.mode = store_mode::serving;
    fleet.timers.run_for(store.timeout + 200ms);
    EXPECT_EQ(outcome, submit_outcome::accepted);
    expect_no_violation(fleet);
}

// Guards against a submission that waits for a store that is down, and against running one that was
// refused.
TEST(engine, submission_is_refused_soon_when_the_store_stays_silent)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.mode = store_mode::unreachable;
    fleet.leader()->submit(make_job(job_id, 1, 1), [](const submit_answer&) {});
    fleet.timers.run_for(store.timeout + 50ms);
    const std::string refused_id = "00000000000000a2";
    EXPECT_EQ(fleet.submit(make_job(refused_id, 1, 1), 500ms), submit_outcome::unavailable);
    store.mode = store_mode::serving;
    fleet.timers.run_for(8s);
    EXPECT_EQ(fleet.workers.start_count(refused_id + ".0.0.0"), 0);
}

fleet_config with_team(fleet_config config, const std::vector<std::string>& keys)
{
    config.checks_keys = true;
    config.teams = teams::team_directory({{"north", keys, 1.0, {}}});
    return config;
}

// Guards against a submission that waits for the store and is accepted with a key that has been
// revoked meanwhile. Nothing of it is recorded, so the refusal is true.
TEST(engine, held_submission_is_refused_if_its_key_is_revoked_meanwhile)
{
    test_fleet fleet;
    fleet.documents.config = with_team(fleet.documents.config, {"k1", "k2"});
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.lost_commits = "jl/job/";
    fleet.leader()->submit({make_job(job_id, 1, 1), "k1"}, [](const submit_answer&) {});
    fleet.timers.run_for(store.timeout + 350ms);
    std::vector<submit_outcome> outcomes;
    const auto record_outcome = [&outcomes](const submit_answer& answer) {
        outcomes.push_back(answer.outcome);
    };
    fleet.leader()->submit({make_job("00000000000000a2", 1, 1), "k1"}, record_outcome);
    fleet.leader()->submit({make_job("00000000000000a3", 1, 1), "k2"}, record_outcome);
    EXPECT_TRUE(outcomes.empty());
    fleet.documents.config = with_team(fleet.documents.config, {"k2"});
    fleet.store.put("op/config", "");
    fleet.timers.run_for(100ms);
    store.lost_commits.clear();
    fleet.timers.run_for(3s);
    const std::vector<submit_outcome> expected{submit_outcome::unauthorized,
                                               submit_outcome::accepted};
    EXPECT_EQ(outcomes, expected);
    EXPECT_EQ(fleet.workers.start_count("00000000000000a2.0.0.0"), 0);
    EXPECT_EQ(fleet.workers.start_count("00000000000000a3.0.0.0"), 1);
}

// Guards against a team that is forgotten with its leader, and against accepted work that ends
// with its key.
TEST(engine, accepted_job_keeps_its_team_and_runs_after_its_key_is_revoked)
{
    test_fleet fleet;
    fleet.documents.config = with_team(fleet.documents.config, {"k1"});
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 2, 1), 2000ms, "k1"), submit_outcome::accepted);
    fleet.documents.config = with_team(fleet.documents.config, {});
    fleet.store.put("op/config", "");
    fleet.nodes.erase("a");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.leader()->check_access(job_id, {access_decision::granted, "north"}),
              access_decision::granted);
    EXPECT_EQ(fleet.leader()->check_access(job_id, {access_decision::granted, "south"}),
              access_decision::other_team);
    EXPECT_EQ(fleet.submit(make_job("00000000000000a2", 1, 1), 2000ms, "k1"),
              submit_outcome::unauthorized);
    // A configuration without teams checks no keys, also for jobs that have a team.
    fleet.documents.config.checks_keys = false;
    fleet.documents.config.teams = {};
    fleet.store.put("op/config", "");
    fleet.timers.run_for(100ms);
    EXPECT_EQ(fleet.leader()->check_access(job_id, {}), access_decision::granted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
}

// Guards against a repeated submission that is refused while an earlier attempt is held and then
// accepted.
TEST(engine, repetition_of_a_held_submission_shares_its_outcome)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto& store = fleet.nodes.at("a")->store();
    store.mode = store_mode::unreachable;
    fleet.leader()->submit(make_job(job_id, 1, 1), [](const submit_answer&) {});
    const auto repeated = make_job("00000000000000a2", 1, 1);
    std::vector<submit_outcome> outcomes;
    const auto record_outcome = [&outcomes](const submit_answer& answer) {
        outcomes.push_back(answer.outcome);
    };
    fleet.timers.run_for(store.timeout + 350ms);
    fleet.leader()->submit(repeated, record_outcome);
    fleet.timers.run_for(100ms);
    fleet.leader()->submit(repeated, record_outcome);
    EXPECT_TRUE(outcomes.empty());
    store.mode = store_mode::serving;
    fleet.timers.run_for(3s);
    const std::vector<submit_outcome> both_accepted(2, submit_outcome::accepted);
    EXPECT_EQ(outcomes, both_accepted);
    EXPECT_EQ(fleet.workers.start_count(repeated.id + ".0.0.0"), 1);
}

// Guards against members of a gang that run on after an earlier run of the gang has completed it.
TEST(engine, late_end_of_a_gang_stops_all_members_of_its_present_run)
{
    test_fleet fleet{1};
    fleet.workers.default_plan.duration = 2s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto spec = make_job(job_id, 1, 3);
    spec.steps[0].gang = true;
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    fleet.timers.run_for(200ms);
    ASSERT_EQ(fleet.workers.running("w0"), 3);
    fleet.workers.set_mode("w0", worker_mode::unreachable);
    fleet.workers.default_plan.duration = 60s;
    fleet.list_worker(fleet.workers.add("w1", "rounds"));
    fleet.timers.run_for(10s);
    ASSERT_EQ(fleet.workers.running("w1"), 3);
    fleet.workers.set_mode("w0", worker_mode::answering);
    ASSERT_TRUE(fleet.await_state(job_id, job_state::completed, 2s));
    fleet.timers.run_for(fleet.workers.stop_time + 100ms);
    EXPECT_EQ(fleet.workers.running("w1"), 0);
}

// The steps of a queue with `needs_advice` run only on workers that the advisor allows.
TEST(engine, steps_run_only_where_the_advisor_allows)
{
    test_fleet fleet;
    fleet.documents.config.queues[0].needs_advice = true;
    fleet.documents.config.queues[0].ticket_validity = 3000ms;
    fleet.advisor.allowed = {"w2"};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
    fleet.timers.run_for(300ms);
    EXPECT_EQ(fleet.workers.worker_of(job_id + ".0.0.0"), "w2");
    EXPECT_EQ(fleet.workers.worker_of(job_id + ".0.0.1"), "w2");
    EXPECT_EQ(fleet.advisor.request_count, 1);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
}

// Tasks wait while no worker has free capacity for them; the leader sends no order that a worker
// would have to reject.
TEST(engine, starts_only_tasks_that_fit)
{
    test_fleet fleet(1);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 40)), submit_outcome::accepted);
    fleet.timers.run_for(500ms);
    EXPECT_EQ(fleet.workers.running("w0"), 16); // the worker has 64 cores and each task takes 4
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 6s));
}

// Small tasks that end one at a time must not starve a large long-running task: the capacity that
// each frees would go to the next small task, which once delayed the large one by 15 s.
// Guards against jobs that are said to have begun while their starts are still on the way, or are
// lost: a new leader that started hundreds of tasks gave less than half of the waiting jobs.
TEST(engine, job_waits_until_a_worker_has_begun_a_task)
{
    test_fleet fleet{2};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    for (const auto* const worker : {"w0", "w1"}) {
        fleet.workers.set_mode(worker, worker_mode::unreachable);
    }
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(300ms);
    ASSERT_EQ(fleet.workers.started_runs(), 0U);
    EXPECT_EQ(fleet.leader()->count_waiting_jobs("plans"), 1U);
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::queued);
    for (const auto* const worker : {"w0", "w1"}) {
        fleet.workers.set_mode(worker, worker_mode::answering);
    }
    constexpr int longest_wait_ms = 5000;
    for (int ms = 0; ms < longest_wait_ms && fleet.workers.started_runs() == 0; ++ms) {
        fleet.timers.run_for(1ms);
        ASSERT_EQ(fleet.leader()->count_waiting_jobs("plans"), 1U);
    }
    fleet.timers.run_for(50ms);
    EXPECT_EQ(fleet.leader()->count_waiting_jobs("plans"), 0U);
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::running);
}

TEST(engine, long_running_task_is_not_starved_by_small_tasks)
{
    test_fleet fleet(1);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    for (int number = 0; number < 150; ++number) {
        auto small = make_job("0000000000000" + std::to_string(100 + number), 1, 1);
        small.steps[0].request = {4000, 8192, 0};
        // The ends are spread over time, so that capacity is freed in small amounts.
        fleet.workers.plans_by_job[small.id] = {milliseconds(700 + 53 * (number % 17)), 0};
        fleet.leader()->submit(std::move(small), [](const submit_answer&) {});
    }
    fleet.timers.run_for(1s);
    auto long_running_job = make_job(job_id, 1, 1);
    long_running_job.steps[0].request = {8000, 40000, 0};
    long_running_job.steps[0].long_running = true;
    fleet.workers.plans_by_job[job_id] = {100s, 0};
    ASSERT_EQ(fleet.submit(long_running_job), submit_outcome::accepted);
    fleet.timers.run_for(2s);
    EXPECT_TRUE(fleet.workers.is_running(job_id + ".0.0.0"));
    expect_no_violation(fleet);
}

// A worker comes back under its id at another address. Tasks may start on it only after the roster
// record has been written, so it must be written again although it lists the worker already;
// otherwise the worker would get no task until another worker joined or left.
TEST(engine, uses_worker_that_comes_back_at_another_address)
{
    test_fleet fleet(1);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(1s);
    fleet.workers.restart("w0");
    auto info = fleet.documents.workers.at("w0");
    ++info.started_at_ms;
    info.address.port = 2;
    fleet.list_worker(info);
    fleet.timers.run_for(1s);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 5s));
    expect_no_violation(fleet);
}

// The store is so slow that the lease of a new leader expires before the election is answered. The
// process must not keep an engine that contacts the workers, because it is not the leader any more.
TEST(engine, election_answered_after_lease_expiry_yields_no_leader)
{
    test_fleet fleet;
    fleet.add_node("a");
    fleet.nodes.at("a")->store().latency = 1100ms;
    fleet.nodes.at("a")->store().timeout = 5000ms;
    fleet.timers.run_for(20s);
    EXPECT_EQ(fleet.leader(), nullptr);
    EXPECT_EQ(fleet.workers.holds(), 0U);
}

// Sets the mode of the store for all nodes and, unless it is `serving`, pauses all leases, as in an
// outage of the store.
void set_store_mode_of_all_nodes(test_fleet& fleet, store_mode mode)
{
    for (auto& [name, node] : fleet.nodes) {
        node->store().mode = mode;
    }
    fleet.store.pause_leases(mode != store_mode::serving);
}

// After an outage of the store, the leader must continue immediately if its lease is still valid.
// Otherwise all work would stop for two more seconds, until the lease has expired and a new leader
// has loaded the state.
TEST(engine, leader_continues_immediately_after_store_outage)
{
    for (const auto mode : {store_mode::unreachable, store_mode::refusing}) {
        test_fleet fleet;
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 4, 3)), submit_outcome::accepted);
        fleet.timers.run_for(500ms);
        set_store_mode_of_all_nodes(fleet, mode);
        fleet.timers.run_for(3500ms);
        EXPECT_EQ(fleet.leader(), nullptr); // the leader cannot know whether its lease has expired
        set_store_mode_of_all_nodes(fleet, store_mode::serving);
        EXPECT_TRUE(fleet.await_leader(600ms));
        EXPECT_EQ(fleet.leader_name(), "a");
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 8s));
        expect_no_violation(fleet);
    }
}

// The lease expires during the outage, so a newly elected leader must take over.
TEST(engine, new_election_after_outage_in_which_the_lease_expired)
{
    test_fleet fleet;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 4, 3)), submit_outcome::accepted);
    const auto token = fleet.nodes.at("a")->election().leader()->token;
    set_store_mode_of_all_nodes(fleet, store_mode::unreachable);
    fleet.store.pause_leases(false);
    fleet.timers.run_for(3500ms);
    set_store_mode_of_all_nodes(fleet, store_mode::serving);
    EXPECT_TRUE(fleet.await_leader(4s));
    EXPECT_GT(fleet.nodes.at("a")->election().leader()->token, token);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 15s));
    expect_no_violation(fleet);
}

// The leader key is removed during the outage, but the lease remains valid. A successful renewal of
// the lease alone must not let the leader continue without a new election.
TEST(engine, new_election_after_outage_in_which_the_leader_key_was_removed)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(100ms);
    const auto token = fleet.nodes.at("a")->election().leader()->token;
    set_store_mode_of_all_nodes(fleet, store_mode::unreachable);
    fleet.timers.run_for(3500ms);
    fleet.store.remove(leadership::leader_key);
    set_store_mode_of_all_nodes(fleet, store_mode::serving);
    EXPECT_TRUE(fleet.await_leader(4s));
    EXPECT_GT(fleet.nodes.at("a")->election().leader()->token, token);
}

// A schedule with an interval of zero makes all its occurrences due at once. They must not all
// begin in one tick, which could create hundreds of thousands of tasks.
TEST(engine, occurrences_due_at_once_begin_gradually)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto scheduled = make_job(job_id, 1, 100);
    scheduled.occurrences = 500;
    scheduled.first_run = 0ms;
    scheduled.interval = 0ms;
    ASSERT_EQ(fleet.submit(scheduled), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    const auto record = fleet.store.find(std::string(job_prefix) + job_id);
    ASSERT_NE(record, nullptr);
    EXPECT_LT(record->value.size(), 40000U);
    expect_no_violation(fleet);
}

// Returns how many occurrences the job's record holds as in progress.
std::size_t recorded_occurrences(test_fleet& fleet, const std::string& id)
{
    const auto record = fleet.store.find(std::string(job_prefix) + id);
    job recorded;
    recorded.spec.id = id;
    if (record == nullptr || !decode_job(record->value, recorded)) {
        ADD_FAILURE() << "no readable record of " << id;
        return 0;
    }
    return recorded.occurrences.size();
}

// Returns a job with a million occurrences of one small task, which are all due.
job_spec make_overdue_job(const std::string& id)
{
    auto scheduled = make_job(id, 1, 1);
    scheduled.occurrences = 1000000;
    scheduled.first_run = 0ms;
    scheduled.interval = 1ms;
    scheduled.steps[0].request = {1, 1, 0};
    return scheduled;
}

// Number of tasks that run on the workers of a fleet of four.
int running_tasks(const test_fleet& fleet)
{
    int running = 0;
    for (const auto* const worker : {"w0", "w1", "w2", "w3"}) {
        running += fleet.workers.running(worker);
    }
    return running;
}

// Guards against a leader that begins each due occurrence of a job with a million repetitions in
// one tick and encodes all of them with each change. It lost its lease, as did the next ones.
TEST(engine, job_with_a_million_due_occurrences_has_few_in_progress)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 5s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_overdue_job(job_id)), submit_outcome::accepted);
    fleet.timers.run_for(4s);
    EXPECT_GT(recorded_occurrences(fleet, job_id), 100U);
    EXPECT_LE(recorded_occurrences(fleet, job_id), 500U);
    expect_no_violation(fleet);
}

// Guards against a job whose many occurrences keep others from being begun or started.
TEST(engine, small_jobs_complete_beside_jobs_with_many_due_occurrences)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 300ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    for (const auto* const id : {"00000000000000b1", "00000000000000b2", "00000000000000b3"}) {
        ASSERT_EQ(fleet.submit(make_overdue_job(id)), submit_outcome::accepted);
    }
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 2s));
    for (const auto* const task :
         {"00000000000000b1.0.0.0", "00000000000000b2.0.0.0", "00000000000000b3.0.0.0"}) {
        EXPECT_EQ(fleet.workers.start_count(task), 1) << task;
    }
    expect_no_violation(fleet);
}

// Guards against a job that waits until another one with many tasks has started all of them: beside
// jobs whose next tasks are always due, it never began.
TEST(engine, small_job_starts_while_a_large_one_has_tasks_left_to_start)
{
    constexpr int tasks = 9000;
    const std::string small_task = "00000000000000a2.0.0.0";
    test_fleet fleet;
    fleet.workers.default_plan.duration = 60s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto large = make_job(job_id, 1, tasks);
    large.steps[0].request = {1, 1, 0};
    large.steps[0].estimate = 1s;
    fleet.leader()->submit({large, {}}, [](const submit_answer&) {});
    const auto large_tasks_running = [&fleet, &small_task] {
        return running_tasks(fleet) - (fleet.workers.is_running(small_task) ? 1 : 0);
    };
    while (large_tasks_running() == 0) {
        fleet.timers.run_for(1ms);
    }
    fleet.leader()->submit({make_job("00000000000000a2", 1, 1), {}}, [](const submit_answer&) {});
    while (!fleet.workers.is_running(small_task) && large_tasks_running() < tasks) {
        fleet.timers.run_for(1ms);
    }
    EXPECT_TRUE(fleet.workers.is_running(small_task));
    EXPECT_LT(large_tasks_running(), tasks / 2);
}

// Guards against tasks of a cancelled job that run on, because more had to be stopped than is sent
// at once.
TEST(engine, all_tasks_of_a_large_cancelled_job_are_stopped)
{
    constexpr int tasks = 3000;
    test_fleet fleet;
    fleet.workers.default_plan.duration = 60s;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto large = make_job(job_id, 1, tasks);
    large.steps[0].request = {1, 1, 0};
    ASSERT_EQ(fleet.submit(large), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    ASSERT_EQ(running_tasks(fleet), tasks);
    ASSERT_EQ(fleet.cancel(job_id), cancel_outcome::cancelled);
    fleet.timers.run_for(1s);
    EXPECT_EQ(running_tasks(fleet), 0);
    expect_no_violation(fleet);
}

// With a store that takes 50 times as long to answer, only 300 records per second were written.
// Under peak load, submissions and task ends then delayed each other by seconds.
TEST(engine, submission_burst_is_recorded_while_the_store_is_slow)
{
    test_fleet fleet;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.nodes.at("a")->store().latency = 200ms;
    fleet.nodes.at("a")->store().timeout = 5s;
    ASSERT_EQ(fleet.submit(make_job("000000000000ffff", 1, 1)), submit_outcome::accepted);
    int accepted = 0;
    for (int number = 0; number < 600; ++number) {
        auto id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        fleet.leader()->submit(make_job(id, 1, 1), [&accepted](const submit_answer& answer) {
            accepted += answer.outcome == submit_outcome::accepted ? 1 : 0;
        });
    }
    fleet.timers.run_for(1s);
    EXPECT_EQ(accepted, 600);
}

} // namespace
} // namespace jl::jobs
