// Tasks that crash each worker that starts them, and tasks that only share a worker with one.

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/job_record.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::crash_recovery;
using testing::make_job;
using testing::store_mode;
using testing::test_fleet;
using testing::worker_mode;

const std::string job_id = "00000000000000a1";
const std::string crashing_task = job_id + ".0.0.0";

// By the platform's rules, a task under which three workers have crashed may be started twice more
// by working leaders, but not three times.
constexpr int max_crashes = 5;

// Submits jobs of one task of 700 ms, one each `interval`, and returns their ids.
std::vector<std::string> submit_innocent_jobs(test_fleet& fleet, int count, milliseconds interval)
{
    std::vector<std::string> ids;
    for (int number = 0; number < count; ++number) {
        ids.push_back("0000000000000" + std::to_string(100 + number));
        fleet.workers.plans_by_job[ids.back()] = {700ms, 0};
        if (auto* const leader = fleet.leader()) {
            leader->submit(make_job(ids.back(), 1, 2), [](const submit_answer&) {});
        }
        fleet.timers.run_for(interval);
    }
    return ids;
}

void expect_completed(test_fleet& fleet, const std::vector<std::string>& ids)
{
    for (const auto& id : ids) {
        EXPECT_TRUE(fleet.await_state(id, job_state::completed, 40s)) << id;
    }
}

// Runs until a worker runs the task and returns it; empty if none does within 20 s.
std::string await_worker_of(test_fleet& fleet, const std::string& task)
{
    for (auto waited = 0ms; waited < 20s && !fleet.workers.is_running(task); waited += 5ms) {
        fleet.timers.run_for(5ms);
    }
    return fleet.workers.worker_of(task);
}

void expect_no_violation(const test_fleet& fleet)
{
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

// Guards against a task that is started again each time its worker has crashed, without limit: it
// crashed twelve workers in 45 s.
TEST(crashing_tasks, task_that_crashes_each_of_its_workers_is_given_up)
{
    for (const auto recovery : {crash_recovery::same_id, crash_recovery::successor}) {
        SCOPED_TRACE(static_cast<int>(recovery));
        test_fleet fleet;
        fleet.workers.recovery = recovery;
        fleet.workers.crashing_tasks = {crashing_task};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 2, 3)), submit_outcome::accepted);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
        fleet.timers.run_for(20s);
        EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
        expect_no_violation(fleet);
    }
}

// Guards against giving up a task that shares a worker with a crashing one.
TEST(crashing_tasks, tasks_beside_a_crashing_one_complete)
{
    for (const auto recovery : {crash_recovery::same_id, crash_recovery::successor}) {
        SCOPED_TRACE(static_cast<int>(recovery));
        test_fleet fleet;
        fleet.workers.recovery = recovery;
        fleet.workers.crashing_tasks = {crashing_task, "00000000000000a2.0.0.1",
                                        "00000000000000a3.0.0.0"};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        for (const auto* const id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
            fleet.leader()->submit(make_job(id, 1, 2), [](const submit_answer&) {});
        }
        const auto ids = submit_innocent_jobs(fleet, 80, 90ms);
        expect_completed(fleet, ids);
        for (const auto* const id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
            EXPECT_TRUE(fleet.await_state(id, job_state::failed, 60s)) << id;
        }
        for (const auto& task : fleet.workers.crashing_tasks) {
            EXPECT_LE(fleet.workers.crash_count(task), max_crashes) << task;
        }
        expect_no_violation(fleet);
    }
}

// Each leader is lost some time after the last one, at all moments of the crashes: each must
// continue from the evidence of the former ones.
TEST(crashing_tasks, evidence_outlives_leaders)
{
    for (int life_ms = 900; life_ms < 5000; life_ms += 130) {
        SCOPED_TRACE("each leader is killed after " + std::to_string(life_ms) + " ms");
        test_fleet fleet;
        fleet.workers.crashing_tasks = {crashing_task};
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 3)), submit_outcome::accepted);
        for (int round = 0; round < 14; ++round) {
            fleet.timers.run_for(milliseconds(life_ms));
            const auto name = fleet.leader_name();
            if (!name.empty()) {
                fleet.kill(name);
                fleet.add_node(name);
            }
        }
        EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
        EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
        expect_no_violation(fleet);
    }
}

