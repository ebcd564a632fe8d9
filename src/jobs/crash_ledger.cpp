#include "jobs/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using decisions::crash_link;
using decisions::crash_observation;

const char* to_string(crash_link link)
{
    switch (link) {
    case crash_link::beside:
        return "beside";
    case crash_link::unexplained:
        return "unexplained";
    case crash_link::shared:
        return "shared";
    case crash_link::sole:
        return "sole";
    case crash_link::silent:
        return "silent";
    }
    return "unknown";
}

bool just_started(crash_link link)
{
    return link == crash_link::shared || link == crash_link::sole || link == crash_link::silent;
}

bool describes(const crash_observation& observation, const worker_identity& worker)
{
    return observation.worker == worker.life.worker &&
           observation.worker_started_at_ms == worker.life.started_at_ms;
}

// The tasks with the newest starts of two jobs. The newest one of another job is all that the
// judgement of a task needs of the others, of which there may be thousands.
struct newest_starts {
    const task* first = nullptr;
    const task* of_another_job = nullptr;

    void add(const task& candidate)
    {
        const auto is_newer = [&](const task* known) {
            return known == nullptr || candidate.start_sent_at > known->start_sent_at;
        };
        if (first != nullptr && candidate.owner == first->owner) {
            first = is_newer(first) ? &candidate : first;
        }
        else if (is_newer(first)) {
            of_another_job = std::exchange(first, &candidate);
        }
        else if (is_newer(of_another_job)) {
            of_another_job = &candidate;
        }
    }

    std::vector<decisions::task_on_lost_worker> of_jobs_other_than(const task& target) const
    {
        const auto* const newest =
            first != nullptr && first->owner != target.owner ? first : of_another_job;
        if (newest == nullptr) {
            return {};
        }
        return {{newest->start_sent_at.time_since_epoch(), false}};
    }
};

bool is_unconfirmed(const crash_observation& observation, const std::string& worker)
{
    return observation.worker == worker && !observation.confirmed;
}

// True if it is not known yet which incarnation of the worker the task is or was on.
bool awaits_report(const task& target, const std::string& worker)
{
    return target.awaits_report && target.worker == worker;
}

bool has_unconfirmed(const task& target, const std::string& worker)
{
    return std::any_of(target.crashes.begin(), target.crashes.end(), [&](const auto& observation) {
        return is_unconfirmed(observation, worker);
    });
}

using selector = std::function<bool(const task&, const crash_observation&)>;

// Confirms or drops the unconfirmed observations that `concerns` selects. Returns false if there
// are none.
bool settle_task(task& target, const std::string& worker, bool crashed, const selector& concerns)
{
    bool settled = false;
    auto& crashes = target.crashes;
    for (auto next = crashes.begin(); next != crashes.end();) {
        if (!is_unconfirmed(*next, worker) || !concerns(target, *next)) {
            ++next;
            continue;
        }
        settled = true;
        next->confirmed = crashed;
        next = crashed ? std::next(next) : crashes.erase(next);
    }
    return settled;
}

} // namespace

crash_ledger::crash_ledger(net::timer_service& timers, job_table& jobs,
                           std::function<void(task&)> changed)
    : timers_(timers), jobs_(jobs), changed_(std::move(changed))
{
}

void crash_ledger::load(job& loaded)
{
    for_each_task(loaded, [&](const task& target) {
        for (const auto& observation : target.crashes) {
            loaded.has_crash_evidence = true;
            if (!observation.confirmed) {
                unconfirmed_[observation.worker].insert(target.name().to_string());
            }
        }
    });
}

task* crash_ledger::find(const std::string& name)
{
    const auto parsed = parse_task_name(name);
    return parsed ? jobs_.find_task(*parsed) : nullptr;
}

void crash_ledger::add(task& target, crash_observation observation)
{
    log_event(log_level::info, "task.worker_lost",
              {{"task", target.name().to_string()},
               {"worker", observation.worker},
               {"vm", observation.vm},
               {"link", to_string(observation.link)},
               {"confirmed", observation.confirmed ? "true" : "false"}});
    target.owner->has_crash_evidence = true;
    decisions::drop_old_observations(target.crashes, unix_now());
    if (!observation.confirmed) {
        unconfirmed_[observation.worker].insert(target.name().to_string());
    }
    target.crashes.push_back(std::move(observation));
    changed_(target);
}

void crash_ledger::observe_loss(const worker_identity& worker, const std::set<task*>& assigned,
                                const decisions::worker_loss& loss, bool only_just_started)
{
    newest_starts newest;
    for (const auto* const target : assigned) {
        if (target->start_sent) {
            newest.add(*target);
        }
    }
    for (auto* const target : assigned) {
        if (!target->start_sent) {
            continue;
        }
        const auto link = decisions::link_to_crash(target->start_sent_at.time_since_epoch(), loss,
                                                   newest.of_jobs_other_than(*target));
        const auto known =
            std::find_if(target->crashes.begin(), target->crashes.end(),
                         [&](const auto& observation) { return describes(observation, worker); });
        if (known != target->crashes.end()) {
            // Recorded before the start, when it was not known how the run would end.
            known->link = known->confirmed ? known->link : link.value_or(crash_link::beside);
            continue;
        }
        if (!link || (only_just_started && !just_started(*link))) {
            continue;
        }
        add(*target,
            {worker.life.worker, worker.life.started_at_ms, worker.vm, unix_now(), *link, false});
    }
}

