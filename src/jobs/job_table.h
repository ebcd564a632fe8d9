#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decisions/crash_evidence.h"
#include "jobs/crash_report.h"
#include "jobs/model.h"
#include "net/boot_clock.h"

namespace jl::jobs {

enum class task_phase {
    waiting,    // on no worker
    unresolved, // a former leader may have started it on an unknown worker
    starting,   // a start order was sent to `worker`
    running,    // `worker` has confirmed the start
    stopping,   // a stop order was sent to `worker`
    done,
};

// How long no task of another job may start on a task's worker.
enum class task_isolation {
    none,
    start, // until the worker has survived the start for decisions::crash_window
    run,   // until it has survived the start for decisions::crash_free_time
};

struct job;
struct step_progress;

// Value of task::order_confirmed_at until the worker confirms the order.
constexpr net::boot_time order_unconfirmed{};

// The leader's view of one task of one occurrence of a job.
struct task {
    job* owner = nullptr;
    step_progress* owning_step = nullptr;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    task_phase phase = task_phase::waiting;
    std::int64_t run = 0; // number of the last start
    // Numbers of the failed runs. A set, since a failure can be reported late and more than once.
    std::set<std::int64_t> failed_runs;
    // Losses of workers while the task was on them, see crash_ledger.
    std::vector<decisions::crash_observation> crashes;
    std::int64_t crashes_version = 0; // version of the job's record that includes `crashes`
    task_isolation isolation = task_isolation::none;
    // A worker was lost between two leaders, and this task may have been on it. The next start is
    // recorded before it is sent, so that it leaves a trace if the next leader is lost with it.
    bool maybe_crashed_unseen = false;
    std::string checkpoint;
    std::string worker;                     // set while starting, running or stopping
    std::string last_failed_worker;         // avoided for the next run
    int percent = 0;                        // progress; 100 while a long-running task does its work
    double load = 0;                        // see running_task::load
    int pace = 100;                         // percent of full speed that we allow
    net::boot_time pace_sent_at{};          // when the last pace order was sent
    net::boot_time pace_uncertain_until{};  // a pace order without an answer may take effect
    net::boot_time start_sent_at{};         // when the last start was sent or was learned of
    net::boot_time changed_at{};            // last change of `phase` or `percent`
    net::boot_time not_before{};            // earliest time of the next start
    net::boot_time order_confirmed_at{};    // when the worker confirmed the last order
    net::boot_time may_be_stopping_until{}; // by an order of the former leader
    int order_attempts = 0;                 // how often the last order was sent
    bool start_sent = false;                // the last start has been sent to `worker`
    bool on_remote_rack = false;            // the last start was outside the preferred rack
    // Since when it waits for its preferred rack; the default value: it does not wait for it.
    net::boot_time rack_wait_since{};
    // A report has listed the run, and named the incarnation of `worker` that has it. The answer to
    // a start does not tell which one gave it.
    bool reported = false;
    // `worker` has restarted, and the next report tells whether the new incarnation has the run.
    bool awaits_report = false;
    std::string ticket; // the advisor's permission for the last start

    const step_spec& spec() const;
    task_name name() const;
    bool on_worker() const
    {
        return phase == task_phase::starting || phase == task_phase::running ||
               phase == task_phase::stopping;
    }
};

// The tasks of one step in one occurrence.
struct step_progress {
    std::vector<task> tasks;
    int done = 0;                  // number of tasks that are done
    std::int64_t done_version = 0; // version of the job's record that includes the last task's end
    // The tasks are a gang and no member has been started since all were told to stop.
    bool gang_stopped = false;

    bool complete() const { return done == static_cast<int>(tasks.size()); }
};

// One execution of all steps. A job without a schedule has only occurrence 0.
struct occurrence_progress {
    int number = 0;
    std::int64_t begun_version = 0; // first version of the job's record that includes it
    std::vector<step_progress> steps;

    bool complete() const;
};

struct job {
    job_spec spec;
    wall_time accepted{};              // when the first request to submit it arrived
    net::boot_time objective{};        // time by which its completion earns full credit
    std::vector<std::string> services; // pools on which its tasks may have run
    std::int64_t services_version = 0; // first version of the record that names them all
    job_state state = job_state::queued;
    std::map<int, occurrence_progress> occurrences; // in progress, by number
    int next_occurrence = 0;                        // number of the next occurrence to begin

    std::int64_t version = 1;         // increases with each change of the record
    std::int64_t durable_version = 0; // last version known to be in the store
    std::int64_t store_revision = 0;
    job_state durable_state = job_state::queued; // state in the last version that was stored
    bool has_crash_evidence = false;             // some task has lost its worker
    bool any_started = false;                    // some task is known to have begun
    bool beyond_rate = false;             // its team had used up its rate of jobs; not recorded
    std::optional<crash_report> given_up; // the cause, if the job was given up
    net::boot_time finished_at{};         // when the state became final
    // Called once the store holds the latest version, or with false if the leader gives up first.
    std::vector<std::function<void(bool durable)>> durability_callbacks;

    bool durable() const { return durable_version > 0; }
    bool active() const { return state == job_state::queued || state == job_state::running; }
    bool cancelled() const { return state == job_state::cancelled; }
    // True once all steps in step_spec::after are complete and the store holds a record of that.
    bool step_ready(const occurrence_progress& occurrence, std::size_t step) const;
};

// Returns the first task in progress, const if the job is, that satisfies the predicate; null if
// none does.
template <typename Job, typename Predicate>
auto find_task_if(Job& target, Predicate predicate)
    -> decltype(&target.occurrences.begin()->second.steps.front().tasks.front())
{
    for (auto& [number, occurrence] : target.occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& task : step.tasks) {
                if (predicate(task)) {
                    return &task;
                }
            }
        }
    }
    return nullptr;
}

// Calls the function with each task of the job's occurrences in progress.
template <typename Job, typename Function>
void for_each_task(Job& target, Function function)
{
    find_task_if(target, [&](auto& task) {
        function(task);
        return false;
    });
}

// True if a task of the job waits whose worker was lost under it.
bool awaits_isolated_start(const job& target);
// Adds the next occurrence of the job, with all its tasks waiting.
occurrence_progress& begin_occurrence(job& target);
// Returns the Unix time at which the occurrence is due.
milliseconds due_time(const job_spec& spec, int occurrence);

// All jobs known to the leader. Pointers to a job and its tasks stay valid until the job is erased.
class job_table {
public:
    job* find(const std::string& id);
    // The table must not contain a job with this id.
    job& insert(job_spec spec);
    void erase(const std::string& id);
    task* find_task(const task_name& name);

    std::unordered_map<std::string, std::unique_ptr<job>>& all() { return jobs_; }
    const std::unordered_map<std::string, std::unique_ptr<job>>& all() const { return jobs_; }
    // Jobs whose tasks may still have to be started or stopped.
    std::set<job*>& active() { return active_; }
    const std::set<job*>& active() const { return active_; }

private:
    std::unordered_map<std::string, std::unique_ptr<job>> jobs_;
    std::set<job*> active_;
};

} // namespace jl::jobs