// All processes stop while a suspect's worker is down, and start again later.
TEST(crashing_tasks, evidence_outlives_a_stop_of_all_nodes)
{
    for (int stop_ms = 20; stop_ms < 8000; stop_ms += 170) {
        SCOPED_TRACE("stopped after " + std::to_string(stop_ms) + " ms");
        test_fleet fleet;
        fleet.workers.crashing_tasks = {crashing_task};
        ASSERT_TRUE(fleet.start_leader_and_standby());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 3)), submit_outcome::accepted);
        fleet.timers.run_for(milliseconds(stop_ms));
        fleet.kill("a");
        fleet.kill("b");
        fleet.timers.run_for(5s);
        ASSERT_TRUE(fleet.start_leader_and_standby());
        EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
        EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
        expect_no_violation(fleet);
    }
}

// Writes of the evidence are lost, or done without an answer, while the leader is replaced.
TEST(crashing_tasks, evidence_outlives_lost_writes)
{
    for (const auto mode :
         {store_mode::unreachable, store_mode::refusing, store_mode::answer_lost}) {
        for (int outage_ms = 300; outage_ms < 8000; outage_ms += 430) {
            SCOPED_TRACE("mode " + std::to_string(static_cast<int>(mode)) + " after " +
                         std::to_string(outage_ms) + " ms");
            test_fleet fleet;
            fleet.workers.crashing_tasks = {crashing_task};
            ASSERT_TRUE(fleet.start_leader_and_standby());
            ASSERT_EQ(fleet.submit(make_job(job_id, 1, 3)), submit_outcome::accepted);
            fleet.timers.run_for(milliseconds(outage_ms));
            const auto name = fleet.leader_name();
            if (!name.empty()) {
                fleet.nodes.at(name)->store().mode = mode;
                fleet.timers.run_for(900ms);
                fleet.kill(name);
                fleet.add_node(name);
            }
            EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
            EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
            expect_no_violation(fleet);
        }
    }
}

// A job is shown as failed, by the next leader too, with the task, the VMs and the times.
TEST(crashing_tasks, cause_of_giving_up_is_shown_to_operators)
{
    test_fleet fleet;
    fleet.workers.crashing_tasks = {crashing_task};
    ASSERT_TRUE(fleet.start_leader_and_standby());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    ASSERT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
    fleet.kill("a");
    ASSERT_TRUE(fleet.await_leader());
    EXPECT_EQ(fleet.leader()->state(job_id), job_state::failed);
    const auto given_up = fleet.leader()->given_up_jobs();
    ASSERT_EQ(given_up.size(), 1U);
    ASSERT_EQ(given_up.count(job_id), 1U);
    const auto& report = given_up.at(job_id);
    EXPECT_EQ(report.tasks, std::vector<std::string>{crashing_task});
    EXPECT_NE(to_json(given_up).find(crashing_task), std::string::npos);
    ASSERT_GE(report.crashes.size(), 2U);
    for (const auto& crash : report.crashes) {
        EXPECT_FALSE(crash.vm.empty());
        EXPECT_GT(crash.at, 0ms);
    }
}

// Guards against giving up a task whose workers crash by themselves while it runs.
TEST(crashing_tasks, task_whose_workers_crash_by_themselves_completes)
{
    for (int crash_ms = 100; crash_ms < 1500; crash_ms += 90) {
        SCOPED_TRACE("worker crashes " + std::to_string(crash_ms) + " ms after the submission");
        test_fleet fleet;
        fleet.workers.default_plan.duration = 1800ms;
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        ASSERT_FALSE(await_worker_of(fleet, crashing_task).empty());
        fleet.timers.run_for(milliseconds(crash_ms));
        fleet.workers.restart(fleet.workers.worker_of(crashing_task));
        for (int crash = 0; crash < 2; ++crash) {
            ASSERT_FALSE(await_worker_of(fleet, crashing_task).empty());
            fleet.timers.run_for(700ms);
            ASSERT_TRUE(fleet.workers.is_running(crashing_task));
            fleet.workers.restart(fleet.workers.worker_of(crashing_task));
        }
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
        expect_no_violation(fleet);
    }
}

