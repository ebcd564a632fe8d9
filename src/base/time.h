#pragma once

#include <chrono>

namespace jl {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

// Source of the current time. Engines take one so that tests can control time.
// Implementations are safe to call from any thread.
class clock_source {
public:
    virtual ~clock_source() = default;
    virtual steady_time steady_now() const = 0;
    virtual wall_time wall_now() const = 0;
};

// Returns the process's real clock.
const clock_source& system_clock_source();

// Time left until `deadline`, never negative.
std::chrono::milliseconds time_left(steady_time deadline, steady_time now);

// Wall clock time as milliseconds since the Unix epoch, the form stored in records.
std::chrono::milliseconds to_unix(wall_time time);
wall_time from_unix(std::chrono::milliseconds since_epoch);

} // namespace jl
