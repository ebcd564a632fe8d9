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

    records::task_record& add(const std::string& name, task_class urgency, double cores)
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

    void add_running(const std::string& name, task_class urgency, double cores,
                     const std::string& worker)
    {
        auto& record = add(name, urgency, cores);
        record.phase = task_phase::running;
        record.phase_since = snapshot.now;
        record.worker = worker;
        record.worker_boot_id = 1;
        record.fencing_token = 1;
        observe(observed_state::running);
    }

    // Report about the task that was added last.
    void observe(observed_state state)
    {
        task_observation observation;
        observation.observed = state;
        observation.fencing_token = snapshot.tasks.back().record.fencing_token;
        snapshot.tasks.back().observation = observation;
    }

    // Phase that the round gives each task that it changes.
    std::map<std::string, task_phase> run()
    {
        plan = plan_placement(snapshot, {}, memory);
        std::map<std::string, task_phase> phases;
        for (const auto& step : plan.steps) {
            EXPECT_TRUE(phases.emplace(step.next.task, step.next.phase).second)
                << step.next.task << " is changed twice in one round";
        }
        return phases;
    }

    using phase_map = std::map<std::string, task_phase>;
    placement_snapshot snapshot;
    placement_memory memory;
    placement_plan plan;
};

// Guards against an impossible task that waits unnoticed or blocks those behind it.
TEST_F(placement_test, impossible_tasks_are_reported_and_block_nothing)
{
    add("large", task_class::urgent, 500);
    add("elsewhere", task_class::urgent, 1).rack = "r9";
    add("over-quota", task_class::urgent, 20).team = "limited";
    add("possible", task_class::deferred, 1);
    const phase_map expected = {{"large", task_phase::unplaceable},
                                {"elsewhere", task_phase::unplaceable},
                                {"over-quota", task_phase::unplaceable},
                                {"possible", task_phase::running}};
    EXPECT_EQ(run(), expected);
    EXPECT_EQ(plan.problems.size(), 3U);
}

// Guards against room for urgent tasks made by stopping work that throttling would have kept.
TEST_F(placement_test, deferred_tasks_are_throttled_before_any_is_stopped)
{
    add_running("d0", task_class::deferred, 80, "w0");
    add_running("d1", task_class::deferred, 80, "w1");
    add("u", task_class::urgent, 40);
    const phase_map expected = {{"d0", task_phase::throttled}, {"u", task_phase::running}};
    EXPECT_EQ(run(), expected);
}

// Guards against an urgent task that waits because throttling frees too little.
TEST_F(placement_test, deferred_tasks_are_stopped_if_throttling_is_not_enough)
{
    add_running("d0", task_class::deferred, 80, "w0");
    add_running("n1", task_class::normal, 80, "w1");
    add("u", task_class::urgent, 70);
    EXPECT_EQ(run(), (phase_map{{"d0", task_phase::stopping}}));
}

// Guards against the same task on two workers: an expired lease alone does not free it.
TEST_F(placement_test, task_is_placed_again_only_after_its_worker_stopped_it)
{
    add_running("a", task_class::normal, 1, "w0");
    auto& task = snapshot.tasks[0];
    snapshot.workers[0].accepts_tasks = false;
    EXPECT_EQ(run(), (phase_map{{"a", task_phase::stopping}}));
    task.record = plan.steps[0].next;
    snapshot.now += std::chrono::hours(1);
    EXPECT_EQ(run(), phase_map{});
    snapshot.reports_current = false;
    task.observation.reset();
    EXPECT_EQ(run(), phase_map{});
    snapshot.reports_current = true;
    observe(observed_state::stopped);
    EXPECT_EQ(run(), (phase_map{{"a", task_phase::waiting}}));
    task.record = plan.steps[0].next;
    task.observation.reset();
    EXPECT_EQ(run(), (phase_map{{"a", task_phase::running}}));
    EXPECT_EQ(plan.steps[0].next.worker, "w1");
    EXPECT_EQ(plan.steps[0].next.fencing_token, 2);
}

// Guards against a broken worker that empties the queue by failing everything.
TEST_F(placement_test, worker_that_fails_everything_is_quarantined_and_probed)
{
    for (const std::string name : {"a", "b", "c"}) {
        add_running(name, task_class::normal, 1, "w0");
        observe(observed_state::failed);
    }
    run();
    snapshot.tasks.clear();
    add("next", task_class::normal, 1).rack = "r0";
    EXPECT_EQ(run(), phase_map{});
    snapshot.now += std::chrono::seconds(61);
    add("other", task_class::normal, 1).rack = "r0";
    EXPECT_EQ(run().size(), 1U) << "one probe at a time";
}

// Guards against declared sizes that waste workers: observed use corrects them.
TEST_F(placement_test, observed_use_corrects_declared_sizes)
{
    add_running("a", task_class::normal, 60, "w0");
    snapshot.tasks.back().observation->cores = 15;
    for (int round = 0; round < 50; ++round) {
        run();
    }
    EXPECT_LT(memory.corrections["k"].cores, 0.3);
}

// Guards against workers promised to more tasks than the bound on overcommit allows.
RC_GTEST_PROP(placement, overcommit_is_bounded, ())
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
    placement_memory memory;
    const placement_options options;
    for (const auto& step : plan_placement(snapshot, options, memory).steps) {
        for (auto& worker : snapshot.workers) {
            if (step.next.phase == task_phase::running && worker.vm == step.next.worker) {
                worker.cores -= step.next.cores / options.overcommit;
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
