#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
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
#include "jobs/record_loader.h"
#include "jobs/record_writer.h"
#include "jobs/task_runner.h"
#include "jobs/vm_reservations.h"
#include "jobs/watched_prefix.h"
#include "jobs/worker_registry.h"
#include "jobs/worker_roster.h"
#include "teams/job_rates.h"

namespace jl::jobs {

class capacity_manager;
class vm_directory;
class vm_order_log;
class wave_manager;

// Limits of the platform that the engine depends on.
struct engine_settings {
    milliseconds max_lease{6000};          // longest lease that a worker grants
    milliseconds leader_ttl{2000};         // of the leader's own lease in the store
    milliseconds stop_time{400};           // a worker ends a stopped task within this time
    milliseconds status_retention{120000}; // the state of a finished job must be known this long
    milliseconds vm_order_interval{3000};  // minimum between orders of two leaders to one VM
    milliseconds move_time{1500};          // a VM takes this long to move to another pool
    double remote_slowdown_factor = 1.0;   // relative run time of a task away from its data
};

// The interfaces through which the engine reaches other components. All must outlive the engine.
// `vms` and `advisor` may be null: then no VM is managed, or no advice is requested.
struct engine_ports {
    store_port* store = nullptr;
    worker_connector* workers = nullptr;
    vm_port* vms = nullptr;
    advice_port* advisor = nullptr;
    const document_codec* documents = nullptr;
    job_metrics* metrics = nullptr;
};

// Does the work of the leader: accepts jobs, runs their tasks on the workers and keeps the records
// in the store. An engine exists for one term of leadership. It builds its state from the store and
// from the reports of the workers; no state in memory is passed from one engine to the next.
//
// `may_act` is called before each order and returns true if this process is certainly still the
// leader. `fenced` is called when a newer leader has been detected; the engine must be destroyed
// after the callback has returned. Not thread-safe.
class engine final : public job_service, private task_listener {
public:
    engine(net::timer_service& timers, engine_ports ports, engine_settings settings,
           const leader_record& leader, std::function<bool()> may_act,
           std::function<void(const std::string&)> fenced);
    ~engine() override;
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    // True once the records, the configuration and the registrations of the workers have been read.
    bool ready() const;
    // True if the store contains the latest version of all records.
    bool all_records_written() const;

    // The jobs that were given up because a task of theirs crashes its workers, by id.
    std::map<std::string, crash_report> given_up_jobs() const;

    const fleet_config* config() const override;
    void submit(submission submitted, std::function<void(const submit_answer&)> done) override;
    std::optional<job_state> state(const std::string& id) const override;
    access_decision check_access(const std::string& id, const caller_access& caller) const override;
    void record_denial(const std::string& queue, access_decision reason) override;
    void cancel(const std::string& id, std::function<void(cancel_outcome)> done) override;
    std::size_t count_waiting_jobs(const std::string& queue) const override;

private:
    std::int64_t on_task_done(task& ended) override;
    std::int64_t on_task_failed(task& ended, std::int64_t run) override;
    void on_task_released(task& released) override;
    void on_ticket_rejected(task& rejected_task) override;
    void on_crash_evidence(task& suspect) override;
    void on_worker_report(worker_handle& handle) override;
    void on_workers_changed() override;
    void on_worker_restarted(worker_handle& handle) override;
    void fenced(const std::string& worker) override;

    void load_records();
    void on_records_listed(store_listing listing);
    // Loads a record and returns the number of tasks that it holds.
    std::size_t load_record(const store_item& item);
    void on_records_loaded(std::int64_t revision);
    std::size_t load_job(const store_item& item);
    void load_roster(const store_item& item);
    void on_operator_item(const store_item& item);
    void adopt_config(fleet_config config);
    void on_worker_item(const store_item& item);
    // Adds the worker to the roster, or updates its entry. Returns false if nothing has changed.
    bool record_worker(const worker_handle& handle);
    // Records that the longest lease of workers that have restarted is over, or that no order to a
    // former incarnation is open any more.
    void record_ended_leases();

    std::optional<record_writer::record> encode_record(const std::string& key);
    void on_record_durable(const std::string& key, std::int64_t version);
    void on_job_durable(job& job, std::int64_t version);
    void on_roster_durable(const std::string& key, std::int64_t version);

