#include "jobs/job_scheduler.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "decisions/job_order.h"
#include "jobs/pool_candidates.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A job earns partial credit if it completes within this multiple of its objective.
constexpr int late_credit_objectives = 3;
constexpr int full_percent = 100;

bool workers_check_capacity(const fleet_config& config, const std::string& service)
{
    const auto* const found = config.find_service(service);
    return found == nullptr || found->workers_check_capacity;
}

// Returns the estimated time until the task has ended if it runs now or starts now.
milliseconds remaining_duration(const task& target, net::boot_time now)
{
    const auto estimate = target.spec().estimate;
    if (target.phase == task_phase::done) {
        return 0ms;
    }
    if (target.phase != task_phase::running) {
        return estimate;
    }
    const auto reported = estimate * (full_percent - target.percent) / full_percent;
    const auto since_report = std::chrono::duration_cast<milliseconds>(now - target.changed_at);
    return std::max(milliseconds(0), reported - since_report);
}

milliseconds remaining_step_duration(const step_progress& step, net::boot_time now)
{
    milliseconds longest{0};
    for (const auto& task : step.tasks) {
        longest = std::max(longest, remaining_duration(task, now));
    }
    return longest;
}

bool is_waiting(const task& target, net::boot_time now)
{
    return target.phase == task_phase::waiting && target.not_before <= now &&
           target.owner->durable_version >= target.crashes_version;
}

// Returns the VMs on which workers were lost under the task.
std::vector<std::string> used_vms(const task& target)
{
    std::vector<std::string> vms;
    for (const auto& crash : target.crashes) {
        vms.push_back(crash.vm);
    }
    return vms;
}

// All members of a gang start with the same run number and checkpoint.
void align_gang(const std::vector<task*>& members)
{
    std::int64_t run = 0;
    std::string checkpoint;
    for (const auto* const member : members) {
        run = std::max(run, member->run);
        checkpoint = std::max(checkpoint, member->checkpoint);
    }
    for (auto* const member : members) {
        member->run = run;
        member->checkpoint = checkpoint;
    }
}

bool has_waiting_task(const job& target, net::boot_time now)
{
    return find_task_if(target, [now](const task& candidate) {
               return is_waiting(candidate, now);
           }) != nullptr;
}

} // namespace

std::string step_name(const task& target)
{
    return target.owner->spec.id + '.' + std::to_string(target.occurrence) + '.' +
           std::to_string(target.step);
}

double remaining_core_seconds(const job& target)
{
    double total = 0;
    for (const auto& occurrence : target.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (step.tasks.empty()) {
                continue;
            }
            const auto& spec = step.tasks.front().spec();
            const auto left = static_cast<double>(step.tasks.size()) - step.done;
            total += left * static_cast<double>(spec.request.millicores) / 1000.0 *
                     static_cast<double>(spec.estimate.count()) / 1000.0;
        }
    }
    return total;
}

milliseconds remaining_critical_path(const job& target, net::boot_time now)
{
    milliseconds longest{0};
    const auto paths = critical_paths(target.spec);
    for (const auto& occurrence : target.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& progress = occurrence.steps[step];
            if (progress.complete()) {
                continue;
            }
            const auto later_steps = paths[step] - target.spec.steps[step].estimate;
            longest = std::max(longest, later_steps + remaining_step_duration(progress, now));
        }
    }
    return longest;
}

job_scheduler::job_scheduler(net::timer_service& timers, job_table& jobs, task_runner& runner,
                             const vm_reservations& reservations, advice_book* advice)
    : timers_(timers), jobs_(jobs), runner_(runner), reservations_(reservations), advice_(advice)
{
}

