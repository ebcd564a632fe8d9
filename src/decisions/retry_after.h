#pragma once

#include <chrono>

namespace jl::decisions {

// Returns when a refused caller should come back, at least one second from now.
//
// `refusing_for` is how long requests have been refused without a success in between. `spread` is a
// random number from 0 to 1, drawn anew for each caller.
//
// Load pattern: the store or the leader is away for seconds, and every caller is refused meanwhile.
// If all are told one second, each uses up its tries before the service returns, and they come back
// in step. An outage that has lasted for some time is expected to last as long again, and the
// callers return spread over as much time.
std::chrono::seconds retry_after(std::chrono::nanoseconds refusing_for, double spread);

} // namespace jl::decisions
