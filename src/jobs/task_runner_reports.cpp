// Processing of worker reports (running and ended tasks) and of lost workers.

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

namespace {

constexpr double failure_half_life_s = 2.0;
// Time until the end of a stopped run has been reported, beyond the worker's stop time.
constexpr auto stop_report_margin = std::chrono::milliseconds(200);

decisions::worker_loss loss_of(const worker_session& session)
{
    decisions::worker_loss loss;
    loss.last_alive = session.last_alive().time_since_epoch();
    if (const auto ended_by = session.ended_by()) {
        loss.ended_by = ended_by->time_since_epoch();
    }
    return loss;
}

} // namespace

bool task_runner::in_use(const worker_session& session) const
{
    const auto found = worker_handles_.find(session.info().id);
    if (found == worker_handles_.end()) {
        return false;
    }
    // An isolated start waits until the worker is known to have survived the last start on it.
    const auto& handle = found->second;
    return !handle.assigned.empty() ||
           session.last_alive() < handle.last_start_at + decisions::crash_window;
}

void task_runner::on_fenced(worker_session& session)
{
    listener_.fenced(session.info().id);
}

void task_runner::on_unreachable(worker_session& session)
{
    if (const auto* const handle = find_worker(session.info().id)) {
        crashes_.contact_lost(identity_of(*handle), handle->assigned, loss_of(session));
    }
}

void task_runner::on_restarted(worker_session& session, const worker_incarnation& former,
                               incarnation_source source)
{
    auto* const handle = find_worker(session.info().id);
    if (handle == nullptr) {
        return; // called by the constructor of the session
    }
    metrics_.record_worker_restart();
    log_event(log_level::info, "worker.restarted",
              {{"worker", former.worker},
               {"former_incarnation", std::to_string(former.started_at_ms)},
               {"incarnation", std::to_string(session.started_at_ms())},
               {"source", to_string(source)},
               {"contacted", session.contacted() ? "true" : "false"},
               {"tasks", std::to_string(handle->assigned.size())}});
    if (handle->loaded_from_roster && !session.contacted()) {
        services_with_unseen_losses_.insert(handle->info().service);
    }
    handle->restarted_at = timers_.now();
    update_vm_index(*handle);
    listener_.on_worker_restarted(*handle);
    std::set<task*> lost;
    for (auto* const target : handle->assigned) {
        target->awaits_report = may_have_started_on_new_incarnation(*target);
        if (!target->awaits_report) {
            lost.insert(target);
        }
    }
    auto ended = identity_of(*handle);
    ended.life = former;
    crashes_.tasks_lost(ended, handle->assigned, loss_of(session), loss_cause::restarted);
    // The new incarnation may execute a start without an answer, now or later. A stop order makes
    // it reject that start.
    for (auto* const target : std::set<task*>(handle->assigned)) {
        if (target->phase == task_phase::starting || start_is_open(*target) ||
            started_by_former_leader(*target)) {
            stop_on_new_incarnation(*target);
        }
    }
    release_lost_tasks(*handle, lost, loss_cause::restarted);
    forget_stopped_strays(*handle);
    stop_open_starts(*handle);
}

// The stops were confirmed by a former incarnation. An open start may still begin such a run on the
// new one, and is stopped there again.
void task_runner::forget_stopped_strays(worker_handle& handle)
{
    for (auto next = handle.strays.begin(); next != handle.strays.end();) {
        const bool stopped = next->second.stop_confirmed_at != order_unconfirmed;
        next = stopped ? handle.strays.erase(next) : std::next(next);
    }
}

void task_runner::on_restart_suspected(worker_session& session)
{
    if (auto* const handle = find_worker(session.info().id)) {
        handle->restarted_at = timers_.now();
        listener_.on_worker_restarted(*handle);
    }
}

// The former incarnation has certainly ended what it has reported. All other starts may have
// reached the new one, which the leader did not know of when it got their answers.
bool task_runner::may_have_started_on_new_incarnation(const task& target) const
{
    const bool stop_unconfirmed =
        target.phase == task_phase::stopping && target.order_confirmed_at == order_unconfirmed;
    return !target.reported || stop_unconfirmed || start_is_open(target) ||
           started_by_former_leader(target);
}

