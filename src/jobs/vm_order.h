#pragma once

#include <optional>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// The state of one order to a VM, which is sent again until its outcome is known.
//
// An attempt without an answer may have been executed, or may be executed later. After one, only an
// answer that holds for all attempts settles the order. The platform executes an order once and
// accepts its repetitions, so the order is repeated until it is accepted or finally refused.
//
//   order.on_sent(now, worker);
//   switch (order.on_answered(status, now)) { ... }
//
// Not thread-safe.
class vm_order {
public:
    enum class outcome { executed, not_executed, unknown };

    // The order was sent. `worker` is the worker on the VM at that time.
    void on_sent(net::boot_time now, const worker_incarnation& worker);
    outcome on_answered(vm_order_status status, net::boot_time now);
    // True if the outcome is still unknown after the last attempt and the next attempt is due.
    bool repeat_due(net::boot_time now) const;
    // True if an attempt without an answer may still be executed, even if the outcome is known.
    bool may_execute_late(net::boot_time now) const;

    bool ever_sent() const { return ever_sent_; }
    bool settled() const { return ever_sent_ && !in_flight_ && !uncertain_; }
    // When the order was accepted or, before that, when the last attempt was sent.
    net::boot_time sent_or_executed_at() const { return sent_or_executed_at_; }
    // The worker on the VM when the first attempt was sent.
    const worker_incarnation& former_worker() const { return former_worker_; }

private:
    bool ever_sent_ = false;
    bool in_flight_ = false;
    bool uncertain_ = false; // an attempt without an answer may have been executed
    std::optional<net::boot_time> unanswered_sent_at_; // the last attempt without an answer
    net::boot_time sent_or_executed_at_{};
    net::boot_time answered_at_{};
    worker_incarnation former_worker_;
};

} // namespace jl::jobs
