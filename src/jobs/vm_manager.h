#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "jobs/leadership.h"
#include "jobs/ports.h"
#include "jobs/task_runner.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Maintains VMs in waves and moves them between pools, without taking away more tasks of a step
// than it allows. A VM is emptied first: it gets no new tasks, its long-running tasks move one by
// one, and the others end by themselves. Not thread-safe.
class vm_manager {
public:
    static constexpr const char* record_prefix = "jl/wave/";

    vm_manager(net::timer_service& timers, vm_port& vms, store_port& store,
               const document_codec& documents, job_table& jobs, task_runner& runner,
               const leader_record& leader, milliseconds order_interval,
               std::function<bool()> may_act);
    ~vm_manager();
    vm_manager(const vm_manager&) = delete;
    vm_manager& operator=(const vm_manager&) = delete;

    // The record of a wave that a former leader worked on.
    void load(const store_item& item);
    void wave_requested(const wave_request& wave);
    void config_changed(const fleet_config& config);
    // Does what can be done now; called several times a second.
    void step();

private:
    enum class wave_phase { waiting, emptying, ordered, finished };
    struct wave_vm {
        wave_phase phase = wave_phase::waiting;
        net::boot_time ordered_at{};
        bool order_open = false; // an order has no answer yet
    };
    struct wave_progress {
        wave_request request;
        net::boot_time deadline{};
        std::map<std::string, wave_vm> vms;
        bool completed = false;
        bool status_written = false; // the present state is known to operators
        bool writing = false;
    };

    void refresh_list();
    void on_list(const std::vector<fleet_vm>& listed, net::boot_time asked);
    const fleet_vm* find_vm(const std::string& vm) const;
    worker_slot* slot_of(const std::string& vm);
    bool may_order() const;

    void step_wave(wave_progress& wave);
    void update_wave(wave_progress& wave);
    void empty_next(wave_progress& wave);
    void order_emptied(wave_progress& wave);
    void order_maintenance(wave_progress& wave, const std::string& vm);
    void empty_worker(worker_slot& slot);
    void write_status(wave_progress& wave);
    std::string encode_progress(const wave_progress& wave) const;

    net::timer_service& timers_;
    vm_port& vm_port_;
    store_port& store_;
    const document_codec& documents_;
    job_table& jobs_;
    task_runner& runner_;
    leader_record leader_;
    std::function<bool()> may_act_;
    net::boot_time orders_from_; // orders of the former leader are over by then
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    std::optional<fleet_config> config_;
    std::vector<fleet_vm> vms_;
    net::boot_time listed_at_{}; // when the request for `vms_` was sent
    net::boot_time next_list_{};
    bool listing_ = false;
    std::map<std::int64_t, wave_progress> waves_;
    std::map<std::int64_t, std::vector<std::string>> finished_before_; // of former leaders, by wave
};

} // namespace jl::jobs
