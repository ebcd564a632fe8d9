#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/soak/soak_plan.h"

namespace jl::soak {
namespace {

using namespace std::chrono_literals;

// A seed that failed must give the same faults again.
TEST(soak_plan, same_seed_gives_the_same_faults)
{
    const auto first = draw_plan(7, {});
    const auto second = draw_plan(7, {});
    ASSERT_EQ(first.faults.size(), second.faults.size());
    for (std::size_t index = 0; index < first.faults.size(); ++index) {
        EXPECT_EQ(describe(first.faults[index]), describe(second.faults[index]));
    }
}

// Guards against kinds that are never drawn, and against faults that never overlap.
TEST(soak_plan, seeds_cover_all_kinds_and_overlap)
{
    std::set<fault_kind> seen;
    int overlapping = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto plan = draw_plan(seed, {4, 15s});
        for (std::size_t index = 0; index < plan.faults.size(); ++index) {
            const auto& fault = plan.faults[index];
            seen.insert(fault.kind);
            EXPECT_LE(fault.target, 4);
            const bool overlaps = index + 1 < plan.faults.size() &&
                                  plan.faults[index + 1].at < fault.at + fault.length;
            overlapping += overlaps ? 1 : 0;
        }
    }
    EXPECT_EQ(seen.size(), static_cast<std::size_t>(fault_kind::request_wave) + 1);
    EXPECT_GT(overlapping, 20);
}

// Seeds that failed once must give their faults with the further series too.
TEST(soak_plan, restarts_come_beside_the_same_faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto plain = draw_plan(seed, {4, 15s});
        const auto all = draw_plan(seed, {4, 15s, true});
        std::vector<std::string> others;
        for (const auto& fault : all.faults) {
            if (!fault.trouble && fault.target != leading_node) {
                others.push_back(describe(fault));
            }
        }
        std::vector<std::string> expected;
        for (const auto& fault : plain.faults) {
            expected.push_back(describe(fault));
        }
        EXPECT_EQ(others, expected) << "seed " << seed;
    }
}

// Guards against restarts without a cut, a lag or a killed leader beside them.
TEST(soak_plan, workers_restart_and_are_cut_off_soon_after)
{
    int restarts = 0;
    int killed_leaders = 0;
    int silent = 0;
    int cut_before_registration = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& fault : draw_plan(seed, {4, 15s, true}).faults) {
            killed_leaders += fault.target == leading_node ? 1 : 0;
            if (!fault.trouble) {
                continue;
            }
            ++restarts;
            silent += fault.trouble->silent ? 1 : 0;
            EXPECT_EQ(fault.kind, fault_kind::crash_worker);
            EXPECT_GE(fault.trouble->cut_after, 0ms);
            EXPECT_LE(fault.trouble->cut_after, 2500ms);
            EXPECT_GE(fault.trouble->cut_length, 1s);
            EXPECT_LE(fault.trouble->cut_length, 9s);
            const bool early = fault.trouble->cut_after < fault.trouble->registered_after;
            cut_before_registration += early ? 1 : 0;
        }
    }
    EXPECT_GE(restarts, 60); // three a seed at least
    EXPECT_GT(killed_leaders, 20);
    EXPECT_LT(killed_leaders, restarts);
    EXPECT_GT(silent, 20);
    EXPECT_LT(silent, restarts);
    EXPECT_GT(cut_before_registration, 10);
}

} // namespace
} // namespace jl::soak
