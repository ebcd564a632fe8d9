#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decisions/arrival_forecast.h"
#include "decisions/pool_sizing.h"
#include "jobs/job_table.h"
#include "jobs/ports.h"
#include "jobs/task_runner.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order.h"
#include "jobs/vm_order_log.h"
#include "jobs/vm_reservations.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Moves VMs between pools as the demand of the pools changes. A VM is moved once no task runs on
// it; a VM with long-running tasks is not moved. Not thread-safe.
class capacity_manager {
public:
    capacity_manager(net::timer_service& timers, vm_port& vms, vm_directory& directory,
                     vm_reservations& reservations, job_table& jobs, std::int64_t token,
                     milliseconds move_time, vm_order_log& order_log);
    ~capacity_manager();
    capacity_manager(const capacity_manager&) = delete;
    capacity_manager& operator=(const capacity_manager&) = delete;

    // Adds an accepted job of the service to the demand forecast.
    void note_arrival(const std::string& service, const job& accepted);
    // Updates the target sizes of the pools and starts and advances moves. Called several times a
    // second.
    void step(const fleet_config& config);

private:
    struct vm_move {
        std::string from;
        std::string to;
        vm_order order{}; // not sent yet while the VM is being drained
        net::boot_time planned_at{};
    };
    struct pool_members {
        std::vector<const fleet_vm*> vms;
        int arriving = 0; // VMs on their way into the pool
    };

    // VMs that a pool does not need.
    struct pool_surplus {
        std::string pool;
        int count = 0;
        int sustained = 0; // of these, VMs that it has not needed for `surplus_delay`
    };

    void remove_finished_moves();
    std::map<std::string, pool_members> pools_by_name(const fleet_config& config);
    // True if the VM has a registered worker that answers.
    bool has_worker(const fleet_vm& vm);
    std::vector<decisions::pool_state> pool_states(const fleet_config& config);
    void measure_demand(const fleet_config& config, std::vector<decisions::pool_state>& pools);
    void plan(const std::vector<decisions::pool_state>& pools, const std::vector<int>& sizes);
    void begin_move(const std::string& vm, const std::string& from, const std::string& to);
    void log_changes(const std::vector<decisions::pool_state>& pools,
                     const std::vector<int>& sizes);
    int largest_recent_size(const std::string& pool, int size);
    void cancel_moves(const std::string& pool, int count);
    std::vector<std::string> movable_vms(const std::string& pool);
    bool movable(const fleet_vm& vm);
    void move_drained_vms();
    void send_move(const std::string& vm, vm_move& move);
    void on_answer(const std::string& vm, vm_order_status status);

    net::timer_service& timers_;
    vm_port& vm_port_;
    vm_directory& directory_;
    vm_reservations& reservations_;
    job_table& jobs_;
    std::int64_t token_;
    milliseconds move_time_;
    vm_order_log& order_log_;
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::boot_time created_at_;

    decisions::arrival_forecast demand_;
    std::map<std::string, vm_move> moves_;                                           // by VM
    std::map<std::string, std::deque<std::pair<net::boot_time, int>>> recent_sizes_; // by pool
    std::map<std::string, int> logged_sizes_;                                        // by pool
    task_resources vm_capacity_;                          // largest of any VM, by resource
    std::map<std::string, net::boot_time> backoff_until_; // by VM
    // The last finished move of each VM. An attempt of it without an answer may still be executed
    // and would undo the next move.
    std::map<std::string, vm_order> finished_orders_;
};

} // namespace jl::jobs
