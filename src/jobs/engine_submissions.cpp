// The operations that the engine offers to callers: submitting jobs, their states, cancelling.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "decisions/team_admission.h"
#include "jobs/capacity_manager.h"
#include "jobs/engine.h"
#include "teams/usage.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A store that has not answered for this long is down; until then, single answers may be lost.
// Submissions wait meanwhile. Nothing of them is written, so that they can still be refused.
constexpr auto max_wait_for_store = 400ms;

} // namespace

void engine::submit(submission submitted, std::function<void(const submit_answer&)> done)
{
    const auto now = timers_.now();
    const auto& spec = submitted.spec;
    if (!writer_->writes_failing() || jobs_.find(spec.id) != nullptr) {
        accept(std::move(submitted), now, done);
    }
    else if (is_held(spec.id) ||
             (writer_->unanswered_for() && *writer_->unanswered_for() < max_wait_for_store)) {
        log_event(log_level::info, "submission.held",
                  {{"job", spec.id}, {"queue", spec.queue}, {"reason", "a store answer is late"}});
        held_submissions_.push_back({std::move(submitted), std::move(done), now});
    }
    else {
        // The store is down. If the submission were held, it would only wait until its caller's
        // deadline.
        refuse(spec, now, done);
    }
}

bool engine::is_held(const std::string& id) const
{
    return std::any_of(held_submissions_.begin(), held_submissions_.end(),
                       [&](const held_submission& held) { return held.submitted.spec.id == id; });
}

void engine::accept(submission submitted, net::boot_time received, const submit_callback& done)
{
    auto& spec = submitted.spec;
    const auto answer = [this, done, queue = spec.queue, received](bool durable) {
        ports_.metrics->record_submission(queue, durable ? "accepted" : "unknown",
                                          timers_.now() - received);
        done({durable ? submit_outcome::accepted : submit_outcome::unknown});
    };
    const auto* const queue = config_->find_queue(spec.queue);
    if (queue == nullptr) { // removed while the submission was held
        refuse(spec, received, done);
        return;
    }
    // The key may have been revoked while the submission was held. Nothing of it is recorded yet.
    const auto access = check_key(*config_, *queue, submitted.key);
    if (!access.granted()) {
        record_denial(queue->name, access.decision);
        done({submit_outcome::unauthorized});
        return;
    }
    if (auto* const existing = jobs_.find(spec.id)) {
        if (check_access(spec.id, access) != access_decision::granted) {
            record_denial(queue->name, access_decision::other_team);
            done({submit_outcome::other_team});
        }
        else if (existing->durable()) {
            done({submit_outcome::accepted});
        }
        else {
            existing->durability_callbacks.emplace_back(answer);
        }
        return;
    }
    spec.team = access.team;
    const auto* const team = config_->teams.find(spec.team);
    bool within_rate = true;
    if (team != nullptr && !admit_job(spec, *queue, *team, received, done, within_rate)) {
        return;
    }
    auto& job = jobs_.insert(std::move(spec));
    job.beyond_rate = !within_rate;
    job.accepted = timers_.wall_now() - (timers_.now() - received);
    job.objective = received + completion_objective(*queue, job.spec);
    job.services = {queue->service};
    if (!job.spec.has_schedule()) {
        begin_occurrence(job);
    }
    job.durability_callbacks.emplace_back(answer);
    if (capacity_manager_) {
        capacity_manager_->note_arrival(queue->service, job);
    }
    log_event(log_level::info, "job.submitted",
              {{"job", job.spec.id},
               {"queue", job.spec.queue},
               {"team", job.spec.team},
               {"within_rate", within_rate ? "true" : "false"},
               {"steps", std::to_string(job.spec.steps.size())},
               {"config", std::to_string(config_->version)}});
    writer_->mark_dirty(job_prefix + job.spec.id);
}