void task_runner::on_lost(worker_session& session, loss_cause cause)
{
    auto* const handle = find_worker(session.info().id);
    if (handle == nullptr) {
        return;
    }
    if (handle->loaded_from_roster && !session.contacted() && cause != loss_cause::powered_off) {
        services_with_unseen_losses_.insert(handle->info().service);
    }
    auto lost = handle->assigned;
    if (cause == loss_cause::lease_expired) {
        log_event(log_level::info, "worker.lease_expired",
                  {{"worker", session.info().id},
                   {"known_incarnation", std::to_string(session.started_at_ms())},
                   {"contacted", session.contacted() ? "true" : "false"},
                   {"tasks", std::to_string(lost.size())}});
        for (auto* const target : handle->assigned) {
            if (may_run_unseen(*handle, *target)) {
                lost.erase(target);
            }
        }
    }
    for (auto* const target : lost) {
        if (target->awaits_report && cause == loss_cause::lease_expired) {
            // It may have run on the new incarnation, so the end of the former one proves nothing.
            crashes_.run_ended(*target, session.info().id);
        }
        target->awaits_report = false;
    }
    crashes_.tasks_lost(identity_of(*handle), lost, loss_of(session), cause);
    release_lost_tasks(*handle, lost, cause);
}

bool task_runner::may_run_unseen(const worker_handle& handle, const task& target) const
{
    // The clock in an answer tells of a longer lease, see session_listener::on_restart_suspected();
    // without an answer nothing does.
    if (!target.reported && start_is_open(target)) {
        return true;
    }
    const bool stop_unconfirmed =
        target.phase == task_phase::stopping && target.order_confirmed_at == order_unconfirmed;
    if (!stop_unconfirmed || target.start_sent_at >= handle.restarted_at) {
        return false;
    }
    return start_is_open(target) ||
           (started_by_former_leader(target) && created_at_ > oldest_open_start());
}

void task_runner::release_tasks_kept_after_lease()
{
    const auto now = timers_.now();
    for (auto& [worker, handle] : worker_handles_) {
        if (handle.assigned.empty() || handle.session->lease_bound() > now) {
            continue;
        }
        std::set<task*> expired;
        for (auto* const target : handle.assigned) {
            const bool stopped_after_restart = target->phase == task_phase::stopping &&
                                               target->start_sent_at < handle.restarted_at;
            // The report of a worker that is reachable again tells whether the task still runs.
            const bool was_kept = stopped_after_restart || !handle.session->reachable();
            if (target->start_sent && was_kept && !may_run_unseen(handle, *target)) {
                expired.insert(target);
            }
        }
        if (!expired.empty()) {
            release_lost_tasks(handle, expired, loss_cause::lease_expired);
        }
    }
}

void task_runner::release_lost_tasks(worker_handle& handle, const std::set<task*>& lost,
                                     loss_cause cause)
{
    if (cause != loss_cause::lease_expired) {
        // A worker that is only unreachable keeps its ends until they are acknowledged.
        handle.unacknowledged_ends.clear();
    }
    if (cause != loss_cause::restarted) {
        handle.strays.clear(); // those of a restarted worker may run on its new incarnation
    }
    requeue_lost_tasks(handle, lost, cause);
    listener_.on_workers_changed();
}

void task_runner::requeue_lost_tasks(const worker_handle& handle, const std::set<task*>& lost,
                                     loss_cause cause)
{
    if (lost.empty()) {
        return;
    }
    metrics_.record_lost_tasks(lost.size());
    log_event(log_level::warning, "worker.tasks_lost",
              {{"worker", handle.info().id},
               {"vm", handle.info().vm},
               {"tasks", std::to_string(lost.size())},
               {"cause", to_string(cause)}});
    for (auto* const target : lost) {
        log_lost_task(handle, *target, cause);
        requeue(*target);
    }
}

void task_runner::log_lost_task(const worker_handle& handle, const task& lost,
                                loss_cause cause) const
{
    const auto since_start =
        std::chrono::duration_cast<milliseconds>(timers_.now() - lost.start_sent_at);
    log_event(log_level::info, "task.lost",
              {{"task", lost.name().to_string()},
               {"run", std::to_string(lost.run)},
               {"worker", handle.info().id},
               {"cause", to_string(cause)},
               {"ms_since_start", std::to_string(since_start.count())}});
}

void task_runner::on_report(worker_session& session, const hold_report& report,
                            net::boot_time requested_at)
{
    auto* const handle = find_worker(session.info().id);
    if (handle == nullptr) {
        return;
    }
    apply_ends(*handle, report);
    apply_running_tasks(*handle, report);
    crashes_.worker_alive({session.info().id, session.started_at_ms()});
    forget_ended_strays(*handle, report, requested_at);
    release_vanished_tasks(*handle, report, requested_at);
    if (std::any_of(handle->assigned.begin(), handle->assigned.end(), [](const task* target) {
            return target->awaits_report && target->order_confirmed_at != order_unconfirmed;
        })) {
        session.request_report(); // this one was requested before the last order was answered
    }
    check_earlier_workers(*handle);
    listener_.on_worker_report(*handle);
    if (!report.ended.empty() || handle->loaded_from_roster) {
        listener_.on_workers_changed();
    }
}

