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
    // At the limit, a new connection replaces the one that has been inactive for longest.
    std::size_t max_connections = 1500;
    std::size_t max_head_bytes = 16U << 10U;
    std::size_t max_body_bytes = 256U << 10U;
    // Of all connections together: received bytes that are not handled yet, requests that are being
    // handled (with 2 KB more for each), and responses that are not sent yet. Beyond it, a
    // connection with an unread response is closed, else the one whose partial request began first.
    // Requests being handled may take half of it; further ones get 503.
    std::size_t max_buffered_bytes = 32U << 20U;
    // Of a connection without any received or sent byte, unless a request is being handled.
    std::chrono::milliseconds idle_timeout{15000};
    // From the first byte of a request, or the end of the previous response, to its last byte.
    std::chrono::milliseconds max_receive_time{60000};
};

// Sends the response to one request. May be called after the handler has returned. Calls after the
// first one, or after the connection has closed, have no effect.
using responder = std::function<void(http::response)>;
using async_handler = std::function<void(http::request, responder)>;

// Asynchronous HTTP/1.1 server on the event loop. Handles one request at a time per connection, and
// reads no further one before the response has been sent, so that a client that does not read its
// responses is slowed down and takes a bounded amount of memory.
//
//   async_server server(loop, address, {}, [](http::request request, responder respond) {
//       respond(http::json_response(200, "{}"));
//   });
//
// Not thread-safe. The server must exist until event_loop::run() has returned.
class async_server {
public:
    // Throws Poco::Exception if the address cannot be bound.
    async_server(event_loop& loop, const endpoint& address, async_server_limits limits,
                 async_handler handler);
    ~async_server();
    async_server(const async_server&) = delete;
    async_server& operator=(const async_server&) = delete;

    // From now on each connection is closed after its next response, which says so, unless the
    // client has sent a further request by then.
    void close_after_responses();
    // The same, and closes idle connections now.
    void begin_shutdown();
    // Number of requests that were received completely and are not answered yet.
    std::size_t open_requests() const;
    // True while a request is open, or a response has not been sent completely.
    bool busy() const;
    // The bound port; the one that the kernel chose if the address has port 0.
    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace jl::net
