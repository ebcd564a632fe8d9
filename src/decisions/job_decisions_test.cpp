// The decisions about jobs, each under the load pattern that it answers.

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
                    std::chrono::milliseconds chain, double core_seconds)
{
    job_demand job;
    job.job = index;
    job.time_left = time_left;
    job.late_time_left = time_left + 4s;
    job.chain = chain;
    job.core_seconds = core_seconds;
    return job;
}

// A turn asks more than the pool holds: jobs that can still be in time go before late ones, and
// late ones before those that earn nothing any more.
TEST(job_order, hopeless_jobs_do_not_delay_those_in_time)
{
    const std::vector<job_demand> jobs = {make_job(0, -6s, 1s, 1), make_job(1, 500ms, 1s, 1),
                                          make_job(2, 2s, 1s, 50)};
    EXPECT_EQ(order_jobs(jobs), (std::vector<std::size_t>{2, 1, 0}));
}

TEST(job_order, begun_jobs_are_finished_before_new_ones_begin)
{
    auto begun = make_job(0, 2s, 1s, 80);
    begun.started = true;
    EXPECT_EQ(order_jobs({make_job(1, 2s, 1s, 5), begun}), (std::vector<std::size_t>{0, 1}));
}

TEST(job_order, urgent_queue_and_long_running_jobs_come_first)
{
    auto deferred = make_job(0, 2s, 1s, 1);
    deferred.priority = 1;
    auto lasting = make_job(2, -60s, 1s, 100);
    lasting.long_running = true;
    EXPECT_EQ(order_jobs({deferred, make_job(1, 2s, 1s, 9), lasting}),
              (std::vector<std::size_t>{2, 1, 0}));
}

worker_room make_room(const char* name, std::int64_t free_millicores)
{
    worker_room room;
    room.worker = name;
    room.free_millicores = free_millicores;
    room.free_memory_mb = 131072;
    room.total_millicores = 64000;
    room.total_memory_mb = 131072;
    return room;
}

TEST(task_placement, takes_the_fullest_worker_that_has_room)
{
    task_demand task;
    task.millicores = 8000;
    const std::vector<worker_room> rooms = {make_room("a", 64000), make_room("b", 9000),
                                            make_room("c", 7000)};
    EXPECT_EQ(choose_worker(task, rooms), 1U);
}

TEST(task_placement, avoids_workers_that_fail_while_others_have_room)
{
    task_demand task;
    task.millicores = 1000;
    auto failing = make_room("a", 2000);
    failing.failure_score = 3;
    EXPECT_EQ(choose_worker(task, {failing, make_room("b", 64000)}), 1U);
    EXPECT_EQ(choose_worker(task, {failing, make_room("b", 500)}), 0U);
    task.avoided_worker = "b";
    EXPECT_EQ(choose_worker(task, {make_room("b", 5000), make_room("c", 64000)}), 1U);
}

TEST(task_placement, respects_labels_spread_and_rack)
{
    task_demand task;
    task.millicores = 1000;
    task.required_label = "fast";
    auto labelled = make_room("a", 64000);
    const std::vector<std::string> labels = {"fast"};
    labelled.labels = &labels;
    EXPECT_EQ(choose_worker(task, {make_room("b", 2000), labelled}), 1U);
    task.required_label.clear();
    task.max_per_worker = 1;
    auto crowded = make_room("c", 2000);
    crowded.tasks_of_step = 1;
    EXPECT_FALSE(choose_worker(task, {crowded}));
    task.preferred_rack = "r2";
    auto near = make_room("d", 64000);
    near.rack = "r2";
    EXPECT_EQ(choose_worker(task, {make_room("e", 2000), near}), 1U);
}

// Hundreds of waiting jobs were tried on each worker at each pass. A demand is ruled out only by
// one that asks for no more of anything.
TEST(task_placement, rules_out_tasks_that_ask_for_as_much_as_one_refused)
{
    exhausted_room exhausted;
    task_demand refused;
    refused.millicores = 4000;
    refused.memory_mb = 1000;
    EXPECT_FALSE(exhausted.rules_out(refused));
    exhausted.note_no_room(refused);
    EXPECT_TRUE(exhausted.rules_out(refused));
    auto smaller = refused;
    smaller.millicores = 3999;
    EXPECT_FALSE(exhausted.rules_out(smaller));
    auto leaner = refused;
    leaner.memory_mb = 999;
    EXPECT_FALSE(exhausted.rules_out(leaner));
    auto filler = refused;
    filler.filler = true;
    EXPECT_FALSE(exhausted.rules_out(filler));
}

