#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/duration_model.h"
#include "decisions/locality_wait.h"
#include "decisions/task_placement.h"
#include "jobs/advice_book.h"
#include "jobs/job_metrics.h"
#include "jobs/job_table.h"
#include "jobs/task_runner.h"
#include "jobs/vm_reservations.h"
#include "net/timer_service.h"
#include "teams/usage.h"

namespace jl::jobs {

struct pool_candidates;

// Starts waiting tasks on workers. Applies the decisions on job order (decisions/job_order.h) and
// placement (decisions/task_placement.h) to the job table and the workers. Not thread-safe.
class job_scheduler {
public:
    // If `advice` is null, tasks start without the advisor's permission. A task outside its
    // preferred rack takes `remote_slowdown_factor` times as long.
    job_scheduler(net::timer_service& timers, job_table& jobs, task_runner& runner,
                  const vm_reservations& reservations, advice_book* advice, job_metrics& metrics,
                  double remote_slowdown_factor);

    // Starts the tasks that can start now, as many as task_runner::accepts_orders() allows.
    void run_pass(const fleet_config& config);
    // Time that the pool needs for the work that waited in the last pass; 0 if none did.
    std::chrono::nanoseconds backlog(const std::string& service) const;
    // Learns from the duration of a task that has ended as done.
    void note_task_done(const task& ended);
    // True if a worker other than the present one has room for the task now.
    bool fits_elsewhere(const task& target, const fleet_config& config) const;

private:
    void add_usable_workers(std::map<std::string, pool_candidates>& pools) const;
    void schedule_pool(const fleet_config& config, const std::vector<job*>& jobs,
                       pool_candidates& pool);
    // Returns the jobs, by index, in the order in which their tasks are started.
    std::vector<std::size_t> order_pool(const fleet_config& config, const std::vector<job*>& jobs,
                                        net::boot_time now);
    // True if the quota of the job's team allows `count` more tasks of the step. A single task
    // larger than the quota may run while nothing else of its team does.
    bool quota_allows(const job& target, const step_spec& spec, int count) const;
    void start_job(job& target, const queue_config& queue, pool_candidates& pool);
    void start_step(job& target, occurrence_progress& occurrence, std::size_t step,
                    const queue_config& queue, pool_candidates& pool);
    // Starts the tasks of the job that are suspected of crashing their workers.
    void start_suspects(job& target, const queue_config& queue, pool_candidates& pool);
    struct isolated_place {
        task* target = nullptr;
        std::size_t worker = 0; // index in the candidates of the pool
        bool ready = false;     // no task of another job has just been started on the worker
    };
    std::vector<isolated_place> choose_isolated(const std::vector<task*>& tasks,
                                                const queue_config& queue, pool_candidates& pool);
    static std::vector<isolated_place> isolate_places(std::vector<isolated_place> places,
                                                      const std::vector<task*>& tasks,
                                                      pool_candidates& pool);
    void start_isolated(const std::vector<task*>& tasks, const queue_config& queue,
                        pool_candidates& pool);
    bool is_suspect(const task& target) const;
    bool must_be_isolated(const task& target) const;
    bool needs_ticket(const queue_config& queue) const
    {
        return queue.needs_advice && advice_ != nullptr;
    }
    void start_gang(const std::vector<task*>& members, pool_candidates& pool);
    // Returns a worker for each member, by its index in the pool's candidates; empty if there is
    // none for one of them. `rack`: on which all of them have to be; empty: any.
    static std::vector<std::size_t> place_gang(const std::vector<task*>& members,
                                               std::string_view rack, const pool_candidates& pool);
    // The same on one rack, if there is a rack for the whole gang.
    static std::vector<std::size_t> place_gang_on_one_rack(const std::vector<task*>& members,
                                                           const pool_candidates& pool);
    enum class start_outcome { started, waits_for_rack, no_worker };
    start_outcome start_one(task& target, const queue_config& queue, pool_candidates& pool);
    // True if the task does better to wait for its preferred rack than to start on the worker.
    bool should_wait_for_rack(task& target, const decisions::candidate_worker& worker,
                              pool_candidates& pool);
    // The same for a gang that fits on no single rack.
    bool gang_should_wait_for_rack(const std::vector<task*>& members, pool_candidates& pool);
    // Returns true if the wait pays, and remembers when it began.
    bool begins_or_continues_wait(task& target, std::optional<std::chrono::nanoseconds> rack_wait,
                                  net::boot_time now);
    decisions::rack_forecast& forecast_of(std::string_view rack, pool_candidates& pool) const;
    milliseconds expected_duration(const task& target) const;
    void reserve_worker(const decisions::task_demand& demand, pool_candidates& pool);
    void launch(task& target, std::size_t worker, start_options options, pool_candidates& pool);

    net::timer_service& timers_;
    job_table& jobs_;
    task_runner& runner_;
    const vm_reservations& reservations_;
    advice_book* advice_;
    job_metrics& metrics_;
    double remote_slowdown_factor_;
    decisions::duration_model durations_;
    // What each team uses; without a value, the configuration names no teams. Valid during a pass.
    std::optional<teams::usage_account> usage_;
    std::map<std::string, std::chrono::nanoseconds> backlogs_; // by service
    std::string first_service_;                                // at which the next pass begins
};

// Returns JOB.OCCURRENCE.STEP, which identifies the task's step towards the advisor.
std::string step_name(const task& target);

// Returns the estimated work left in the job, in core-seconds.
double remaining_core_seconds(const job& target);
// Returns the estimated duration of the longest chain of dependent steps left in the job, less the
// progress of the tasks that run.
milliseconds remaining_critical_path(const job& target, net::boot_time now);

} // namespace jl::jobs
