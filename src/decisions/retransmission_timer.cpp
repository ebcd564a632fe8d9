#include "decisions/retransmission_timer.h"

#include <algorithm>

namespace jl::decisions {

namespace {

using std::chrono::milliseconds;

// Weights of a new measurement, as in RFC 6298.
constexpr int smoothing_divisor = 8;
constexpr int deviation_divisor = 4;
constexpr int deviation_multiplier = 4;

retransmission_timer::time distance(retransmission_timer::time left,
                                    retransmission_timer::time right)
{
    return left > right ? left - right : right - left;
}

} // namespace

void retransmission_timer::add_round_trip(time sent_at, time now)
{
    const auto round_trip = std::max(now - sent_at, time(0));
    doublings_ = 0;
    if (!smoothed_) {
        smoothed_ = round_trip;
        deviation_ = round_trip / 2;
        return;
    }
    deviation_ += (distance(*smoothed_, round_trip) - deviation_) / deviation_divisor;
    *smoothed_ += (round_trip - *smoothed_) / smoothing_divisor;
}

void retransmission_timer::add_unanswered(time sent_at, time now)
{
    if ((!doubled_at_ || sent_at >= *doubled_at_) && timeout() < limits_.max) {
        ++doublings_;
        doubled_at_ = now;
    }
}

milliseconds retransmission_timer::timeout() const
{
    auto wait = limits_.initial;
    if (smoothed_) {
        wait = std::chrono::ceil<milliseconds>(*smoothed_ + deviation_multiplier * deviation_);
    }
    wait = std::clamp(wait, limits_.min, limits_.max);
    for (int doubling = 0; doubling < doublings_ && wait < limits_.max; ++doubling) {
        wait *= 2;
    }
    return std::min(wait, limits_.max);
}

} // namespace jl::decisions
