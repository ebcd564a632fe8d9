#include <gtest/gtest.h>

#include "teams/job_rates.h"
#include "teams/usage.h"

namespace jl::teams {
namespace {

using namespace std::chrono_literals;

team_directory teams_with_quota(const task_resources& quota)
{
    return team_directory({{"north", {}, 1.0, quota}, {"south", {}, 1.0, {}}});
}

// Guards against a start that brings a team over its quota in one resource while others are free.
TEST(usage_account, scarcest_resource_limits_a_team)
{
    const auto teams = teams_with_quota({8000, 1000, 0});
    usage_account account(teams);
    account.add("north", {1000, 800, 0});
    EXPECT_TRUE(account.allows("north", {1000, 200, 0}, 1));
    EXPECT_FALSE(account.allows("north", {1000, 201, 0}, 1));
    EXPECT_FALSE(account.allows("north", {1000, 101, 0}, 2));
    EXPECT_TRUE(account.allows("north", {7000, 0, 0}, 1));
    EXPECT_TRUE(account.allows("north", {100, 0, 4}, 1)); // no limit on accelerators
}

// Guards against a task that is larger than the quota and waits for ever, and against a second one
// that starts beside it.
TEST(usage_account, task_larger_than_the_quota_runs_alone)
{
    const auto teams = teams_with_quota({1000, 0, 0});
    usage_account account(teams);
    EXPECT_TRUE(account.allows("north", {1500, 0, 0}, 1));
    EXPECT_FALSE(account.allows("north", {1500, 0, 0}, 2));
    account.add("north", {1500, 0, 0});
    EXPECT_FALSE(account.allows("north", {1, 0, 0}, 1));
    EXPECT_FALSE(fits_quota({1000, 0, 0}, {600, 0, 0}, 2));
    EXPECT_TRUE(fits_quota({1000, 0, 0}, {1500, 0, 0}, 1));
}

TEST(usage_account, teams_without_a_quota_have_no_limit)
{
    const auto teams = teams_with_quota({1000, 0, 0});
    usage_account account(teams);
    account.add("south", {900000, 0, 0});
    account.add("", {900000, 0, 0});
    EXPECT_TRUE(account.allows("south", {900000, 0, 0}, 9));
    EXPECT_TRUE(account.allows("removed", {900000, 0, 0}, 9));
    EXPECT_TRUE(account.allows("", {900000, 0, 0}, 9));
    EXPECT_EQ(account.used(""), task_resources{});
}

// Load pattern: a team submits seven times its rate. Guards against all of it counting as within
// the rate, and against a team that never gets back below it.
TEST(job_rates, submissions_beyond_the_rate_are_told_apart)
{
    job_rates rates;
    const net::boot_time start{1h};
    int within = 0;
    for (int number = 0; number < 70; ++number) { // 35 a second for two seconds
        within += rates.take("north", 5.0, start + number * 1000ms / 35) ? 1 : 0;
    }
    EXPECT_NEAR(within, 15, 1); // two seconds at the rate and the burst of one second
    EXPECT_TRUE(rates.take("north", 5.0, start + 3s));
    for (int number = 0; number < 5; ++number) {
        rates.take("north", 5.0, start + 3s);
    }
    EXPECT_GT(rates.delay("north", 5.0, start + 3s), 0ns);
    EXPECT_LE(rates.delay("north", 5.0, start + 3s), 200ms);
    EXPECT_TRUE(rates.take("south", 0.1, start));
    EXPECT_FALSE(rates.take("south", 0.1, start + 1s));
}

} // namespace
} // namespace jl::teams
