#pragma once

#include <chrono>

namespace jl {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

// Source of the current time. Code that depends on time takes a clock_source, so that tests can
// control the time. Implementations are thread-safe.
class clock_source {
public:
    virtual ~clock_source() = default;
    virtual steady_time steady_now() const = 0;
    virtual wall_time wall_now() const = 0;
};

// Returns the clock_source that reads the system's clocks.
const clock_source& system_clock_source();

// Time from `now` until `deadline`; zero if the deadline has passed.
std::chrono::milliseconds time_left(steady_time deadline, steady_time now);

// Convert wall clock time to and from milliseconds since the Unix epoch, the unit used in records.
std::chrono::milliseconds to_unix(wall_time time);
wall_time from_unix(std::chrono::milliseconds since_epoch);

} // namespace jl
