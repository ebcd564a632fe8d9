#include <algorithm>
#include <map>
#include <numeric>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/fair_shares.h"

namespace jl::decisions {
namespace {

using testing::ElementsAre;

constexpr task_resources pool{100000, 100000, 0};

// Load pattern: one team has 70 jobs in the queue before the others' ten. Guards against the first
// places of a full pool going to the team that sends most.
TEST(fair_shares, team_with_seven_times_the_load_gets_its_part)
{
    std::vector<team_job> jobs;
    for (std::size_t job = 0; job < 90; ++job) {
        const std::size_t team = job < 70 ? 0 : job < 80 ? 1 : 2;
        jobs.push_back({job, team, 0, {1000, 1000, 0}});
    }
    const auto order = order_by_share(jobs, {{1.0, {}}, {1.0, {}}, {1.0, {}}}, pool);
    ASSERT_EQ(order.size(), jobs.size());
    std::map<std::size_t, int> first_places;
    for (std::size_t place = 0; place < 30; ++place) {
        ++first_places[jobs[order[place]].team];
    }
    EXPECT_EQ(first_places[1], 10);
    EXPECT_EQ(first_places[2], 10);
}

// Guards against shares that look at CPU alone: the first team needs memory, the second CPU.
TEST(fair_shares, the_dominant_resource_of_each_team_counts)
{
    std::vector<team_job> jobs;
    for (std::size_t job = 0; job < 8; ++job) {
        const bool memory_bound = job < 4;
        jobs.push_back(
            {job, memory_bound ? 0U : 1U, 0,
             memory_bound ? task_resources{1000, 20000, 0} : task_resources{10000, 1000, 0}});
    }
    // Shares rise by 0.2 with each job of the first team and by 0.1 with each of the second.
    EXPECT_THAT(order_by_share(jobs, {{1.0, {}}, {1.0, {}}}, pool),
                ElementsAre(0, 4, 5, 1, 6, 7, 2, 3));
}

TEST(fair_shares, weights_and_present_use_count)
{
    std::vector<team_job> jobs;
    for (std::size_t job = 0; job < 6; ++job) {
        jobs.push_back({job, job < 3 ? 0U : 1U, 0, {10000, 0, 0}});
    }
    // The first team may have twice as much, and has it already.
    EXPECT_THAT(order_by_share(jobs, {{2.0, {20000, 0, 0}}, {1.0, {}}}, pool),
                ElementsAre(3, 0, 4, 1, 2, 5));
}

// Guards against shares that overrule priorities and objectives.
TEST(fair_shares, ranks_come_before_shares)
{
    const std::vector<team_job> jobs{
        {7, 0, 0, {50000, 0, 0}}, {8, 0, 0, {50000, 0, 0}}, {9, 1, 1, {1, 0, 0}}};
    EXPECT_THAT(order_by_share(jobs, {{1.0, {90000, 0, 0}}, {1.0, {}}}, pool),
                ElementsAre(7, 8, 9));
}

// Guards against jobs that get lost, and against a team whose own jobs overtake each other.
RC_GTEST_PROP(fair_shares, keeps_all_jobs_and_the_order_within_a_team, ())
{
    std::vector<team_job> jobs;
    const auto count = *rc::gen::inRange<std::size_t>(0, 60);
    for (std::size_t job = 0; job < count; ++job) {
        jobs.push_back({job,
                        *rc::gen::inRange<std::size_t>(0, 5),
                        0,
                        {*rc::gen::inRange<std::int64_t>(0, 9000), 0, 0}});
    }
    const auto order = order_by_share(jobs, std::vector<team_share>(5), pool);
    RC_ASSERT(order.size() == jobs.size());
    std::map<std::size_t, std::size_t> last_of_team;
    std::vector<std::size_t> seen;
    for (const auto job : order) {
        const auto team = jobs[job].team;
        RC_ASSERT(last_of_team.count(team) == 0 || last_of_team[team] < job);
        last_of_team[team] = job;
        seen.push_back(job);
    }
    std::sort(seen.begin(), seen.end());
    RC_ASSERT(std::unique(seen.begin(), seen.end()) == seen.end());
}

// Guards against starvation: whatever one team sends, a team that has less than its part comes
// before all further jobs of a team that has more.
RC_GTEST_PROP(fair_shares, team_below_its_part_is_not_overtaken, ())
{
    const auto flood = *rc::gen::inRange<std::size_t>(1, 200);
    std::vector<team_job> jobs;
    for (std::size_t job = 0; job < flood; ++job) {
        jobs.push_back({job, 0, 0, {2000, 500, 0}});
    }
    jobs.push_back({flood, 1, 0, {2000, 500, 0}});
    const auto order = order_by_share(jobs, {{1.0, {2000, 500, 0}}, {1.0, {}}}, pool);
    RC_ASSERT(order.front() == flood);
}

} // namespace
} // namespace jl::decisions
