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

// The VMs of the fleet as the platform lists them, and the workers on them. Not thread-safe.
class vm_directory {
public:
    vm_directory(net::timer_service& timers, vm_port& vms, task_runner& runner);
    ~vm_directory();
    vm_directory(const vm_directory&) = delete;
    vm_directory& operator=(const vm_directory&) = delete;

    // Reads the list again if that is due.
    void refresh();
    bool loaded() const { return listed_at_ != net::boot_time{}; }
    // When the request for the present list was sent.
    net::boot_time listed_at() const { return listed_at_; }

    const std::vector<fleet_vm>& vms() const { return vms_; }
    const fleet_vm* find(const std::string& vm) const;
    // True once the lists have not named the VM for a while, which is known of since `known_since`:
    // the list lags behind VMs that are added.
    bool left_fleet(const std::string& vm, net::boot_time known_since) const;
    // The worker on a VM; null if it has none that is known. The list lags: the worker that has
    // registered itself last goes before the one that the list names.
    worker_handle* worker_on_vm(const std::string& vm);
    // The present life of that worker.
    worker_life incarnation_on_vm(const std::string& vm);
    // True if certainly nothing runs on the VM. A VM may have come back with a worker that already
    // runs tasks while the list still names its former one.
    bool has_no_tasks(const std::string& vm);
    // True if VMs of its pool are powered off.
    bool in_standby_pool(const fleet_vm& vm) const { return standby_pools_.count(vm.pool) != 0; }
    // This life of a worker has ended, since its VM was powered off.
    void end_incarnation(const worker_life& worker) { runner_.end_incarnation(worker); }
    void config_changed(const fleet_config& config);

private:
    net::timer_service& timers_;
    vm_port& port_;
    task_runner& runner_;
    std::set<std::string> standby_pools_;
    std::vector<fleet_vm> vms_;
    std::unordered_map<std::string, std::size_t> position_;     // in `vms_`, by VM
    std::unordered_map<std::string, net::boot_time> last_seen_; // when a list named the VM, by VM
    net::boot_time listed_at_{};
    net::boot_time next_read_{};
    bool reading_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
