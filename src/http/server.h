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
    int max_threads = 64;            // each open connection occupies one
    int max_queued_connections = 64; // accepted connections that wait for a thread
    std::size_t max_body_bytes = 1U << 20U;
    std::chrono::milliseconds receive_timeout{10000};
    std::chrono::milliseconds keep_alive_timeout{15000};
};

// Answers one request. Called from several threads at once.
using handler = std::function<response(const request&)>;

// Streams a response of unknown length as a chunked body (used for watches). Returns false if the
// request is not a streaming request; otherwise returns after the stream has ended. `start` sends
// the headers and returns the output stream, which fails once the connection is closed.
using stream_handler =
    std::function<bool(const request&, const std::function<std::ostream&()>& start)>;

// HTTP/1.1 server with one thread per connection. Rejects a request whose Content-Length exceeds
// the limit with 413 before reading the body, and a malformed request with 400. The destructor
// stops accepting connections and waits for running handlers.
class server {
public:
    // Throws Poco::Exception if the address cannot be bound.
    server(const endpoint& address, server_limits limits, handler handler,
           stream_handler stream_handler = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Closes the listening socket and all connections immediately, including those with a request
    // in progress. Running handlers are not interrupted.
    void abort();
    // The bound port; the one that the kernel chose if the address has port 0.
    std::uint16_t port() const;
    int current_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace jl::http