void task_runner::apply_ends(worker_handle& handle, const hold_report& report)
{
    auto last = handle.session->last_reported_end();
    for (const auto& end : report.ended) {
        if (end.number <= last) {
            continue; // reported again because it is not acknowledged yet
        }
        last = end.number;
        const auto name = parse_task_name(end.name);
        const auto version = apply_end(handle, end);
        handle.unacknowledged_ends.push_back({end.number, name ? name->job : "", version});
    }
    handle.session->set_last_reported_end(last);
    acknowledge_durable(handle);
}

std::int64_t task_runner::latest_version(const std::optional<task_name>& name)
{
    const auto* const owner = name ? jobs_.find(name->job) : nullptr;
    return owner == nullptr ? 0 : owner->version;
}

std::int64_t task_runner::apply_end(worker_handle& handle, const ended_task& end)
{
    const auto name = parse_task_name(end.name);
    task* const target = name ? jobs_.find_task(*name) : nullptr;
    if (name) {
        close_run(*name, end.run, handle.info().id);
    }
    if (target != nullptr) {
        crashes_.run_reported(*target, identity_of(handle).life);
    }
    if (target == nullptr || target->phase == task_phase::done) {
        // An end that was reported before, by this worker or by another one, may have completed the
        // task, or its whole gang or occurrence, without being recorded yet.
        return latest_version(name);
    }
    const bool is_current_run =
        target->on_worker() && target->worker == handle.info().id && target->run == end.run;
    const bool unresolved = target->phase == task_phase::unresolved;
    if (!is_current_run && !unresolved) {
        return apply_earlier_run_end(handle, *target, end);
    }
    metrics_.record_task_end(end.kind);
    log_event(log_level::info, "task.ended",
              {{"task", end.name},
               {"run", std::to_string(end.run)},
               {"worker", handle.info().id},
               {"how", to_string(end.kind)}});
    if (!end.checkpoint.empty()) {
        target->checkpoint = end.checkpoint;
    }
    target->run = std::max(target->run, end.run);
    if (end.kind == end_kind::done && !target->spec().long_running) {
        detach(*target);
        target->phase = task_phase::done;
        return listener_.on_task_done(*target);
    }
    std::int64_t version = 0;
    if (end.kind == end_kind::failed) {
        record_failure(handle);
        target->last_failed_worker = handle.info().id;
        version = listener_.on_task_failed(*target, end.run);
    }
    // An unresolved task of a previous leader stays so: a later run of it may be on another worker.
    if (is_current_run && target->on_worker()) {
        release(*target);
    }
    return version;
}

// The end of a run that was abandoned, or replaced by a previous leader, counts as well, because
// the worker does not report it again once it is acknowledged. If it completes the task, or its
// gang, the present run is stopped.
std::int64_t task_runner::apply_earlier_run_end(worker_handle& handle, task& target,
                                                const ended_task& end)
{
    const bool done = end.kind == end_kind::done && !target.spec().long_running;
    if (!done && end.kind != end_kind::failed) {
        return 0;
    }
    log_event(log_level::info, "task.earlier_run_ended",
              {{"task", end.name},
               {"run", std::to_string(end.run)},
               {"worker", handle.info().id},
               {"how", to_string(end.kind)}});
    metrics_.record_task_end(end.kind);
    if (!done) {
        record_failure(handle);
        return listener_.on_task_failed(target, end.run);
    }
    for (const auto& member : target.owning_step->tasks) {
        if (&member != &target && !target.spec().gang) {
            continue;
        }
        if (auto* const current_worker = find_worker(member.worker)) {
            stop_stray(*current_worker, member.name(), member.run);
        }
    }
    detach(target);
    target.phase = task_phase::done;
    return listener_.on_task_done(target);
}

void task_runner::apply_running_tasks(worker_handle& handle, const hold_report& report)
{
    for (const auto& reported : report.running) {
        apply_running_task(handle, reported);
    }
}

void task_runner::forget_ended_strays(worker_handle& handle, const hold_report& report,
                                      net::boot_time requested_at)
{
    if (handle.strays.empty()) {
        return;
    }
    std::set<std::pair<std::string_view, std::int64_t>> running_runs;
    for (const auto& reported : report.running) {
        running_runs.emplace(reported.name, reported.run);
    }
    for (auto next = handle.strays.begin(); next != handle.strays.end();) {
        const auto& [name, stray] = *next;
        const bool running = running_runs.count({name, stray.run}) != 0;
        const bool ended = !running && stray.stop_confirmed_at != order_unconfirmed &&
                           stray.stop_confirmed_at < requested_at;
        next = ended ? handle.strays.erase(next) : std::next(next);
    }
}

