#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "base/settings.h"

namespace jl::standins {

// How a proxied connection treats the bytes that pass through it.
struct proxy_fault {
    enum class kind {
        none,
        refuse,      // new connections are closed at once
        silent,      // nothing is forwarded in either direction, connections stay open
        drop_answer, // the request is forwarded, then the connection is closed without an answer
        cut_answer,  // the connection is closed after `cut_after` bytes of answer
    };
    kind type = kind::none;
    std::chrono::milliseconds delay{}; // added to each forwarded piece
    std::uint64_t cut_after = 0;
};

// A TCP proxy between two endpoints with faults that can be changed while it runs. Thread-safe.
class fault_proxy {
public:
    fault_proxy(const endpoint& listen, endpoint upstream);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    // Applies to connections that exist and to new ones.
    void set_fault(proxy_fault fault);
    // Silences the existing connections for good; new ones work.
    void silence_existing();
    // Resets all existing connections.
    void reset_existing();

private:
    struct link;

    void accept_loop();
    void forward(link& link, Poco::Net::StreamSocket from, Poco::Net::StreamSocket to,
                 bool is_answer);
    bool pass(link& link, Poco::Net::StreamSocket& to, const char* data, int size, bool is_answer);
    void remove_ended();
    proxy_fault fault() const;

    const endpoint upstream_;
    Poco::Net::ServerSocket socket_;
    mutable std::mutex mutex_;
    proxy_fault fault_;
    std::list<std::unique_ptr<link>> links_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace jl::standins
