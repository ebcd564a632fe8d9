#pragma once

#include <optional>
#include <set>

#include "net/timer_service.h"

namespace jl::jobs {

// The orders with a lease that one worker may still carry out: those on the way, and those without
// an answer for late_execution_limit. The answer to one order says nothing about the others.
//
//   orders.on_sent(now);
//   orders.on_closed(sent_at); // answered, or never sent
//   const auto until = orders.open_until(now);
//
// Not thread-safe.
class open_lease_orders {
public:
    void on_sent(net::boot_time now);
    void on_closed(net::boot_time sent_at);
    // When the last of them is carried out at the latest; nothing if none is open.
    std::optional<net::boot_time> open_until(net::boot_time now) const;

private:
    std::multiset<net::boot_time> sent_at_;
};

} // namespace jl::jobs
