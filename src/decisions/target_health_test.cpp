#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/concurrency_limit.h"
#include "decisions/outlier_detector.h"
#include "decisions/retry_budget.h"
#include "decisions/target_choice.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

// Guards against a call sent to a full, excluded or ejected target.
RC_GTEST_PROP(target_choice, chooses_only_targets_with_a_free_slot, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    std::vector<target_candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        candidates.push_back({*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9),
                              *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
    }
    const bool may_probe = *rc::gen::arbitrary<bool>();
    const auto choice = choose_target(candidates, may_probe, *rc::gen::arbitrary<std::uint64_t>());
    if (!choice) {
        return;
    }
    const auto& chosen = candidates[*choice];
    RC_ASSERT(chosen.in_flight < chosen.limit);
    RC_ASSERT(!chosen.probing || (may_probe && chosen.in_flight == 0));
    if (chosen.excluded) {
        for (const auto& other : candidates) {
            RC_ASSERT(other.excluded || other.limit == 0 || (other.probing && !may_probe));
        }
    }
}

// Guards against uneven load on targets with different limits.
TEST(target_choice, prefers_the_lowest_utilization)
{
    EXPECT_EQ(choose_target({{2, 4}, {3, 8}, {1, 1}}, false, 0), 1U);
    EXPECT_EQ(choose_target({{0, 1}, {0, 1}}, false, 1), 1U);
    EXPECT_EQ(choose_target({}, true, 3), std::nullopt);
}

// Guards against retries that multiply the load on failing targets.
RC_GTEST_PROP(retry_budget, bounds_retries_to_a_fraction_of_the_calls,
              (const std::vector<bool>& steps))
{
    retry_budget budget(0.1, 5);
    double calls = 0;
    double retries = 0;
    for (const bool is_call : steps) {
        if (is_call) {
            budget.count_call();
            ++calls;
        }
        else if (budget.try_retry()) {
            ++retries;
        }
        RC_ASSERT(retries <= 0.1 * calls + 5 + 1e-6);
    }
}

std::vector<std::string> make_target_names(int count)
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.push_back("vm" + std::to_string(i));
    }
    return result;
}

// Guards against the ejection of most targets when all of them fail.
RC_GTEST_PROP(outlier_detector, ejects_at_most_a_third, ())
{
    int count = *rc::gen::inRange(1, 13);
    outlier_detector detector;
    detector.set_targets(make_target_names(count));
    steady_time now(1h);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
    for (const int step : steps) {
        now += std::chrono::milliseconds(step);
        detector.record("vm" + std::to_string(step % count), step % 10 == 0, now);
        if (step % 97 == 0 && count > 1) {
            detector.set_targets(make_target_names(--count));
        }
        RC_ASSERT(detector.unhealthy_count() * 3 <= count);
    }
}

// Guards against a target that fails all calls and still gets calls, and against an ejected target
// that becomes healthy without successful probes.
TEST(outlier_detector, probes_an_ejected_target_before_it_is_healthy)
{
    outlier_detector detector;
    detector.set_targets(make_target_names(3));
    steady_time now(1h);
    for (int i = 0; i < 5; ++i) {
        detector.record("vm1", false, now);
    }
    EXPECT_EQ(detector.health("vm1", now), target_health::ejected);
    now += 5s;
    EXPECT_EQ(detector.health("vm1", now), target_health::probing);
    detector.record("vm1", true, now);
    EXPECT_EQ(detector.health("vm1", now), target_health::probing);
    detector.record("vm1", false, now);
    EXPECT_EQ(detector.health("vm1", now), target_health::ejected);
    now += 10s;
    detector.record("vm1", true, now);
    detector.record("vm1", true, now);
    EXPECT_EQ(detector.health("vm1", now), target_health::healthy);
}

// Guards against a target that stays in use although it fails two thirds of its calls, because it
// never fails five in a row.
TEST(outlier_detector, ejects_a_target_that_fails_more_than_its_peers)
{
    outlier_detector detector;
    detector.set_targets(make_target_names(4));
    const steady_time now(1h);
    for (int i = 0; i < 100; ++i) {
        for (int vm = 0; vm < 4; ++vm) {
            detector.record("vm" + std::to_string(vm), vm != 2 || i % 3 == 0, now);
        }
    }
    EXPECT_NE(detector.health("vm2", now), target_health::healthy);
    EXPECT_EQ(detector.unhealthy_count(), 1);
}

// Guards against overload of a target whose declared number of slots is too high, against a limit
// that never recovers, and against one that a single very long call reduces.
TEST(concurrency_limit, follows_latency_below_the_maximum)
{
    concurrency_limit limit;
    limit.set_maximum(8);
    EXPECT_EQ(limit.current(), 8);
    for (int i = 0; i < 16; ++i) {
        limit.record(i == 3 ? 1000 : 1, true);
    }
    EXPECT_EQ(limit.current(), 8);
    for (int i = 0; i < 320; ++i) {
        limit.record(5, true);
    }
    EXPECT_EQ(limit.current(), 1);
    for (int i = 0; i < 320; ++i) {
        limit.record(1, false);
    }
    EXPECT_EQ(limit.current(), 8);
    limit.set_maximum(0);
    EXPECT_EQ(limit.current(), 0);
}

} // namespace
} // namespace jl::decisions
