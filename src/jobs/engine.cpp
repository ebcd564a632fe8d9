#include "jobs/engine.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/capacity_manager.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order_log.h"
#include "jobs/wave_manager.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Long enough to bridge a change of leaders: the last renewal may be one hold old, the former
// leader's own lease takes two seconds to end, and the next one half a second to begin. Each task
// on a worker that is lost waits for it to lapse, so it is no longer than that.
constexpr auto longest_lease = 4500ms;

runner_settings make_runner_settings(const engine_settings& settings, const leader_record& leader,
                                     std::function<bool()> may_act)
{
    runner_settings result;
    result.session.may_act = std::move(may_act);
    result.session.lease = std::min(settings.max_lease, milliseconds(longest_lease));
    result.session.previous_leader_lease = result.session.lease + settings.leader_ttl;
    result.stop_time = settings.stop_time;
    result.term = leader.term;
    result.token = leader.token;
    return result;
}

} // namespace

engine::engine(net::timer_service& timers, engine_ports ports, engine_settings settings,
               const leader_record& leader, std::function<bool()> may_act,
               std::function<void(const std::string&)> fenced)
    : timers_(timers),
      ports_(ports),
      settings_(settings),
      leader_(leader),
      may_act_(std::move(may_act)),
      fenced_(std::move(fenced)),
      roster_([this](const std::string& key) { writer_->mark(key); })
{
    record_writer::callbacks callbacks;
    callbacks.encode = [this](const std::string& key) { return encode_record(key); };
    callbacks.durable = [this](const std::string& key, std::int64_t version) {
        on_durable(key, version);
    };
    callbacks.write_failed = [this](store_error reason) {
        ports_.metrics->store_write_failed(reason);
    };
    callbacks.batch_done = [this] { runner_->acknowledge_durable(); };
    callbacks.fenced = [this] { this->fenced("the store"); };
    writer_ = std::make_unique<record_writer>(timers_, *ports_.store,
                                              store_condition{leadership::leader_key, leader.token},
                                              std::move(callbacks));
    runner_ = std::make_unique<task_runner>(timers_, *ports_.workers, jobs_,
                                            static_cast<task_listener&>(*this), *ports_.metrics,
                                            make_runner_settings(settings_, leader, may_act_));
    if (ports_.advisor != nullptr) {
        advice_ = std::make_unique<advice_book>(timers_, *ports_.advisor, [this] { tick_soon(); });
    }
    scheduler_ =
        std::make_unique<job_scheduler>(timers_, jobs_, *runner_, reservations_, advice_.get());
    if (ports_.vms != nullptr) {
        make_vm_managers();
    }
    load();
}

void engine::make_vm_managers()
{
    vm_orders_ = std::make_unique<vm_order_log>(
        timers_, settings_.vm_order_interval, [this] { writer_->mark(vm_order_log::key); },
        [this] { manage_vms(); });
    const auto may_order = [this](const std::string& vm) {
        return may_act_() && vm_orders_->may_order(vm);
    };
    vms_ = std::make_unique<vm_directory>(timers_, *ports_.vms, *runner_);
    waves_ = std::make_unique<wave_manager>(
        timers_, *ports_.vms, *vms_, *ports_.store, *ports_.documents, *runner_, reservations_,
        leader_, may_order, may_act_, [this](const task& target) {
            return config_ && scheduler_->fits_elsewhere(target, *config_);
        });
    capacity_ =
        std::make_unique<capacity_manager>(timers_, *ports_.vms, *vms_, reservations_, jobs_,
                                           leader_.token, settings_.move_time, may_order);
}

engine::~engine()
{
    *alive_ = false;
    timers_.cancel(tick_timer_);
    timers_.cancel(housekeeping_timer_);
    for (auto& [id, target] : jobs_.all()) {
        for (auto& waiter : target->waiters) {
            waiter(false);
        }
    }
}

bool engine::ready() const
{
    return loaded_ && config_.has_value() && workers_ != nullptr &&
           workers_->last_sync() != net::boot_time{};
}

bool engine::settled() const
{
    return writer_->idle();
}

const fleet_config* engine::config() const
{
    return config_ ? &*config_ : nullptr;
}

// --- Callers -----------------------------------------------------------------------------------

void engine::submit(job_spec spec, std::function<void(submit_outcome)> done)
{
    const auto answer = [this, done, queue = spec.queue, received = timers_.now()](bool durable) {
        ports_.metrics->submission(queue, durable ? "accepted" : "unknown",
                                   timers_.now() - received);
        done(durable ? submit_outcome::accepted : submit_outcome::unknown);
    };
    if (auto* const known = jobs_.find(spec.id)) {
        if (known->durable()) {
            done(submit_outcome::accepted);
        }
        else {
            known->waiters.emplace_back(answer);
        }
        return;
    }
    if (writer_->stalled()) {
        // It would only wait for its deadline.
        ports_.metrics->submission(spec.queue, "unavailable", 0ns);
        done(submit_outcome::unavailable);
        return;
    }
    const auto* const queue = config_->find_queue(spec.queue);
    auto& target = jobs_.insert(std::move(spec));
    target.accepted = timers_.wall_now();
    target.objective = timers_.now() + objective_of(*queue, target.spec);
    target.services = {queue->service};
    if (!target.spec.timed()) {
        begin_occurrence(target);
    }
    target.waiters.emplace_back(answer);
    if (capacity_) {
        capacity_->note_arrival(queue->service, target);
    }
    log_event(log_level::info, "job.submitted",
              {{"job", target.spec.id},
               {"queue", target.spec.queue},
               {"steps", std::to_string(target.spec.steps.size())},
               {"config", std::to_string(config_->version)}});
    writer_->mark(job_prefix + target.spec.id);
}

