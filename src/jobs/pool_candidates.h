#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/locality_wait.h"
#include "decisions/task_placement.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

// Returns what the task requires of its worker.
decisions::task_demand demand_of(const task& target);
// Returns what a task of the step occupies on its worker. Fillers use only idle CPU time.
task_resources occupied_resources(const step_spec& spec);
// Takes a task of the step off what is free on the worker.
void subtract_demand(decisions::candidate_worker& candidate, const step_spec& spec);

// The workers of one pool that accept tasks, updated as tasks are placed during a scheduling pass.
//
//   pool_candidates pool(workers_check_capacity, timers.now());
//   pool.add_if_usable(handle);
//   pool.count_step(step);
//   auto worker = decisions::choose_worker(demand_of(task), pool.candidates);
//
// Not thread-safe.
struct pool_candidates {
    pool_candidates(bool check_capacity, net::boot_time pass_time)
        : now(pass_time), workers_check_capacity_(check_capacity)
    {
    }

    // Adds the worker if it accepts tasks.
    void add_if_usable(worker_handle& handle);
    // Sets tasks_of_step of each candidate.
    void count_step(const step_progress& step);
    // Opens the worker to one job only. Returns false if too many are isolated already, unless
    // there is no limit: suspects must not keep all other tasks waiting.
    bool isolate(std::size_t worker, std::string_view job, bool without_limit);
    // Starts no more tasks on the worker in this pass, so that a waiting task fits on it once
    // enough tasks have ended there. Returns false if too many workers are reserved already.
    bool reserve(std::size_t worker);
    // Ids of the workers.
    std::vector<std::string> workers() const;

    std::vector<decisions::candidate_worker> candidates;
    std::vector<worker_handle*> worker_handles; // of `candidates`, in the same order
    decisions::unplaceable_demands unplaceable;
    // When capacity becomes free on the racks that tasks wait for.
    std::unordered_map<std::string_view, decisions::rack_forecast> rack_forecasts;
    net::boot_time now; // when the pass began

private:
    // Limit of the workers that are kept from most jobs, for each of the reasons.
    std::size_t max_closed_workers() const;

    std::unordered_map<std::string_view, std::size_t> position_; // in `candidates`, by worker
    std::size_t isolated_workers_ = 0;                           // open to one job only
    std::size_t reserved_workers_ = 0;
    bool workers_check_capacity_;
};

} // namespace jl::jobs
