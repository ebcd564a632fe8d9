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
    bool listed = false;        // present in the VM list
    bool accepts_tasks = false; // live and in service
};

// Last report about a task from the worker that its record names. Reports lag behind the record.
struct task_observation {
    enum class state { running, throttled, stopped, finished, failed };
    state observed = state::running;
    std::int64_t fencing_token = 0;
    double cores = 0; // in use
    double memory_gb = 0;
    std::string checkpoint;
};

struct task_view {
    records::task_record record;
    std::int64_t revision = 0; // of the record in the store
    std::optional<task_observation> observation;
};

struct placement_options {
    // A worker may run a task for this long after the last renewal of its lease.
    std::chrono::seconds lease_duration{15};
    // Maximum age of a report while the platform works.
    std::chrono::milliseconds report_lag{5000};
    // Tasks may be assigned this multiple of a worker's cores. Memory is never overcommitted,
    // because a task that cannot allocate memory fails.
    double cpu_overcommit_factor = 1.25;
    // Bounds of the factor by which observed use corrects the declared size of a task.
    double min_correction_factor = 0.25;
    double max_correction_factor = 4;
    // Share of its cores that a throttled task keeps.
    double throttled_cpu_share = 0.25;
    // A worker is quarantined after failures of this many different tasks in a row.
    int quarantine_threshold = 3;
    std::chrono::milliseconds quarantine_duration{60000};
    // A task that has failed on this many different workers is not placed again.
    std::size_t max_failures_per_task = 3;
    // The record of a finished or failed task is removed after this time.
    std::chrono::milliseconds record_retention{3600000};
};

// State that the planner learns from reports. It is not stored: a new planner learns it again.
struct placement_history {
    struct correction {
        double cores = 1; // ratio of used to declared
        double memory = 1;
    };
    struct health {
        std::set<std::string> failed_tasks; // since the last success; empty if none failed
        // Stays set after the quarantine until a task succeeds; until then the worker gets one task
        // at a time.
        std::optional<std::chrono::milliseconds> quarantined_until;
    };
    std::map<std::string, correction> corrections; // by kind of task
    std::map<std::string, health> workers;         // by VM
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
    records::task_record next; // the record as written
    bool remove = false;       // removes the record because its retention has ended
};

struct placement_problem {
    std::string task; // the worker for "worker_quarantined"
    std::string kind; // "task_unplaceable", "task_failed", "worker_quarantined"
    std::string message;
};

struct placement_plan {
    std::vector<task_step> steps;
    std::vector<placement_problem> problems;
};

// Plans one round of task placement. A task runs on at most one worker at a time: it is placed
// again only once its previous worker has provably stopped it. Updates `history` from the reports.
placement_plan plan_placement(const placement_snapshot& snapshot, const placement_options& options,
                              placement_history& history);

} // namespace jl::decisions