// Guards against taking a silent worker for a crashed one: the task has lost three of them.
TEST(crashing_tasks, task_whose_workers_were_only_silent_completes)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 1200ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    for (int silence = 0; silence < 3; ++silence) {
        const auto worker = await_worker_of(fleet, crashing_task);
        if (worker.empty()) {
            break; // a run that was considered lost had completed
        }
        fleet.workers.set_mode(worker, worker_mode::unreachable);
        fleet.timers.run_for(6s);
        fleet.workers.set_mode(worker, worker_mode::answering);
        fleet.timers.run_for(100ms);
    }
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
    EXPECT_TRUE(fleet.leader()->given_up_jobs().empty());
    expect_no_violation(fleet);
}

// Guards against giving up an innocent task: two workers lost their answers after its start and
// crashed by themselves more than a second later.
TEST(crashing_tasks, task_whose_silent_workers_crash_later_completes)
{
    for (int silent_after_ms = 5; silent_after_ms < 100; silent_after_ms += 15) {
        SCOPED_TRACE("silent " + std::to_string(silent_after_ms) + " ms after the start");
        test_fleet fleet;
        fleet.workers.default_plan.duration = 2500ms;
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        for (int crash = 0; crash < 2; ++crash) {
            const auto worker = await_worker_of(fleet, crashing_task);
            ASSERT_FALSE(worker.empty());
            fleet.timers.run_for(milliseconds(silent_after_ms));
            fleet.workers.set_mode(worker, worker_mode::unreachable);
            fleet.timers.run_for(1400ms);
            fleet.workers.restart(worker);
            fleet.workers.set_mode(worker, worker_mode::answering);
            fleet.list_worker(fleet.workers.registration(worker));
        }
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 30s));
        EXPECT_TRUE(fleet.leader()->given_up_jobs().empty());
        expect_no_violation(fleet);
    }
}

// A worker that is lost under a suspect and never comes back may only be cut off, so the task is
// not given up for it.
TEST(crashing_tasks, task_whose_workers_never_return_is_not_given_up)
{
    test_fleet fleet{8};
    fleet.workers.default_plan.duration = 1200ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    for (int loss = 0; loss < 3; ++loss) {
        const auto worker = await_worker_of(fleet, crashing_task);
        ASSERT_FALSE(worker.empty());
        fleet.workers.crash(worker);
    }
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 60s));
}

TEST(crashing_tasks, long_running_task_is_given_up)
{
    test_fleet fleet;
    auto spec = make_job(job_id, 1, 3);
    spec.steps[0].long_running = true;
    fleet.workers.plans_by_job[job_id] = {1000s, 0};
    fleet.workers.crashing_tasks = {crashing_task};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
    fleet.timers.run_for(20s);
    EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
    for (int index = 0; index < 3; ++index) {
        EXPECT_FALSE(fleet.workers.is_running(task_name{job_id, 0, 0, index}.to_string()));
    }
}

// Guards against giving up a long-running task that outlives many workers.
TEST(crashing_tasks, long_running_task_whose_workers_crash_now_and_then_is_kept)
{
    test_fleet fleet;
    auto spec = make_job(job_id, 1, 1);
    spec.steps[0].long_running = true;
    fleet.workers.plans_by_job[job_id] = {1000s, 0};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    for (int crash = 0; crash < 8; ++crash) {
        ASSERT_FALSE(await_worker_of(fleet, crashing_task).empty());
        fleet.timers.run_for(7s);
        fleet.workers.restart(fleet.workers.worker_of(crashing_task));
        fleet.timers.run_for(1s);
    }
    EXPECT_TRUE(fleet.workers.is_running(crashing_task));
    EXPECT_TRUE(fleet.leader()->given_up_jobs().empty());
}

