#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <ostream>

#include "http/message.h"
#include "standins/memory_store.h"

namespace jl::standins {

// Serves a memory_store over the etcd v3 JSON gateway's calls.
class etcd_gateway {
public:
    explicit etcd_gateway(memory_store& store) : store_(store) {}

    // Answers a call below /v3/; returns nothing for other paths.
    std::optional<http::response> handle(const http::request& request);
    // Serves /v3/watch until the connection or the watch ends.
    bool handle_watch(const http::request& request, const std::function<std::ostream&()>& start);
    // Delays every call, to imitate a slow store.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    // Ends all watches.
    void stop() { stopping_ = true; }

private:
    memory_store& store_;
    std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds::zero()};
    std::atomic<bool> stopping_{false};
};

} // namespace jl::standins