void job_scheduler::run_pass(const fleet_config& config)
{
    const auto now = timers_.now();
    std::map<std::string, std::vector<job*>> by_service;
    for (auto* const target : jobs_.active()) {
        if (!target->durable() || !target->active() ||
            target->services_version > target->durable_version || !has_waiting_task(*target, now)) {
            continue;
        }
        const auto* const queue = config.find_queue(target->spec.queue);
        if (queue != nullptr) {
            by_service[queue->service].push_back(target);
        }
    }
    if (by_service.empty()) {
        return;
    }
    std::map<std::string, pool_candidates> pools;
    for (const auto& [service, jobs] : by_service) {
        pools.emplace(service, pool_candidates(workers_check_capacity(config, service), now));
    }
    add_usable_workers(pools);
    for (const auto& [service, jobs] : by_service) {
        schedule_pool(config, jobs, pools.at(service));
    }
}

// Adds to each given pool its workers that accept tasks.
void job_scheduler::add_usable_workers(std::map<std::string, pool_candidates>& pools) const
{
    for (auto& [worker, handle] : runner_.worker_handles()) {
        const auto pool = pools.find(handle.info().service);
        if (pool != pools.end() && !reservations_.blocks(handle.info().vm, worker)) {
            pool->second.add_if_usable(handle);
        }
    }
}

bool job_scheduler::fits_elsewhere(const task& target, const fleet_config& config) const
{
    const auto* const queue = config.find_queue(target.owner->spec.queue);
    if (queue == nullptr) {
        return false;
    }
    std::map<std::string, pool_candidates> pools;
    const bool check_capacity = workers_check_capacity(config, queue->service);
    auto& pool =
        pools.emplace(queue->service, pool_candidates(check_capacity, timers_.now())).first->second;
    add_usable_workers(pools);
    pool.count_step(*target.owning_step);
    for (auto& candidate : pool.candidates) {
        if (candidate.worker == target.worker) {
            candidate.free_memory_mb = -1; // excludes the present worker
        }
    }
    return decisions::choose_worker(demand_of(target), pool.candidates).has_value();
}

void job_scheduler::schedule_pool(const fleet_config& config, const std::vector<job*>& jobs,
                                  pool_candidates& pool)
{
    if (pool.candidates.empty()) {
        return;
    }
    std::vector<decisions::job_demand> demands;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        const auto& target = *jobs[index];
        const auto* const queue = config.find_queue(target.spec.queue);
        const auto objective = completion_objective(*queue, target.spec);
        decisions::job_demand demand;
        demand.job = index;
        demand.priority = queue->priority;
        demand.long_running = target.spec.steps.front().long_running;
        demand.started = target.any_started;
        demand.time_left = std::chrono::duration_cast<milliseconds>(target.objective - pool.now);
        demand.late_time_left = demand.time_left + (late_credit_objectives - 1) * objective;
        demand.critical_path = remaining_critical_path(target, pool.now);
        demand.core_seconds = remaining_core_seconds(target);
        demands.push_back(demand);
    }
    const auto order = decisions::order_jobs(demands);
    // Before any other start, which could be confused with that of a suspect.
    for (const auto index : order) {
        auto& target = *jobs[index];
        if (target.has_crash_evidence) {
            start_suspects(target, *config.find_queue(target.spec.queue), pool);
        }
    }
    for (const auto index : order) {
        auto& target = *jobs[index];
        start_job(target, *config.find_queue(target.spec.queue), pool);
    }
}

void job_scheduler::start_job(job& target, const queue_config& queue, pool_candidates& pool)
{
    for (auto& occurrence : target.occurrences) {
        if (occurrence.begun_version > target.durable_version) {
            continue;
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!occurrence.steps[step].complete() && target.step_ready(occurrence, step)) {
                start_step(target, occurrence, step, queue, pool);
            }
        }
    }
}

