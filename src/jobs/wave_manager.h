#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs/leadership.h"
#include "jobs/ports.h"
#include "jobs/task_runner.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order.h"
#include "jobs/vm_order_log.h"
#include "jobs/vm_reservations.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Maintains VMs in waves without making more tasks of a step unavailable than the step allows. A VM
// is drained before its maintenance: it gets no new tasks, its long-running tasks are relocated one
// by one, and its other tasks run to their end. Not thread-safe.
class wave_manager {
public:
    static constexpr const char* record_prefix = "jl/wave/";

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
    };
    struct wave_progress {
        wave_request request;
        net::boot_time known_since{};
        std::map<std::string, wave_vm> vms;
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
    std::string encode_progress(const wave_progress& wave) const;

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
    std::map<std::int64_t, std::vector<std::string>> finished_by_previous_leaders_; // VMs, by wave
    std::map<std::string, std::int64_t> record_revisions_; // of progress records, by key
};

} // namespace jl::jobs
