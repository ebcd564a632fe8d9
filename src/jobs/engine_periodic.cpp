// The periodic work of the engine: starts occurrences and tasks that are due, manages VMs and
// removes finished jobs.

#include <algorithm>
#include <utility>

#include "decisions/filler_pace.h"
#include "jobs/capacity_manager.h"
#include "jobs/engine.h"
#include "jobs/team_usage.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order_log.h"
#include "jobs/wave_manager.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto min_tick_interval = 8ms;
// Minimum time between the starts of two ticks, as a multiple of the duration of the last one. This
// leaves most of the CPU to messages from workers and callers, however large the fleet is.
constexpr int tick_interval_factor = 4;
constexpr auto housekeeping_interval = 100ms;
constexpr auto team_usage_interval = 5s; // of the metrics
// Tasks of due occurrences that are created in one tick.
constexpr std::int64_t max_new_tasks_per_tick = 500;
// The record of a finished job is kept for this time beyond the required `status_retention`.
constexpr auto retention_margin = 20s;

} // namespace

void engine::schedule_tick()
{
    if (tick_timer_ != 0 || newer_leader_seen_) {
        return;
    }
    const auto earliest =
        last_tick_ + std::max<net::boot_clock::duration>(
                         min_tick_interval, last_tick_duration_ * tick_interval_factor);
    const auto now = timers_.now();
    tick_timer_ = timers_.call_after(earliest > now ? earliest - now : 0ns, [this] {
        tick_timer_ = 0;
        tick();
    });
}

void engine::tick()
{
    last_tick_ = timers_.now();
    if (!ready() || !may_act_()) {
        return;
    }
    stop_tasks_of_ended_jobs();
    begin_due_occurrences();
    requeue_resolved_tasks();
    scheduler_->run_pass(*config_);
    last_tick_duration_ = timers_.now() - last_tick_;
}

// Limits the occurrences of a job that run at the same time, because each takes memory and space in
// the job's record. Occurrences beyond the limit start when earlier ones have ended.
bool engine::may_begin_occurrence(const job& job)
{
    const auto in_progress = static_cast<std::int64_t>(job.occurrences.size());
    return job.occurrences.empty() ||
           (in_progress < max_overlapping_occurrences &&
            task_count(job.spec) * (in_progress + 1) <= max_tasks_per_job);
}

void engine::begin_due_occurrences()
{
    auto task_budget = max_new_tasks_per_tick;
    const auto& active = jobs_.active();
    auto next = active.lower_bound(first_scheduled_job_);
    for (std::size_t visited = 0; visited < active.size(); ++visited) {
        if (next == active.end()) {
            next = active.begin();
        }
        auto& visited_job = **next++;
        if (!begin_due_occurrences(visited_job, task_budget)) {
            first_scheduled_job_ = next == active.end() ? nullptr : *next;
            schedule_tick();
            return;
        }
    }
}

bool engine::begin_due_occurrences(job& job, std::int64_t& task_budget)
{
    if (!job.spec.has_schedule() || !job.active() || !job.durable()) {
        return true;
    }
    const auto now = to_unix(timers_.wall_now());
    const auto tasks = task_count(job.spec);
    while (job.next_occurrence < job.spec.occurrences &&
           due_time(job.spec, job.next_occurrence) <= now && may_begin_occurrence(job)) {
        if (task_budget <= 0) {
            return false;
        }
        task_budget -= tasks;
        auto& occurrence = begin_occurrence(job);
        occurrence.begun_version = record_change(job);
    }
    return true;
}

// Puts unresolved tasks of a former leader back into the queue. Once all workers that might run
// such a task have reported or their leases have expired, a task that no worker has reported runs
// nowhere.
void engine::requeue_resolved_tasks()
{
    if (!has_unresolved_tasks_) {
        return;
    }
    has_unresolved_tasks_ = false;
    const auto unresolved_services = runner_->unresolved_services();
    const auto& unseen_losses = runner_->services_with_unseen_losses();
    for (auto* const job : jobs_.active()) {
        const bool resolved =
            std::none_of(job->services.begin(), job->services.end(), [&](const auto& service) {
                return unresolved_services.count(service) != 0;
            });
        const bool worker_lost_unseen =
            std::any_of(job->services.begin(), job->services.end(),
                        [&](const auto& service) { return unseen_losses.count(service) != 0; });
        for_each_task(*job, [&](task& target) {
            if (target.phase != task_phase::unresolved) {
                return;
            }
            if (resolved) {
                target.phase = task_phase::waiting;
                target.maybe_crashed_unseen = worker_lost_unseen;
            }
            else {
                has_unresolved_tasks_ = true;
            }
        });
    }
}

