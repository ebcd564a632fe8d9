#include "jobs/pool_candidates.h"

#include <algorithm>
#include <chrono>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A capacity that a worker has stated may be used for this long. Two renewals fit into it.
constexpr auto max_capacity_age = 3000ms;

// True while no task of another job may start on the task's worker.
bool isolates_worker(const task& target, net::boot_time last_alive)
{
    switch (target.isolation) {
    case task_isolation::none:
        return false;
    case task_isolation::start:
        return !target.start_sent || last_alive < target.start_sent_at + decisions::crash_window;
    case task_isolation::run:
        return !target.start_sent || last_alive < target.start_sent_at + decisions::crash_free_time;
    }
    return false;
}

// Long-running tasks give their room back only if they are being stopped.
void add_releasable(decisions::candidate_worker& candidate, const task& assigned)
{
    const auto& spec = assigned.spec();
    if (spec.long_running && assigned.phase != task_phase::stopping) {
        return;
    }
    const auto occupied = occupied_resources(spec);
    candidate.releasable_millicores += occupied.millicores;
    candidate.releasable_memory_mb += occupied.memory_mb;
    candidate.releasable_accelerators += occupied.accelerators;
}

decisions::candidate_worker make_candidate(const worker_handle& handle, net::boot_time now)
{
    const auto& info = handle.info();
    decisions::candidate_worker candidate;
    candidate.worker = info.id;
    candidate.rack = info.rack;
    candidate.vm = info.vm;
    candidate.labels = &info.labels;
    candidate.free_millicores = info.capacity.millicores;
    candidate.free_memory_mb = info.capacity.memory_mb;
    candidate.free_accelerators = info.capacity.accelerators;
    // The score falls with the seconds since the last failure.
    const std::chrono::duration<double> age = now - handle.failure_score_at;
    candidate.failure_score = handle.failure_score / (1.0 + age.count());
    candidate.survived_last_start = handle.session->last_alive() - handle.last_start_at;
    candidate.tasks = static_cast<int>(handle.assigned.size());
    for (const auto* assigned : handle.assigned) {
        subtract_demand(candidate, assigned->spec());
        add_releasable(candidate, *assigned);
        candidate.long_running_tasks += assigned->spec().long_running ? 1 : 0;
        candidate.crash_suspects += assigned->crashes.empty() ? 0 : 1;
        if (isolates_worker(*assigned, handle.session->last_alive())) {
            candidate.isolated_job = assigned->owner->spec.id;
        }
    }
    return candidate;
}

// True if it is known what fits on the worker. The size of a stray run may be unknown, and the
// capacity may have changed since the worker's last renewal.
bool room_is_known(const worker_handle& handle, net::boot_time now)
{
    return handle.strays.empty() && now <= handle.renewed_at + max_capacity_age;
}

// A worker that does not check its capacity gets tasks only while its room is known.
bool accepts_tasks(const worker_handle& handle, bool checks_capacity, net::boot_time now)
{
    const auto& session = *handle.session;
    return (checks_capacity || room_is_known(handle, now)) && handle.registered &&
           handle.roster_entry_durable && !handle.info().draining && session.contacted() &&
           session.reachable() && !session.presence_in_question() && !session.dead() &&
           now >= handle.unhealthy_until && now >= handle.no_room_until;
}

} // namespace

decisions::task_demand demand_of(const task& target)
{
    const auto& spec = target.spec();
    decisions::task_demand demand;
    demand.millicores = spec.request.millicores;
    demand.memory_mb = spec.request.memory_mb;
    demand.accelerators = spec.request.accelerators;
    demand.required_label = spec.required_label;
    demand.preferred_rack = spec.preferred_rack;
    demand.max_per_worker = spec.max_per_worker;
    demand.filler = spec.filler;
    demand.serving = spec.latency_target > 0ms;
    demand.long_running = spec.long_running;
    demand.avoided_worker = target.last_failed_worker;
    return demand;
}

task_resources occupied_resources(const step_spec& spec)
{
    auto occupied = spec.request;
    if (spec.filler) {
        occupied.millicores = 0;
    }
    return occupied;
}

void subtract_demand(decisions::candidate_worker& candidate, const step_spec& spec)
{
    const auto occupied = occupied_resources(spec);
    candidate.free_millicores -= occupied.millicores;
    candidate.free_memory_mb -= occupied.memory_mb;
    candidate.free_accelerators -= occupied.accelerators;
    candidate.serving_tasks += spec.latency_target > 0ms ? 1 : 0;
    candidate.filler_tasks += spec.filler ? 1 : 0;
}

void pool_candidates::add_if_usable(worker_handle& handle)
{
    if (!accepts_tasks(handle, workers_check_capacity_, now)) {
        return;
    }
    position_[handle.info().id] = candidates.size();
    candidates.push_back(make_candidate(handle, now));
    isolated_workers_ += candidates.back().isolated_job.empty() ? 0 : 1;
    worker_handles.push_back(&handle);
}

void pool_candidates::count_step(const step_progress& step)
{
    for (auto& candidate : candidates) {
        candidate.tasks_of_step = 0;
    }
    for (const auto& task : step.tasks) {
        const auto found = task.on_worker() ? position_.find(task.worker) : position_.end();
        if (found != position_.end()) {
            ++candidates[found->second].tasks_of_step;
        }
    }
}

bool pool_candidates::isolate(std::size_t worker, std::string_view job, bool without_limit)
{
    if (candidates[worker].isolated_job == job) {
        return true;
    }
    if (!without_limit && isolated_workers_ >= max_closed_workers()) {
        return false;
    }
    ++isolated_workers_;
    candidates[worker].isolated_job = job;
    return true;
}

bool pool_candidates::reserve(std::size_t worker)
{
    if (reserved_workers_ >= max_closed_workers()) {
        return false;
    }
    ++reserved_workers_;
    auto& reserved = candidates[worker];
    reserved.free_millicores = 0;
    reserved.free_memory_mb = 0;
    reserved.free_accelerators = 0;
    reserved.releasable_millicores = 0;
    reserved.releasable_memory_mb = 0;
    reserved.releasable_accelerators = 0;
    return true;
}

std::size_t pool_candidates::max_closed_workers() const
{
    return std::max<std::size_t>(1, candidates.size() / 2);
}

std::vector<std::string> pool_candidates::workers() const
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        names.emplace_back(candidate.worker);
    }
    return names;
}

} // namespace jl::jobs
