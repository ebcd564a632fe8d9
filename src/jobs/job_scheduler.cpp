#include "jobs/job_scheduler.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/log.h"
#include "decisions/fair_shares.h"
#include "decisions/job_order.h"
#include "jobs/pool_candidates.h"
#include "jobs/team_usage.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A job earns partial credit if it completes within this multiple of its objective.
constexpr int late_credit_objectives = 3;
constexpr int full_percent = 100;
// A longer backlog is of no further interest, and job specifications may hold any estimate.
constexpr auto max_backlog = 1h;

bool workers_check_capacity(const fleet_config& config, const std::string& service)
{
    const auto* const found = config.find_service(service);
    return found == nullptr || found->workers_check_capacity;
}

// Returns the time until the task has ended if it runs now or starts now, and takes `duration` from
// its start to its end.
milliseconds remaining_duration(const task& target, milliseconds duration, net::boot_time now)
{
    if (target.phase == task_phase::done) {
        return 0ms;
    }
    if (target.phase != task_phase::running) {
        return duration;
    }
    const auto reported = duration * (full_percent - target.percent) / full_percent;
    const auto since_report = std::chrono::duration_cast<milliseconds>(now - target.changed_at);
    return std::max(milliseconds(0), reported - since_report);
}

milliseconds remaining_step_duration(const step_progress& step, net::boot_time now)
{
    milliseconds longest{0};
    for (const auto& task : step.tasks) {
        longest = std::max(longest, remaining_duration(task, task.spec().estimate, now));
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

// Returns what the tasks of the job request that can start now.
task_resources waiting_demand(const job& target, net::boot_time now)
{
    task_resources total;
    for (const auto& [number, occurrence] : target.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& progress = occurrence.steps[step];
            if (progress.complete() || !target.step_ready(occurrence, step)) {
                continue;
            }
            for (const auto& task : progress.tasks) {
                if (is_waiting(task, now)) {
                    total += task.spec().request;
                }
            }
        }
    }
    return total;
}

// The teams that use or ask for a pool, with their shares of it. Jobs without a team share one.
class pool_teams {
public:
    explicit pool_teams(const teams::team_directory& teams) : teams_(teams) {}

    std::size_t index_of(const std::string& team)
    {
        const auto [found, is_new] = indexes_.emplace(team, shares_.size());
        if (is_new) {
            shares_.push_back({weight_of(team), {}});
        }
        return found->second;
    }

    void add_use(const std::string& team, const task_resources& request)
    {
        shares_[index_of(team)].used += request;
    }

    const std::vector<decisions::team_share>& shares() const { return shares_; }

private:
    // Jobs without a team have the weight of the smallest one.
    double weight_of(const std::string& team) const
    {
        if (const auto* const config = teams_.find(team)) {
            return config->weight;
        }
        double smallest = teams_.all().empty() ? 1.0 : teams_.all().front().weight;
        for (const auto& config : teams_.all()) {
            smallest = std::min(smallest, config.weight);
        }
        return smallest;
    }

    const teams::team_directory& teams_;
    std::vector<decisions::team_share> shares_;
    std::unordered_map<std::string, std::size_t> indexes_; // in `shares_`
};

// Time that the pool needs for this work.
std::chrono::nanoseconds time_for(double core_seconds, const task_resources& pool_size)
{
    if (core_seconds <= 0) {
        return 0ns;
    }
    if (pool_size.millicores <= 0) {
        return max_backlog; // no worker is left or known yet
    }
    const double cores = static_cast<double>(pool_size.millicores) / 1000.0;
    const std::chrono::duration<double> time{core_seconds / cores};
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::min<std::chrono::duration<double>>(time, max_backlog));
}

