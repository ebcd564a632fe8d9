#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "objects/objects.h"
#include "records/tasks.h"

namespace jl::decisions {

struct worker_view {
    std::string vm;
    std::string pool;
    std::string rack;
    double cores = 0;
    double memory_gb = 0;
    int accelerators = 0;
    std::int64_t boot_id = 0;
    bool listed = false;
    bool accepts_tasks = false; // live and in service
};

// Last report about a task from the worker that its record names; reports lag behind.
struct task_observation {
    enum class state { running, throttled, stopped, finished, failed };
    state observed = state::running;
    std::int64_t fencing_token = 0;
    double cores = 0; // used
    double memory_gb = 0;
    std::string checkpoint;
};

struct task_view {
    records::task_record record;
    std::int64_t revision = 0;
    std::optional<task_observation> observation;
};

struct placement_options {
    std::chrono::seconds lease{15};
    // Reports are older than this only if the platform fails.
    std::chrono::milliseconds report_lag{5000};
    // Processors that tasks may be promised beyond those of a worker. Memory is never promised
    // twice, because a task that finds none fails.
    double overcommit = 1.25;
    // A declared size is corrected by observed use to not less and not more than these shares.
    double smallest_correction = 0.25;
    double largest_correction = 4;
    double throttled_share = 0.25;
    int failures_to_quarantine = 3; // in a row, of different tasks
    std::chrono::milliseconds quarantine{60000};
    std::size_t failures_to_give_up = 3;          // of one task, on different workers
    std::chrono::milliseconds retention{3600000}; // of finished and failed tasks
};

// Learned from reports; lost with the planner and learned again.
struct placement_memory {
    struct correction {
        double cores = 1; // used / declared
        double memory = 1;
    };
    struct health {
        std::set<std::string> failed_tasks; // since the last success
        std::optional<std::chrono::milliseconds> quarantined_until;
    };
    std::map<std::string, correction> corrections; // by kind of task
    std::map<std::string, health> workers;
};

struct placement_snapshot {
    objects::object_set_ptr configuration; // not null
    std::vector<worker_view> workers;
    std::vector<task_view> tasks;
    bool reports_current = false; // the reports were read in this round
    std::chrono::milliseconds now{};
};

struct task_step {
    std::int64_t expected_revision = 0;
    records::task_record next;
    bool remove = false; // the retention has ended
};

struct placement_problem {
    std::string task; // or worker, for quarantines
    std::string kind; // "task_unplaceable", "task_failed", "worker_quarantined"
    std::string message;
};

struct placement_plan {
    std::vector<task_step> steps;
    std::vector<placement_problem> problems;
};

// One round of task placement. Each task is on one worker at a time: it is placed again only when
// its last worker has provably stopped it. Updates `memory` from the reports.
placement_plan plan_placement(const placement_snapshot& snapshot, const placement_options& options,
                              placement_memory& memory);

} // namespace jl::decisions
