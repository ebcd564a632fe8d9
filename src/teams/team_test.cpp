#include <gtest/gtest.h>

#include "teams/team.h"

namespace jl::teams {
namespace {

team_directory two_teams()
{
    return team_directory({{"north", {"n1", "n2"}, 3.0, {}}, {"south", {"s1"}, 1.0, {}}});
}

// Guards against a key that is accepted for another team, or an unknown one that is accepted.
TEST(team_directory, finds_the_team_of_each_key)
{
    const auto teams = two_teams();
    ASSERT_NE(teams.find_by_key("n2"), nullptr);
    EXPECT_EQ(teams.find_by_key("n2")->name, "north");
    EXPECT_EQ(teams.find_by_key("s1")->name, "south");
    EXPECT_EQ(teams.find_by_key("n"), nullptr);
    EXPECT_EQ(teams.find_by_key(""), nullptr);
}

// Guards against a copied directory that still refers to the teams of the original.
TEST(team_directory, copy_outlives_its_original)
{
    team_directory copy;
    EXPECT_TRUE(copy.empty());
    {
        const auto original = two_teams();
        copy = original;
    }
    ASSERT_NE(copy.find("south"), nullptr);
    EXPECT_DOUBLE_EQ(copy.find("south")->weight, 1.0);
    EXPECT_EQ(copy.find("east"), nullptr);
}

} // namespace
} // namespace jl::teams
