#include "decisions/filler_pace.h"

#include <algorithm>

namespace jl::decisions {

namespace {

constexpr double stop_ratio = 1.0;
constexpr double slow_down_ratio = 0.85;
constexpr double speed_up_ratio = 0.6;
constexpr int speed_up_step = 20; // percent
constexpr int least_pace = 10;    // percent; below, the filling stops

} // namespace

int next_filler_pace(double latency_ratio, int pace)
{
    if (latency_ratio >= stop_ratio) {
        return 0;
    }
    if (latency_ratio >= slow_down_ratio) {
        const int halved = pace / 2;
        return halved < least_pace ? 0 : halved;
    }
    if (latency_ratio <= speed_up_ratio) {
        return std::min(full_pace, pace + speed_up_step);
    }
    return pace;
}

} // namespace jl::decisions