void job_scheduler::start_step(job& target, occurrence_progress& occurrence, std::size_t step,
                               const queue_config& queue, pool_candidates& pool)
{
    auto& progress = occurrence.steps[step];
    std::vector<task*> waiting;
    for (auto& task : progress.tasks) {
        if (is_waiting(task, pool.now) && !must_be_isolated(task)) {
            waiting.push_back(&task);
        }
    }
    if (waiting.empty()) {
        return;
    }
    if (needs_ticket(queue)) {
        advice_->request_tickets(step_name(*waiting.front()), pool.workers(),
                                 queue.ticket_validity);
    }
    const auto& spec = target.spec.steps[step];
    if (pool.unplaceable.rules_out(demand_of(*waiting.front())) && !spec.long_running) {
        return;
    }
    if (spec.max_per_worker > 0 || spec.long_running) {
        pool.count_step(progress);
    }
    if (spec.gang) {
        if (waiting.size() == progress.tasks.size()) {
            start_gang(waiting, pool);
        }
        return;
    }
    for (auto* const task : waiting) {
        if (!start_one(*task, queue, pool)) {
            return; // the tasks of a step are alike: no other one fits either
        }
    }
}

bool job_scheduler::is_suspect(const task& target) const
{
    return runner_.crashes().verdict(target) != decisions::crash_verdict::none;
}

// The members of a gang are started together, so one suspect concerns them all.
bool job_scheduler::must_be_isolated(const task& target) const
{
    if (!target.owner->has_crash_evidence) {
        return false;
    }
    if (!target.spec().gang) {
        return is_suspect(target);
    }
    const auto& members = target.owning_step->tasks;
    return std::any_of(members.begin(), members.end(),
                       [this](const task& member) { return is_suspect(member); });
}

void job_scheduler::start_suspects(job& target, const queue_config& queue, pool_candidates& pool)
{
    for (auto& occurrence : target.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& progress = occurrence.steps[step];
            if (progress.complete() || !target.step_ready(occurrence, step)) {
                continue;
            }
            std::vector<task*> suspects;
            for (auto& task : progress.tasks) {
                const auto verdict = runner_.crashes().verdict(task);
                if (is_waiting(task, pool.now) && must_be_isolated(task) &&
                    verdict != decisions::crash_verdict::hold &&
                    verdict != decisions::crash_verdict::give_up) {
                    suspects.push_back(&task);
                }
            }
            const bool gang = target.spec.steps[step].gang;
            if (suspects.empty() || (gang && suspects.size() != progress.tasks.size())) {
                continue;
            }
            pool.count_step(progress);
            start_isolated(suspects, queue, pool);
        }
    }
}

// Chooses a worker for each of the tasks of one step and opens it to their job only.
std::vector<job_scheduler::isolated_place>
job_scheduler::choose_isolated(const std::vector<task*>& tasks, const queue_config& queue,
                               pool_candidates& pool)
{
    const std::string_view job = tasks.front()->owner->spec.id;
    auto candidates = pool.candidates;
    if (needs_ticket(queue)) {
        const auto step = step_name(*tasks.front());
        advice_->request_tickets(step, pool.workers(), queue.ticket_validity);
        for (auto& candidate : candidates) {
            if (!advice_->ticket(step, std::string(candidate.worker))) {
                candidate.free_memory_mb = -1; // excludes the worker
            }
        }
    }
    std::vector<isolated_place> places;
    for (auto* const suspect : tasks) {
        const auto worker = decisions::choose_isolated_worker(demand_of(*suspect), job,
                                                              used_vms(*suspect), candidates);
        if (!worker) {
            break;
        }
        auto& chosen = candidates[*worker];
        places.push_back({suspect, *worker, decisions::can_start_isolated(job, chosen)});
        subtract_demand(chosen, suspect->spec());
        ++chosen.tasks_of_step;
    }
    return isolate_places(std::move(places), tasks, pool);
}

// Opens the chosen workers to the job only, and returns the places on those that could be. The
// members of a gang start together or not at all: they get as many workers as they need, or none.
std::vector<job_scheduler::isolated_place>
job_scheduler::isolate_places(std::vector<isolated_place> places, const std::vector<task*>& tasks,
                              pool_candidates& pool)
{
    const std::string_view job = tasks.front()->owner->spec.id;
    const bool gang = tasks.front()->spec().gang;
    if (gang && places.size() < tasks.size()) {
        return {};
    }
    const auto refused =
        std::find_if(places.begin(), places.end(), [&](const isolated_place& place) {
            return !pool.isolate(place.worker, job, gang);
        });
    places.erase(refused, places.end());
    return places;
}

