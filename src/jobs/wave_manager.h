#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/leadership.h"
#include "jobs/ports.h"
#include "jobs/task_runner.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order.h"
#include "jobs/vm_order_log.h"
#include "jobs/vm_reservations.h"
#include "jobs/wave_record.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Maintains VMs in waves without making more tasks of a step unavailable than the step allows. A VM
// is drained before its maintenance: it gets no new tasks, its long-running tasks are relocated one
// by one, and its other tasks run to their end. Not thread-safe.
class wave_manager {
public:
    // `may_act`: whether this process certainly is the leader. `may_relocate`: whether another
    // worker has capacity for the task.
    wave_manager(net::timer_service& timers, vm_port& vms, vm_directory& directory,
                 store_port& store, const document_codec& documents, task_runner& runner,
                 vm_reservations& reservations, leader_record leader, vm_order_log& order_log,
                 std::function<bool()> may_act, std::function<bool(const task&)> may_relocate);
    ~wave_manager();
    wave_manager(const wave_manager&) = delete;
    wave_manager& operator=(const wave_manager&) = delete;

    // Loads the progress record of a wave, written by a previous leader.
    void load(const store_item& item);
    void add_wave(const wave_request& wave);
    // Starts and advances the maintenance of VMs. Called several times a second.
    void step();

private:
    enum class wave_phase { waiting, draining, ordered, finished };
    struct wave_vm {
        wave_phase phase = wave_phase::waiting;
        net::boot_time draining_since{};
        vm_order order;
        bool seen_down = false; // the list of VMs has shown it down since it was ordered
        // An order of this leader or of a previous one may be sent, in progress or executed. It
        // takes up a place of the wave until the outcome is known.
        bool may_be_ordered = false;
        // A previous leader may have sent the order, and this one has not settled it yet.
        bool ordered_by_previous_leader = false;
    };
    struct wave_progress {
        wave_request request;
        net::boot_time known_since{};
        std::map<std::string, wave_vm> vms;
        std::set<std::string> recorded_orders; // VMs that the stored record names as ordered
        // No VM is ordered before the list of VMs was read later than this.
        net::boot_time orders_held_until{};
        bool completed = false;
        bool status_written = false; // the store has the current status and progress
        bool writing = false;
    };

    void step_wave(wave_progress& wave);
    void update_wave(wave_progress& wave);
    // True if the VM is up again after its order. The list of VMs lags, so it may show the VM as it
    // was before.
    bool has_returned(const std::string& name, const wave_vm& vm) const;
    void finish_vm(wave_progress& wave, const std::string& name);
    // Takes over the orders of previous leaders from the wave's record.
    void adopt_orders(wave_progress& wave, const wave_record& record);
    // Gives the VM's place back once no order of a previous leader can take effect any more.
    void drop_expired_order(wave_progress& wave, const std::string& name, wave_vm& vm);
    // True if the VM may be down for maintenance, or may go down without a further order.
    bool may_be_down(const std::string& name) const;
    void drain_vms(wave_progress& wave);
    void order_drained(wave_progress& wave);
    void order_maintenance(wave_progress& wave, const std::string& vm);
    void on_answer(wave_progress& wave, const std::string& vm, vm_order_status status);
    void drain_worker(worker_handle& handle, net::boot_time since);
    // Writes the status and the progress record. The write is conditional on the record being
    // unchanged, so that a write without an answer never replaces a later one.
    void write_status(wave_progress& wave);
    // A write of the wave's status and record was answered. Returns true if it was executed.
    bool on_status_written(const std::string& record_key, const commit_outcome& outcome);
    static wave_record record_of(const wave_progress& wave);

    net::timer_service& timers_;
    vm_port& vm_port_;
    vm_directory& directory_;
    store_port& store_;
    const document_codec& documents_;
    task_runner& runner_;
    vm_reservations& reservations_;
    leader_record leader_;
    vm_order_log& order_log_;
    std::function<bool()> may_act_;
    std::function<bool(const task&)> may_relocate_;
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    std::map<std::int64_t, wave_progress> waves_;
    std::map<std::int64_t, wave_record> records_;          // of previous leaders, by wave
    std::map<std::string, std::int64_t> record_revisions_; // of progress records, by key
};

} // namespace jl::jobs
