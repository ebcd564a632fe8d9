#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/settings.h"
#include "base/time.h"
#include "http/message.h"

namespace jl::http {

enum class client_error_code {
    connect_failed, // no byte of the request was passed to the socket
    no_connection,  // no free connection, or deadline passed first; nothing was sent
    timed_out,      // the request may have been received
    disconnected,   // the request may have been received
    truncated,      // an incomplete response arrived
    too_large,      // the response exceeds the limit
    malformed,      // the response is not valid HTTP
};

struct client_error {
    client_error_code code = client_error_code::disconnected;
    std::string message;
    // True if no byte of the request can have reached the server.
    bool not_sent() const
    {
        return code == client_error_code::connect_failed ||
               code == client_error_code::no_connection;
    }
};

struct client_limits {
    std::size_t max_connections = 64;
    std::size_t max_answer_bytes = 8U << 20U;
    std::chrono::milliseconds connect_timeout{1000};
    // An idle connection older than this is closed instead of reused: servers close idle
    // connections, and the outcome of a request sent on a closing connection is unknown.
    std::chrono::milliseconds max_idle_time{4000};
};

// HTTP/1.1 client for one server with a pool of keep-alive connections.
//
//   http::client client({"127.0.0.1", 8080}, {});
//   auto response = client.exchange(request, steady_clock::now() + 500ms);
//   if (!response && client.last_error().not_sent()) { ... safe to send elsewhere ... }
//
// A connection carries one exchange at a time and is closed after any error. exchange() returns an
// response only if it is complete, and never retries. Thread-safe; last_error() returns the error
// of the calling thread's last failed exchange.
class client {
public:
    client(endpoint server, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    std::optional<response> exchange(const request& request, steady_time deadline);
    static const client_error& last_error();

    const endpoint& server() const;
    // Closes all idle connections.
    void close_idle();

private:
    class pool;
    std::unique_ptr<pool> pool_;
};

} // namespace jl::http