void crash_ledger::contact_lost(const worker_identity& worker, const std::set<task*>& assigned,
                                const decisions::worker_loss& loss)
{
    // Observations of the other tasks are weaker and not worth a write for each short silence.
    observe_loss(worker, assigned, loss, true);
}

void crash_ledger::tasks_lost(const worker_identity& worker, const std::set<task*>& lost,
                              const decisions::worker_loss& loss, loss_cause cause)
{
    for (auto* const target : lost) {
        if (!target->start_sent) {
            run_ended(*target, worker.life.worker); // begin_start() has recorded it
        }
    }
    const bool planned = cause == loss_cause::powered_off || worker.draining;
    if (!planned) {
        observe_loss(worker, lost, loss, false);
    }
    if (cause == loss_cause::lease_expired) {
        return; // the worker may answer again
    }
    settle(worker.life.worker, !planned,
           [&](const task& target, const crash_observation& observation) {
               // The next report tells of runs that were given up before.
               const bool given_up =
                   cause == loss_cause::restarted && target.worker != worker.life.worker;
               return !given_up && observation.worker_started_at_ms <= worker.life.started_at_ms &&
                      (planned || !awaits_report(target, worker.life.worker));
           });
}

void crash_ledger::worker_alive(const worker_incarnation& life)
{
    if (unconfirmed_.empty()) {
        return;
    }
    settle(life.worker, true, [&](const task& target, const crash_observation& observation) {
        return observation.worker_started_at_ms < life.started_at_ms &&
               !awaits_report(target, life.worker);
    });
    settle(life.worker, false, [&](const task& target, const crash_observation&) {
        if (awaits_report(target, life.worker)) {
            return false;
        }
        const bool on_trial =
            target.on_worker() && target.worker == life.worker &&
            (!target.start_sent || timers_.now() < target.start_sent_at + decisions::crash_window);
        return !on_trial;
    });
}

void crash_ledger::successor_answered(const std::string& vm, const worker_incarnation& successor,
                                      const std::function<bool(const std::string&)>& may_be_alive)
{
    if (unconfirmed_.empty() || vm.empty()) {
        return;
    }
    settle_others(successor.worker, true, [&](const task&, const crash_observation& observation) {
        return observation.vm == vm && observation.worker_started_at_ms < successor.started_at_ms &&
               !may_be_alive(observation.worker);
    });
}

void crash_ledger::vm_ordered(const std::string& vm)
{
    settle_others("", false, [&](const task&, const crash_observation& observation) {
        return observation.vm == vm;
    });
}

void crash_ledger::settle_others(const std::string& excluded, bool crashed,
                                 const selector& concerns)
{
    std::vector<std::string> workers;
    for (const auto& [worker, tasks] : unconfirmed_) {
        if (worker != excluded) {
            workers.push_back(worker);
        }
    }
    for (const auto& worker : workers) {
        settle(worker, crashed, concerns);
    }
}

void crash_ledger::begin_start(task& target, const worker_identity& worker, crash_link link)
{
    add(target,
        {worker.life.worker, worker.life.started_at_ms, worker.vm, unix_now(), link, false});
}

void crash_ledger::run_ended(task& target, const std::string& worker)
{
    settle_one(target, worker, false, [](const task&, const crash_observation&) { return true; });
}

void crash_ledger::run_reported(task& target, const worker_incarnation& life)
{
    settle_one(target, life.worker, false, [&](const task&, const crash_observation& observation) {
        return observation.worker_started_at_ms < life.started_at_ms;
    });
}

void crash_ledger::run_lost(task& target, const std::string& worker)
{
    settle_one(target, worker, true, [](const task&, const crash_observation&) { return true; });
}

void crash_ledger::settle_one(task& target, const std::string& worker, bool crashed,
                              const selector& concerns)
{
    const auto found = unconfirmed_.find(worker);
    if (found == unconfirmed_.end() || !settle_task(target, worker, crashed, concerns)) {
        return;
    }
    if (!has_unconfirmed(target, worker)) {
        found->second.erase(target.name().to_string());
        if (found->second.empty()) {
            unconfirmed_.erase(found);
        }
    }
    announce_settled(target, worker, crashed);
}

void crash_ledger::announce_settled(task& target, const std::string& worker, bool crashed)
{
    log_event(log_level::info, "task.worker_loss_settled",
              {{"task", target.name().to_string()},
               {"worker", worker},
               {"crashed", crashed ? "true" : "false"}});
    changed_(target);
}

void crash_ledger::settle(const std::string& worker, bool crashed, const selector& concerns)
{
    const auto found = unconfirmed_.find(worker);
    if (found == unconfirmed_.end()) {
        return;
    }
    std::vector<task*> settled;
    auto& names = found->second;
    for (auto next = names.begin(); next != names.end();) {
        task* const target = find(*next);
        if (target != nullptr && settle_task(*target, worker, crashed, concerns)) {
            settled.push_back(target);
        }
        const bool left = target != nullptr && has_unconfirmed(*target, worker);
        next = left ? std::next(next) : names.erase(next);
    }
    if (names.empty()) {
        unconfirmed_.erase(found);
    }
    for (auto* const target : settled) {
        announce_settled(*target, worker, crashed);
    }
}

decisions::crash_verdict crash_ledger::verdict(const task& target) const
{
    if (target.crashes.empty()) {
        return decisions::crash_verdict::none;
    }
    return decisions::judge_crashes(target.crashes, unix_now());
}

} // namespace jl::jobs