void task_runner::apply_running_task(worker_handle& handle, const running_task& reported)
{
    const auto name = parse_task_name(reported.name);
    if (!name) {
        return;
    }
    task* const target = jobs_.find_task(*name);
    const auto& worker = handle.info().id;
    const bool is_current_run = target != nullptr && target->on_worker() &&
                                target->worker == worker && target->run == reported.run;
    const bool can_adopt =
        target != nullptr && !target->owner->cancelled() && target->run <= reported.run &&
        (target->phase == task_phase::unresolved || target->phase == task_phase::waiting);
    if (target != nullptr) {
        crashes_.run_reported(*target, identity_of(handle).life);
    }
    if (!is_current_run && !can_adopt) {
        stop_stray(handle, *name, reported.run);
        return;
    }
    const auto now = timers_.now();
    if (!is_current_run) {
        target->worker = worker;
        target->run = reported.run;
        target->start_sent = true;
        target->start_sent_at = now;
        // The worker rejects orders of the former leader from now on, but one that it has accepted
        // takes its time, and the run is reported as running meanwhile.
        target->may_be_stopping_until = now + settings_.stop_time + stop_report_margin;
        handle.assigned.insert(target);
        target->owning_step->gang_stopped = false;
        log_event(log_level::info, "task.adopted",
                  {{"task", reported.name},
                   {"run", std::to_string(reported.run)},
                   {"worker", worker},
                   {"incarnation", std::to_string(handle.session->started_at_ms())}});
    }
    if (!is_current_run || target->phase == task_phase::starting) {
        confirm_running(*target);
    }
    if (!reported.checkpoint.empty()) {
        target->checkpoint = reported.checkpoint;
    }
    if (target->awaits_report) {
        target->awaits_report = false;
        crashes_.run_ended(*target, worker); // it was not on the incarnation that has ended
    }
    target->reported = true;
    if (target->percent != reported.percent) {
        target->percent = reported.percent;
        target->changed_at = now;
    }
    target->load = reported.load;
}

// Releases the tasks that the worker had accepted before the report was requested, but that the
// report does not contain. Nothing follows from a report without all ends.
void task_runner::release_vanished_tasks(worker_handle& handle, const hold_report& report,
                                         net::boot_time requested_at)
{
    if (report.has_more_ends) {
        return;
    }
    std::unordered_map<std::string, std::int64_t> reported_runs;
    for (const auto& reported : report.running) {
        reported_runs[reported.name] = reported.run;
    }
    std::vector<task*> vanished_tasks;
    for (auto* const target : handle.assigned) {
        if (target->order_confirmed_at == order_unconfirmed) {
            continue;
        }
        const auto found = reported_runs.find(target->name().to_string());
        if (found != reported_runs.end() && found->second == target->run) {
            continue;
        }
        const auto settled = target->phase == task_phase::stopping
                                 ? target->order_confirmed_at + settings_.stop_time
                                 : target->order_confirmed_at;
        if (settled < requested_at) {
            vanished_tasks.push_back(target);
        }
    }
    std::set<task*> lost;
    for (auto* const target : vanished_tasks) {
        if (target->awaits_report) {
            lost.insert(target);
            crashes_.run_lost(*target, handle.info().id);
            continue;
        }
        log_event(log_level::warning, "task.vanished",
                  {{"task", target->name().to_string()}, {"worker", handle.info().id}});
        release(*target);
    }
    requeue_lost_tasks(handle, lost, loss_cause::restarted);
}

void task_runner::record_failure(worker_handle& handle)
{
    const auto now = timers_.now();
    const std::chrono::duration<double> age = now - handle.failure_score_at;
    const double decayed = age.count() > failure_half_life_s * 10
                               ? 0
                               : handle.failure_score / (1.0 + age.count() / failure_half_life_s);
    handle.failure_score = decayed + 1;
    handle.failure_score_at = now;
}

void task_runner::acknowledge_durable()
{
    const auto workers = workers_with_unacknowledged_ends_;
    for (const auto& worker : workers) {
        if (auto* const handle = find_worker(worker)) {
            acknowledge_durable(*handle);
        }
        else {
            workers_with_unacknowledged_ends_.erase(worker);
        }
    }
}

void task_runner::acknowledge_durable(worker_handle& handle)
{
    std::int64_t number = 0;
    while (!handle.unacknowledged_ends.empty()) {
        const auto& end = handle.unacknowledged_ends.front();
        const job* const owner = end.version == 0 ? nullptr : jobs_.find(end.job);
        if (owner != nullptr && owner->durable_version < end.version) {
            break;
        }
        number = end.number;
        handle.unacknowledged_ends.pop_front();
    }
    if (handle.unacknowledged_ends.empty()) {
        workers_with_unacknowledged_ends_.erase(handle.info().id);
    }
    else {
        workers_with_unacknowledged_ends_.insert(handle.info().id);
    }
    if (number != 0) {
        handle.session->acknowledge(number);
    }
}

} // namespace jl::jobs
