#include "jobs/job_metrics.h"

namespace jl::jobs {

namespace {

// A time series is kept for each value of a label, so methods that callers make up share one.
std::string method_label(const std::string& method)
{
    for (const auto* const known : {"GET", "POST", "DELETE"}) {
        if (method == known) {
            return method;
        }
    }
    return "other";
}

} // namespace

const char* to_string(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

void job_metrics::record_submission(const std::string& queue, const char* outcome,
                                    std::chrono::nanoseconds duration)
{
    metrics_.count("jl_submissions_total", "Submissions by outcome",
                   {{"queue", queue}, {"outcome", outcome}});
    metrics_.observe("jl_submission_seconds", "Time from a submission to its answer",
                     {{"queue", queue}}, duration);
}

void job_metrics::record_denied_request(const std::string& queue, const char* reason)
{
    metrics_.count("jl_denied_requests_total", "Requests without access, by reason",
                   {{"queue", queue}, {"reason", reason}});
}

void job_metrics::record_team_refusal(const std::string& team, const char* reason)
{
    metrics_.count("jl_team_refusals_total", "Jobs refused because of a team's quota or rate",
                   {{"team", team}, {"reason", reason}});
}

void job_metrics::set_team_usage(const std::string& team, const task_resources& used,
                                 const task_resources& quota)
{
    const auto set = [&](const char* resource, std::int64_t in_use, std::int64_t limit) {
        metrics_.set("jl_team_usage", "What the tasks of a team use or may use",
                     {{"team", team}, {"resource", resource}}, static_cast<double>(in_use));
        metrics_.set("jl_team_quota", "Quota of a team; 0: no limit",
                     {{"team", team}, {"resource", resource}}, static_cast<double>(limit));
    };
    set("millicores", used.millicores, quota.millicores);
    set("memory_mb", used.memory_mb, quota.memory_mb);
    set("accelerators", used.accelerators, quota.accelerators);
}

void job_metrics::record_locality_wait(const char* outcome, std::chrono::nanoseconds waited)
{
    metrics_.observe("jl_locality_wait_seconds",
                     "Time that a task waited for its preferred rack, by where it started",
                     {{"outcome", outcome}}, waited);
}

void job_metrics::record_first_start(const std::string& queue, std::chrono::nanoseconds wait)
{
    metrics_.observe("jl_first_start_seconds", "Time from a submission to its first task's start",
                     {{"queue", queue}}, wait);
}

void job_metrics::record_job_finished(const std::string& queue, job_state state,
                                      std::chrono::nanoseconds duration)
{
    metrics_.count("jl_jobs_finished_total", "Jobs by final state",
                   {{"queue", queue}, {"state", to_string(state)}});
    metrics_.observe("jl_job_seconds", "Time from a submission to the job's final state",
                     {{"queue", queue}}, duration);
}

void job_metrics::record_task_end(end_kind kind)
{
    metrics_.count("jl_task_ends_total", "Ends of tasks by kind", {{"kind", to_string(kind)}});
}

void job_metrics::record_refused_start(order_status reason)
{
    metrics_.count("jl_starts_refused_total", "Starts that a worker did not accept, by reason",
                   {{"reason", to_string(reason)}});
}

void job_metrics::record_stray_run()
{
    metrics_.count("jl_stray_runs_total", "Runs that were stopped because they belong to no task",
                   {});
}

void job_metrics::record_lost_tasks(std::size_t tasks)
{
    metrics_.count("jl_tasks_lost_total", "Tasks lost with their worker", {},
                   static_cast<double>(tasks));
}

void job_metrics::record_worker_restart()
{
    metrics_.count("jl_worker_restarts_total", "Restarts of workers under their ids", {});
}

void job_metrics::record_job_given_up(const std::string& queue)
{
    metrics_.count("jl_jobs_given_up_total", "Jobs given up because a task crashes its workers",
                   {{"queue", queue}});
}

void job_metrics::record_isolated_start()
{
    metrics_.count("jl_isolated_starts_total",
                   "Starts of tasks that are suspected of crashing their workers", {});
}

void job_metrics::record_failed_store_write(store_error reason)
{
    metrics_.count("jl_store_write_failures_total", "Failed writes of records, by reason",
                   {{"reason", to_string(reason)}});
}

void job_metrics::record_vm_order(const char* kind, vm_order_status outcome)
{
    metrics_.count("jl_vm_orders_total", "Orders to VMs by kind and outcome",
                   {{"kind", kind}, {"outcome", to_string(outcome)}});
}

void job_metrics::record_request(const std::string& method, int status,
                                 std::chrono::nanoseconds duration)
{
    const auto label = method_label(method);
    metrics_.count("jl_requests_total", "Requests of callers by method and status",
                   {{"method", label}, {"status", std::to_string(status)}});
    metrics_.observe("jl_request_seconds", "Time to answer a request of a caller",
                     {{"method", label}}, duration);
}

void job_metrics::set_leadership(bool is_leader, std::int64_t term)
{
    metrics_.set("jl_leader", "1 while this process leads", {}, is_leader ? 1 : 0);
    metrics_.set("jl_leader_term", "Number of the last election seen", {},
                 static_cast<double>(term));
}

void job_metrics::set_active_jobs(std::size_t jobs, std::size_t workers)
{
    metrics_.set("jl_active_jobs", "Jobs that are not finished", {}, static_cast<double>(jobs));
    metrics_.set("jl_workers", "Workers in contact", {}, static_cast<double>(workers));
}

} // namespace jl::jobs
