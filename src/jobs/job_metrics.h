#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "base/metrics.h"
#include "jobs/model.h"
#include "jobs/ports.h"

namespace jl::jobs {

// What a process counts about jobs, in the Prometheus text format. Labels are queues, states and
// reasons, all from bounded sets. Thread-safe.
class job_metrics {
public:
    // A submission was answered after `taken`.
    void submission(const std::string& queue, const char* outcome, std::chrono::nanoseconds taken);
    // The first task of a job was ordered `waited` after the job's submission.
    void first_start(const std::string& queue, std::chrono::nanoseconds waited);
    void job_finished(const std::string& queue, job_state state, std::chrono::nanoseconds taken);
    void task_ended(end_kind kind);
    void start_refused(order_status reason);
    void workers_lost(std::size_t tasks);
    void store_write_failed(store_error reason);
    void vm_order(const char* kind, vm_order_status outcome);
    // A request of a caller got its answer.
    void request(const std::string& method, int status, std::chrono::nanoseconds taken);
    void leading(bool is_leader, std::int64_t term);
    void active_jobs(std::size_t jobs, std::size_t workers);

    std::string to_text() const { return metrics_.to_text(); }

private:
    metrics metrics_;
};

const char* to_string(job_state state);

} // namespace jl::jobs
