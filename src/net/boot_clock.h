#pragma once

#include <chrono>

namespace jl::net {

// Monotonic clock that includes the time during which the machine is suspended (CLOCK_BOOTTIME).
// Leases are measured with it: std::chrono::steady_clock does not advance during suspension, so a
// holder that was suspended would take an expired lease for valid.
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
