#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decisions/task_placement.h"
#include "jobs/advice_book.h"
#include "jobs/job_table.h"
#include "jobs/task_runner.h"
#include "jobs/vm_reservations.h"
#include "net/timer_service.h"

namespace jl::jobs {

struct pool_candidates;

// Starts waiting tasks on workers. Applies the decisions on job order (decisions/job_order.h) and
// placement (decisions/task_placement.h) to the job table and the workers. Not thread-safe.
class job_scheduler {
public:
    // If `advice` is null, tasks start without the advisor's permission.
    job_scheduler(net::timer_service& timers, job_table& jobs, task_runner& runner,
                  const vm_reservations& reservations, advice_book* advice);

    // Starts all tasks that can start now.
    void run_pass(const fleet_config& config);
    // True if a worker other than the present one has room for the task now.
    bool fits_elsewhere(const task& target, const fleet_config& config) const;

private:
    void add_usable_workers(std::map<std::string, pool_candidates>& pools) const;
    void schedule_pool(const fleet_config& config, const std::vector<job*>& jobs,
                       pool_candidates& pool);
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
    bool start_gang(const std::vector<task*>& members, pool_candidates& pool);
    bool start_one(task& target, const queue_config& queue, pool_candidates& pool);
    void reserve_worker(const decisions::task_demand& demand, pool_candidates& pool);
    void launch(task& target, std::size_t worker, start_options options, pool_candidates& pool);

    net::timer_service& timers_;
    job_table& jobs_;
    task_runner& runner_;
    const vm_reservations& reservations_;
    advice_book* advice_;
};

// Returns JOB.OCCURRENCE.STEP, which identifies the task's step towards the advisor.
std::string step_name(const task& target);

// Returns the estimated work left in the job, in core-seconds.
double remaining_core_seconds(const job& target);
// Returns the estimated duration of the longest chain of dependent steps left in the job, less the
// progress of the tasks that run.
milliseconds remaining_critical_path(const job& target, net::boot_time now);

} // namespace jl::jobs
