#include "decisions/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace jl::decisions {

namespace {

constexpr int samples_per_update = 16;
// Samples are capped at this value, so that one very long call is not taken for overload.
constexpr double max_latency_ratio = 4;
// The limit decreases if the mean ratio is above the first value, and increases below the second.
constexpr double overload_latency_ratio = 2;
constexpr double recovery_latency_ratio = 1.25;
constexpr double decrease_factor = 0.75;
constexpr double increase_step = 0.125; // fraction of the maximum

} // namespace

void concurrency_limit::set_maximum(int slots)
{
    maximum_ = slots;
}

void concurrency_limit::record(double latency_ratio, bool limit_reached)
{
    latency_ratio_sum_ += std::min(latency_ratio, max_latency_ratio);
    limit_was_reached_ = limit_was_reached_ || limit_reached;
    if (++samples_ < samples_per_update) {
        return;
    }
    const double mean = latency_ratio_sum_ / samples_per_update;
    if (mean > overload_latency_ratio && limit_was_reached_) {
        allowed_fraction_ =
            std::max(allowed_fraction_ * decrease_factor, 1.0 / std::max(maximum_, 1));
    }
    else if (mean < recovery_latency_ratio || !limit_was_reached_) {
        allowed_fraction_ = std::min(allowed_fraction_ + increase_step, 1.0);
    }
    latency_ratio_sum_ = 0;
    samples_ = 0;
    limit_was_reached_ = false;
}

int concurrency_limit::current() const
{
    if (maximum_ <= 0) {
        return 0;
    }
    return std::max(1, static_cast<int>(std::floor(maximum_ * allowed_fraction_ + 1e-9)));
}

} // namespace jl::decisions