// A task that only some workers may run tells nothing about the room of the others.
TEST(task_placement, rules_out_nothing_by_a_refusal_for_a_label_or_the_spread)
{
    exhausted_room exhausted;
    task_demand labelled;
    labelled.millicores = 1000;
    labelled.required_label = "fast";
    exhausted.note_no_room(labelled);
    task_demand spread;
    spread.millicores = 1000;
    spread.max_per_worker = 1;
    exhausted.note_no_room(spread);
    task_demand plain;
    plain.millicores = 1000;
    EXPECT_FALSE(exhausted.rules_out(plain));
}

TEST(task_placement, keeps_filling_tasks_away_from_serving_ones)
{
    task_demand filler;
    filler.filler = true;
    filler.millicores = 90000; // more than any worker has: not counted
    auto serving = make_room("a", 1000);
    serving.serving_tasks = 2;
    EXPECT_EQ(choose_worker(filler, {serving, make_room("b", 64000)}), 1U);
}

TEST(task_placement, reserves_the_worker_that_is_nearest_to_having_room)
{
    task_demand task;
    task.millicores = 8000;
    task.memory_mb = 40000;
    auto little_memory = make_room("a", 64000);
    little_memory.free_memory_mb = 4000;
    EXPECT_EQ(choose_reservation(task, {little_memory, make_room("b", 6000)}), 1U);
    task.millicores = 70000;
    EXPECT_FALSE(choose_reservation(task, {make_room("b", 6000)}));
}

// Filling stops while the tasks beside it miss their target, and returns in steps.
TEST(filler_pace, follows_the_latency_of_serving_tasks)
{
    EXPECT_EQ(next_filler_pace(1.3, 100), 0);
    EXPECT_EQ(next_filler_pace(0.9, 100), 50);
    EXPECT_EQ(next_filler_pace(0.9, 15), 0);
    EXPECT_EQ(next_filler_pace(0.7, 50), 50);
    EXPECT_EQ(next_filler_pace(0.3, 50), 70);
    EXPECT_EQ(next_filler_pace(0.3, 95), 100);
}

// The growth of a turn's beginning is carried on for the time that a VM takes to come.
TEST(arrival_forecast, carries_growth_on)
{
    arrival_forecast demand;
    for (int number = 0; number < 4; ++number) {
        demand.note_arrival("rounds", 1100ms + number * 200ms, 1.0);
    }
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2000ms, 500ms), 6.0);
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2000ms, 5s), 8.0); // never more than twice the rate
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 9s, 1500ms), 0.0);
    EXPECT_DOUBLE_EQ(demand.forecast("crews", 2s, 1500ms), 0.0);
}

TEST(arrival_forecast, one_large_job_is_no_trend)
{
    arrival_forecast demand;
    demand.note_arrival("rounds", 2s, 5.0);
    EXPECT_DOUBLE_EQ(demand.forecast("rounds", 2s, 1500ms), 5.0);
}

pool_state make_pool(const std::string& name, int vms, double load)
{
    pool_state pool;
    pool.pool = name;
    pool.vms = vms;
    pool.wanted_load = load;
    return pool;
}

// The VMs follow the turns: to the pool that has work, and off when none has.
TEST(pool_sizing, vms_go_where_the_work_is)
{
    auto standby = make_pool("office", 8, 0);
    standby.standby = true;
    const std::vector<pool_state> pools = {make_pool("rounds", 8, 13.0), make_pool("crews", 9, 0.4),
                                           standby};
    EXPECT_EQ(size_pools(pools, {}), (std::vector<int>{15, 2, 8}));
}

TEST(pool_sizing, keeps_pinned_vms_and_the_spread_of_steps)
{
    auto standby = make_pool("office", 8, 0);
    standby.standby = true;
    auto pinned = make_pool("rounds", 8, 0.3);
    pinned.pinned_vms = 4;
    auto spread = make_pool("crews", 8, 0.3);
    spread.spread_vms = 5;
    EXPECT_EQ(size_pools({pinned, spread, standby}, {}), (std::vector<int>{4, 5, 15}));
}

TEST(pool_sizing, divides_by_need_when_all_want_more)
{
    const auto sizes = size_pools({make_pool("rounds", 10, 18.0), make_pool("crews", 10, 9.0)}, {});
    EXPECT_EQ(sizes[0] + sizes[1], 20);
    EXPECT_NEAR(sizes[0], 2 * sizes[1], 2);
}

// Jobs that had missed their objective counted for nothing: a large task of theirs never ran, since
// all VMs left in its pool ran long-running tasks (gerddi-jasmine-large, trouble-2: LOST).
TEST(pool_sizing, gives_late_work_a_share_of_what_no_pool_wants)
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

TEST(pool_sizing, serves_work_in_time_before_late_work)
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
