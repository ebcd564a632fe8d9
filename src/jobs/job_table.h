#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"
#include "net/boot_clock.h"

namespace jl::jobs {

enum class task_phase {
    waiting,    // runs nowhere
    unresolved, // a former leader may have started it; not known where
    starting,   // an order to start it was sent to `worker`
    running,    // `worker` has confirmed it
    stopping,   // an order to stop it was sent to `worker`
    done,
};

struct job;
struct step_progress;

// Stands for the time of a confirmation that has not come.
constexpr net::boot_time order_unconfirmed{};

// One task of one occurrence of a job, as the leader knows it.
struct task {
    job* owner = nullptr;
    step_progress* siblings = nullptr; // the step's tasks, this one among them
    int occurrence = 0;
    int step = 0;
    int index = 0;

    task_phase phase = task_phase::waiting;
    std::int64_t run = 0; // number of the last start
    // Runs that ended as failed. Their ends may become known in any order, and more than once.
    std::set<std::int64_t> failed_runs;
    std::string checkpoint;
    std::string worker;               // while starting, running or stopping
    std::string last_failed_worker;   // avoided for the next run
    int percent = 0;                  // progress, or 100 while a long-running task is at work
    double load = 0;                  // see running_task
    int pace = 100;                   // percent of its speed that we allow
    net::boot_time changed{};         // when `phase` or `percent` changed last
    net::boot_time not_before{};      // no start before
    net::boot_time order_confirmed{}; // when the worker accepted the last order
    int order_attempts = 0;           // of the last order
    std::string ticket;               // the advisor's, for the last start

    const step_spec& spec() const;
    task_name name() const;
    bool on_worker() const
    {
        return phase == task_phase::starting || phase == task_phase::running ||
               phase == task_phase::stopping;
    }
};

struct step_progress {
    std::vector<task> tasks;
    int done = 0;
    std::int64_t done_version = 0; // version of the job's record that holds the last end

    bool complete() const { return done == static_cast<int>(tasks.size()); }
};

// One run of all steps. A job without a schedule has occurrence 0 only.
struct occurrence_progress {
    int number = 0;
    std::int64_t begun_version = 0; // version of the job's record that first holds it
    std::vector<step_progress> steps;

    bool complete() const;
};

struct job {
    job_spec spec;
    wall_time accepted{};              // when the first request for it arrived
    net::boot_time objective{};        // time by which its completion earns full credit
    std::vector<std::string> services; // pools on which its tasks may have run
    job_state state = job_state::queued;
    std::list<occurrence_progress> occurrences; // in progress, in order
    int next_occurrence = 0;                    // number of the next one to begin

    std::int64_t version = 1;         // rises with each change of the record
    std::int64_t durable_version = 0; // last version known to be in the store
    std::int64_t store_revision = 0;
    job_state durable_state = job_state::queued;
    bool any_started = false;
    net::boot_time finished_at{}; // when the state became final
    std::vector<std::function<void(bool durable)>> waiters;

    bool durable() const { return durable_version > 0; }
    bool active() const { return state == job_state::queued || state == job_state::running; }
    bool cancelled() const { return state == job_state::cancelled; }
    // True once every step in `after` has ended and the record of that is in the store.
    bool step_ready(const occurrence_progress& occurrence, std::size_t step) const;
};

// Begins the next occurrence of the job.
occurrence_progress& begin_occurrence(job& target);
// Unix time at which an occurrence is due.
milliseconds due_time(const job_spec& spec, int occurrence);

// All jobs known to the leader. Pointers stay valid until the job is erased.
class job_table {
public:
    job* find(const std::string& id);
    // The job must not be in the table.
    job& insert(job_spec spec);
    void erase(const std::string& id);
    task* find_task(const task_name& name);

    std::unordered_map<std::string, std::unique_ptr<job>>& all() { return jobs_; }
    const std::unordered_map<std::string, std::unique_ptr<job>>& all() const { return jobs_; }
    // Jobs whose tasks may still need work.
    std::set<job*>& active() { return active_; }
    const std::set<job*>& active() const { return active_; }

private:
    std::unordered_map<std::string, std::unique_ptr<job>> jobs_;
    std::set<job*> active_;
};

} // namespace jl::jobs
