#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "base/settings.h"
#include "http/client.h"
#include "http/message.h"
#include "net/event_loop.h"

namespace jl::net {

struct async_client_limits {
    std::size_t max_connections = 4;
    // While exchanges wait, a connection that has not answered for `silent_after` does not count,
    // so that others are opened, up to `max_silent_connections` of them. Without a value, all
    // count.
    std::optional<std::chrono::milliseconds> silent_after;
    std::size_t max_silent_connections = 0;
    std::size_t max_answer_bytes = 8U << 20U;
    std::chrono::milliseconds connect_timeout{1000};
};

// Returns the default limits with max_connections replaced.
async_client_limits limits_with_max_connections(std::size_t max_connections);

struct exchange_result {
    std::optional<http::response> answer;
    http::client_error error; // set only if `answer` is empty
};

// Asynchronous HTTP/1.1 client for one server. Runs on the event loop and keeps up to
// max_connections persistent connections; further exchanges wait in FIFO order. Never retries.
//
//   client.exchange(request, 500ms, [](const exchange_result& result) { ... });
//
// No part of a request is sent after its deadline, on the clock that also counts the time for which
// the process was suspended. The callback runs at most once, on the loop's thread, and never after
// the client is destroyed. Not thread-safe.
class async_client {
public:
    using callback = std::function<void(const exchange_result&)>;

    async_client(event_loop& loop, endpoint server, async_client_limits limits);
    ~async_client();
    async_client(const async_client&) = delete;
    async_client& operator=(const async_client&) = delete;

    void exchange(http::request request, std::chrono::milliseconds timeout, callback on_result);
    const endpoint& server() const;
    // True if at least one established connection has no exchange in progress.
    bool has_idle_connection() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace jl::net