TEST(crashing_tasks, gang_with_a_crashing_member_is_given_up)
{
    test_fleet fleet{6};
    auto spec = make_job(job_id, 1, 3);
    spec.steps[0].gang = true;
    spec.steps[0].max_per_worker = 1;
    fleet.workers.plans_by_job[job_id] = {60s, 0}; // the other members cannot end without it
    fleet.workers.crashing_tasks = {crashing_task};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    const auto ids = submit_innocent_jobs(fleet, 60, 100ms);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 90s));
    expect_completed(fleet, ids);
    EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
    expect_no_violation(fleet);
}

TEST(crashing_tasks, scheduled_job_with_a_crashing_task_is_given_up)
{
    test_fleet fleet;
    const auto later_task = job_id + ".1.0.0";
    fleet.workers.default_plan.duration = 200ms;
    fleet.workers.crashing_tasks = {later_task};
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    auto spec = make_job(job_id, 1, 1);
    spec.occurrences = 3;
    spec.first_run = to_unix(fleet.timers.wall_now()) + 500ms;
    spec.interval = 700ms;
    ASSERT_EQ(fleet.submit(spec), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
    EXPECT_LE(fleet.workers.crash_count(later_task), max_crashes);
}

// Some tasks crash their workers only after they have run for a while, beside the starts of others.
TEST(crashing_tasks, task_that_crashes_its_workers_late_is_given_up)
{
    for (const auto delay : {700ms, 1500ms, 3000ms}) {
        SCOPED_TRACE(delay.count());
        test_fleet fleet{6};
        fleet.workers.plans_by_job[job_id] = {4s, 0};
        fleet.workers.crash_delay = delay;
        fleet.workers.crashing_tasks = {crashing_task};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        const auto ids = submit_innocent_jobs(fleet, 300, 70ms);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::failed, 60s));
        expect_completed(fleet, ids);
        EXPECT_LE(fleet.workers.crash_count(crashing_task), max_crashes);
        expect_no_violation(fleet);
    }
}

// A suspect waits for a worker on which nothing has just been started, and must get one although
// the pool is full of work all the time.
TEST(crashing_tasks, suspect_gets_a_worker_in_a_busy_pool)
{
    test_fleet fleet{3};
    fleet.workers.default_plan.duration = 900ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    for (int number = 0; number < 300; ++number) {
        const auto id = "0000000000000" + std::to_string(100 + number);
        fleet.leader()->submit(make_job(id, 1, 4), [](const submit_answer&) {});
    }
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(300ms);
    ASSERT_FALSE(await_worker_of(fleet, crashing_task).empty());
    fleet.workers.restart(fleet.workers.worker_of(crashing_task));
    EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 12s));
}

// Guards against a suspect that waits for ever for an idle worker to survive its last start:
// nothing asked that worker any more.
TEST(crashing_tasks, suspect_gets_an_idle_worker_that_refused_its_last_start)
{
    for (int phase_ms = 0; phase_ms < 1200; phase_ms += 50) {
        SCOPED_TRACE("the other job is submitted after " + std::to_string(phase_ms) + " ms");
        test_fleet fleet{2};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        const auto lost = await_worker_of(fleet, crashing_task);
        const std::string left = lost == "w0" ? "w1" : "w0";
        fleet.workers.crash(lost);
        fleet.timers.run_for(2900ms + milliseconds(phase_ms));
        ASSERT_EQ(fleet.submit(make_job("00000000000000a2", 1, 1)), submit_outcome::accepted);
        ASSERT_TRUE(fleet.await_state("00000000000000a2", job_state::completed, 10s));
        fleet.workers.refuse_starts(left, order_status::no_room);
        fleet.timers.run_for(4s);
        fleet.workers.refuse_starts(left, order_status::accepted);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 6s));
    }
}