    using submit_callback = std::function<void(const submit_answer&)>;
    void accept(submission submitted, net::boot_time received, const submit_callback& done);
    void refuse(const job_spec& spec, net::boot_time received, const submit_callback& done);
    // Returns true if the team's rate and quota and the load of the pool let the job in. Otherwise
    // answers the caller. Sets `within_rate`.
    bool admit_job(const job_spec& spec, const queue_config& queue, const teams::team_config& team,
                   net::boot_time received, const submit_callback& done, bool& within_rate);
    // True if an earlier attempt to submit the job waits for the store.
    bool is_held(const std::string& id) const;
    void accept_held_submissions();
    void refuse_overdue_submissions();
    std::int64_t record_change(job& job);
    // Called when a task of this occurrence has ended.
    void finish_if_complete(job& job, int occurrence);
    void finish(job& job, job_state state);
    void fail_if_attempts_exhausted(job& job);
    void give_up_if_crashing(task& suspect);
    void give_up_crashing_tasks(job& job);
    // Stops the tasks of the job, at once as far as task_runner::accepts_orders() allows.
    void stop_all_tasks(job& job, const char* reason);
    void stop_tasks_of_ended_jobs();
    void stop_other_gang_members(task& member);
    void add_service(job& job, const std::string& service);

    void schedule_tick();
    void tick();
    static bool may_begin_occurrence(const job& job);
    void begin_due_occurrences();
    // Begins occurrences until `task_budget` tasks have been created. Returns false if others are
    // due.
    bool begin_due_occurrences(job& job, std::int64_t& task_budget);
    void requeue_resolved_tasks();
    void retire_finished_jobs();
    void discard_advice(const job& ended);
    void relocate_long_running_tasks();
    void adjust_filler_pace(worker_handle& handle);
    void create_vm_managers();
    void manage_vms();
    void publish_team_usage();
    void run_housekeeping();

    net::timer_service& timers_;
    engine_ports ports_;
    engine_settings settings_;
    leader_record leader_;
    std::function<bool()> may_act_;
    std::function<void(const std::string&)> fenced_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    job_table jobs_;
    std::optional<fleet_config> config_;
    std::set<std::string> jobs_to_stop_; // that have ended, by id
    // The job with which the next tick begins to look for due occurrences. It may be gone.
    job* first_scheduled_job_ = nullptr;
    std::unique_ptr<record_writer> writer_;
    worker_roster roster_;
    std::set<std::string> workers_with_longest_lease_; // by their entry in the roster
    std::unique_ptr<task_runner> runner_;
    std::unique_ptr<advice_book> advice_book_;
    vm_reservations reservations_;
    std::unique_ptr<job_scheduler> scheduler_;
    std::unique_ptr<vm_directory> vm_directory_;
    std::unique_ptr<vm_order_log> vm_orders_;
    std::unique_ptr<wave_manager> wave_manager_;
    std::unique_ptr<capacity_manager> capacity_manager_;
    std::unique_ptr<worker_registry> worker_registry_;
    std::unique_ptr<watched_prefix> worker_registrations_;
    bool registrations_listed_ = false; // the first listing has been applied
    std::unique_ptr<watched_prefix> operator_items_;
    std::optional<record_loader> record_loader_;
    bool records_loaded_ = false;
    // True while a task started by a former leader may run on a worker that has not reported it.
    bool has_unresolved_tasks_ = false;
    bool newer_leader_seen_ = false;

    // Submissions that wait for the store to answer again, in order of arrival. Nothing of them has
    // been written.
    struct held_submission {
        submission submitted;
        submit_callback done;
        net::boot_time received{};
    };
    std::deque<held_submission> held_submissions_;

    teams::job_rates job_rates_;
    net::boot_time team_usage_published_at_{};
    std::mt19937 random_{std::random_device{}()};

    net::boot_time last_tick_{};
    net::boot_clock::duration last_tick_duration_{};
    net::timer_service::timer_id tick_timer_ = 0;
    net::timer_service::timer_id housekeeping_timer_ = 0;
};

} // namespace jl::jobs
