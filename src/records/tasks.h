#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Tasks that run on workers, stored below /jl/tasks/.
namespace jl::records {

enum class task_phase {
    waiting,
    running,
    throttled,   // runs with a small share of its processors
    stopping,    // is checkpointed and stopped, then waits again
    unplaceable, // no worker or quota can hold it; waits for a change of the fleet
    finished,
    failed,
};

enum class task_class { urgent, normal, deferred };

// Created in the phase `waiting` by whoever submits the task; changed by the active planner only.
struct task_record {
    std::string task;
    std::string team;
    std::string pool;
    std::string rack; // required rack; empty: any
    std::string kind; // what the worker runs
    task_class urgency = task_class::normal;
    double cores = 0; // declared sizes
    double memory_gb = 0;
    int accelerators = 0;
    std::chrono::milliseconds submitted_at{}; // since the Unix epoch

    task_phase phase = task_phase::waiting;
    std::chrono::milliseconds phase_since{};
    std::string worker;              // VM that runs it, or may still run it
    std::int64_t fencing_token = 0;  // increases with each placement
    std::int64_t worker_boot_id = 0; // of the worker at the placement
    std::string checkpoint;
    std::vector<std::string> failed_on; // workers on which it failed
    std::string reason;                 // of unplaceable and failed
    std::string write_id;
};

const char* to_text(task_phase phase);
const char* to_text(task_class urgency);

std::string to_json(const task_record& record);
// Returns nothing if the text is not such a record. Fields that the planner sets may be missing.
std::optional<task_record> parse_task(std::string_view json);

} // namespace jl::records
