#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"

namespace jl::jobs {

using std::chrono::milliseconds;

// What a task asks for, or what a worker has.
struct task_resources {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const task_resources& other) const
    {
        return millicores == other.millicores && memory_mb == other.memory_mb &&
               accelerators == other.accelerators;
    }
};

// One step of a job: `count` equal tasks.
struct step_spec {
    int count = 0;
    task_resources request;
    milliseconds estimate{0};       // rough duration of one task
    std::vector<int> after;         // earlier steps whose tasks must all be done
    bool checkpointing = false;     // tasks save their progress
    bool gang = false;              // tasks work only while all of them run
    bool same_rack = false;         // tasks are slower when spread over racks
    std::string required_label;     // empty: any worker
    std::string preferred_rack;     // rack of the data; empty: none
    int max_per_worker = 0;         // 0: no limit
    bool speculative = false;       // copies may run at the same time
    bool long_running = false;      // runs until the job is cancelled
    std::string image;              // tasks of one image behave alike
    milliseconds latency_target{0}; // of tasks that serve users; 0: none
    bool filler = false;            // uses only processors that other tasks leave unused
    int max_unavailable = 0;        // tasks that may be away through our own actions
};

// Tasks of a job, in all steps and occurrences in progress: they must fit into the memory of the
// smallest node.
constexpr std::int64_t max_tasks_per_job = 10000;

// A job as submitted. Immutable.
struct job_spec {
    std::string id;
    std::string queue;
    std::string payload; // handed to every task unchanged
    std::vector<step_spec> steps;
    int occurrences = 0;       // 0: runs once, at once
    milliseconds first_run{0}; // Unix time of occurrence 0
    milliseconds interval{0};

    bool timed() const { return occurrences > 0; }
};

enum class job_state { queued, running, completed, failed, cancelled };

// A queue of the operators' configuration.
struct queue_config {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service; // pool whose workers run the tasks
    int priority = 0;    // 0 is the most urgent
    int max_attempts = 1;
    double stretch = 1.0; // objective in multiples of the longest chain of tasks
    milliseconds latency_objective{0};
    bool needs_advice = false; // an advisor names the workers that may run a step
    milliseconds ticket_validity{0};
};

struct service_config {
    std::string name;
    bool standby = false;           // VMs in this pool are powered off and not paid for
    bool workers_check_room = true; // workers reject what does not fit
};

struct fleet_config {
    std::int64_t version = 0;
    std::int64_t revision = 0; // of the store item, rises with each change
    std::vector<queue_config> queues;
    std::vector<service_config> services;
    std::size_t max_body_bytes = 256U << 10U;

    // The queue whose prefix is the longest one that the path begins with.
    const queue_config* find_queue(const std::string& host, const std::string& path) const;
    const queue_config* find_queue(const std::string& name) const;
    const service_config* find_service(const std::string& name) const;
    // Must be called once `queues` is complete, before a queue is looked up by its name.
    void index_queues();

private:
    std::unordered_map<std::string, std::size_t> queue_position_; // by name
};

// A worker as it registers itself. One life of the process on a VM.
struct listed_worker {
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    std::string vm;
    std::vector<std::string> labels;
    std::string rack;
    task_resources capacity;
    bool draining = false;
    std::int64_t born = 0; // Unix ms of its start; changes when it restarts under the same id

    bool operator==(const listed_worker& other) const;
};

// A maintenance wave that operators ask for.
struct wave_request {
    std::int64_t wave = 0;
    std::vector<std::string> vms;
    std::chrono::seconds duration{0};
    int max_concurrent = 1;
};

// Length of the longest chain of estimated steps from `step` on, itself included.
milliseconds chain_from(const job_spec& spec, std::size_t step);
milliseconds longest_chain(const job_spec& spec);
// Time from its submission in which a job of the queue earns full credit.
milliseconds objective_of(const queue_config& queue, const job_spec& spec);

// Name of a task on a worker, unique in the fleet.
struct task_name {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    std::string to_string() const;
    bool operator==(const task_name& other) const
    {
        return job == other.job && occurrence == other.occurrence && step == other.step &&
               index == other.index;
    }
};
std::optional<task_name> parse_task_name(const std::string& text);

} // namespace jl::jobs
