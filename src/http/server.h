#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "base/settings.h"
#include "http/message.h"

namespace jl::http {

struct server_limits {
    int max_threads = 64;            // one per open connection
    int max_queued_connections = 64; // accepted connections that wait for a thread
    std::size_t max_body_bytes = 1U << 20U;
    std::chrono::milliseconds receive_timeout{10000};
    std::chrono::milliseconds keep_alive_timeout{15000};
};

// Answers one request. Called from several threads at once.
using handler = std::function<response(const request&)>;

// Answers a request with a body of unknown length written piece by piece (used for watches).
// Returns false if the request is not for it; otherwise it returns when the stream has ended.
// `start` sends the head and gives the stream, which fails once the connection is closed.
using stream_handler =
    std::function<bool(const request&, const std::function<std::ostream&()>& start)>;

// HTTP/1.1 server. Requests with a body above the limit are refused (413) before the body is read;
// malformed ones get 400. Stops accepting and waits for running handlers on destruction.
class server {
public:
    // Throws Poco::Exception if the address cannot be bound.
    server(const endpoint& address, server_limits limits, handler handler,
           stream_handler stream_handler = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Closes the listening socket and all connections at once, also those with a request in
    // progress, whose handlers still run to their end.
    void abort();
    // The port in use, also when port 0 was asked for.
    std::uint16_t port() const;
    int current_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace jl::http
