#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/boot_clock.h"
#include "net/timer_service.h"
#include "net/unique_fd.h"

namespace jl::net {

// Single-threaded epoll loop that runs callbacks for file descriptor events and timers.
//
//   event_loop loop;
//   loop.call_after(100ms, [&] { ... });
//   loop.run(); // until stop()
//
// Not thread-safe: call every function on the thread that runs the loop, or before run().
class event_loop final : public timer_service {
public:
    using io_callback = std::function<void(std::uint32_t events)>; // EPOLL* bits

    // Throws std::system_error if the epoll descriptor cannot be created.
    event_loop();

    // Start watching a descriptor, modify its event mask, and stop watching it. The caller keeps
    // ownership and must call unwatch() before it closes the descriptor.
    void watch(int descriptor, std::uint32_t events, io_callback handler);
    void modify(int descriptor, std::uint32_t events);
    void unwatch(int descriptor);

    boot_time now() const override;
    wall_time wall_now() const override;
    timer_id call_after(std::chrono::nanoseconds delay, callback function) override;
    void cancel(timer_id timer) override;
    void defer(callback function) override;

    void run();
    // Makes run() return after the current callback. A stopped loop cannot run again.
    void stop();

private:
    void run_due_timers();
    void run_deferred();
    int next_timeout_ms() const;

    unique_fd epoll_;
    std::unordered_map<int, std::shared_ptr<io_callback>> handlers_;
    std::map<std::pair<boot_time, timer_id>, callback> timers_;
    std::unordered_map<timer_id, boot_time> due_times_;
    std::vector<callback> deferred_;
    timer_id next_timer_ = 1;
    bool stopped_ = false;
};

} // namespace jl::net
