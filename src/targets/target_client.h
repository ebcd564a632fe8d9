#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "base/settings.h"
#include "base/time.h"

namespace jl::targets {

enum class target_error_code {
    not_sent, // no byte of the request was written to a connection
    timed_out,
    disconnected,
    invalid_answer, // truncated, oversized or malformed
};

struct target_error {
    target_error_code code = target_error_code::not_sent;
    std::string message;
};

// Returns the error of the last failed exchange on the calling thread.
const target_error& last_error();

// Sets the error that last_error() returns on the calling thread. Called by implementations of
// target_client.
void set_last_error(target_error error);

struct target_request {
    std::string service;
    std::string id;
    std::string content_type;
    std::string body;
};

struct target_answer {
    int status = 0;
    std::string content_type;
    std::string body;
};

// Sends requests to targets. Implementations are thread-safe, never retry, and never return a
// partial answer.
class target_client {
public:
    virtual ~target_client() = default;
    // Sends `request` and waits for the answer until `deadline`. Returns nullopt on failure;
    // last_error() then holds the error.
    virtual std::optional<target_answer>
    exchange(const endpoint& target, const target_request& request, steady_time deadline) = 0;
    // Closes the connections to `target`. Exchanges that are still running finish first.
    virtual void close_connections(const endpoint& target) = 0;
};

// Returns a client that sends POST /<service> over HTTP/1.1, with at most `max_connections`
// connections to each target.
std::unique_ptr<target_client> make_http_target_client(std::size_t max_connections);

} // namespace jl::targets
