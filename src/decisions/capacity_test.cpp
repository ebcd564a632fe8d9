#include <gtest/gtest.h>

#include "decisions/capacity.h"

namespace jl::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three pools whose demand peaks one after another: eight VMs for 20 s, otherwise one VM.
std::map<std::string, pool_outlook> simulate_sequential_peaks(int duration_seconds)
{
    std::map<std::string, pool_outlook> outlooks;
    for (int second = 0; second < duration_seconds; ++second) {
        for (int pool = 0; pool < 3; ++pool) {
            outlooks[std::string(1, static_cast<char>('a' + pool))].forecast.observe(
                seconds(second), second / 20 % 3 == pool ? 8 : 1);
        }
        link_successive_peaks(outlooks, seconds(second), 0);
    }
    return outlooks;
}

// Guards against VMs that arrive only after a peak has begun: the forecast must use the learned
// order of the peaks.
TEST(capacity, start_of_next_peak_in_sequence_is_forecast)
{
    const int cycles = 4;
    const int now = cycles * 60 + 8; // pool a has peaked for 8 s
    const auto outlooks = simulate_sequential_peaks(now);
    const auto wait = outlooks.at("b").forecast.time_until(8, seconds(now));
    ASSERT_TRUE(wait.has_value());
    EXPECT_GE(*wait, seconds(10));
    EXPECT_LE(*wait, seconds(14));
    EXPECT_EQ(outlooks.at("a").forecast.time_until(8, seconds(now)), milliseconds(0));
}

// Guards against moves caused by noise: small variations of the demand must not be taken for peaks.
TEST(capacity, steady_demand_gives_no_peak_forecast)
{
    demand_forecast forecast;
    for (int second = 0; second < 600; ++second) {
        forecast.observe(seconds(second), 4 + second % 2);
    }
    EXPECT_FALSE(forecast.time_until(8, seconds(600)).has_value());
}

// Guards against underestimating the demand during a flood: waiting requests must count in addition
// to running ones, and must not distort the learned service time.
TEST(capacity, waiting_requests_raise_the_estimate)
{
    const objects::service service;
    const objects::policy policy;
    std::chrono::duration<double> service_time{0};
    service_demand demand;
    demand.running = 8;
    demand.arrival_rate = 80;
    const double before = estimate_required_vms(service, demand, policy, service_time);
    demand.waiting = 400;
    EXPECT_GT(estimate_required_vms(service, demand, policy, service_time), before * 1.5);
    EXPECT_NEAR(service_time.count(), 0.1, 0.01);
}

} // namespace
} // namespace jl::decisions
