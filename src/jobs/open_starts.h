#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// The attempts to start runs on one worker whose outcome is not known: the worker may have carried
// them out, or may still do so. The answer to one attempt says nothing about the others. If the
// worker restarts under the same id, an attempt may even reach the new incarnation.
//
//   starts.on_sent(task, run, now);
//   starts.on_answered(task, run, status);
//   if (starts.attempts(task, run) > 0) { ... } // the run may still begin
//
// Not thread-safe.
class open_starts {
public:
    struct task_run {
        task_name task;
        std::int64_t run = 0;
    };

    void on_sent(const task_name& task, std::int64_t run, net::boot_time now);
    // One attempt has got this result. It stays open if there was no answer.
    void on_answered(const task_name& task, std::int64_t run, order_status status);
    // The run has ended on the worker, or a stop of it was carried out: this incarnation of the
    // worker rejects the open attempts.
    void on_run_closed(const task_name& task, std::int64_t run);
    // Number of open attempts to start this run.
    int attempts(const task_name& task, std::int64_t run) const;
    bool empty() const { return runs_.empty(); }
    std::vector<task_run> runs() const;
    // Of these, the ones that the known incarnation of the worker may still begin.
    std::vector<task_run> startable_runs() const;
    // Drops the runs whose last attempt was sent before this time.
    void expire(net::boot_time sent_before);

private:
    using key = std::pair<std::string, std::int64_t>; // name of the task, run
    struct open_run {
        task_name task;
        int attempts = 0;
        net::boot_time last_sent_at{};
        bool closed = false; // see on_run_closed()
    };

    std::map<key, open_run> runs_;
};

} // namespace jl::jobs
