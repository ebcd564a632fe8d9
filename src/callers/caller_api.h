#pragma once

#include <cstddef>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "http/server.h"
#include "requests/types.h"

namespace jl::callers {

// Longest id (`Idempotency-Key`) accepted; ids are part of keys in the store.
inline constexpr std::size_t max_id_bytes = 128;
// Most ids in one request to cancel.
inline constexpr std::size_t max_cancel_ids = 5000;

// What the callers' API is built on. All members must outlive the handler.
struct caller_api_parts {
    requests::call_engine& engine;
    requests::durable_requests& durable;
    const cluster::cluster_state& state;
    const clock_source& clock;
    jl::metrics& metrics;
};

// Returns the handler of the callers' API (docs/design.md, section 5) with `/healthz`, `/readyz`
// and `/metrics`:
//
//   http::server server(address, limits, make_caller_api({engine, durable, state, clock,
//   metrics}));
//
// Every error is JSON with code, message and field. Answers about a request carry `Jl-Outcome`.
// The handler is thread-safe and blocks while a call waits or runs.
http::handler make_caller_api(const caller_api_parts& parts);

} // namespace jl::callers