bool engine::admit_job(const job_spec& spec, const queue_config& queue,
                       const teams::team_config& team, net::boot_time received,
                       const submit_callback& done, bool& within_rate)
{
    const auto now = timers_.now();
    decisions::admission_request request;
    request.fits_quota =
        std::all_of(spec.steps.begin(), spec.steps.end(), [&team](const step_spec& step) {
            return teams::fits_quota(team.quota, step.request, step.gang ? step.count : 1);
        });
    // A job that can never start takes nothing of the rate.
    within_rate = request.fits_quota && job_rates_.take(team.name, team.weight, now);
    request.within_rate = within_rate;
    request.rate_delay = job_rates_.delay(team.name, team.weight, now);
    request.backlog = scheduler_->backlog(queue.service);
    request.slack = completion_objective(queue, spec) - critical_path_duration(spec);
    const auto decision = decisions::admit(request);
    if (decision == decisions::admission::accepted) {
        return true;
    }
    std::uniform_real_distribution<double> spread(0.0, 1.0);
    const auto retry_after = decisions::admission_retry_after(request, decision, spread(random_));
    log_event(log_level::info, "submission.refused",
              {{"job", spec.id},
               {"queue", spec.queue},
               {"team", spec.team},
               {"reason", decisions::to_string(decision)},
               {"backlog_ms",
                std::to_string(std::chrono::duration_cast<milliseconds>(request.backlog).count())},
               {"retry_after_s", std::to_string(retry_after.count())}});
    ports_.metrics->record_submission(spec.queue, decisions::to_string(decision),
                                      timers_.now() - received);
    ports_.metrics->record_team_refusal(spec.team, decisions::to_string(decision));
    done({submit_outcome::overloaded, retry_after});
    return false;
}

void engine::refuse(const job_spec& spec, net::boot_time received, const submit_callback& done)
{
    const auto held_for =
        std::chrono::duration_cast<milliseconds>(timers_.now() - received).count();
    log_event(log_level::info, "submission.refused",
              {{"job", spec.id},
               {"queue", spec.queue},
               {"reason", "nothing can be recorded now"},
               {"held_ms", std::to_string(held_for)}});
    ports_.metrics->record_submission(spec.queue, "unavailable", timers_.now() - received);
    done({submit_outcome::unavailable});
}

// The store answers again.
void engine::accept_held_submissions()
{
    if (held_submissions_.empty()) {
        return; // called for each record that is stored
    }
    auto held = std::move(held_submissions_);
    held_submissions_.clear();
    for (auto& submission : held) {
        accept(std::move(submission.submitted), submission.received, submission.done);
    }
}

// Callers whose submissions have waited too long do better to come back later.
void engine::refuse_overdue_submissions()
{
    const auto oldest = timers_.now() - max_wait_for_store;
    while (!held_submissions_.empty() && held_submissions_.front().received <= oldest) {
        const auto overdue = std::move(held_submissions_.front());
        held_submissions_.pop_front();
        refuse(overdue.submitted.spec, overdue.received, overdue.done);
    }
}

std::optional<job_state> engine::state(const std::string& id) const
{
    const auto found = jobs_.all().find(id);
    if (found == jobs_.all().end()) {
        return std::nullopt;
    }
    const auto& job = *found->second;
    if (job.durable_state == job_state::queued && job.any_started) {
        return job_state::running;
    }
    return job.durable_state;
}

access_decision engine::check_access(const std::string& id, const caller_access& caller) const
{
    const auto found = jobs_.all().find(id);
    if (found == jobs_.all().end() || !config_->checks_keys) {
        return access_decision::granted;
    }
    const auto& spec = found->second->spec;
    return check_job_access(config_->find_queue(spec.queue), caller, spec.team);
}

void engine::record_denial(const std::string& queue, access_decision reason)
{
    ports_.metrics->record_denied_request(queue, to_string(reason));
    log_event(log_level::info, "request.unauthorized",
              {{"queue", queue}, {"reason", to_string(reason)}});
}

void engine::cancel(const std::string& id, std::function<void(cancel_outcome)> done)
{
    auto* const job = jobs_.find(id);
    if (job == nullptr) {
        done(cancel_outcome::no_such_job);
        return;
    }
    if (job->active()) {
        log_event(log_level::info, "job.cancel", {{"job", id}, {"queue", job->spec.queue}});
        finish(*job, job_state::cancelled);
    }
    if (job->durable_version >= job->version) {
        done(cancel_outcome::cancelled);
        return;
    }
    job->durability_callbacks.emplace_back([done = std::move(done)](bool durable) {
        done(durable ? cancel_outcome::cancelled : cancel_outcome::unknown);
    });
}

std::size_t engine::count_waiting_jobs(const std::string& queue) const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.active().begin(), jobs_.active().end(), [&](const job* job) {
            return job->spec.queue == queue && job->active() && job->durable() &&
                   !job->spec.has_schedule() && !job->any_started;
        }));
}

} // namespace jl::jobs
