#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/ports.h"
#include "jobs/task_runner.h"
#include "net/timer_service.h"

namespace jl::jobs {

// The VMs of the fleet, read periodically from the platform, and the workers on them. Not
// thread-safe.
class vm_directory {
public:
    vm_directory(net::timer_service& timers, vm_port& vms, task_runner& runner);
    ~vm_directory();
    vm_directory(const vm_directory&) = delete;
    vm_directory& operator=(const vm_directory&) = delete;

    // Reads the list of VMs from the platform if the read interval has passed.
    void refresh();
    bool loaded() const { return listed_at_ != net::boot_time{}; }
    // When the request for the current list was sent.
    net::boot_time listed_at() const { return listed_at_; }

    const std::vector<fleet_vm>& vms() const { return vms_; }
    const fleet_vm* find(const std::string& vm) const;
    // True if the VM has been missing from the lists for longer than the list may lag.
    // `known_since` is when the caller learned of the VM: one that was just added may not be listed
    // yet.
    bool left_fleet(const std::string& vm, net::boot_time known_since) const;
    // The worker on a VM, or null if none is known. Of the registered workers that have answered,
    // the one that started last takes precedence over the worker in the list of VMs, because the
    // list lags.
    worker_handle* worker_on_vm(const std::string& vm);
    // All workers that are registered on the VM and may run.
    std::vector<worker_handle*> workers_on_vm(const std::string& vm);
    // The number of tasks on these workers.
    std::size_t count_tasks(const std::string& vm);
    // The current incarnation of that worker.
    worker_incarnation incarnation_on_vm(const std::string& vm);
    // True if certainly no task runs on the VM. The list alone does not tell: after a restart of
    // the VM it may still show the former worker while the new one already runs tasks.
    bool has_no_tasks(const std::string& vm);
    // True if the VM is in a standby pool, whose VMs are powered off.
    bool in_standby_pool(const fleet_vm& vm) const { return standby_pools_.count(vm.pool) != 0; }
    // Must be called before an order that ends the worker on the VM is sent.
    void prepare_order(const std::string& vm) { runner_.crashes().vm_ordered(vm); }
    // Ends this incarnation of a worker, since its VM was powered off.
    void end_incarnation(const worker_incarnation& worker) { runner_.end_incarnation(worker); }
    void config_changed(const fleet_config& config);

private:
    net::timer_service& timers_;
    vm_port& port_;
    task_runner& runner_;
    std::set<std::string> standby_pools_;
    std::vector<fleet_vm> vms_;
    std::unordered_map<std::string, std::size_t> position_;     // index in `vms_`, by VM
    std::unordered_map<std::string, net::boot_time> last_seen_; // when a list contained it, by VM
    net::boot_time listed_at_{};
    net::boot_time next_read_{};
    bool reading_ = false;
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
