#pragma once

#include <chrono>

namespace jl::net {

// Monotonic clock that goes on while the machine is suspended (CLOCK_BOOTTIME). Leases are
// measured with it: std::chrono::steady_clock stands still during a suspension.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

} // namespace jl::net
