#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "base/settings.h"
#include "base/time.h"

namespace jl::targets {

enum class target_error_code {
    not_sent, // no byte of the request was handed to the network
    timed_out,
    disconnected,
    bad_answer, // truncated, oversized or malformed
};

struct target_error {
    target_error_code code = target_error_code::not_sent;
    std::string message;
};

// Reason of the last failed exchange of this thread.
const target_error& last_error();

// Stores the reason that last_error() returns; for implementations of target_client.
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

// Exchanges requests with targets. Implementations are thread-safe, never retry, and return an
// answer only if it is complete.
class target_client {
public:
    virtual ~target_client() = default;
    virtual std::optional<target_answer>
    exchange(const endpoint& target, const target_request& request, steady_time deadline) = 0;
    // Closes idle connections to targets that are not in use any more.
    virtual void forget(const endpoint& target) = 0;
};

// Sends POST /<service> over HTTP/1.1 with at most `max_connections` connections to each target.
std::unique_ptr<target_client> make_http_target_client(std::size_t max_connections);

} // namespace jl::targets
