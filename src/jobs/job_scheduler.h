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

// Binds the decisions on order and placement to the jobs and workers: one pass starts what can be
// started now. Not thread-safe.
class job_scheduler {
public:
    // `advice` may be null.
    job_scheduler(net::timer_service& timers, job_table& jobs, task_runner& runner,
                  const vm_reservations& reservations, advice_book* advice);

    void pass(const fleet_config& config);
    // True if another worker than the one it is on has room for the task now.
    bool fits_elsewhere(const task& target, const fleet_config& config) const;

private:
    struct pool_pass;
    void look_at_pools(std::map<std::string, pool_pass>& pools) const;
    void pass_pool(const fleet_config& config, const std::vector<job*>& jobs, pool_pass& pool);
    void start_job(job& target, const queue_config& queue, pool_pass& pool);
    void start_step(job& target, occurrence_progress& occurrence, std::size_t step,
                    const queue_config& queue, pool_pass& pool);
    bool start_gang(std::vector<task*>& members, const step_progress& step, pool_pass& pool);
    bool start_one(task& target, const queue_config& queue, pool_pass& pool);
    void reserve(const decisions::task_demand& demand, pool_pass& pool);
    void launch(task& target, std::size_t worker, const std::string& ticket, pool_pass& pool);

    net::timer_service& timers_;
    job_table& jobs_;
    task_runner& runner_;
    const vm_reservations& reservations_;
    advice_book* advice_;
};

// Name of the task's step towards the advisor: JOB.OCCURRENCE.STEP.
std::string step_name(const task& target);

// Work left in a job, in core-seconds, and the longest chain of it.
double remaining_core_seconds(const job& target);
milliseconds remaining_chain(const job& target);

} // namespace jl::jobs
