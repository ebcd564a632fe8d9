#pragma once

#include <chrono>

namespace jl::decisions {

enum class admission { accepted, beyond_quota, beyond_rate };
const char* to_string(admission decision);

// What is known when a job is submitted.
struct admission_request {
    bool fits_quota = true; // false: a gang of the job exceeds the quota (a single task runs alone)
    bool within_rate = true;                // the team has not used up its rate of jobs
    std::chrono::nanoseconds rate_delay{0}; // until the team is within its rate again
    std::chrono::nanoseconds backlog{0};    // time that the pool needs for the work that waits
    // The job misses its objective if its first task waits for longer.
    std::chrono::nanoseconds slack{0};
};

// Decides whether to accept a job of a team. What cannot be served in time is refused at once, so
// that its caller can come back or go elsewhere.
//
// Load patterns:
// - A team sends several times its rate while its pool is full. Its further jobs would wait behind
//   those of the other teams until they are of no use.
// - A gang is wider than its team may run.
admission admit(const admission_request& request);

// Returns when the caller of a refused job should come back, at least one second from now: when the
// team is within its rate and the work that waits now is done. `spread` is a random number from 0
// to 1, drawn anew for each caller, so that the callers do not return in step.
std::chrono::seconds admission_retry_after(const admission_request& request, admission refusal,
                                           double spread);

} // namespace jl::decisions
