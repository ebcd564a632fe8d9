#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/placement.h"

namespace jl::decisions {
namespace {

using records::task_class;
using records::task_phase;
using observed_state = task_observation::state;

class placement_test : public testing::Test {
protected:
    placement_test()
    {
        auto set = std::make_shared<objects::object_set>();
        objects::team team;
        team.name = "limited";
        team.quotas["p"] = 16;
        set->teams.push_back(team);
        snapshot.configuration = set;
        snapshot.reports_current = true;
        snapshot.now = std::chrono::hours(1);
        for (const std::string name : {"w0", "w1"}) {
            worker_view worker;
            worker.vm = name;
            worker.pool = "p";
            worker.rack = "r" + name.substr(1);
            worker.cores = 64;
            worker.memory_gb = 128;
            worker.boot_id = 1;
            worker.listed = worker.accepts_tasks = true;
            snapshot.workers.push_back(worker);
        }
    }

    records::task_record& add_task(const std::string& name, task_class urgency, double cores)
    {
        task_view task;
        task.revision = 1;
        task.record.task = name;
        task.record.team = "t";
        task.record.pool = "p";
        task.record.kind = "k";
        task.record.urgency = urgency;
        task.record.cores = cores;
        task.record.memory_gb = 1;
        snapshot.tasks.push_back(task);
        return snapshot.tasks.back().record;
    }

    void add_running_task(const std::string& name, task_class urgency, double cores,
                          const std::string& worker)
    {
        auto& record = add_task(name, urgency, cores);
        record.phase = task_phase::running;
        record.phase_since = snapshot.now;
        record.worker = worker;
        record.worker_boot_id = 1;
        record.fencing_token = 1;
        report_last_task(observed_state::running);
    }

    // Adds a report about the task that was added last.
    void report_last_task(observed_state state)
    {
        task_observation observation;
        observation.observed = state;
        observation.fencing_token = snapshot.tasks.back().record.fencing_token;
        snapshot.tasks.back().observation = observation;
    }

    // Plans one round and returns the new phase of each task that it changes.
    std::map<std::string, task_phase> plan_round()
    {
        plan = plan_placement(snapshot, {}, history);
        std::map<std::string, task_phase> phases;
        for (const auto& step : plan.steps) {
            EXPECT_TRUE(phases.emplace(step.next.task, step.next.phase).second)
                << step.next.task << " is changed twice in one round";
        }
        return phases;
    }

