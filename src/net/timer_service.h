#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "net/boot_clock.h"

namespace jl::net {

// Interface to the clocks and timers. Modules that depend on time use it instead of event_loop, so
// that tests can run them in simulated time. Not thread-safe: all calls and callbacks happen on one
// thread.
class timer_service {
public:
    using callback = std::function<void()>;
    using timer_id = std::uint64_t; // 0 is never a valid id

    virtual ~timer_service() = default;
    // Reads the clock on every call instead of once per loop iteration, since the process may have
    // been suspended in between.
    virtual boot_time now() const = 0;
    virtual wall_time wall_now() const = 0;
    virtual timer_id call_after(std::chrono::nanoseconds delay, callback function) = 0;
    // Has no effect if the timer has fired or its id is 0.
    virtual void cancel(timer_id timer) = 0;
    // Runs the function after the current callback has returned.
    virtual void defer(callback function) = 0;
};

} // namespace jl::net
