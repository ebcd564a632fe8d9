#include <gtest/gtest.h>

#include "decisions/capacity.h"

namespace jl::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three pools that need eight VMs in turn, 20 s each, and else one.
std::map<std::string, pool_outlook> outlooks_after(int duration)
{
    std::map<std::string, pool_outlook> outlooks;
    for (int second = 0; second < duration; ++second) {
        for (int pool = 0; pool < 3; ++pool) {
            outlooks[std::string(1, static_cast<char>('a' + pool))].forecast.observe(
                seconds(second), second / 20 % 3 == pool ? 8 : 1);
        }
        link_peaks(outlooks, seconds(second), 0);
    }
    return outlooks;
}

// Guards against VMs that come only after the peak has begun: the turn is learned.
TEST(capacity, start_of_the_next_peak_in_turn_is_forecast)
{
    const int cycles = 4;
    const int now = cycles * 60 + 8; // pool a has peaked for 8 s
    const auto outlooks = outlooks_after(now);
    const auto wait = outlooks.at("b").forecast.time_until(8, seconds(now));
    ASSERT_TRUE(wait.has_value());
    EXPECT_GE(*wait, seconds(10));
    EXPECT_LE(*wait, seconds(14));
    EXPECT_EQ(outlooks.at("a").forecast.time_until(8, seconds(now)), milliseconds(0));
}

// Guards against moves for noise: a steady need gives no forecast of a peak.
TEST(capacity, steady_need_gives_no_forecast)
{
    demand_forecast forecast;
    for (int second = 0; second < 600; ++second) {
        forecast.observe(seconds(second), 4 + second % 2);
    }
    EXPECT_FALSE(forecast.time_until(8, seconds(600)).has_value());
}

// Guards against a flood that hides the need: waiting calls count until they are worked off.
TEST(capacity, waiting_calls_raise_the_estimate)
{
    const objects::service service;
    const objects::policy policy;
    std::chrono::duration<double> service_time{0};
    service_demand demand;
    demand.running = 8;
    demand.arrival_rate = 80;
    const double before = estimate_need(service, demand, policy, service_time);
    demand.waiting = 400;
    EXPECT_GT(estimate_need(service, demand, policy, service_time), before * 1.5);
    EXPECT_NEAR(service_time.count(), 0.1, 0.01);
}

} // namespace
} // namespace jl::decisions