// Guards against a start without an answer that is not repeated, because evidence was being
// recorded when the repetition was due. The task stayed in its start for ever.
TEST(crashing_tasks, unanswered_start_is_repeated_while_evidence_is_recorded)
{
    for (int phase_ms = 0; phase_ms < 1000; phase_ms += 40) {
        SCOPED_TRACE("the worker falls silent " + std::to_string(phase_ms) + " ms later");
        test_fleet fleet{1};
        const std::string running_job = "00000000000000a2";
        fleet.workers.plans_by_job[running_job] = {20s, 0};
        fleet.add_node("a");
        ASSERT_TRUE(fleet.await_leader());
        ASSERT_EQ(fleet.submit(make_job(running_job, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(1500ms + milliseconds(phase_ms));
        fleet.workers.set_mode("w0", worker_mode::unreachable);
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 2)), submit_outcome::accepted);
        auto& store = fleet.nodes.at("a")->store();
        fleet.timers.run_for(600ms);
        store.mode = store_mode::unreachable; // the evidence is not durable for a while
        fleet.timers.run_for(900ms);
        store.mode = store_mode::serving;
        fleet.workers.set_mode("w0", worker_mode::answering);
        EXPECT_TRUE(fleet.await_state(job_id, job_state::completed, 6s));
        expect_no_violation(fleet);
    }
}

// Guards against the start of a task whose job was cancelled while the start waited for its record.
TEST(crashing_tasks, cancelled_job_gets_no_start_that_waits_for_the_record)
{
    static constexpr auto step = 1ms;
    const auto run_to_second_start = [](test_fleet& fleet, milliseconds limit) {
        fleet.workers.crashing_tasks = {crashing_task};
        fleet.add_node("a");
        EXPECT_TRUE(fleet.await_leader());
        EXPECT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        auto elapsed = 0ms;
        while (elapsed < limit && fleet.workers.start_count(crashing_task) < 2) {
            fleet.timers.run_for(step);
            elapsed += step;
        }
        return elapsed;
    };
    test_fleet undisturbed;
    const auto second_start = run_to_second_start(undisturbed, 20s);
    ASSERT_EQ(undisturbed.workers.start_count(crashing_task), 2);
    for (auto before = step; before < 30ms; before += step) {
        test_fleet fleet;
        run_to_second_start(fleet, second_start - before);
        std::optional<int> starts_when_cancelled;
        fleet.leader()->cancel(job_id, [&](cancel_outcome) {
            starts_when_cancelled = fleet.workers.start_count(crashing_task);
        });
        fleet.timers.run_for(2s);
        EXPECT_EQ(fleet.workers.start_count(crashing_task), starts_when_cancelled)
            << "cancelled " << before.count() << " ms before the second start";
    }
}

// The evidence is part of a job's record; a record of a version that did not write it is read.
TEST(crashing_tasks, evidence_is_restored_from_the_record)
{
    job original;
    original.spec = make_job(job_id, 1, 2);
    begin_occurrence(original);
    auto& suspect = original.occurrences.begin()->second.steps[0].tasks[1];
    suspect.crashes = {{"w1", 17, "vm-1", 1234ms, decisions::crash_link::sole, true},
                       {"w2", 18, "vm-2", 5678ms, decisions::crash_link::shared, false}};
    job restored;
    restored.spec.id = job_id;
    ASSERT_TRUE(decode_job(encode_job(original), restored));
    const auto& crashes = restored.occurrences.begin()->second.steps[0].tasks[1].crashes;
    ASSERT_EQ(crashes.size(), 2U);
    EXPECT_EQ(crashes[0].vm, "vm-1");
    EXPECT_EQ(crashes[0].worker_started_at_ms, 17);
    EXPECT_TRUE(crashes[0].confirmed);
    EXPECT_EQ(crashes[1].link, decisions::crash_link::shared);
    EXPECT_EQ(crashes[1].at, 5678ms);
    EXPECT_FALSE(crashes[1].confirmed);
}

} // namespace
} // namespace jl::jobs
