#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "base/settings.h"
#include "http/message.h"
#include "net/event_loop.h"

namespace jl::net {

struct async_server_limits {
    std::size_t max_connections = 1500;
    std::size_t max_head_bytes = 16U << 10U;
    std::size_t max_body_bytes = 256U << 10U;
    std::chrono::milliseconds idle_timeout{
        15000}; // also bounds the time a request may take to arrive
};

// Sends the answer to one request; may be called later, once. A call after the connection has
// closed does nothing.
using responder = std::function<void(http::response)>;
using async_handler = std::function<void(http::request, responder)>;

// HTTP/1.1 server on the event loop. A connection carries one request at a time.
//
//   async_server server(loop, address, {}, [](http::request request, responder respond) {
//       respond(http::json_response(200, "{}"));
//   });
//
// Not thread-safe; lives as long as the loop runs.
class async_server {
public:
    // Throws Poco::Exception if the address cannot be bound.
    async_server(event_loop& loop, const endpoint& address, async_server_limits limits,
                 async_handler handler);
    ~async_server();
    async_server(const async_server&) = delete;
    async_server& operator=(const async_server&) = delete;

    // Closes idle connections, and each other one after its next answer.
    void begin_shutdown();
    // Requests read whole and not answered yet.
    std::size_t open_requests() const;
    // Port in use, also if 0 was asked for.
    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace jl::net
