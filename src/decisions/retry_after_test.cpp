#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/retry_after.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

TEST(retry_after, short_disturbance_asks_callers_back_soon)
{
    EXPECT_EQ(retry_after(100ms, 0.0), 1s);
    EXPECT_EQ(retry_after(100ms, 1.0), 2s);
}

// Guards against telling every caller one second during an outage of four seconds.
TEST(retry_after, wait_follows_the_length_of_the_outage)
{
    EXPECT_EQ(retry_after(4s, 0.0), 4s);
    EXPECT_EQ(retry_after(4s, 0.5), 6s);
    EXPECT_EQ(retry_after(4s, 1.0), 8s);
}

TEST(retry_after, wait_is_bounded_in_a_long_outage)
{
    EXPECT_EQ(retry_after(1h, 0.7), 30s);
}

RC_GTEST_PROP(retry_after, wait_is_within_bounds_and_grows_with_the_outage, ())
{
    const auto outage = std::chrono::milliseconds(*rc::gen::inRange(-1000, 100000));
    const double spread = *rc::gen::inRange(0, 101) / 100.0;
    const auto wait = retry_after(outage, spread);
    RC_ASSERT(wait >= 1s);
    RC_ASSERT(wait <= 30s);
    RC_ASSERT(retry_after(outage + 1s, spread) >= wait);
}

} // namespace
} // namespace jl::decisions
