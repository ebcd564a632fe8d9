#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/ports.h"
#include "jobs/testing/fake_workers.h"
#include "net/timer_service.h"

namespace jl::jobs::testing {

// VMs that move between pools and are maintained in virtual time. Each time a VM comes back, a new
// worker runs on it.
class fake_vms final : public vm_port {
public:
    struct callbacks {
        std::function<void(const listed_worker&)> worker_listed;
        std::function<void(const std::string& worker)> worker_unlisted;
    };

    fake_vms(net::timer_service& timers, fake_workers& workers, callbacks callbacks);

    // Adds a VM with a worker; those in the standby pool have none.
    void add(const std::string& vm, const std::string& pool);
    std::string standby_pool;
    // Orders are carried out at once and answered after this time.
    milliseconds answer_delay{5};
    // VMs whose worker the list does not name.
    std::set<std::string> nameless;
    // The list shows what was so long ago.
    milliseconds list_lag{0};

    void list(std::function<void(std::optional<std::vector<fleet_vm>>)> done) override;
    void move(const std::string& vm, const std::string& pool, std::int64_t fencing_token,
              std::function<void(vm_order_status)> done) override;
    void maintain(const std::string& vm, std::int64_t wave, std::int64_t fencing_token,
                  std::function<void(vm_order_status)> done) override;

    int vms_in(const std::string& pool) const;
    int maintained() const { return maintained_; }
    int moves() const { return moves_; }
    // VMs that got orders of two leaders within three seconds.
    int contested() const { return contested_; }
    // The most VMs that were down for maintenance at once.
    int most_in_maintenance() const { return most_in_maintenance_; }

private:
    void note_state();
    void judge_order(const std::string& vm, std::int64_t token);
    void take_down(const std::string& vm, vm_state state);
    void bring_up(const std::string& vm);

    net::timer_service& timers_;
    fake_workers& workers_;
    callbacks callbacks_;
    std::map<std::string, fleet_vm> vms_;
    std::deque<std::pair<net::boot_time, std::vector<fleet_vm>>> history_;
    std::set<std::pair<std::string, std::int64_t>> done_in_wave_;
    int next_worker_ = 1;
    int maintained_ = 0;
    int moves_ = 0;
    int most_in_maintenance_ = 0;
    int contested_ = 0;
    struct last_order {
        std::int64_t token = 0;
        net::boot_time at{};
    };
    std::map<std::string, last_order> last_orders_; // by VM
};

} // namespace jl::jobs::testing
