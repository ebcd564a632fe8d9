#include <gtest/gtest.h>

#include "jobs/caller_access.h"

namespace jl::jobs {
namespace {

fleet_config config_with_teams()
{
    fleet_config config;
    config.checks_keys = true;
    config.teams =
        teams::team_directory({{"north", {"n1", "n2"}, 1.0, {}}, {"south", {"s1"}, 1.0, {}}});
    return config;
}

// Guards against requests that run with a key of no team, or without one.
TEST(caller_access, key_of_a_team_is_required)
{
    const auto config = config_with_teams();
    const queue_config queue;
    EXPECT_TRUE(check_key(config, queue, "n2").granted());
    EXPECT_EQ(check_key(config, queue, "n2").team, "north");
    EXPECT_EQ(check_key(config, queue, "n3").decision, access_decision::unknown_key);
    EXPECT_EQ(check_key(config, queue, "").decision, access_decision::missing_key);
}

// Guards against a configuration whose last team was removed and that lets everybody in.
TEST(caller_access, empty_list_of_teams_grants_nothing)
{
    fleet_config config;
    config.checks_keys = true;
    EXPECT_EQ(check_key(config, {}, "n1").decision, access_decision::unknown_key);
}

TEST(caller_access, public_queue_and_deployment_without_teams_need_no_key)
{
    queue_config open;
    open.is_public = true;
    EXPECT_TRUE(check_key(config_with_teams(), open, "").granted());
    EXPECT_EQ(check_key(config_with_teams(), open, "n3").team, "");
    EXPECT_EQ(check_key(config_with_teams(), open, "s1").team, "south");
    EXPECT_TRUE(check_key(fleet_config(), {}, "").granted());
}

// Guards against a team that reads or cancels the jobs of another one.
TEST(caller_access, jobs_of_another_team_are_closed)
{
    const queue_config queue;
    const auto caller = check_key(config_with_teams(), queue, "s1");
    EXPECT_EQ(check_job_access(&queue, caller, "south"), access_decision::granted);
    EXPECT_EQ(check_job_access(&queue, caller, "north"), access_decision::other_team);
    EXPECT_EQ(check_job_access(&queue, caller, ""), access_decision::granted);
    EXPECT_EQ(check_job_access(nullptr, caller, "north"), access_decision::other_team);
    queue_config open;
    open.is_public = true;
    EXPECT_EQ(check_job_access(&open, {}, "north"), access_decision::granted);
}

} // namespace
} // namespace jl::jobs
