#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Names, in the store, the VMs that the leader gives orders to, before it gives them. So a new
// leader knows which VMs it must leave alone until the former leader's orders are certainly over,
// and can give orders to all others at once.
//
//   if (log.may_order("vm-7")) { vms.move("vm-7", ...); } // else asked again later
//
// Not thread-safe.
class vm_order_log {
public:
    static constexpr const char* key = "jl/vm-orders";

    // `interval`: least time between orders of two leaders to one VM. `changed` is called when the
    // record has to be written, `ready` when orders have become possible.
    vm_order_log(net::timer_service& timers, milliseconds interval, std::function<void()> changed,
                 std::function<void()> ready);

    // The record of the former leader.
    void load(const store_item& item);
    // True if an order to the VM may be given now; the VM is then named in the store.
    bool may_order(const std::string& vm);

    std::int64_t version() const { return version_; }
    std::string encode() const;
    void on_durable(std::int64_t version);

private:
    struct logged_vm {
        net::boot_time last_requested{};
        std::int64_t version = 0; // of the record that first names the VM
    };
    void remove_expired();

    net::timer_service& timers_;
    milliseconds interval_;
    std::function<void()> changed_;
    std::function<void()> ready_;
    net::boot_time created_at_;
    std::set<std::string> previous_leader_vms_; // VMs with orders of the former leader
    bool previous_record_unreadable_ = false;   // its record cannot be read
    std::map<std::string, logged_vm> logged_vms_;
    std::int64_t version_ = 0;
    std::int64_t durable_version_ = 0;
};

} // namespace jl::jobs
