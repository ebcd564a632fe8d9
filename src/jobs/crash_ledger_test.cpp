#include <set>
#include <string>

#include <gtest/gtest.h>

#include "jobs/crash_ledger.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using decisions::crash_link;
using decisions::crash_verdict;

// One job whose first task has just been started on a worker.
class crash_ledger_test : public ::testing::Test {
protected:
    crash_ledger_test()
    {
        auto& job = jobs.insert(testing::make_job("00000000000000a1", 1, 2));
        begin_occurrence(job);
        suspect = &job.occurrences.begin()->second.steps[0].tasks[0];
        start_on("w1");
    }

    void start_on(const std::string& worker)
    {
        suspect->phase = task_phase::running;
        suspect->worker = worker;
        suspect->start_sent = true;
        suspect->start_sent_at = timers.now();
    }

    void lose(const worker_identity& worker, loss_cause cause)
    {
        const auto now = timers.now().time_since_epoch();
        const decisions::worker_loss loss{now, now};
        ledger.contact_lost(worker, {suspect}, loss);
        ledger.tasks_lost(worker, {suspect}, loss, cause);
        suspect->phase = task_phase::waiting;
        suspect->worker.clear();
    }

    // Worker w2 answers on the VM of `first`.
    static void answer_of_successor(crash_ledger& ledger, bool first_may_be_alive = false)
    {
        ledger.successor_answered("vm-1", {"w2", 20},
                                  [=](const std::string&) { return first_may_be_alive; });
    }

    testing::virtual_timers timers;
    job_table jobs;
    int changes = 0;
    crash_ledger ledger{timers, jobs, [this](task&) { ++changes; }};
    task* suspect = nullptr;
    const worker_identity first{{"w1", 10}, "vm-1", false};
};

TEST_F(crash_ledger_test, successor_on_the_vm_confirms_a_crash)
{
    lose(first, loss_cause::lease_expired);
    ASSERT_EQ(suspect->crashes.size(), 1U);
    EXPECT_FALSE(suspect->crashes[0].confirmed);
    EXPECT_EQ(ledger.verdict(*suspect), crash_verdict::isolate_start);
    answer_of_successor(ledger);
    EXPECT_TRUE(suspect->crashes[0].confirmed);
    EXPECT_EQ(changes, 2);
}

// Guards against giving up a healthy job because of an entry that names its worker's VM.
TEST_F(crash_ledger_test, successor_confirms_no_crash_of_a_worker_that_may_be_alive)
{
    lose(first, loss_cause::lease_expired);
    answer_of_successor(ledger, true);
    ASSERT_EQ(suspect->crashes.size(), 1U);
    EXPECT_FALSE(suspect->crashes[0].confirmed);
}

TEST_F(crash_ledger_test, worker_that_answers_again_clears_its_tasks)
{
    lose(first, loss_cause::lease_expired);
    ledger.worker_alive(first.life);
    EXPECT_TRUE(suspect->crashes.empty());
}

TEST_F(crash_ledger_test, other_incarnation_of_the_worker_confirms_a_crash)
{
    lose(first, loss_cause::lease_expired);
    ledger.worker_alive({"w1", 11});
    ASSERT_EQ(suspect->crashes.size(), 1U);
    EXPECT_TRUE(suspect->crashes[0].confirmed);
}

// Guards against counting our own order to a VM as a crash: a silent worker's VM is moved, and the
// worker that runs on it afterwards would confirm the loss.
TEST_F(crash_ledger_test, order_to_the_vm_clears_what_was_not_confirmed)
{
    lose(first, loss_cause::lease_expired);
    ledger.vm_ordered("vm-2");
    EXPECT_EQ(suspect->crashes.size(), 1U);
    ledger.vm_ordered("vm-1");
    answer_of_successor(ledger);
    EXPECT_TRUE(suspect->crashes.empty());
}

TEST_F(crash_ledger_test, planned_ends_of_workers_are_no_evidence)
{
    lose(first, loss_cause::powered_off);
    EXPECT_TRUE(suspect->crashes.empty());
    start_on("w1");
    auto draining = first;
    draining.draining = true;
    lose(draining, loss_cause::replaced);
    EXPECT_TRUE(suspect->crashes.empty());
}

// The recorded start of a suspect is no evidence any more once its worker has survived it.
TEST_F(crash_ledger_test, survived_start_is_no_evidence)
{
    ledger.begin_start(*suspect, first, crash_link::sole);
    ledger.worker_alive(first.life);
    EXPECT_EQ(suspect->crashes.size(), 1U) << "the worker may still crash";
    timers.run_for(decisions::crash_window + 1ms);
    ledger.worker_alive(first.life);
    EXPECT_TRUE(suspect->crashes.empty());
}

// Guards against giving up an innocent task whose worker crashes by itself while the start of the
// task still waits for its record.
TEST_F(crash_ledger_test, crash_before_the_start_was_sent_is_no_evidence)
{
    for (const auto cause :
         {loss_cause::restarted, loss_cause::replaced, loss_cause::lease_expired}) {
        start_on("w1");
        suspect->phase = task_phase::starting;
        suspect->start_sent = false;
        ledger.begin_start(*suspect, first, crash_link::sole);
        lose(first, cause);
        answer_of_successor(ledger);
        EXPECT_TRUE(suspect->crashes.empty()) << to_string(cause);
    }
}

TEST_F(crash_ledger_test, evidence_of_a_record_is_settled_by_the_next_leader)
{
    lose(first, loss_cause::lease_expired);
    crash_ledger next{timers, jobs, [](task&) {}};
    next.load(*suspect->owner);
    answer_of_successor(next);
    ASSERT_EQ(suspect->crashes.size(), 1U);
    EXPECT_TRUE(suspect->crashes[0].confirmed);
}

} // namespace
} // namespace jl::jobs