// Starts the tasks of one step where no task of another job starts at about the same time. A worker
// on which one has just been started is kept for them until a later pass.
void job_scheduler::start_isolated(const std::vector<task*>& tasks, const queue_config& queue,
                                   pool_candidates& pool)
{
    const auto places = choose_isolated(tasks, queue, pool);
    if (tasks.front()->spec().gang) {
        const bool all_ready = std::all_of(places.begin(), places.end(),
                                           [](const isolated_place& place) { return place.ready; });
        if (places.size() < tasks.size() || !all_ready) {
            return;
        }
        align_gang(tasks);
    }
    for (const auto& place : places) {
        if (!place.ready) {
            continue;
        }
        start_options options;
        options.isolated = true;
        if (needs_ticket(queue)) {
            const auto& worker = pool.worker_handles[place.worker]->info().id;
            options.ticket = *advice_->ticket(step_name(*place.target), worker);
        }
        launch(*place.target, place.worker, std::move(options), pool);
    }
}

// Starts all members of the gang, or none if one of them fits nowhere.
bool job_scheduler::start_gang(const std::vector<task*>& members, pool_candidates& pool)
{
    auto candidates = pool.candidates;
    std::vector<std::size_t> chosen;
    const auto& spec = members.front()->spec();
    for (const auto* const member : members) {
        auto demand = demand_of(*member);
        if (spec.same_rack && !chosen.empty()) {
            demand.preferred_rack = candidates[chosen.front()].rack;
        }
        const auto worker = decisions::choose_worker(demand, candidates);
        if (!worker) {
            return false;
        }
        subtract_demand(candidates[*worker], spec);
        ++candidates[*worker].tasks_of_step;
        chosen.push_back(*worker);
    }
    align_gang(members);
    for (std::size_t index = 0; index < members.size(); ++index) {
        launch(*members[index], chosen[index], {}, pool);
    }
    return true;
}

bool job_scheduler::start_one(task& target, const queue_config& queue, pool_candidates& pool)
{
    const auto demand = demand_of(target);
    if (!needs_ticket(queue)) {
        const auto worker = decisions::choose_worker(demand, pool.candidates);
        if (!worker) {
            pool.unplaceable.add(demand);
            if (demand.long_running) {
                reserve_worker(demand, pool);
            }
            return false;
        }
        launch(target, *worker, {}, pool);
        return true;
    }
    std::vector<decisions::candidate_worker> allowed;
    std::vector<std::size_t> indexes;
    const auto step = step_name(target);
    for (std::size_t index = 0; index < pool.candidates.size(); ++index) {
        if (advice_->ticket(step, pool.worker_handles[index]->info().id)) {
            allowed.push_back(pool.candidates[index]);
            indexes.push_back(index);
        }
    }
    const auto worker = decisions::choose_worker(demand, allowed);
    if (!worker) {
        return false;
    }
    const auto chosen = indexes[*worker];
    start_options options;
    options.ticket = *advice_->ticket(step, pool.worker_handles[chosen]->info().id);
    launch(target, chosen, std::move(options), pool);
    return true;
}

// Keeps one worker free on which `demand` fits once enough of its tasks have ended, if there is
// one.
void job_scheduler::reserve_worker(const decisions::task_demand& demand, pool_candidates& pool)
{
    if (const auto worker = decisions::choose_reservation(demand, pool.candidates)) {
        pool.reserve(*worker);
    }
}

void job_scheduler::launch(task& target, std::size_t worker, start_options options,
                           pool_candidates& pool)
{
    subtract_demand(pool.candidates[worker], target.spec());
    ++pool.candidates[worker].tasks_of_step;
    runner_.start(target, *pool.worker_handles[worker], std::move(options));
}

} // namespace jl::jobs
