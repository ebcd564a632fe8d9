#pragma once

#include <cstddef>
#include <deque>
#include <functional>

#include "net/timer_service.h"

namespace jl::jobs {

// Sends orders at once, up to a number in one pass of the event loop, and the others in their order
// in the passes after it: a job may have thousands of tasks to start or stop, and the leader's
// lease is renewed and callers are answered between two passes.
//
//   order_pacer orders(timers, [&] { ... }); // called once no order waits any more
//   orders.send([&] { ... });
//
// Not thread-safe.
class order_pacer {
public:
    order_pacer(net::timer_service& timers, std::function<void()> drained);
    ~order_pacer();
    order_pacer(const order_pacer&) = delete;
    order_pacer& operator=(const order_pacer&) = delete;

    void send(std::function<void()> order);
    // False while so many orders wait that no further ones should be decided on.
    bool accepts_more() const;

private:
    void begin_next_pass();

    net::timer_service& timers_;
    std::function<void()> drained_;
    std::deque<std::function<void()>> waiting_;
    std::size_t sent_in_pass_ = 0;
    net::timer_service::timer_id pass_timer_ = 0;
};

} // namespace jl::jobs
