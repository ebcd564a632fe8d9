#include "base/time.h"

#include <algorithm>

namespace jl {

namespace {

class real_clock final : public clock_source {
public:
    steady_time steady_now() const override { return std::chrono::steady_clock::now(); }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace

const clock_source& system_clock_source()
{
    static const real_clock clock;
    return clock;
}

std::chrono::milliseconds time_left(steady_time deadline, steady_time now)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max(remaining, std::chrono::milliseconds::zero());
}

std::chrono::milliseconds to_unix(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

wall_time from_unix(std::chrono::milliseconds since_epoch)
{
    return wall_time(since_epoch);
}

} // namespace jl
