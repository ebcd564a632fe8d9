#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "base/metrics.h"
#include "jobs/model.h"
#include "jobs/ports.h"

namespace jl::jobs {

// Metrics about jobs in the Prometheus text format. Each method records one event or sets a gauge.
// All labels, such as queues, states and reasons, come from bounded sets. Thread-safe.
class job_metrics {
public:
    // `duration` is the time from the submission to its answer.
    void record_submission(const std::string& queue, const char* outcome,
                           std::chrono::nanoseconds duration);
    // A caller had no access to the queue or to one of its jobs.
    void record_denied_request(const std::string& queue, const char* reason);
    // A job was refused because of its team's quota or rate.
    void record_team_refusal(const std::string& team, const char* reason);
    // What the tasks of a team use or may use, and its quota; 0: no limit.
    void set_team_usage(const std::string& team, const task_resources& used,
                        const task_resources& quota);
    // A task has waited for its preferred rack and starts there ("preferred") or elsewhere
    // ("remote").
    void record_locality_wait(const char* outcome, std::chrono::nanoseconds waited);
    // `wait` is the time from a job's submission to the first order to start one of its tasks.
    void record_first_start(const std::string& queue, std::chrono::nanoseconds wait);
    // `duration` is the time from the job's submission to its final state.
    void record_job_finished(const std::string& queue, job_state state,
                             std::chrono::nanoseconds duration);
    void record_task_end(end_kind kind);
    void record_refused_start(order_status reason);
    // A worker runs a task, or may begin to, that the leader does not want on it.
    void record_stray_run();
    void record_lost_tasks(std::size_t tasks);
    // A worker has restarted under its id.
    void record_worker_restart();
    // A job was given up because a task of it crashes its workers.
    void record_job_given_up(const std::string& queue);
    void record_isolated_start();
    void record_failed_store_write(store_error reason);
    void record_vm_order(const char* kind, vm_order_status outcome);
    // A caller's request was answered after `duration`.
    void record_request(const std::string& method, int status, std::chrono::nanoseconds duration);
    // `term` is the number of the last election seen.
    void set_leadership(bool is_leader, std::int64_t term);
    void set_active_jobs(std::size_t jobs, std::size_t workers);

    std::string to_text() const { return metrics_.to_text(); }

private:
    metrics metrics_;
};

const char* to_string(job_state state);

} // namespace jl::jobs
