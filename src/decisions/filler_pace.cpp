#include "decisions/filler_pace.h"

#include <algorithm>

namespace jl::decisions {

namespace {

// Thresholds of the latency ratio.
constexpr double stop_ratio = 1.0;
constexpr double slow_down_ratio = 0.85;
constexpr double speed_up_ratio = 0.6;
constexpr int speed_up_step_percent = 20;
constexpr int min_pace_percent = 10; // filler tasks stop if the limit would fall below this

} // namespace

int next_filler_pace(double latency_ratio, int pace_percent)
{
    if (latency_ratio >= stop_ratio) {
        return 0;
    }
    if (latency_ratio >= slow_down_ratio) {
        const int halved = pace_percent / 2;
        return halved < min_pace_percent ? 0 : halved;
    }
    if (latency_ratio <= speed_up_ratio) {
        return std::min(full_pace_percent, pace_percent + speed_up_step_percent);
    }
    return pace_percent;
}

} // namespace jl::decisions