// Returns the racks of the usable workers. Workers without a rack are left out.
std::set<std::string_view> racks_of(const pool_candidates& pool)
{
    std::set<std::string_view> racks;
    for (const auto& candidate : pool.candidates) {
        if (!candidate.rack.empty()) {
            racks.insert(candidate.rack);
        }
    }
    return racks;
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
    for (const auto& [number, occurrence] : target.occurrences) {
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
    for (const auto& [number, occurrence] : target.occurrences) {
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
                             const vm_reservations& reservations, advice_book* advice,
                             job_metrics& metrics, double remote_slowdown_factor)
    : timers_(timers),
      jobs_(jobs),
      runner_(runner),
      reservations_(reservations),
      advice_(advice),
      metrics_(metrics),
      remote_slowdown_factor_(remote_slowdown_factor)
{
}

void job_scheduler::run_pass(const fleet_config& config)
{
    const auto now = timers_.now();
    backlogs_.clear();
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
    usage_.reset();
    if (config.checks_keys) {
        usage_ = team_usage(config, runner_, jobs_);
    }
    // Each pool has its turn to be the first, as a pass may end early.
    auto next = by_service.lower_bound(first_service_);
    for (std::size_t visited = 0; visited < by_service.size(); ++visited) {
        if (next == by_service.end()) {
            next = by_service.begin();
        }
        const auto& [service, jobs] = *next++;
        schedule_pool(config, jobs, pools.at(service));
        if (!runner_.accepts_orders()) {
            first_service_ = next == by_service.end() ? "" : next->first;
            return;
        }
    }
}

std::chrono::nanoseconds job_scheduler::backlog(const std::string& service) const
{
    const auto found = backlogs_.find(service);
    return found == backlogs_.end() ? 0ns : found->second;
}

bool job_scheduler::quota_allows(const job& target, const step_spec& spec, int count) const
{
    return !usage_ || usage_->allows(target.spec.team, spec.request, count);
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
    const auto order = order_pool(config, jobs, pool.now);
    if (pool.candidates.empty()) {
        return;
    }
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

std::vector<std::size_t> job_scheduler::order_pool(const fleet_config& config,
                                                   const std::vector<job*>& jobs,
                                                   net::boot_time now)
{
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
        demand.time_left = std::chrono::duration_cast<milliseconds>(target.objective - now);
        demand.late_time_left = demand.time_left + (late_credit_objectives - 1) * objective;
        demand.critical_path = remaining_critical_path(target, now);
        demand.core_seconds = remaining_core_seconds(target);
        demand.beyond_rate = target.beyond_rate;
        demands.push_back(demand);
    }
    auto order = decisions::order_jobs(demands);
    if (!config.checks_keys) {
        return order;
    }
    const auto& service = config.find_queue(jobs.front()->spec.queue)->service;
    double core_seconds = 0;
    task_resources pool_size;
    pool_teams teams(config.teams);
    // All registered workers of the pool, also those that accept no task right now.
    for (const auto& [worker, handle] : runner_.worker_handles()) {
        if (handle.info().service != service || !handle.registered || handle.session->dead()) {
            continue;
        }
        pool_size += handle.info().capacity;
        for (const auto* const assigned : handle.assigned) {
            teams.add_use(assigned->owner->spec.team, assigned->spec().request);
        }
    }
    std::vector<decisions::team_job> team_jobs;
    for (const auto index : order) {
        const auto& target = *jobs[index];
        core_seconds += demands[index].long_running ? 0.0 : demands[index].core_seconds;
        team_jobs.push_back({index, teams.index_of(target.spec.team),
                             decisions::order_rank(demands[index]), waiting_demand(target, now)});
    }
    backlogs_[service] = time_for(core_seconds, pool_size);
    return decisions::order_by_share(team_jobs, teams.shares(), pool_size);
}

void job_scheduler::start_job(job& target, const queue_config& queue, pool_candidates& pool)
{
    for (auto& [number, occurrence] : target.occurrences) {
        if (occurrence.begun_version > target.durable_version) {
            continue;
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!runner_.accepts_orders()) {
                return; // the pass goes on once they have been sent
            }
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
    if (!quota_allows(target, spec, spec.gang ? spec.count : 1)) {
        return; // before a worker is kept free for it
    }
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
        if (!runner_.accepts_orders() || !quota_allows(target, spec, 1) ||
            start_one(*task, queue, pool) == start_outcome::no_worker) {
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
    for (auto& [number, occurrence] : target.occurrences) {
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
    const auto& spec = tasks.front()->spec();
    std::vector<isolated_place> places;
    for (auto* const suspect : tasks) {
        if (!quota_allows(*suspect->owner, spec, static_cast<int>(places.size()) + 1)) {
            break;
        }
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

std::vector<std::size_t> job_scheduler::place_gang(const std::vector<task*>& members,
                                                   std::string_view rack,
                                                   const pool_candidates& pool)
{
    auto candidates = pool.candidates;
    std::vector<std::size_t> chosen;
    const auto& spec = members.front()->spec();
    if (!rack.empty()) {
        for (auto& candidate : candidates) {
            if (candidate.rack != rack) {
                candidate.free_memory_mb = -1; // excludes the worker
            }
        }
    }
    for (const auto* const member : members) {
        auto demand = demand_of(*member);
        if (spec.same_rack && !chosen.empty()) {
            demand.preferred_rack = candidates[chosen.front()].rack;
        }
        const auto worker = decisions::choose_worker(demand, candidates);
        if (!worker) {
            return {};
        }
        subtract_demand(candidates[*worker], spec);
        ++candidates[*worker].tasks_of_step;
        chosen.push_back(*worker);
    }
    return chosen;
}

std::vector<std::size_t> job_scheduler::place_gang_on_one_rack(const std::vector<task*>& members,
                                                               const pool_candidates& pool)
{
    const auto& preferred = members.front()->spec().preferred_rack;
    auto chosen =
        preferred.empty() ? std::vector<std::size_t>() : place_gang(members, preferred, pool);
    for (const auto rack : racks_of(pool)) {
        if (!chosen.empty()) {
            break;
        }
        chosen = place_gang(members, rack, pool);
    }
    return chosen;
}

// Starts all members of the gang, or none if one of them fits nowhere.
void job_scheduler::start_gang(const std::vector<task*>& members, pool_candidates& pool)
{
    const bool same_rack = members.front()->spec().same_rack;
    auto chosen = same_rack ? place_gang_on_one_rack(members, pool) : std::vector<std::size_t>();
    const bool on_one_rack = !chosen.empty();
    if (!on_one_rack) {
        chosen = place_gang(members, "", pool);
    }
    if (chosen.empty() || (same_rack && !on_one_rack && gang_should_wait_for_rack(members, pool))) {
        return;
    }
    align_gang(members);
    for (std::size_t index = 0; index < members.size(); ++index) {
        launch(*members[index], chosen[index], {}, pool);
        // A gang that spans racks runs at the speed of a task outside its preferred rack.
        members[index]->on_remote_rack =
            members[index]->on_remote_rack || (same_rack && !on_one_rack);
    }
}

milliseconds job_scheduler::expected_duration(const task& target) const
{
    const auto& spec = target.spec();
    return durations_.expected(target.owner->spec.queue, spec.image, spec.estimate);
}

void job_scheduler::note_task_done(const task& ended)
{
    const bool whole_run_seen = ended.start_sent && !runner_.started_by_former_leader(ended) &&
                                ended.checkpoint.empty() && ended.pace == full_percent;
    if (!whole_run_seen) {
        return;
    }
    const std::chrono::duration<double, std::milli> actual = timers_.now() - ended.start_sent_at;
    const double factor = ended.on_remote_rack ? remote_slowdown_factor_ : 1.0;
    durations_.record(ended.owner->spec.queue, ended.spec().image, ended.spec().estimate,
                      milliseconds(static_cast<std::int64_t>(actual.count() / factor)));
}

// Covers the tasks that end by themselves. What is free on a worker counts with the end of one task
// there, and not at once: for a single task it was too little. Workers on which nothing ends do not
// count, so a gang may be spread over racks although some of its members would fit on one.
decisions::rack_forecast& job_scheduler::forecast_of(std::string_view rack,
                                                     pool_candidates& pool) const
{
    const auto [found, is_new] = pool.rack_forecasts.try_emplace(rack);
    auto& forecast = found->second;
    if (!is_new) {
        return forecast;
    }
    for (std::size_t index = 0; index < pool.candidates.size(); ++index) {
        const auto& candidate = pool.candidates[index];
        if (candidate.rack != rack || !candidate.isolated_job.empty()) {
            continue;
        }
        task_resources free{std::max<std::int64_t>(0, candidate.free_millicores),
                            std::max<std::int64_t>(0, candidate.free_memory_mb),
                            std::max<std::int64_t>(0, candidate.free_accelerators)};
        for (const auto* const assigned : pool.worker_handles[index]->assigned) {
            if (assigned->spec().long_running) {
                continue;
            }
            auto amount = occupied_resources(assigned->spec());
            amount += std::exchange(free, {});
            const double factor = assigned->on_remote_rack ? remote_slowdown_factor_ : 1.0;
            const milliseconds duration(static_cast<std::int64_t>(
                static_cast<double>(expected_duration(*assigned).count()) * factor));
            forecast.add_end(remaining_duration(*assigned, duration, pool.now), amount);
        }
    }
    return forecast;
}

bool job_scheduler::begins_or_continues_wait(task& target,
                                             std::optional<std::chrono::nanoseconds> rack_wait,
                                             net::boot_time now)
{
    const bool waits_already = target.rack_wait_since != net::boot_time{};
    const auto& spec = target.owner->spec;
    decisions::locality_choice choice;
    choice.preferred_duration = expected_duration(target);
    choice.remote_factor = remote_slowdown_factor_;
    choice.preferred_wait = rack_wait;
    choice.waited = waits_already ? now - target.rack_wait_since : 0ns;
    choice.time_left = target.owner->objective - now;
    choice.later_steps =
        critical_paths(spec)[static_cast<std::size_t>(target.step)] - target.spec().estimate;
    if (!decisions::waits_for_preferred_rack(choice)) {
        return false;
    }
    if (!waits_already) {
        target.rack_wait_since = now;
        log_event(
            log_level::info, "task.waits_for_rack",
            {{"task", target.name().to_string()},
             {"rack", target.spec().preferred_rack},
             {"expected_ms",
              std::to_string(std::chrono::duration_cast<milliseconds>(*rack_wait).count())},
             {"duration_ms",
              std::to_string(
                  std::chrono::duration_cast<milliseconds>(choice.preferred_duration).count())}});
    }
    return true;
}

bool job_scheduler::should_wait_for_rack(task& target, const decisions::candidate_worker& worker,
                                         pool_candidates& pool)
{
    const auto& spec = target.spec();
    const bool remote = !spec.preferred_rack.empty() && worker.rack != spec.preferred_rack;
    if (!remote || spec.long_running || remote_slowdown_factor_ <= 1.0) {
        return false;
    }
    auto& forecast = forecast_of(spec.preferred_rack, pool);
    if (!begins_or_continues_wait(target, forecast.time_until_free(spec.request), pool.now)) {
        return false;
    }
    forecast.claim(spec.request);
    return true;
}

bool job_scheduler::gang_should_wait_for_rack(const std::vector<task*>& members,
                                              pool_candidates& pool)
{
    if (remote_slowdown_factor_ <= 1.0 || members.front()->spec().long_running) {
        return false;
    }
    task_resources total;
    for (const auto* const member : members) {
        total += member->spec().request;
    }
    std::optional<std::chrono::nanoseconds> shortest;
    decisions::rack_forecast* earliest = nullptr;
    for (const auto rack : racks_of(pool)) {
        auto& forecast = forecast_of(rack, pool);
        const auto wait = forecast.time_until_free(total);
        if (wait && (!shortest || *wait < *shortest)) {
            shortest = wait;
            earliest = &forecast;
        }
    }
    if (!begins_or_continues_wait(*members.front(), shortest, pool.now)) {
        return false;
    }
    earliest->claim(total);
    return true;
}

job_scheduler::start_outcome job_scheduler::start_one(task& target, const queue_config& queue,
                                                      pool_candidates& pool)
{
    const auto demand = demand_of(target);
    if (!needs_ticket(queue)) {
        const auto worker = decisions::choose_worker(demand, pool.candidates);
        if (!worker) {
            pool.unplaceable.add(demand);
            if (demand.long_running) {
                reserve_worker(demand, pool);
            }
            return start_outcome::no_worker;
        }
        if (should_wait_for_rack(target, pool.candidates[*worker], pool)) {
            return start_outcome::waits_for_rack;
        }
        launch(target, *worker, {}, pool);
        return start_outcome::started;
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
        return start_outcome::no_worker;
    }
    const auto chosen = indexes[*worker];
    start_options options;
    options.ticket = *advice_->ticket(step, pool.worker_handles[chosen]->info().id);
    launch(target, chosen, std::move(options), pool);
    return start_outcome::started;
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
    const auto& preferred_rack = target.spec().preferred_rack;
    target.on_remote_rack =
        !preferred_rack.empty() && pool.candidates[worker].rack != preferred_rack;
    if (target.rack_wait_since != net::boot_time{}) {
        metrics_.record_locality_wait(target.on_remote_rack ? "remote" : "preferred",
                                      pool.now - target.rack_wait_since);
        target.rack_wait_since = {};
    }
    if (usage_) {
        usage_->add(target.owner->spec.team, target.spec().request);
    }
    runner_.start(target, *pool.worker_handles[worker], std::move(options));
}

} // namespace jl::jobs