    using phase_map = std::map<std::string, task_phase>;
    placement_snapshot snapshot;
    placement_history history;
    placement_plan plan;
};

// Guards against a task that can never be placed and that waits unnoticed or blocks later tasks.
TEST_F(placement_test, unplaceable_tasks_are_reported_and_do_not_block_others)
{
    add_task("large", task_class::urgent, 500);
    add_task("elsewhere", task_class::urgent, 1).rack = "r9";
    add_task("over-quota", task_class::urgent, 20).team = "limited";
    add_task("possible", task_class::deferred, 1);
    const phase_map expected = {{"large", task_phase::unplaceable},
                                {"elsewhere", task_phase::unplaceable},
                                {"over-quota", task_phase::unplaceable},
                                {"possible", task_phase::running}};
    EXPECT_EQ(plan_round(), expected);
    EXPECT_EQ(plan.problems.size(), 3U);
}

// Guards against stopping deferred tasks for an urgent one when throttling them frees enough cores.
TEST_F(placement_test, deferred_tasks_are_throttled_before_any_is_stopped)
{
    add_running_task("d0", task_class::deferred, 80, "w0");
    add_running_task("d1", task_class::deferred, 80, "w1");
    add_task("u", task_class::urgent, 40);
    const phase_map expected = {{"d0", task_phase::throttled}, {"u", task_phase::running}};
    EXPECT_EQ(plan_round(), expected);
}

// Guards against an urgent task that keeps waiting because throttling alone frees too few cores.
TEST_F(placement_test, deferred_tasks_are_stopped_if_throttling_is_not_enough)
{
    add_running_task("d0", task_class::deferred, 80, "w0");
    add_running_task("n1", task_class::normal, 80, "w1");
    add_task("u", task_class::urgent, 70);
    EXPECT_EQ(plan_round(), (phase_map{{"d0", task_phase::stopping}}));
}

// Guards against running the same task on two workers: the time that has passed does not suffice to
// place it again, its worker must also be known to have stopped it.
TEST_F(placement_test, task_is_placed_again_only_after_its_worker_has_stopped_it)
{
    add_running_task("a", task_class::normal, 1, "w0");
    auto& task = snapshot.tasks[0];
    snapshot.workers[0].accepts_tasks = false;
    EXPECT_EQ(plan_round(), (phase_map{{"a", task_phase::stopping}}));
    task.record = plan.steps[0].next;
    snapshot.now += std::chrono::hours(1);
    EXPECT_EQ(plan_round(), phase_map{});
    snapshot.reports_current = false;
    task.observation.reset();
    EXPECT_EQ(plan_round(), phase_map{});
    snapshot.reports_current = true;
    report_last_task(observed_state::stopped);
    EXPECT_EQ(plan_round(), (phase_map{{"a", task_phase::waiting}}));
    task.record = plan.steps[0].next;
    task.observation.reset();
    EXPECT_EQ(plan_round(), (phase_map{{"a", task_phase::running}}));
    EXPECT_EQ(plan.steps[0].next.worker, "w1");
    EXPECT_EQ(plan.steps[0].next.fencing_token, 2);
}

// Guards against a broken worker that takes and fails all waiting tasks.
TEST_F(placement_test, worker_that_fails_all_tasks_is_quarantined_then_probed)
{
    for (const std::string name : {"a", "b", "c"}) {
        add_running_task(name, task_class::normal, 1, "w0");
        report_last_task(observed_state::failed);
    }
    plan_round();
    snapshot.tasks.clear();
    add_task("next", task_class::normal, 1).rack = "r0";
    EXPECT_EQ(plan_round(), phase_map{});
    snapshot.now += std::chrono::seconds(61);
    add_task("other", task_class::normal, 1).rack = "r0";
    EXPECT_EQ(plan_round().size(), 1U)
        << "expected exactly one task as a probe after the quarantine";
}

// Guards against workers that stay underused because tasks declare more than they use.
TEST_F(placement_test, observed_use_corrects_declared_sizes)
{
    add_running_task("a", task_class::normal, 60, "w0");
    snapshot.tasks.back().observation->cores = 15;
    for (int round = 0; round < 50; ++round) {
        plan_round();
    }
    EXPECT_LT(history.corrections["k"].cores, 0.3);
}

// Guards against assigning a worker more cores than the overcommit factor allows, or more memory or
// accelerators than it has.
RC_GTEST_PROP(placement, placements_stay_within_cpu_overcommit_and_memory, ())
{
    placement_snapshot snapshot;
    snapshot.configuration = std::make_shared<objects::object_set>();
    snapshot.reports_current = true;
    for (const std::string name : {"w0", "w1", "w2"}) {
        worker_view worker;
        worker.vm = name;
        worker.pool = "p";
        worker.cores = *rc::gen::inRange(1, 64);
        worker.memory_gb = *rc::gen::inRange(1, 128);
        worker.accelerators = *rc::gen::inRange(0, 3);
        worker.listed = worker.accepts_tasks = true;
        snapshot.workers.push_back(worker);
    }
    for (int number = 0; number < 30; ++number) {
        task_view task;
        task.revision = 1;
        task.record.task = std::to_string(number);
        task.record.pool = "p";
        task.record.urgency = *rc::gen::element(task_class::urgent, task_class::deferred);
        task.record.cores = *rc::gen::inRange(0, 40);
        task.record.memory_gb = *rc::gen::inRange(0, 60);
        task.record.accelerators = *rc::gen::inRange(0, 2);
        snapshot.tasks.push_back(task);
    }
    placement_history history;
    const placement_options options;
    for (const auto& step : plan_placement(snapshot, options, history).steps) {
        for (auto& worker : snapshot.workers) {
            if (step.next.phase == task_phase::running && worker.vm == step.next.worker) {
                worker.cores -= step.next.cores / options.cpu_overcommit_factor;
                worker.memory_gb -= step.next.memory_gb;
                worker.accelerators -= step.next.accelerators;
            }
        }
    }
    for (const auto& worker : snapshot.workers) {
        RC_ASSERT(worker.cores > -1e-6);
        RC_ASSERT(worker.memory_gb > -1e-6);
        RC_ASSERT(worker.accelerators >= 0);
    }
}

} // namespace
} // namespace jl::decisions
