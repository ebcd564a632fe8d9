#include <string>

#include <gtest/gtest.h>

#include "decisions/duration_model.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;

// Load pattern: the estimates of a queue are half of what its tasks take, but for one image.
TEST(duration_model, learns_by_image_and_else_by_queue)
{
    duration_model durations;
    EXPECT_EQ(durations.expected("plans", "", 1000ms), 1000ms);
    for (int sample = 0; sample < 50; ++sample) {
        durations.record("plans", "slow", 1000ms, 2000ms);
        durations.record("plans", "quick", 1000ms, 500ms);
    }
    EXPECT_NEAR(durations.expected("plans", "slow", 600ms).count(), 1200, 1);
    EXPECT_NEAR(durations.expected("plans", "quick", 600ms).count(), 300, 1);
    EXPECT_GT(durations.expected("plans", "unknown", 600ms), 600ms);
    EXPECT_EQ(durations.expected("reports", "unknown", 600ms), 600ms);
}

// Guards against one task that stood still, or an estimate of zero, that spoils what was learned.
TEST(duration_model, single_outliers_count_little)
{
    duration_model durations;
    for (int sample = 0; sample < 50; ++sample) {
        durations.record("plans", "", 1000ms, 1000ms);
    }
    durations.record("plans", "", 1000ms, 1h);
    durations.record("plans", "", 0ms, 1000ms);
    EXPECT_LE(durations.expected("plans", "", 1000ms), 1900ms);
}

// Guards against memory that grows with the number of images.
TEST(duration_model, images_are_bounded)
{
    duration_model durations;
    for (int image = 0; image < 5000; ++image) {
        for (int sample = 0; sample < 5; ++sample) {
            durations.record("plans", std::to_string(image), 1000ms, 3000ms);
        }
    }
    EXPECT_EQ(durations.expected("plans", "4999", 1000ms), 3000ms);
}

} // namespace
} // namespace jl::decisions
