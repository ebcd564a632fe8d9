#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "net/boot_clock.h"

namespace jl::net {

// Time and timers as the decision-making modules see them, so that tests can run them in virtual
// time. Not thread-safe: everything happens on one thread.
class timer_service {
public:
    using callback = std::function<void()>;
    using timer_id = std::uint64_t; // 0 is never given out

    virtual ~timer_service() = default;
    // Reads the clock at each call: the process may have been suspended since the last one.
    virtual boot_time now() const = 0;
    virtual wall_time wall_now() const = 0;
    virtual timer_id call_after(std::chrono::nanoseconds delay, callback function) = 0;
    // Does nothing if the timer has fired or is 0.
    virtual void cancel(timer_id timer) = 0;
    // Runs the function after the current callback has returned.
    virtual void defer(callback function) = 0;
};

} // namespace jl::net
