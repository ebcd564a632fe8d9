#include "decisions/long_poll.h"

#include <algorithm>

namespace jl::decisions {

namespace {

// Weight of a new call.
constexpr double smoothing = 1.0 / 8;

} // namespace

void long_poll::add(double lost)
{
    loss_ += (lost - loss_) * smoothing;
}

std::chrono::milliseconds long_poll::wait() const
{
    const auto max_wait = static_cast<double>(limits_.max_wait.count());
    const auto max_mean_delay = static_cast<double>(limits_.max_mean_delay.count());
    if (loss_ * max_wait <= max_mean_delay) {
        return limits_.max_wait;
    }
    const auto wait = std::chrono::milliseconds(static_cast<int>(max_mean_delay / loss_));
    return std::max(wait, limits_.min_wait);
}

} // namespace jl::decisions
