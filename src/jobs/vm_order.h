#pragma once

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// One order to a VM, which is sent again until it is known what became of it.
//
// A copy without an answer may have been carried out, or may be so later. Only an answer that holds
// for all copies settles the order then: the platform carries an order out once and accepts a
// repeated one, so the order is repeated until it is accepted or refused for good.
//
//   order.on_sent(now, worker);
//   switch (order.on_answered(status, now)) { ... }
//
// Not thread-safe.
class vm_order {
public:
    enum class outcome { executed, not_executed, unknown };

    // `worker` is the one on the VM.
    void on_sent(net::boot_time now, const worker_life& worker);
    outcome on_answered(vm_order_status status, net::boot_time now);
    // True if the last copy has been answered in vain and another one is due.
    bool repeat_due(net::boot_time now) const;

    // True if it was ever sent.
    bool ever_sent() const { return ever_sent_; }
    bool settled() const { return ever_sent_ && !in_flight_ && !uncertain_; }
    // When it was carried out or, before that is known, when the last copy was sent.
    net::boot_time at() const { return sent_or_executed_at_; }
    // The worker on the VM when the first copy was sent.
    const worker_life& former_worker() const { return former_worker_; }

private:
    bool ever_sent_ = false;
    bool in_flight_ = false;
    bool uncertain_ = false; // some copy may have been carried out
    net::boot_time sent_or_executed_at_{};
    net::boot_time answered_at_{};
    worker_life former_worker_;
};

} // namespace jl::jobs
