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
        std::function<void(const worker_registration&)> worker_listed;
        std::function<void(const std::string& worker)> worker_unlisted;
    };

    fake_vms(net::timer_service& timers, fake_workers& workers, callbacks callbacks);

    // Adds a VM with a worker; those in the standby pool have none.
    void add(const std::string& vm, const std::string& pool);
    std::string standby_pool;
    // Orders are carried out after this time; those that take longer than the caller waits are
    // reported as unanswered before.
    milliseconds order_delay{5};
    // From then to the answer.
    milliseconds answer_delay{5};
    // A caller waits no longer for an answer.
    milliseconds order_timeout{10000};
    // Orders that come while so many are under way are throttled.
    int max_open_orders = 1000;
    // VMs whose worker the list does not name.
    std::set<std::string> nameless;
    // VMs that the list leaves out.
    std::set<std::string> left_out;
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
    // Tasks that ran on a VM when it was taken down.
    int cut_tasks() const { return cut_tasks_; }
    // VMs that got orders of two leaders within three seconds.
    int contested() const { return contested_; }
    // The most VMs that were down for maintenance at once.
    int most_in_maintenance() const { return most_in_maintenance_; }

private:
    // Gives the caller one answer: the first that comes, or that none came in time.
    using order_answer = std::function<void(vm_order_status)>;
    order_answer answer_once(order_answer done);
    void give(const order_answer& answer, const std::function<void()>& carry_out);
    void carry_out_move(const std::string& vm, const std::string& pool, std::int64_t token,
                        const order_answer& done);
    void carry_out_maintenance(const std::string& vm, std::int64_t wave, std::int64_t token,
                               const order_answer& done);
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
    int cut_tasks_ = 0;
    int open_orders_ = 0;
    struct last_order {
        std::int64_t token = 0;
        net::boot_time at{};
    };
    std::map<std::string, last_order> last_orders_; // by VM
};

} // namespace jl::jobs::testing
