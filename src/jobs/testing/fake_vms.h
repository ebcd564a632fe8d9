#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/ports.h"
#include "jobs/testing/fake_workers.h"
#include "net/timer_service.h"

namespace jl::jobs::testing {

// Fake of the platform's VM interface: VMs move between pools and undergo maintenance in virtual
// time. Each time a VM comes up again, a new worker runs on it.
class fake_vms final : public vm_port {
public:
    struct callbacks {
        std::function<void(const worker_registration&)> worker_listed;
        std::function<void(const std::string& worker)> worker_unlisted;
    };

    fake_vms(net::timer_service& timers, fake_workers& workers, callbacks callbacks);

    // Adds a VM and starts a worker on it, unless the VM is in the standby pool.
    void add(const std::string& vm, const std::string& pool);
    std::string standby_pool;
    // Time from an order to its execution. If it exceeds `order_timeout`, the order is reported as
    // unanswered first and executed later.
    milliseconds order_delay{5};
    // Time from the execution of an order to its answer.
    milliseconds answer_delay{5};
    // An order without an answer is reported as unanswered after this time.
    milliseconds order_timeout{10000};
    // Further orders are throttled while this many wait for execution.
    int max_pending_orders = 1000;
    // If set, further orders get this answer at once and are not executed.
    std::optional<vm_order_status> refusal;
    // VMs that the list contains without the name of their worker.
    std::set<std::string> vms_without_worker_name;
    // VMs that are missing from the list.
    std::set<std::string> unlisted_vms;
    // The list shows the state of the VMs this long ago.
    milliseconds list_lag{0};

    void list(std::function<void(std::optional<std::vector<fleet_vm>>)> done) override;
    void move(const std::string& vm, const std::string& pool, std::int64_t fencing_token,
              std::function<void(vm_order_status)> done) override;
    void maintain(const std::string& vm, std::int64_t wave, std::int64_t fencing_token,
                  std::function<void(vm_order_status)> done) override;

    int vms_in(const std::string& pool) const;
    int completed_maintenances() const { return completed_maintenances_; }
    int move_count() const { return move_count_; }
    // Number of tasks that were running on a VM when it was taken down.
    int interrupted_tasks() const { return interrupted_tasks_; }
    // Number of orders to a VM that another leader had sent an order less than three seconds
    // before.
    int conflicting_orders() const { return conflicting_orders_; }
    // Maximum number of VMs that were in maintenance at the same time.
    int most_in_maintenance() const { return most_in_maintenance_; }

private:
    // Reports the status of an order to its caller.
    using order_answer = std::function<void(vm_order_status)>;
    // Returns a function that passes only its first call on to `done`. It reports `unanswered`
    // itself after `order_timeout`.
    order_answer report_once(order_answer done);
    // Schedules the execution of an order, or refuses it.
    void submit_order(const order_answer& answer, const std::function<void()>& execute);
    void execute_move(const std::string& vm, const std::string& pool, std::int64_t token,
                      const order_answer& done);
    void execute_maintenance(const std::string& vm, std::int64_t wave, std::int64_t token,
                             const order_answer& done);
    // Adds the current state of all VMs to the history from which the list is served.
    void record_state();
    // Counts the order if it conflicts with a recent order of another leader.
    void check_order_interval(const std::string& vm, std::int64_t token);
    void take_down(const std::string& vm, vm_state state);
    void bring_up(const std::string& vm);

    net::timer_service& timers_;
    fake_workers& workers_;
    callbacks callbacks_;
    std::map<std::string, fleet_vm> vms_;
    std::deque<std::pair<net::boot_time, std::vector<fleet_vm>>> state_history_;
    std::set<std::pair<std::string, std::int64_t>> maintained_in_wave_;
    int next_worker_ = 1;
    int completed_maintenances_ = 0;
    int move_count_ = 0;
    int most_in_maintenance_ = 0;
    int conflicting_orders_ = 0;
    int interrupted_tasks_ = 0;
    int pending_orders_ = 0;
    struct last_order {
        std::int64_t token = 0;
        net::boot_time at{};
    };
    std::map<std::string, last_order> last_orders_; // by VM
};

} // namespace jl::jobs::testing
