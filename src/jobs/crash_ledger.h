#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "jobs/worker_session.h"

namespace jl::jobs {

// One incarnation of a worker, and where it runs.
struct worker_identity {
    worker_incarnation life;
    std::string vm;
    bool draining = false;
};

// Tracks under which tasks workers were lost, as evidence of the tasks that crash the workers that
// start them. The evidence is part of a job's record, so it outlives the leader.
//
// A loss is first an unconfirmed observation: the worker may only be unreachable. It is confirmed
// when another incarnation of the worker is seen, and dropped when the same one answers again. A
// suspect's next start is recorded as an unconfirmed observation before it is sent; otherwise a
// leader that is lost together with the worker would leave no trace of it. Not thread-safe.
class crash_ledger {
public:
    // `changed` is called after each change of a task's evidence, which has to be recorded.
    crash_ledger(net::timer_service& timers, job_table& jobs, std::function<void(task&)> changed);

    // Takes note of the unconfirmed observations in a job's record.
    void load(job& loaded);

    // The worker with the `assigned` tasks does not answer.
    void contact_lost(const worker_identity& worker, const std::set<task*>& assigned,
                      const decisions::worker_loss& loss);
    // This incarnation of the worker has answered.
    void worker_alive(const worker_incarnation& life);
    // The leader has given up the `lost` tasks that were on the worker.
    void tasks_lost(const worker_identity& worker, const std::set<task*>& lost,
                    const decisions::worker_loss& loss, loss_cause cause);
    // A worker has answered that is registered on the VM: earlier ones there have ended, except
    // those that may still answer.
    void successor_answered(const std::string& vm, const worker_incarnation& successor,
                            const std::function<bool(const std::string& worker)>& may_be_alive);

    // The VM is about to be ordered to move or into maintenance, which ends its worker. Whether it
    // had crashed before can no longer be told.
    void vm_ordered(const std::string& vm);

    // Records a start on the worker before it is sent, with the link that its crash would have.
    void begin_start(task& target, const worker_identity& worker, decisions::crash_link link);
    // The task's run on the worker has ended without the loss of the worker.
    void run_ended(task& target, const std::string& worker);
    // The incarnation has reported a run of the task, so no earlier one has ended under that run.
    void run_reported(task& target, const worker_incarnation& life);
    // The task's run has ended with the incarnation of the worker that it was on.
    void run_lost(task& target, const std::string& worker);

    decisions::crash_verdict verdict(const task& target) const;

private:
    // Names of the tasks with unconfirmed observations of a worker.
    using task_names = std::set<std::string>;

    std::chrono::milliseconds unix_now() const { return to_unix(timers_.wall_now()); }
    void add(task& target, decisions::crash_observation observation);
    void observe_loss(const worker_identity& worker, const std::set<task*>& assigned,
                      const decisions::worker_loss& loss, bool only_just_started);
    using selector = std::function<bool(const task&, const decisions::crash_observation&)>;
    // Confirms or drops the unconfirmed observations of the worker that `concerns` selects.
    void settle(const std::string& worker, bool crashed, const selector& concerns);
    // The same for one task.
    void settle_one(task& target, const std::string& worker, bool crashed,
                    const selector& concerns);
    void announce_settled(task& target, const std::string& worker, bool crashed);
    // The same as settle() for all workers but `excluded`.
    void settle_others(const std::string& excluded, bool crashed, const selector& concerns);
    task* find(const std::string& name);

    net::timer_service& timers_;
    job_table& jobs_;
    std::function<void(task&)> changed_;
    std::map<std::string, task_names> unconfirmed_; // by worker
};

} // namespace jl::jobs
