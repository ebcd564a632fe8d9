#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/locality_wait.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

locality_choice one_second_task()
{
    locality_choice choice;
    choice.preferred_duration = 1000ms;
    choice.remote_factor = 3.0;
    choice.preferred_wait = 500ms;
    choice.time_left = 60s;
    return choice;
}

// Guards against a task that starts elsewhere at once and takes three times as long.
TEST(locality_wait, waits_while_that_is_quicker)
{
    auto choice = one_second_task();
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.preferred_wait = 1990ms;
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.preferred_wait = 2000ms;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
    choice.preferred_wait = std::nullopt;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
}

// With a factor of 1.5 a wait pays for a quarter of the time that it pays for with 3.
TEST(locality_wait, the_saving_bounds_the_wait)
{
    auto choice = one_second_task();
    choice.remote_factor = 1.5;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
    choice.preferred_wait = 490ms;
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.remote_factor = 1.0;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
}

// Guards against a task that waits in vain: its rack is free only after the limit of all waits.
TEST(locality_wait, does_not_begin_a_wait_that_the_limit_would_end)
{
    auto choice = one_second_task();
    choice.preferred_duration = 10s;
    choice.preferred_wait = 1900ms;
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.preferred_wait = 10s;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
}

// Guards against an expected wait that is never over: tasks on the rack take longer than learned.
TEST(locality_wait, ends_although_the_rack_never_becomes_free)
{
    auto choice = one_second_task();
    choice.preferred_wait = 1ms;
    choice.waited = 1999ms;
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.waited = 2000ms;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
    choice.preferred_duration = 1h;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
}

// Guards against a wait that makes a job late if the rack is not free as expected: a start
// elsewhere ends after 3 s now, and after 4.5 s when the expected wait is over.
TEST(locality_wait, gives_way_to_the_objective)
{
    auto choice = one_second_task();
    choice.preferred_wait = 1500ms;
    choice.time_left = 4500ms;
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.time_left = 4400ms;
    EXPECT_FALSE(waits_for_preferred_rack(choice));
    choice.time_left = 2900ms; // late elsewhere, on time on the preferred rack
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.later_steps = 1600ms; // late in both cases, and the preferred rack is quicker
    EXPECT_TRUE(waits_for_preferred_rack(choice));
    choice.time_left = 4600ms; // elsewhere on time, but not after the wait
    EXPECT_FALSE(waits_for_preferred_rack(choice));
}

// Load pattern: thirty jobs want one rack that runs ten tasks. Guards against all of them waiting
// for the first end, which starves the last ones and leaves the other racks empty.
TEST(locality_wait, hot_rack_takes_what_it_can_serve_in_time)
{
    rack_forecast rack;
    for (int task = 0; task < 10; ++task) {
        rack.add_end(100ms * (task + 1), {1000, 1000, 0});
    }
    int waiting = 0;
    for (int job = 0; job < 30; ++job) {
        auto choice = one_second_task();
        choice.remote_factor = 1.5;
        choice.preferred_wait = rack.time_until_free({1000, 1000, 0});
        if (waits_for_preferred_rack(choice)) {
            rack.claim({1000, 1000, 0});
            ++waiting;
        }
    }
    EXPECT_EQ(waiting, 4); // those for which the rack is free within less than 500 ms
}

TEST(rack_forecast, large_requests_need_several_ends)
{
    rack_forecast rack;
    rack.add_free({500, 0, 0});
    rack.add_end(300ms, {1000, 2000, 0});
    rack.add_end(200ms, {1000, 2000, 0});
    EXPECT_EQ(rack.time_until_free({400, 0, 0}), 0ms);
    EXPECT_EQ(rack.time_until_free({1500, 100, 0}), 200ms);
    EXPECT_EQ(rack.claim({2000, 4000, 0}), 300ms);
    EXPECT_FALSE(rack.time_until_free({1000, 100, 0}));
}

// Guards against a claim that shortens the wait of the next one.
RC_GTEST_PROP(rack_forecast, waits_never_become_shorter, ())
{
    rack_forecast rack;
    const auto ends = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 5000));
    for (const auto end : ends) {
        rack.add_end(std::chrono::milliseconds(end), {1000, 1000, 0});
    }
    std::chrono::nanoseconds last{0};
    for (std::size_t claim = 0; claim < ends.size(); ++claim) {
        const auto wait = rack.claim({1000, 1000, 0});
        RC_ASSERT(wait.has_value());
        RC_ASSERT(*wait >= last);
        last = *wait;
    }
    RC_ASSERT(!rack.claim({1000, 1000, 0}).has_value());
}

} // namespace
} // namespace jl::decisions
