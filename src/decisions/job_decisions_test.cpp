// Tests each decision about jobs under the load pattern that it is made for.

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/arrival_forecast.h"
#include "decisions/filler_pace.h"
#include "decisions/job_order.h"
#include "decisions/pool_sizing.h"
#include "decisions/task_placement.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

job_demand make_job(std::size_t index, std::chrono::milliseconds time_left,
                    std::chrono::milliseconds critical_path, double core_seconds)
{
    job_demand job;
    job.job = index;
    job.time_left = time_left;
    job.late_time_left = time_left + 4s;
    job.critical_path = critical_path;
    job.core_seconds = core_seconds;
    return job;
}

// While demand exceeds the pool's capacity, jobs that can meet their objective come before late
// ones, and late ones before those that earn no credit.
TEST(job_order, late_and_expired_jobs_do_not_delay_jobs_on_time)
{
    const std::vector<job_demand> jobs = {make_job(0, -6s, 1s, 1), make_job(1, 500ms, 1s, 1),
                                          make_job(2, 2s, 1s, 50)};
    EXPECT_EQ(order_jobs(jobs), (std::vector<std::size_t>{2, 1, 0}));
}

TEST(job_order, started_jobs_come_before_new_jobs)
{
    auto started_job = make_job(0, 2s, 1s, 80);
    started_job.started = true;
    EXPECT_EQ(order_jobs({make_job(1, 2s, 1s, 5), started_job}), (std::vector<std::size_t>{0, 1}));
}

TEST(job_order, long_running_jobs_come_first_then_urgent_queues)
{
    auto less_urgent = make_job(0, 2s, 1s, 1);
    less_urgent.priority = 1;
    auto long_running_job = make_job(2, -60s, 1s, 100);
    long_running_job.long_running = true;
    EXPECT_EQ(order_jobs({less_urgent, make_job(1, 2s, 1s, 9), long_running_job}),
              (std::vector<std::size_t>{2, 1, 0}));
}

// Guards against a large job that loses its objective to a stream of small ones with more time.
TEST(job_order, earliest_objective_comes_first_among_jobs_on_time)
{
    EXPECT_EQ(order_jobs({make_job(0, 4s, 1s, 2), make_job(1, 3s, 2s, 60)}),
              (std::vector<std::size_t>{1, 0}));
}

TEST(job_order, small_jobs_come_first_among_late_jobs)
{
    EXPECT_EQ(order_jobs({make_job(0, -2s, 1s, 60), make_job(1, -1s, 1s, 2)}),
              (std::vector<std::size_t>{1, 0}));
}

candidate_worker make_candidate(const char* name, std::int64_t free_millicores)
{
    candidate_worker candidate;
    candidate.worker = name;
    candidate.free_millicores = free_millicores;
    candidate.free_memory_mb = 131072;
    candidate.releasable_millicores = 64000 - free_millicores;
    return candidate;
}

TEST(task_placement, chooses_the_worker_with_the_least_sufficient_free_cpu)
{
    task_demand task;
    task.millicores = 8000;
    const std::vector<candidate_worker> candidates = {
        make_candidate("a", 64000), make_candidate("b", 9000), make_candidate("c", 7000)};
    EXPECT_EQ(choose_worker(task, candidates), 1U);
}

TEST(task_placement, avoids_failing_workers_while_others_have_room)
{
    task_demand task;
    task.millicores = 1000;
    auto failing = make_candidate("a", 2000);
    failing.failure_score = 3;
    EXPECT_EQ(choose_worker(task, {failing, make_candidate("b", 64000)}), 1U);
    EXPECT_EQ(choose_worker(task, {failing, make_candidate("b", 500)}), 0U);
    task.avoided_worker = "b";
    EXPECT_EQ(choose_worker(task, {make_candidate("b", 5000), make_candidate("c", 64000)}), 1U);
}

TEST(task_placement, respects_label_limit_per_worker_and_rack)
{
    task_demand task;
    task.millicores = 1000;
    task.required_label = "fast";
    auto labelled = make_candidate("a", 64000);
    const std::vector<std::string> labels = {"fast"};
    labelled.labels = &labels;
    EXPECT_EQ(choose_worker(task, {make_candidate("b", 2000), labelled}), 1U);
    task.required_label.clear();
    task.max_per_worker = 1;
    auto crowded = make_candidate("c", 2000);
    crowded.tasks_of_step = 1;
    EXPECT_FALSE(choose_worker(task, {crowded}));
    task.preferred_rack = "r2";
    auto near = make_candidate("d", 64000);
    near.rack = "r2";
    EXPECT_EQ(choose_worker(task, {make_candidate("e", 2000), near}), 1U);
}

