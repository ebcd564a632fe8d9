// What the engine does from time to time: it starts what is due, and retires what has ended.

#include <algorithm>
#include <utility>

#include "decisions/filler_pace.h"
#include "jobs/capacity_manager.h"
#include "jobs/engine.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order_log.h"
#include "jobs/wave_manager.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 8ms;
// Time between the beginnings of two ticks, in multiples of what the last one took: the ticks leave
// most of the processor to what arrives from workers and callers, however large the fleet.
constexpr int tick_spacing = 4;
constexpr auto housekeeping_interval = 100ms;
// Records of finished jobs are removed this long after the time that their state must be known.
constexpr auto retention_slack = 20s;

} // namespace

void engine::tick_soon()
{
    if (tick_timer_ != 0 || ended_) {
        return;
    }
    const auto earliest = last_tick_ + std::max<net::boot_clock::duration>(
                                           tick_interval, last_tick_took_ * tick_spacing);
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
    begin_due_occurrences();
    resolve_tasks();
    scheduler_->pass(*config_);
    last_tick_took_ = timers_.now() - last_tick_;
}

// Occurrences that are due faster than they end wait their turn: each takes memory and room in the
// job's record.
bool engine::may_begin_another(const job& target)
{
    std::int64_t tasks = 0;
    for (const auto& step : target.spec.steps) {
        tasks += step.count;
    }
    return tasks * static_cast<std::int64_t>(target.occurrences.size() + 1) <= max_tasks_per_job;
}

void engine::begin_due_occurrences()
{
    const auto now = to_unix(timers_.wall_now());
    for (auto* const target : jobs_.active()) {
        if (!target->spec.timed() || !target->active() || !target->durable()) {
            continue;
        }
        while (target->next_occurrence < target->spec.occurrences &&
               due_time(target->spec, target->next_occurrence) <= now &&
               (target->occurrences.empty() || may_begin_another(*target))) {
            auto& occurrence = begin_occurrence(*target);
            occurrence.begun_version = record_change(*target);
        }
    }
}

// Tasks of a former leader that no worker told of run nowhere, once all workers that might have run
// them have answered or their leases have lapsed.
void engine::resolve_tasks()
{
    if (!unresolved_) {
        return;
    }
    unresolved_ = false;
    const auto unresolved_services = runner_->unresolved_services();
    for (auto* const target : jobs_.active()) {
        const bool resolved = std::none_of(
            target->services.begin(), target->services.end(),
            [&](const auto& service) { return unresolved_services.count(service) != 0; });
        for (auto& occurrence : target->occurrences) {
            for (auto& step : occurrence.steps) {
                for (auto& task : step.tasks) {
                    if (task.phase != task_phase::unresolved) {
                        continue;
                    }
                    if (resolved) {
                        task.phase = task_phase::waiting;
                    }
                    else {
                        unresolved_ = true;
                    }
                }
            }
        }
    }
}

void engine::housekeeping()
{
    housekeeping_timer_ = timers_.call_after(housekeeping_interval, [this] { housekeeping(); });
    if (!may_act_()) {
        return;
    }
    retire_finished();
    ports_.metrics->active_jobs(jobs_.active().size(), runner_->worker_handles().size());
    if (ready()) {
        relocate_from_draining();
        manage_vms();
    }
    for (const auto& worker : runner_->forget_unregistered()) {
        roster_.erase(worker);
    }
    tick();
}

void engine::manage_vms()
{
    if (!vms_ || !ready() || !may_act_()) {
        return;
    }
    vms_->refresh();
    waves_->step();
    capacity_->step(*config_);
}

// Takes jobs that have ended out of the schedule once nothing of them runs, and forgets them after
// the time for which their state must be known.
void engine::retire_finished()
{
    std::vector<std::string> expired;
    const auto now = timers_.now();
    for (auto& [id, target] : jobs_.all()) {
        if (target->active() || target->durable_version < target->version) {
            continue;
        }
        bool busy = false;
        for (auto& occurrence : target->occurrences) {
            for (auto& step : occurrence.steps) {
                for (auto& task : step.tasks) {
                    if (task.on_worker()) {
                        busy = true;
                        runner_->stop(task, "the job has ended");
                    }
                }
            }
        }
        if (busy) {
            continue;
        }
        if (jobs_.active().erase(target.get()) != 0) {
            forget_advice(*target);
            target->occurrences.clear();
            target->spec.payload.clear();
            target->spec.steps.clear();
        }
        if (now - target->finished_at > settings_.status_retention + retention_slack) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        jobs_.erase(id);
        writer_->mark(job_prefix + id);
    }
}

void engine::forget_advice(const job& ended)
{
    if (!advice_) {
        return;
    }
    for (const auto& occurrence : ended.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (!step.tasks.empty()) {
                advice_->forget(step_name(step.tasks.front()));
            }
        }
    }
}

// Long-running tasks leave a worker that is about to go.
void engine::relocate_from_draining()
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

// Slows tasks that fill down while tasks beside them come near their latency target.
void engine::control_pace(worker_handle& handle)
{
    double latency_ratio = 0;
    for (const auto* const task : handle.assigned) {
        const auto target = task->spec().latency_target;
        if (target > 0ms && task->phase == task_phase::running) {
            latency_ratio =
                std::max(latency_ratio, task->load / static_cast<double>(target.count()));
        }
    }
    for (auto* const task : handle.assigned) {
        if (task->spec().filler && task->phase == task_phase::running) {
            runner_->set_pace(*task, decisions::next_filler_pace(latency_ratio, task->pace));
        }
    }
}

} // namespace jl::jobs
