#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/advice_book.h"
#include "jobs/job_metrics.h"
#include "jobs/job_record.h"
#include "jobs/job_scheduler.h"
#include "jobs/job_service.h"
#include "jobs/job_table.h"
#include "jobs/leadership.h"
#include "jobs/ports.h"
#include "jobs/record_writer.h"
#include "jobs/task_runner.h"
#include "jobs/vm_reservations.h"
#include "jobs/watched_prefix.h"
#include "jobs/worker_roster.h"

namespace jl::jobs {

class capacity_manager;
class vm_directory;
class vm_order_log;
class wave_manager;

// Limits of the platform that the engine depends on.
struct engine_settings {
    milliseconds max_lease{6000}; // that a worker grants
    milliseconds leader_ttl{2000};
    milliseconds stop_time{400};
    milliseconds status_retention{120000};
    milliseconds vm_order_interval{3000}; // least time between orders of two leaders to one VM
    milliseconds move_time{1500};         // of a VM to another pool
};

// What the engine uses; vms and advisor may be null. All must outlive the engine.
struct engine_ports {
    store_port* store = nullptr;
    worker_connector* workers = nullptr;
    vm_port* vms = nullptr;
    advice_port* advisor = nullptr;
    const document_codec* documents = nullptr;
    job_metrics* metrics = nullptr;
};

// The leader's work: accepts jobs, runs their tasks on the workers, keeps the records. It begins
// with what the store and the workers tell and ends with the leadership; nothing is kept across.
//
// `may_act` is asked before each order and tells whether the leadership certainly holds. `fenced`
// is called when a newer leader was seen; the engine must be destroyed after the callback returns.
// Not thread-safe.
class engine final : public job_service, private task_listener {
public:
    engine(net::timer_service& timers, engine_ports ports, engine_settings settings,
           const leader_record& leader, std::function<bool()> may_act,
           std::function<void(const std::string&)> fenced);
    ~engine() override;
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    // True once the records, the configuration and the workers' entries have been read.
    bool ready() const;
    // True if all records are in the store.
    bool settled() const;

    const fleet_config* config() const override;
    void submit(job_spec spec, std::function<void(submit_outcome)> done) override;
    std::optional<job_state> state(const std::string& id) const override;
    void cancel(const std::string& id, std::function<void(cancel_outcome)> done) override;
    std::size_t waiting(const std::string& queue) const override;

private:
    std::int64_t on_task_done(task& ended) override;
    std::int64_t on_task_failed(task& ended, std::int64_t run) override;
    void on_task_released(task& released) override;
    void on_ticket_rejected(task& refused) override;
    void on_worker_report(worker_handle& handle) override;
    void on_workers_changed() override;
    void fenced(const std::string& worker) override;

    void load();
    void on_loaded(const store_listing& listing);
    void load_job(const store_item& item);
    void load_roster(const store_item& item);
    void on_operator_item(const store_item& item);
    void adopt_config(fleet_config config);
    void on_worker_item(const store_item& item);

    std::optional<record_writer::record> encode_record(const std::string& key);
    void on_durable(const std::string& key, std::int64_t version);
    void on_job_durable(job& target, std::int64_t version);
    void on_roster_durable(const std::string& key, std::int64_t version);

    std::int64_t record_change(job& target);
    void settle_occurrence(job& target);
    void finish(job& target, job_state state);
    void fail_exhausted(job& target);
    void stop_tasks(job& target, const char* reason);
    void release_gang(task& member);
    void extend_services(job& target, const std::string& service);

    void tick_soon();
    void tick();
    static bool may_begin_another(const job& target);
    void begin_due_occurrences();
    void resolve_tasks();
    void retire_finished();
    void forget_advice(const job& ended);
    void relocate_from_draining();
    void control_pace(worker_handle& handle);
    void make_vm_managers();
    void manage_vms();
    void housekeeping();

    net::timer_service& timers_;
    engine_ports ports_;
    engine_settings settings_;
    leader_record leader_;
    std::function<bool()> may_act_;
    std::function<void(const std::string&)> fenced_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    job_table jobs_;
    std::optional<fleet_config> config_;
    std::unique_ptr<record_writer> writer_;
    worker_roster roster_;
    std::unique_ptr<task_runner> runner_;
    std::unique_ptr<advice_book> advice_;
    vm_reservations reservations_;
    std::unique_ptr<job_scheduler> scheduler_;
    std::unique_ptr<vm_directory> vms_;
    std::unique_ptr<vm_order_log> vm_orders_;
    std::unique_ptr<wave_manager> waves_;
    std::unique_ptr<capacity_manager> capacity_;
    std::unique_ptr<watched_prefix> workers_;
    std::unique_ptr<watched_prefix> operators_;
    bool loaded_ = false;
    bool unresolved_ = false; // some task of a former leader may run unknown to us
    bool ended_ = false;      // a newer leader was seen

    net::boot_time last_tick_{};
    net::boot_clock::duration last_tick_took_{};
    net::timer_service::timer_id tick_timer_ = 0;
    net::timer_service::timer_id housekeeping_timer_ = 0;
};

} // namespace jl::jobs
