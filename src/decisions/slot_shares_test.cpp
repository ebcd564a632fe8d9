#include <algorithm>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/slot_shares.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

std::vector<entry_demand> make_demands(const std::vector<int>& demands)
{
    std::vector<entry_demand> result;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        result.push_back({"entry" + std::to_string(i), static_cast<double>(demands[i])});
    }
    return result;
}

std::vector<instance_slots> make_instances(int count, int slots = 8)
{
    std::vector<instance_slots> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.push_back({"vm" + std::to_string(i), slots});
    }
    return result;
}

// Guards against a slot that is assigned twice, which overloads the instance, and against a slot
// that is not assigned, for any demands and also for more entries than slots.
RC_GTEST_PROP(slot_shares, every_slot_belongs_to_exactly_one_entry, ())
{
    const auto entries = *rc::gen::inRange<std::size_t>(1, 100);
    const auto demands = *rc::gen::container<std::vector<int>>(entries, rc::gen::inRange(0, 500));
    const auto instances = make_instances(*rc::gen::inRange(1, 13));
    const auto table = place_slots("rounds", instances, make_demands(demands));
    for (const auto& instance : instances) {
        const auto& row = table.at(instance.vm);
        RC_ASSERT(std::accumulate(row.begin(), row.end(), 0, [](int sum, const auto& share) {
                      return sum + share.second;
                  }) == instance.slots);
        RC_ASSERT(std::all_of(row.begin(), row.end(),
                              [](const auto& share) { return share.second >= 0; }));
    }
}

// Guards against entries that compute different tables from the same input.
RC_GTEST_PROP(slot_shares, does_not_depend_on_the_order_of_the_input, ())
{
    auto demands = make_demands(
        *rc::gen::container<std::vector<int>>(std::size_t{7}, rc::gen::inRange(0, 50)));
    auto instances = make_instances(9);
    const auto table = place_slots("rounds", instances, demands);
    std::reverse(demands.begin(), demands.end());
    std::reverse(instances.begin(), instances.end());
    RC_ASSERT(place_slots("rounds", instances, demands) == table);
}

// Guards against an entry that loses slots that it needs because another entry is flooded: a demand
// up to an equal share is met in full, apart from rounding.
RC_GTEST_PROP(slot_shares, meets_demands_up_to_an_equal_share, ())
{
    const auto demands =
        *rc::gen::container<std::vector<int>>(std::size_t{7}, rc::gen::inRange(0, 2000));
    const int total = *rc::gen::inRange(7, 200);
    const auto slots = divide_slots("rounds", total, make_demands(demands));
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const int share = slots.at("entry" + std::to_string(i));
        RC_ASSERT(share >= 1);
        RC_ASSERT(share >= std::min(demands[i], total / 7));
    }
}

// Guards against a busy entry that gets no more than an idle one.
TEST(slot_shares, gives_more_slots_to_entries_with_more_demand)
{
    const auto slots = divide_slots("rounds", 64, make_demands({60, 4, 0, 0}));
    EXPECT_EQ(slots.at("entry1"), 8); // half of an equal share of 16
    EXPECT_EQ(slots.at("entry0"), 40);
}

// Guards against an entry whose slots are all on few instances: it would have no slots left if they
// failed.
TEST(slot_shares, spreads_an_entry_over_the_instances)
{
    const auto table = place_slots("rounds", make_instances(8), make_demands({1, 1, 1, 1}));
    for (const auto& [vm, row] : table) {
        for (const auto& [entry, share] : row) {
            EXPECT_GE(share, 1) << vm << ' ' << entry;
        }
    }
}

// Guards against an endless loop in place_slots(), which runs while the mutex of the call engine is
// held: without entries, and with an entry that is listed twice, as after a restart under the same
// name.
TEST(slot_shares, terminates_without_entries_and_with_repeated_entries)
{
    EXPECT_TRUE(place_slots("rounds", make_instances(2), {}).at("vm0").empty());
    const std::vector<entry_demand> repeated = {{"a", 8}, {"b", 0}, {"a", 0}};
    int assigned_total = 0;
    for (const auto& [vm, row] : place_slots("rounds", make_instances(2), repeated)) {
        for (const auto& [entry, share] : row) {
            assigned_total += share;
        }
    }
    EXPECT_EQ(assigned_total, 16);
}

// Guards against an instance that is overloaded while entries have computed different tables.
TEST(slot_ramp, decreases_at_once_and_increases_after_the_delay)
{
    slot_ramp ramp(2s);
    const steady_time start(1h);
    ramp.update({{"a", 4}}, start);
    EXPECT_EQ(ramp.slots("a"), 0);
    ramp.update({{"a", 3}}, start + 1s);
    ramp.update({{"a", 5}}, start + 2s);
    EXPECT_EQ(ramp.slots("a"), 3); // the smallest share during the delay of 2 s
    EXPECT_TRUE(ramp.has_pending_increase());
    ramp.update({{"a", 1}}, start + 2100ms);
    EXPECT_EQ(ramp.slots("a"), 1);
    EXPECT_FALSE(ramp.has_pending_increase());
    ramp.update({}, start + 2200ms);
    EXPECT_EQ(ramp.slots("a"), 0);
}

} // namespace
} // namespace jl::decisions
