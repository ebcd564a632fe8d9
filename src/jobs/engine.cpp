#include "jobs/engine.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/capacity_manager.h"
#include "jobs/crash_report.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order_log.h"
#include "jobs/wave_manager.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Upper limit of the lease that the leader requests from workers. It must outlast a change of
// leaders: the last renewal may be as old as one hold request, the former leader's own lease takes
// two seconds to expire, and the next leader needs half a second to start. It is no longer than
// that because each task on a lost worker has to wait until the lease has expired before it can
// restart.
constexpr auto lease_limit = 4500ms;

runner_settings make_runner_settings(const engine_settings& settings, const leader_record& leader,
                                     std::function<bool()> may_act)
{
    runner_settings result;
    result.session.may_act = std::move(may_act);
    result.session.max_lease = settings.max_lease;
    result.session.lease = std::min(settings.max_lease, milliseconds(lease_limit));
    result.session.previous_leader_time = settings.leader_ttl;
    result.session.previous_leader_lease = result.session.lease + settings.leader_ttl;
    result.stop_time = settings.stop_time;
    result.term = leader.term;
    result.token = leader.token;
    return result;
}

template <typename Range, typename Function>
std::string join(const Range& values, Function to_text)
{
    std::string text;
    for (const auto& value : values) {
        text += (text.empty() ? "" : ",") + to_text(value);
    }
    return text;
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
      roster_([this](const std::string& key) { writer_->mark_dirty(key); })
{
    record_writer::callbacks callbacks;
    callbacks.encode = [this](const std::string& key) { return encode_record(key); };
    callbacks.durable = [this](const std::string& key, std::int64_t version) {
        on_record_durable(key, version);
    };
    callbacks.write_failed = [this](store_error reason) {
        ports_.metrics->record_failed_store_write(reason);
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
        advice_book_ =
            std::make_unique<advice_book>(timers_, *ports_.advisor, [this] { schedule_tick(); });
    }
    scheduler_ =
        std::make_unique<job_scheduler>(timers_, jobs_, *runner_, reservations_, advice_book_.get(),
                                        *ports_.metrics, settings_.remote_slowdown_factor);
    if (ports_.vms != nullptr) {
        create_vm_managers();
    }
    load_records();
}

void engine::create_vm_managers()
{
    vm_orders_ = std::make_unique<vm_order_log>(
        timers_, settings_.vm_order_interval, [this] { writer_->mark_dirty(vm_order_log::key); },
        [this] { manage_vms(); });
    vm_directory_ = std::make_unique<vm_directory>(timers_, *ports_.vms, *runner_);
    wave_manager_ = std::make_unique<wave_manager>(
        timers_, *ports_.vms, *vm_directory_, *ports_.store, *ports_.documents, *runner_,
        reservations_, leader_, *vm_orders_, may_act_, [this](const task& candidate) {
            return config_ && scheduler_->fits_elsewhere(candidate, *config_);
        });
    capacity_manager_ =
        std::make_unique<capacity_manager>(timers_, *ports_.vms, *vm_directory_, reservations_,
                                           jobs_, leader_.token, settings_.move_time, *vm_orders_);
}

engine::~engine()
{
    *alive_ = false;
    timers_.cancel(tick_timer_);
    timers_.cancel(housekeeping_timer_);
    for (auto& [id, job] : jobs_.all()) {
        for (auto& waiter : job->durability_callbacks) {
            waiter(false);
        }
    }
    for (const auto& submission : held_submissions_) {
        refuse(submission.submitted.spec, submission.received, submission.done);
    }
}

bool engine::ready() const
{
    return records_loaded_ && config_.has_value() && worker_registrations_ != nullptr &&
           worker_registrations_->last_sync() != net::boot_time{};
}

bool engine::all_records_written() const
{
    return writer_->all_written();
}

const fleet_config* engine::config() const
{
    return config_ ? &*config_ : nullptr;
}

// --- Tasks -------------------------------------------------------------------------------------

std::int64_t engine::on_task_done(task& ended)
{
    auto& job = *ended.owner;
    auto& step = *ended.owning_step;
    scheduler_->note_task_done(ended);
    if (ended.spec().gang) {
        // The end of one member completes the whole gang.
        for (auto& member : step.tasks) {
            runner_->detach(member);
            member.phase = task_phase::done;
        }
        step.done = static_cast<int>(step.tasks.size());
    }
    else {
        ++step.done;
    }
    step.done_version = job.version + 1;
    job.any_started = true;
    const auto version = record_change(job);
    finish_if_complete(job, ended.occurrence);
    schedule_tick();
    return version;
}

void engine::finish_if_complete(job& job, int occurrence)
{
    const auto ended = job.occurrences.find(occurrence);
    if (ended == job.occurrences.end() || !ended->second.complete()) {
        return;
    }
    if (job.spec.has_schedule()) {
        job.occurrences.erase(ended);
        if (job.occurrences.empty() && job.next_occurrence >= job.spec.occurrences) {
            finish(job, job_state::completed);
        }
        return;
    }
    finish(job, job_state::completed);
}

std::int64_t engine::on_task_failed(task& ended, std::int64_t run)
{
    auto& job = *ended.owner;
    if (ended.spec().long_running) {
        return 0; // long-running tasks are restarted without limit
    }
    if (!ended.failed_runs.insert(run).second) {
        return job.version; // a former leader has already counted this failure
    }
    const auto version = record_change(job);
    fail_if_attempts_exhausted(job);
    return version;
}

// Fails the job if one of its tasks has used all attempts that its queue allows.
void engine::fail_if_attempts_exhausted(job& job)
{
    const auto* const queue = config_ ? config_->find_queue(job.spec.queue) : nullptr;
    if (queue == nullptr || !job.active()) {
        return;
    }
    const auto* const exhausted = find_task_if(job, [&](const task& candidate) {
        return candidate.phase != task_phase::done &&
               static_cast<int>(candidate.failed_runs.size()) >= queue->max_attempts;
    });
    if (exhausted == nullptr) {
        return;
    }
    log_event(log_level::info, "job.failed",
              {{"job", job.spec.id},
               {"task", exhausted->name().to_string()},
               {"failures", std::to_string(exhausted->failed_runs.size())}});
    finish(job, job_state::failed);
}

void engine::on_crash_evidence(task& suspect)
{
    suspect.crashes_version = record_change(*suspect.owner);
    give_up_if_crashing(suspect);
}

void engine::give_up_if_crashing(task& suspect)
{
    auto& job = *suspect.owner;
    if (!job.active() || runner_->crashes().verdict(suspect) != decisions::crash_verdict::give_up) {
        return;
    }
    auto report = make_crash_report(suspect);
    log_event(log_level::warning, "job.given_up",
              {{"job", job.spec.id},
               {"queue", job.spec.queue},
               {"reason", "workers crashed under the tasks"},
               {"tasks", join(report.tasks, [](const auto& task) { return task; })},
               {"vms", join(report.crashes, [](const auto& crash) { return crash.vm; })},
               {"unix_ms", join(report.crashes, [](const auto& crash) {
                    return std::to_string(crash.at.count());
                })}});
    ports_.metrics->record_job_given_up(job.spec.queue);
    job.given_up = std::move(report);
    finish(job, job_state::failed);
}

void engine::give_up_crashing_tasks(job& job)
{
    for_each_task(job, [this](task& candidate) {
        if (!candidate.crashes.empty()) {
            give_up_if_crashing(candidate);
        }
    });
}

std::map<std::string, crash_report> engine::given_up_jobs() const
{
    std::map<std::string, crash_report> result;
    for (const auto& [id, job] : jobs_.all()) {
        if (job->given_up) {
            result.emplace(id, *job->given_up);
        }
    }
    return result;
}

void engine::on_ticket_rejected(task& rejected_task)
{
    if (advice_book_) {
        advice_book_->discard_ticket(step_name(rejected_task), rejected_task.worker);
    }
}

void engine::on_task_released(task& released)
{
    if (released.spec().gang) {
        stop_other_gang_members(released);
    }
    schedule_tick();
}

// The members of a gang need each other: once one has ended, the others cannot make progress.
void engine::stop_other_gang_members(task& member)
{
    auto& gang = *member.owning_step;
    if (std::exchange(gang.gang_stopped, true)) {
        return; // called for each member that ends
    }
    for (auto& other : gang.tasks) {
        if (&other != &member) {
            runner_->stop(other, "another member of its gang has ended");
        }
    }
}

void engine::on_worker_report(worker_handle& handle)
{
    if (may_act_()) {
        adjust_filler_pace(handle);
    }
}

void engine::on_workers_changed()
{
    schedule_tick();
}

void engine::fenced(const std::string& worker)
{
    if (newer_leader_seen_) {
        return;
    }
    newer_leader_seen_ = true;
    fenced_("a newer leader was reported by " + worker);
}

void engine::finish(job& job, job_state state)
{
    if (!job.active()) {
        return;
    }
    job.state = state;
    job.finished_at = timers_.now();
    ports_.metrics->record_job_finished(job.spec.queue, state, timers_.wall_now() - job.accepted);
    record_change(job);
}

void engine::stop_all_tasks(job& job, const char* reason)
{
    const auto* const left = find_task_if(job, [&](task& target) {
        if (!runner_->accepts_orders()) {
            return true;
        }
        runner_->stop(target, reason);
        return false;
    });
    if (left != nullptr) {
        jobs_to_stop_.insert(job.spec.id);
    }
}

// Goes on with the jobs of which too many tasks had to be stopped at once.
void engine::stop_tasks_of_ended_jobs()
{
    const auto ids = std::exchange(jobs_to_stop_, {});
    for (const auto& id : ids) {
        if (auto* const job = jobs_.find(id)) {
            stop_all_tasks(*job, "the job has ended");
        }
    }
}

} // namespace jl::jobs