std::optional<job_state> engine::state(const std::string& id) const
{
    const auto found = jobs_.all().find(id);
    if (found == jobs_.all().end()) {
        return std::nullopt;
    }
    const auto& target = *found->second;
    if (target.durable_state == job_state::queued && target.any_started) {
        return job_state::running;
    }
    return target.durable_state;
}

void engine::cancel(const std::string& id, std::function<void(cancel_outcome)> done)
{
    auto* const target = jobs_.find(id);
    if (target == nullptr) {
        done(cancel_outcome::no_such_job);
        return;
    }
    if (target->active()) {
        log_event(log_level::info, "job.cancel", {{"job", id}, {"queue", target->spec.queue}});
        finish(*target, job_state::cancelled);
    }
    if (target->durable_version >= target->version) {
        done(cancel_outcome::cancelled);
        return;
    }
    target->waiters.emplace_back([done = std::move(done)](bool durable) {
        done(durable ? cancel_outcome::cancelled : cancel_outcome::unknown);
    });
}

std::size_t engine::waiting(const std::string& queue) const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.active().begin(), jobs_.active().end(), [&](const job* target) {
            return target->spec.queue == queue && target->active() && target->durable() &&
                   !target->spec.timed() && !target->any_started;
        }));
}

// --- Tasks -------------------------------------------------------------------------------------

std::int64_t engine::on_task_done(task& ended)
{
    auto& target = *ended.owner;
    auto& step = *ended.siblings;
    if (ended.spec().gang) {
        // One end stands for all members.
        for (auto& member : step.tasks) {
            runner_->detach(member);
            member.phase = task_phase::done;
        }
        step.done = static_cast<int>(step.tasks.size());
    }
    else {
        ++step.done;
    }
    step.done_version = target.version + 1;
    target.any_started = true;
    const auto version = record_change(target);
    settle_occurrence(target);
    tick_soon();
    return version;
}

void engine::settle_occurrence(job& target)
{
    if (target.spec.timed()) {
        target.occurrences.remove_if([](const auto& occurrence) { return occurrence.complete(); });
        if (target.occurrences.empty() && target.next_occurrence >= target.spec.occurrences) {
            finish(target, job_state::completed);
        }
        return;
    }
    if (!target.occurrences.empty() && target.occurrences.front().complete()) {
        finish(target, job_state::completed);
    }
}

std::int64_t engine::on_task_failed(task& ended, std::int64_t run)
{
    auto& target = *ended.owner;
    if (ended.spec().long_running) {
        return 0; // restarted without limit
    }
    if (!ended.failed_runs.insert(run).second) {
        return target.version; // counted before a change of leaders
    }
    const auto version = record_change(target);
    fail_exhausted(target);
    return version;
}

// Fails the job if a task has used all its attempts.
void engine::fail_exhausted(job& target)
{
    const auto* const queue = config_ ? config_->find_queue(target.spec.queue) : nullptr;
    if (queue == nullptr || !target.active()) {
        return;
    }
    for (const auto& occurrence : target.occurrences) {
        for (const auto& step : occurrence.steps) {
            for (const auto& task : step.tasks) {
                if (task.phase == task_phase::done ||
                    static_cast<int>(task.failed_runs.size()) < queue->max_attempts) {
                    continue;
                }
                log_event(log_level::info, "job.failed",
                          {{"job", target.spec.id},
                           {"task", task.name().to_string()},
                           {"failures", std::to_string(task.failed_runs.size())}});
                finish(target, job_state::failed);
                return;
            }
        }
    }
}

void engine::on_ticket_rejected(task& refused)
{
    if (advice_) {
        advice_->discard_ticket(step_name(refused), refused.worker);
    }
}

void engine::on_task_released(task& released)
{
    if (released.spec().gang) {
        release_gang(released);
    }
    tick_soon();
}

// The other members of a gang wait in vain for one that has ended.
void engine::release_gang(task& member)
{
    for (auto& other : member.siblings->tasks) {
        if (&other != &member) {
            runner_->stop(other, "another member of its gang has ended");
        }
    }
}

void engine::on_worker_report(worker_handle& handle)
{
    if (may_act_()) {
        control_pace(handle);
    }
}

void engine::on_workers_changed()
{
    tick_soon();
}

void engine::fenced(const std::string& worker)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    fenced_("a newer leader was seen by " + worker);
}

void engine::finish(job& target, job_state state)
{
    if (!target.active()) {
        return;
    }
    target.state = state;
    target.finished_at = timers_.now();
    ports_.metrics->job_finished(target.spec.queue, state, timers_.wall_now() - target.accepted);
    record_change(target);
}

void engine::stop_tasks(job& target, const char* reason)
{
    for (auto& occurrence : target.occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& task : step.tasks) {
                runner_->stop(task, reason);
            }
        }
    }
}

} // namespace jl::jobs
