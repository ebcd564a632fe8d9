// Quotas, shares and admission of teams, in virtual time.

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;
using testing::worker_mode;

constexpr int worker_count = 4;
constexpr task_resources task_size{4000, 4096, 0}; // of make_job()

task_resources times(int count, const task_resources& size)
{
    return {count * size.millicores, count * size.memory_mb, count * size.accelerators};
}

std::string job_id(int number)
{
    const auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

class team_limits : public ::testing::Test {
protected:
    team_limits() : fleet(worker_count) {}

    // Two teams with the keys "north" and "south".
    void configure(const task_resources& quota_of_north, double weight_of_north = 100.0)
    {
        auto& config = fleet.documents.config;
        config.checks_keys = true;
        config.teams = teams::team_directory({{"north", {"north"}, weight_of_north, quota_of_north},
                                              {"south", {"south"}, 100.0, {}}});
        fleet.store.put("op/config", "");
    }

    int running() const
    {
        int total = 0;
        for (int worker = 0; worker < worker_count; ++worker) {
            total += fleet.workers.running("w" + std::to_string(worker));
        }
        return total;
    }

    // Returns the largest number of tasks that ran on all workers at the same time.
    int most_running(milliseconds duration)
    {
        int most = 0;
        for (milliseconds waited{0}; waited < duration; waited += 5ms) {
            fleet.timers.run_for(5ms);
            most = std::max(most, running());
        }
        return most;
    }

    void submit_jobs(int first, int count, int tasks, const std::string& team)
    {
        for (int number = first; number < first + count; ++number) {
            fleet.leader()->submit({make_job(job_id(number), 1, tasks), team},
                                   [](const submit_answer&) {});
        }
    }

    test_fleet fleet;
};

// Guards against a quota that is applied to each worker, job or step alone.
TEST_F(team_limits, quota_holds_over_all_workers_and_jobs)
{
    configure(times(5, task_size));
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    submit_jobs(0, 8, 4, "north");
    EXPECT_EQ(most_running(3s), 5);
    EXPECT_TRUE(fleet.await_state(job_id(7), job_state::completed, 60s));
}

// Guards against a team that is limited by the tasks of another one, or of a public queue.
TEST_F(team_limits, other_teams_are_not_limited)
{
    configure(times(1, task_size));
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    submit_jobs(0, 2, 4, "north");
    submit_jobs(10, 2, 10, "south");
    EXPECT_EQ(most_running(900ms), 21);
}

// Guards against a lower quota that ends work in progress, and against one that is not applied.
TEST_F(team_limits, lower_quota_ends_no_task_and_limits_new_ones)
{
    configure({});
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    fleet.workers.default_plan.duration = 2s;
    submit_jobs(0, 2, 5, "north");
    fleet.timers.run_for(500ms);
    ASSERT_EQ(running(), 10);
    configure(times(3, task_size));
    submit_jobs(2, 2, 5, "north");
    fleet.timers.run_for(500ms);
    EXPECT_EQ(running(), 10);
    fleet.timers.run_for(2s);
    EXPECT_EQ(most_running(1500ms), 3);
    EXPECT_EQ(fleet.workers.runs_by_task().at(job_id(0) + ".0.0.0").size(), 1U);
}

// Guards against a new leader that starts tasks before it knows what its predecessor has started,
// on a worker that does not answer.
TEST_F(team_limits, next_leader_counts_tasks_on_a_silent_worker)
{
    configure(times(6, task_size));
    ASSERT_TRUE(fleet.start_leader_and_standby());
    fleet.workers.default_plan.duration = 20s;
    submit_jobs(0, 1, 6, "north");
    fleet.timers.run_for(500ms);
    ASSERT_EQ(running(), 6);
    std::string silent;
    for (int worker = 0; worker < worker_count && silent.empty(); ++worker) {
        const auto name = "w" + std::to_string(worker);
        silent = fleet.workers.running(name) > 0 ? name : "";
    }
    ASSERT_FALSE(silent.empty());
    fleet.workers.set_mode(silent, worker_mode::unreachable);
    fleet.nodes.erase("a");
    ASSERT_TRUE(fleet.await_leader());
    submit_jobs(1, 3, 6, "north");
    EXPECT_EQ(most_running(10s), 6);
}

// Guards against a gang that starts with some of its members beyond the quota, and against one that
// is accepted and can never start.
TEST_F(team_limits, gang_starts_whole_within_the_quota_or_is_refused)
{
    configure(times(5, task_size));
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    submit_jobs(0, 1, 2, "north");
    fleet.timers.run_for(100ms);
    auto gang = make_job(job_id(1), 1, 4);
    gang.steps[0].gang = true;
    ASSERT_EQ(fleet.submit(gang, 2000ms, "north"), submit_outcome::accepted);
    EXPECT_EQ(most_running(700ms), 2);
    EXPECT_TRUE(fleet.await_state(job_id(1), job_state::completed, 10s));
    gang = make_job(job_id(2), 1, 6);
    gang.steps[0].gang = true;
    EXPECT_EQ(fleet.submit(gang, 2000ms, "north"), submit_outcome::overloaded);
    fleet.timers.run_for(3s);
    EXPECT_EQ(fleet.workers.start_count(job_id(2) + ".0.0.0"), 0);
    EXPECT_FALSE(fleet.leader()->state(job_id(2)).has_value());
}

// Load pattern: answers to orders are lost, workers carry orders out late, and the leader changes.
// Guards against runs that are counted neither as assigned nor as open.
class quota_under_faults : public team_limits, public ::testing::WithParamInterface<unsigned> {};

TEST_P(quota_under_faults, holds_within_the_tolerance)
{
    constexpr int quota = 10;
    constexpr int tolerated = quota + quota / 10 + 1; // a tenth more and one task
    std::mt19937 random(GetParam());
    configure(times(quota, task_size));
    ASSERT_TRUE(fleet.start_leader_and_standby());
    int submitted = 0;
    int worst = 0;
    for (int round = 0; round < 3000; ++round) {
        auto* const leader = fleet.leader();
        if (leader != nullptr && random() % 10 == 0) {
            fleet.workers.plans_by_job[job_id(submitted)].duration =
                milliseconds(100 + random() % 2000);
            submit_jobs(submitted++, 1, 1 + static_cast<int>(random() % 6), "north");
        }
        if (random() % 40 == 0) {
            const auto worker = "w" + std::to_string(random() % worker_count);
            constexpr worker_mode modes[] = {worker_mode::answering, worker_mode::answering,
                                             worker_mode::answer_lost, worker_mode::late_orders,
                                             worker_mode::unreachable};
            fleet.workers.set_mode(worker, modes[random() % std::size(modes)]);
        }
        if (round == 1500) {
            fleet.nodes.erase("a");
        }
        fleet.timers.run_for(10ms);
        worst = std::max(worst, running());
    }
    EXPECT_GT(submitted, 100);
    EXPECT_LE(worst, tolerated);
}

INSTANTIATE_TEST_SUITE_P(seeds, quota_under_faults, ::testing::Range(1U, 21U));

// Load pattern: one team sends seven times its rate for six seconds while the pool is full, and
// another one its usual load. Guards against callers of the second team that pay for the first.
TEST_F(team_limits, flood_of_one_team_costs_the_other_nothing)
{
    constexpr int jobs_of_south = 30;
    const auto completed_in_time = [](bool flood, double weight) {
        test_fleet fleet(worker_count);
        auto& config = fleet.documents.config;
        config.checks_keys = true;
        config.teams = teams::team_directory(
            {{"north", {"north"}, weight, {}}, {"south", {"south"}, weight, {}}});
        fleet.store.put("op/config", "");
        fleet.add_node("a");
        EXPECT_TRUE(fleet.await_leader());
        int in_time = 0;
        for (int tick = 0; tick < 900; ++tick) { // 9 s
            if (tick < 600 && tick % 20 == 0) {  // 5 a second
                fleet.leader()->submit({make_job(job_id(1000 + tick / 20), 1, 6), "south"},
                                       [](const submit_answer&) {});
            }
            if (flood && tick < 600 && tick % 3 == 0) { // 33 a second
                fleet.leader()->submit({make_job(job_id(tick), 1, 6), "north"},
                                       [](const submit_answer&) {});
            }
            fleet.timers.run_for(10ms);
            // Each job has 2.2 s: 1.6 times a second, and 600 ms.
            if (tick >= 220 && (tick - 220) % 20 == 0 && (tick - 220) / 20 < jobs_of_south) {
                const auto state = fleet.leader()->state(job_id(1000 + (tick - 220) / 20));
                in_time += state == job_state::completed ? 1 : 0;
            }
        }
        return in_time;
    };
    constexpr double usual_rate = 5.0;
    EXPECT_EQ(completed_in_time(false, usual_rate), jobs_of_south);
    EXPECT_GE(completed_in_time(true, usual_rate), jobs_of_south - 2);
    // Within the rate of both, so that only the shares protect the second team.
    EXPECT_GE(completed_in_time(true, 1000.0), jobs_of_south - 2);
}

// Load pattern as above. Guards against a team that waits for ever behind one with a larger weight
// and endless work.
TEST_F(team_limits, team_with_a_small_weight_is_not_starved)
{
    configure({}, 100000.0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    submit_jobs(0, 60, 30, "north");
    submit_jobs(1000, 3, 4, "south");
    EXPECT_TRUE(fleet.await_state(job_id(1002), job_state::completed, 10s));
}

// Load pattern: a team beyond its rate at a full pool. Guards against work that is accepted and
// cannot be of use, against a refused job that runs, and against the refusal of a repeated
// submission.
TEST_F(team_limits, jobs_beyond_the_rate_are_refused_at_once_when_the_pool_is_full)
{
    configure({}, 2.0);
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    std::map<int, submit_answer> answers;
    for (int number = 0; number < 40; ++number) {
        fleet.leader()->submit(
            {make_job(job_id(number), 1, 40), "north"},
            [&answers, number](const submit_answer& answer) { answers[number] = answer; });
        fleet.timers.run_for(20ms);
    }
    ASSERT_EQ(answers.size(), 40U);
    EXPECT_EQ(answers[0].outcome, submit_outcome::accepted);
    EXPECT_EQ(answers[39].outcome, submit_outcome::overloaded);
    EXPECT_GE(answers[39].retry_after, 1s);
    EXPECT_EQ(fleet.submit(make_job(job_id(0), 1, 40), 2000ms, "north"), submit_outcome::accepted);
    fleet.timers.run_for(5s);
    EXPECT_EQ(fleet.workers.start_count(job_id(39) + ".0.0.0"), 0);
}

} // namespace
} // namespace jl::jobs