// Without this, each pass tries hundreds of waiting jobs on each worker. A task is ruled out only
// by one that requests no more of any resource.
TEST(unplaceable_demands, rules_out_tasks_that_request_at_least_as_much)
{
    unplaceable_demands unplaceable;
    task_demand refused;
    refused.millicores = 4000;
    refused.memory_mb = 1000;
    EXPECT_FALSE(unplaceable.rules_out(refused));
    unplaceable.add(refused);
    EXPECT_TRUE(unplaceable.rules_out(refused));
    auto smaller = refused;
    smaller.millicores = 3999;
    EXPECT_FALSE(unplaceable.rules_out(smaller));
    auto less_memory = refused;
    less_memory.memory_mb = 999;
    EXPECT_FALSE(unplaceable.rules_out(less_memory));
    auto filler = refused;
    filler.filler = true;
    EXPECT_FALSE(unplaceable.rules_out(filler));
}

// If a task may run only on some workers, other workers can still have room for other tasks.
TEST(unplaceable_demands, ignores_tasks_with_a_label_or_a_limit_per_worker)
{
    unplaceable_demands unplaceable;
    task_demand labelled;
    labelled.millicores = 1000;
    labelled.required_label = "fast";
    unplaceable.add(labelled);
    task_demand spread;
    spread.millicores = 1000;
    spread.max_per_worker = 1;
    unplaceable.add(spread);
    task_demand plain;
    plain.millicores = 1000;
    EXPECT_FALSE(unplaceable.rules_out(plain));
}

TEST(task_placement, keeps_filler_tasks_away_from_serving_tasks)
{
    task_demand filler;
    filler.filler = true;
    filler.millicores = 90000; // more than any worker has, but ignored for filler tasks
    auto serving = make_candidate("a", 1000);
    serving.serving_tasks = 2;
    EXPECT_EQ(choose_worker(filler, {serving, make_candidate("b", 64000)}), 1U);
}

TEST(task_placement, reserves_the_worker_with_the_largest_free_share_of_the_demand)
{
    task_demand task;
    task.millicores = 8000;
    task.memory_mb = 40000;
    auto little_memory = make_candidate("a", 64000);
    little_memory.free_memory_mb = 4000;
    little_memory.releasable_memory_mb = 127072;
    EXPECT_EQ(choose_reservation(task, {little_memory, make_candidate("b", 6000)}), 1U);
    task.millicores = 70000;
    EXPECT_FALSE(choose_reservation(task, {make_candidate("b", 6000)}));
}

// Guards against workers that are kept free although nothing that occupies them ends.
TEST(task_placement, reserves_no_worker_whose_room_does_not_become_free)
{
    task_demand task;
    task.millicores = 8000;
    task.memory_mb = 40000;
    task.accelerators = 1;
    auto occupied = make_candidate("a", 6000);
    occupied.free_accelerators = 1;
    occupied.releasable_millicores = 1999;
    EXPECT_FALSE(choose_reservation(task, {occupied}));
    occupied.releasable_millicores = 2000;
    EXPECT_EQ(choose_reservation(task, {occupied}), 0U);
    occupied.free_memory_mb = 39999;
    EXPECT_FALSE(choose_reservation(task, {occupied}));
    occupied.releasable_memory_mb = 1;
    EXPECT_EQ(choose_reservation(task, {occupied}), 0U);
    occupied.free_accelerators = 0;
    EXPECT_FALSE(choose_reservation(task, {occupied}));
}

// Filler tasks stop while serving tasks on the same worker miss their target, and speed up in
// steps.
TEST(filler_pace, follows_the_latency_of_serving_tasks)
{
    EXPECT_EQ(next_filler_pace(1.3, 100), 0);
    EXPECT_EQ(next_filler_pace(0.9, 100), 50);
    EXPECT_EQ(next_filler_pace(0.9, 15), 0);
    EXPECT_EQ(next_filler_pace(0.7, 50), 50);
    EXPECT_EQ(next_filler_pace(0.3, 50), 70);
    EXPECT_EQ(next_filler_pace(0.3, 95), 100);
}