void engine::run_housekeeping()
{
    housekeeping_timer_ = timers_.call_after(housekeeping_interval, [this] { run_housekeeping(); });
    refuse_overdue_submissions();
    if (!may_act_()) {
        return;
    }
    retire_finished_jobs();
    record_ended_leases();
    ports_.metrics->set_active_jobs(jobs_.active().size(), runner_->worker_handles().size());
    if (ready()) {
        relocate_long_running_tasks();
        manage_vms();
        publish_team_usage();
    }
    for (const auto& worker : runner_->forget_unregistered()) {
        roster_.erase(worker);
    }
    tick();
}

void engine::publish_team_usage()
{
    const auto now = timers_.now();
    if (!config_->checks_keys || now < team_usage_published_at_ + team_usage_interval) {
        return;
    }
    team_usage_published_at_ = now;
    const auto usage = team_usage(*config_, *runner_, jobs_);
    for (const auto& team : config_->teams.all()) {
        ports_.metrics->set_team_usage(team.name, usage.used(team.name), team.quota);
    }
}

void engine::manage_vms()
{
    if (!vm_directory_ || !ready() || !may_act_()) {
        return;
    }
    vm_directory_->refresh();
    wave_manager_->step();
    capacity_manager_->step(*config_);
}

// Removes jobs that have ended from the set of active jobs once none of their tasks is on a worker,
// and deletes their records after the retention time.
void engine::retire_finished_jobs()
{
    std::vector<std::string> expired;
    const auto now = timers_.now();
    for (auto& [id, job] : jobs_.all()) {
        if (job->active() || job->durable_version < job->version) {
            continue;
        }
        bool busy = false;
        for_each_task(*job, [&](task& target) { busy = busy || target.on_worker(); });
        if (busy) {
            stop_all_tasks(*job, "the job has ended");
            continue;
        }
        if (jobs_.active().erase(job.get()) != 0) {
            discard_advice(*job);
            job->occurrences.clear();
            job->spec.payload.clear();
            job->spec.steps.clear();
        }
        if (now - job->finished_at > settings_.status_retention + retention_margin) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        jobs_.erase(id);
        writer_->mark_dirty(job_prefix + id);
    }
}

void engine::discard_advice(const job& ended)
{
    if (!advice_book_) {
        return;
    }
    for (const auto& [number, occurrence] : ended.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (!step.tasks.empty()) {
                advice_book_->forget(step_name(step.tasks.front()));
            }
        }
    }
}

// Stops long-running tasks on draining workers if they can run elsewhere; they would not end on
// their own before the worker shuts down.
void engine::relocate_long_running_tasks()
{
    for (auto& [worker, handle] : runner_->worker_handles()) {
        if (!handle.info().draining) {
            continue;
        }
        const auto assigned = handle.assigned;
        for (auto* const task : assigned) {
            if (task->spec().long_running && task->phase == task_phase::running &&
                scheduler_->fits_elsewhere(*task, *config_)) {
                runner_->stop(*task, "its worker is draining");
            }
        }
    }
}

// Sets the pace of the filler tasks on the worker: they slow down while other tasks there come
// close to their latency target.
void engine::adjust_filler_pace(worker_handle& handle)
{
    double latency_ratio = 0;
    for (const auto* const task : handle.assigned) {
        const auto latency_target = task->spec().latency_target;
        if (latency_target > 0ms && task->phase == task_phase::running) {
            latency_ratio =
                std::max(latency_ratio, task->load / static_cast<double>(latency_target.count()));
        }
    }
    for (auto* const task : handle.assigned) {
        if (task->spec().filler && task->phase == task_phase::running) {
            runner_->set_pace(*task, decisions::next_filler_pace(latency_ratio, task->pace));
        }
    }
}

} // namespace jl::jobs
