#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "decisions/task_resources.h"
#include "teams/team.h"

namespace jl::jobs {

using std::chrono::milliseconds;

using decisions::task_resources;

// One step of a job: `count` tasks with the same specification.
struct step_spec {
    int count = 0;
    task_resources request;
    milliseconds estimate{0};       // estimated duration of one task
    std::vector<int> after;         // indexes of the earlier steps that must be complete first
    bool checkpointing = false;     // tasks save their progress and can resume from it
    bool gang = false;              // tasks make progress only while all of them run
    bool same_rack = false;         // tasks run more slowly when they are spread over racks
    std::string required_label;     // label that the worker must have; empty: any worker
    std::string preferred_rack;     // rack that holds the input data; empty: none
    int max_per_worker = 0;         // tasks of this step on one worker; 0: no limit
    bool speculative = false;       // several copies of a task may run at the same time
    bool long_running = false;      // tasks run until the job is cancelled
    std::string image;              // tasks with the same image behave alike
    milliseconds latency_target{0}; // tail latency that serving tasks must keep; 0: not serving
    bool filler = false;            // best effort: uses only CPU time that other tasks leave idle
    int max_unavailable = 0;        // tasks that our own actions may take down at the same time
};

// Limit on the tasks of one job, summed over all steps and all occurrences in progress. More would
// not fit into the memory of the smallest node.
constexpr std::int64_t max_tasks_per_job = 10000;

// Limit on the occurrences of a job that are in progress at the same time, also if they have few
// tasks: each change of the job encodes the progress of all of them again. Later ones that are due
// begin when earlier ones have ended.
constexpr std::int64_t max_overlapping_occurrences = 500;

// A job as submitted. Immutable.
struct job_spec {
    std::string id;
    std::string queue;
    std::string team;    // whose key submitted it; empty: none
    std::string payload; // passed to every task unchanged
    std::vector<step_spec> steps;
    int occurrences = 0;       // scheduled runs; 0: runs once, as soon as possible
    milliseconds first_run{0}; // Unix time of occurrence 0
    milliseconds interval{0};  // between the starts of two occurrences

    bool has_schedule() const { return occurrences > 0; }
};

// Returns the number of tasks in one run of all steps.
std::int64_t task_count(const job_spec& spec);
// True if the job has tasks, not too many of them, and each step depends on earlier ones only.
bool is_valid(const job_spec& spec);

enum class job_state { queued, running, completed, failed, cancelled };

// A queue as operators configure it.
struct queue_config {
    std::string name;
    std::string host;     // of the requests for this queue
    std::string prefix;   // of the paths of these requests
    std::string service;  // pool whose workers run the tasks
    int priority = 0;     // 0 is the most urgent
    int max_attempts = 1; // failed runs of one task after which its job fails
    // A job's completion objective is its critical path times `stretch`, plus `latency_objective`.
    double stretch = 1.0;
    milliseconds latency_objective{0};
    bool needs_advice = false;       // the advisor decides which workers may run a step
    milliseconds ticket_validity{0}; // how long the advisor's permission for a worker holds
    bool is_public = false;          // callers need no key
};

// A pool of workers as operators configure it.
struct service_config {
    std::string name;
    bool standby = false;               // VMs in this pool are powered off and cost nothing
    bool workers_check_capacity = true; // workers reject tasks that exceed their free capacity
};

struct fleet_config {
    std::int64_t version = 0;
    std::int64_t revision = 0; // of the store item; increases with each change
    std::vector<queue_config> queues;
    std::vector<service_config> services;
    teams::team_directory teams;
    bool checks_keys = false; // callers of queues that are not public need the key of a team
    std::size_t max_body_bytes = 256U << 10U;

    // Returns the queue of `host` with the longest prefix that matches `path`; null if none does.
    const queue_config* find_queue(const std::string& host, const std::string& path) const;
    const queue_config* find_queue(const std::string& name) const;
    const service_config* find_service(const std::string& name) const;
    // Builds the index for lookups by name. Must be called after the last change to `queues`; until
    // then, find_queue(name) does not find new queues.
    void index_queues();

private:
    std::unordered_map<std::string, std::size_t> queue_position_; // index into `queues`, by name
};

// The registration that a worker writes to the store. It describes one incarnation of the worker
// process; after a restart the same id has another `started_at_ms`.
struct worker_registration {
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    std::string vm;
    std::vector<std::string> labels;
    std::string rack;
    task_resources capacity;
    bool draining = false;
    std::int64_t started_at_ms = 0; // Unix time at which the process started

    bool operator==(const worker_registration& other) const;
};

// A maintenance wave that operators request.
struct wave_request {
    std::int64_t wave = 0;
    std::vector<std::string> vms;
    std::chrono::seconds duration{0};
    int max_concurrent = 1; // VMs of the wave that may be out of service at the same time
};

// Returns for each step the estimated duration of the longest chain of dependent steps that starts
// with it, including the step itself. The job must be valid, see is_valid().
std::vector<milliseconds> critical_paths(const job_spec& spec);
// Returns the estimated duration of the longest chain of dependent steps of the job.
milliseconds critical_path_duration(const job_spec& spec);
// Returns the time from its submission within which a job of the queue earns full credit.
milliseconds completion_objective(const queue_config& queue, const job_spec& spec);

// Identifies a task towards workers. Unique in the fleet.
struct task_name {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    // JOB.OCCURRENCE.STEP.INDEX
    std::string to_string() const;
    bool operator==(const task_name& other) const
    {
        return job == other.job && occurrence == other.occurrence && step == other.step &&
               index == other.index;
    }
};
std::optional<task_name> parse_task_name(const std::string& text);

} // namespace jl::jobs