// When a queue's peak begins, its growth is extrapolated over the time that a VM takes to arrive.
TEST(arrival_forecast, extrapolates_growth)
{
    arrival_forecast demand;
    for (int number = 0; number < 4; ++number) {
        demand.note_arrival("rounds", 1100ms + number * 200ms, {1.0, 400ms});
    }
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2000ms, 500ms, 2s), 6.0);
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2000ms, 5s, 2s),
                     8.0); // never more than twice the rate
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 9s, 1500ms, 2s), 0.0);
    EXPECT_DOUBLE_EQ(demand.forecast("crews", 2s, 1500ms, 2s), 0.0);
}

TEST(arrival_forecast, does_not_extrapolate_from_one_large_job)
{
    arrival_forecast demand;
    demand.note_arrival("rounds", 2s, {5.0, 1s});
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2s, 1500ms, 2s), 5.0);
}

// Guards against a single long job that is taken for a stream of such jobs: one of 28 VM-seconds
// that occupies 3.5 VMs for 8 s moved 22 VMs into its pool.
TEST(arrival_forecast, long_job_counts_with_the_work_that_it_does_within_the_horizon)
{
    arrival_forecast demand;
    demand.note_arrival("rounds", 2s, {28.0, 8s});
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2s, 1500ms, 2s), 7.0);
}

pool_state make_pool(const std::string& name, int vms, double load)
{
    pool_state pool;
    pool.pool = name;
    pool.vms = vms;
    pool.current_load = load;
    return pool;
}

// VMs go to the pool that has work, and the rest to the standby pool.
TEST(pool_sizing, gives_vms_to_the_pool_that_has_work)
{
    auto standby = make_pool("office", 8, 0);
    standby.standby = true;
    const std::vector<pool_state> pools = {make_pool("rounds", 8, 13.0), make_pool("crews", 9, 0.4),
                                           standby};
    EXPECT_EQ(size_pools(pools, {}), (std::vector<int>{15, 2, 8}));
}

TEST(pool_sizing, keeps_pinned_vms_and_vms_for_spread_steps)
{
    auto standby = make_pool("office", 8, 0);
    standby.standby = true;
    auto pinned = make_pool("rounds", 8, 0.3);
    pinned.pinned_vms = 4;
    auto spread = make_pool("crews", 8, 0.3);
    spread.spread_vms = 5;
    EXPECT_EQ(size_pools({pinned, spread, standby}, {}), (std::vector<int>{4, 5, 15}));
}

TEST(pool_sizing, divides_vms_in_proportion_to_load_when_they_do_not_suffice)
{
    const auto sizes = size_pools({make_pool("rounds", 10, 18.0), make_pool("crews", 10, 9.0)}, {});
    EXPECT_EQ(sizes[0] + sizes[1], 20);
    EXPECT_NEAR(sizes[0], 2 * sizes[1], 2);
}

// If jobs that have missed their objective do not count, a large task of theirs never runs when all
// VMs left in its pool run long-running tasks (seen in gerddi-jasmine-large, trouble-2: LOST).
TEST(pool_sizing, gives_late_work_a_share_of_the_vms_that_no_pool_needs)
{
    auto late = make_pool("rounds", 4, 0.3);
    late.pinned_vms = 4;
    late.late_load = 0.9;
    auto standby = make_pool("office", 8, 0);
    standby.standby = true;
    EXPECT_EQ(size_pools({late, standby}, {}), (std::vector<int>{5, 7}));
    late.late_load = 16;
    EXPECT_EQ(size_pools({late, standby}, {}), (std::vector<int>{8, 4}));
}

TEST(pool_sizing, gives_vms_to_on_time_work_before_late_work)
{
    auto late = make_pool("rounds", 4, 0.3);
    late.late_load = 40;
    const auto sizes = size_pools({late, make_pool("crews", 4, 9.0)}, {});
    EXPECT_EQ(sizes, (std::vector<int>{2, 6}));
}

TEST(pool_sizing, leaves_vms_where_they_are_without_a_standby_pool)
{
    EXPECT_EQ(size_pools({make_pool("rounds", 8, 0.1), make_pool("crews", 9, 0.1)}, {}),
              (std::vector<int>{8, 9}));
}

} // namespace
} // namespace jl::decisions
