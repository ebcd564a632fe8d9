#pragma once

#include <cstddef>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "http/server.h"
#include "requests/types.h"

namespace jl::callers {

// Longest request id (`Idempotency-Key`) that is accepted. The limit bounds the length of store
// keys, which contain the id.
inline constexpr std::size_t max_request_id_bytes = 128;
// Maximum number of request ids in one POST /v1/requests/cancel.
inline constexpr std::size_t max_ids_per_cancellation = 5000;

// Components that the callers' API uses. They must outlive the handler.
struct caller_api_dependencies {
    requests::call_engine& engine;
    requests::durable_requests& durable;
    const cluster::cluster_state& state;
    const clock_source& clock;
    jl::metrics& metrics;
};

// Returns the HTTP handler of the callers' API (docs/design.md, section 5). It also serves
// `/healthz`, `/readyz` and `/metrics`. Example:
//
//   http::server server(address, limits, make_caller_api({engine, durable, state, clock,
//   metrics}));
//
// Error responses have a JSON body with `code`, `message` and `field`. The responses to calls and
// deferred requests, and recorded answers, have a `Jl-Outcome` header. The handler is thread-safe
// and blocks the calling thread while a call is queued or running.
http::handler make_caller_api(const caller_api_dependencies& parts);

} // namespace jl::callers
