#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Records in the store, ahead of each order, the VM that the leader sends it to, and how long ago
// the last order to each VM was sent. A new leader thus knows which VMs may still have orders of
// the previous leader in progress. It waits with orders to those and can send orders to all others
// at once.
//
//   if (log.may_order("vm-7")) { vms.move("vm-7", ...); } // else: call may_order() again later
//
// Not thread-safe.
class vm_order_log {
public:
    static constexpr const char* key = "jl/vm-orders";

    // `interval`: minimum time between orders of two leaders to one VM. `changed` is called when
    // the record has to be written, `ready` when a version of it is durable and may_order() may
    // return true for more VMs.
    vm_order_log(net::timer_service& timers, milliseconds interval, std::function<void()> changed,
                 std::function<void()> ready);

    // Loads the record of the previous leader.
    void load(const store_item& item);
    // True if an order to the VM may be sent now: the stored record then names the VM as ordered
    // just now. Otherwise, once the previous leader's orders to the VM are over, the call updates
    // the record.
    bool may_order(const std::string& vm);
    // True while the VM may have orders of the previous leader in progress, so that may_order()
    // refuses it.
    bool held_by_previous_leader(const std::string& vm) const;
    // An order to the VM got no answer, so it may be executed late. If the leader changes, the next
    // one waits with orders to the VM until then.
    void on_unanswered(const std::string& vm);

    std::int64_t version() const { return version_; }
    // Returns the record to be stored now.
    std::string encode();
    void on_durable(std::int64_t version);

private:
    struct logged_vm {
        net::boot_time last_requested{};
        std::int64_t version = 0; // first version of the record with the last request
        bool aged = false;        // a later version states an age, so the next order needs another
        net::boot_time open_until{}; // until then, an order without an answer may be executed
    };
    void remove_expired();
    // Returns the age with which the record makes the next leader hold a VM for this long. It is
    // negative if the hold is longer than after an order that was just sent.
    std::int64_t age_with_hold(net::boot_clock::duration hold) const;
    // When the previous leader's orders are over that it sent right before its end.
    net::boot_time last_hold_end() const;

    net::timer_service& timers_;
    milliseconds interval_;
    std::function<void()> changed_;
    std::function<void()> ready_;
    net::boot_time created_at_;
    // Until when a VM may have orders of the previous leader in progress.
    std::map<std::string, net::boot_time> held_until_;
    bool previous_record_unreadable_ = false; // so any VM may have such orders
    std::map<std::string, logged_vm> logged_vms_;
    std::int64_t version_ = 0;
    std::int64_t durable_version_ = 0;
};

} // namespace jl::jobs
