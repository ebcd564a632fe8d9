// What the runner learns from workers: what runs there, what has ended, and that they are lost.

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

namespace {

constexpr double failure_half_life_s = 2.0;

} // namespace

bool task_runner::in_use(const worker_session& session) const
{
    const auto found = slots_.find(session.info().id);
    return found != slots_.end() && !found->second.assigned.empty();
}

void task_runner::on_fenced(worker_session& session)
{
    events_.fenced(session.info().id);
}

void task_runner::on_restarted(worker_session& session)
{
    auto* const slot = find_slot(session.info().id);
    if (slot == nullptr) {
        return; // while the session is being made
    }
    // A start without an answer may run in the new life, now or later: a stop settles that.
    std::set<task*> lost;
    for (auto* const target : std::set<task*>(slot->assigned)) {
        if (target->phase == task_phase::starting) {
            stop(*target, "its worker has restarted");
        }
        else if (target->phase != task_phase::stopping ||
                 target->order_confirmed_at != order_unconfirmed) {
            lost.insert(target);
        }
    }
    lose_tasks(*slot, lost, "the worker has restarted");
}

void task_runner::on_lost(worker_session& session, const char* reason)
{
    if (auto* const slot = find_slot(session.info().id)) {
        lose_tasks(*slot, std::set<task*>(slot->assigned), reason);
    }
}

void task_runner::lose_tasks(worker_slot& slot, const std::set<task*>& lost, const char* reason)
{
    slot.pending_ends.clear();
    if (!lost.empty()) {
        metrics_.record_lost_tasks(lost.size());
        log_event(log_level::warning, "worker.tasks_lost",
                  {{"worker", slot.info().id},
                   {"tasks", std::to_string(lost.size())},
                   {"reason", reason}});
    }
    for (auto* const target : lost) {
        release(*target);
    }
    events_.workers_changed();
}

void task_runner::on_report(worker_session& session, const hold_report& report,
                            net::boot_time asked)
{
    auto* const slot = find_slot(session.info().id);
    if (slot == nullptr) {
        return;
    }
    apply_ends(*slot, report);
    apply_running(*slot, report);
    find_vanished(*slot, report, asked);
    events_.worker_reported(*slot);
    if (!report.ended.empty() || slot->from_roster) {
        events_.workers_changed();
    }
}

void task_runner::apply_ends(worker_slot& slot, const hold_report& report)
{
    auto last = slot.session->last_reported_end();
    for (const auto& end : report.ended) {
        if (end.number <= last) {
            continue; // listed again because it is not acknowledged yet
        }
        last = end.number;
        const auto name = parse_task_name(end.name);
        const auto version = apply_end(slot, end);
        slot.pending_ends.push_back({end.number, name ? name->job : "", version});
    }
    slot.session->set_last_reported_end(last);
    acknowledge_durable(slot);
}

std::int64_t task_runner::apply_end(worker_slot& slot, const ended_task& end)
{
    const auto name = parse_task_name(end.name);
    task* const target = name ? jobs_.find_task(*name) : nullptr;
    if (target == nullptr || target->phase == task_phase::done) {
        return 0;
    }
    const bool ours =
        target->on_worker() && target->worker == slot.info().id && target->run == end.run;
    const bool former = target->phase == task_phase::unresolved;
    if (!ours && !former) {
        return apply_earlier_end(slot, *target, end);
    }
    metrics_.record_task_end(end.kind);
    log_event(log_level::info, "task.ended",
              {{"task", end.name},
               {"run", std::to_string(end.run)},
               {"worker", slot.info().id},
               {"how", to_string(end.kind)}});
    if (!end.checkpoint.empty()) {
        target->checkpoint = end.checkpoint;
    }
    target->run = std::max(target->run, end.run);
    if (end.kind == end_kind::done && !target->spec().long_running) {
        detach(*target);
        target->phase = task_phase::done;
        return events_.task_done(*target);
    }
    std::int64_t version = 0;
    if (end.kind == end_kind::failed) {
        note_failure(slot);
        target->last_failed_worker = slot.info().id;
        version = events_.task_failed(*target, end.run);
    }
    // A task of a former leader may run elsewhere under a later number: it stays unresolved.
    if (ours && target->on_worker()) {
        release(*target);
    }
    return version;
}

// An end of a run that has been given up, or that was replaced by a former leader, counts as well:
// the worker may forget it after this report.
std::int64_t task_runner::apply_earlier_end(worker_slot& slot, task& target, const ended_task& end)
{
    const bool done = end.kind == end_kind::done && !target.spec().long_running;
    if (!done && end.kind != end_kind::failed) {
        return 0;
    }
    log_event(log_level::info, "task.earlier_run_ended",
              {{"task", end.name},
               {"run", std::to_string(end.run)},
               {"worker", slot.info().id},
               {"how", to_string(end.kind)}});
    metrics_.record_task_end(end.kind);
    if (!done) {
        note_failure(slot);
        return events_.task_failed(target, end.run);
    }
    if (auto* const present = find_slot(target.worker)) {
        stop_stray(*present, target.name(), target.run);
    }
    detach(target);
    target.phase = task_phase::done;
    return events_.task_done(target);
}

void task_runner::apply_running(worker_slot& slot, const hold_report& report)
{
    for (const auto& row : report.running) {
        apply_running_row(slot, row);
    }
}

void task_runner::apply_running_row(worker_slot& slot, const running_task& row)
{
    const auto name = parse_task_name(row.name);
    if (!name) {
        return;
    }
    task* const target = jobs_.find_task(*name);
    const auto& worker = slot.info().id;
    const bool ours = target != nullptr && target->on_worker() && target->worker == worker &&
                      target->run == row.run;
    const bool adoptable =
        target != nullptr && !target->owner->cancelled() && target->run <= row.run &&
        (target->phase == task_phase::unresolved || target->phase == task_phase::waiting);
    if (!ours && !adoptable) {
        stop_stray(slot, *name, row.run);
        return;
    }
    const auto now = timers_.now();
    if (!ours) {
        target->phase = task_phase::running;
        target->worker = worker;
        target->run = row.run;
        target->changed_at = now;
        target->order_confirmed_at = now;
        target->owner->any_started = true;
        slot.assigned.insert(target);
    }
    else if (target->phase == task_phase::starting) {
        target->phase = task_phase::running;
        target->changed_at = now;
        target->order_confirmed_at = now;
    }
    if (!row.checkpoint.empty()) {
        target->checkpoint = row.checkpoint;
    }
    if (target->percent != row.percent) {
        target->percent = row.percent;
        target->changed_at = now;
    }
    target->load = row.load;
}

// Tasks that the worker had accepted before it was asked for its lists, and lists no more.
void task_runner::find_vanished(worker_slot& slot, const hold_report& report, net::boot_time asked)
{
    std::unordered_map<std::string, std::int64_t> listed;
    for (const auto& row : report.running) {
        listed[row.name] = row.run;
    }
    std::vector<task*> vanished;
    for (auto* const target : slot.assigned) {
        if (target->order_confirmed_at == order_unconfirmed) {
            continue;
        }
        const auto found = listed.find(target->name().to_string());
        if (found != listed.end() && found->second == target->run) {
            continue;
        }
        const auto settled = target->phase == task_phase::stopping
                                 ? target->order_confirmed_at + settings_.stop_time
                                 : target->order_confirmed_at;
        if (settled < asked) {
            vanished.push_back(target);
        }
    }
    for (auto* const target : vanished) {
        log_event(log_level::warning, "task.vanished",
                  {{"task", target->name().to_string()}, {"worker", slot.info().id}});
        release(*target);
    }
}

void task_runner::note_failure(worker_slot& slot)
{
    const auto now = timers_.now();
    const std::chrono::duration<double> age = now - slot.failure_score_at;
    const double decayed = age.count() > failure_half_life_s * 10
                               ? 0
                               : slot.failure_score / (1.0 + age.count() / failure_half_life_s);
    slot.failure_score = decayed + 1;
    slot.failure_score_at = now;
}

void task_runner::acknowledge_durable()
{
    const auto workers = workers_with_pending_ends_;
    for (const auto& worker : workers) {
        if (auto* const slot = find_slot(worker)) {
            acknowledge_durable(*slot);
        }
        else {
            workers_with_pending_ends_.erase(worker);
        }
    }
}

void task_runner::acknowledge_durable(worker_slot& slot)
{
    std::int64_t number = 0;
    while (!slot.pending_ends.empty()) {
        const auto& end = slot.pending_ends.front();
        const job* const owner = end.version == 0 ? nullptr : jobs_.find(end.job);
        if (owner != nullptr && owner->durable_version < end.version) {
            break;
        }
        number = end.number;
        slot.pending_ends.pop_front();
    }
    if (slot.pending_ends.empty()) {
        workers_with_pending_ends_.erase(slot.info().id);
    }
    else {
        workers_with_pending_ends_.insert(slot.info().id);
    }
    if (number != 0) {
        slot.session->acknowledge(number);
    }
}

} // namespace jl::jobs
