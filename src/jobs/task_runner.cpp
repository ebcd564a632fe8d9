#include "jobs/task_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto order_timeout = 700ms;
constexpr auto order_retry_delay = 60ms;
constexpr auto stop_retry_delay = 250ms;
constexpr int max_start_attempts = 3;
constexpr auto unhealthy_pause = 500ms;
constexpr auto full_pause = 120ms;
constexpr auto rejected_pause = 1000ms;
// Beyond the worker's own time for a stop, before a task that it does not list counts as gone.
constexpr auto stop_slack = 60ms;
// A worker that is no longer registered is kept in contact for this long.
constexpr auto unlisted_retention = 5000ms;
// Run numbers of each term begin at a multiple of this, above all runs of earlier terms.
constexpr std::int64_t runs_per_term = 1000;

} // namespace

task_runner::task_runner(net::timer_service& timers, worker_connector& connector, job_table& jobs,
                         task_events& events, job_metrics& metrics, runner_settings settings)
    : timers_(timers),
      connector_(connector),
      jobs_(jobs),
      events_(events),
      metrics_(metrics),
      settings_(std::move(settings))
{
}

task_runner::~task_runner()
{
    *alive_ = false;
}

worker_slot* task_runner::find_slot(const std::string& worker)
{
    const auto found = slots_.find(worker);
    return found == slots_.end() ? nullptr : &found->second;
}

std::vector<worker_slot*> task_runner::slots_on(const std::string& vm)
{
    std::vector<worker_slot*> found;
    const auto workers = workers_on_.find(vm);
    if (vm.empty() || workers == workers_on_.end()) {
        return found;
    }
    for (const auto& worker : workers->second) {
        found.push_back(&slots_.at(worker));
    }
    return found;
}

bool task_runner::worker_listed(const worker_registration& info, bool from_roster)
{
    const auto found = slots_.find(info.id);
    const bool later_life =
        found != slots_.end() && info.started_at_ms > found->second.session->started_at_ms();
    const bool moved = found != slots_.end() && !(found->second.info().address == info.address);
    if (later_life && (moved || found->second.session->dead())) {
        on_lost(*found->second.session, "the worker has a new life");
        erase_slot(found);
    }
    else if (found != slots_.end()) {
        return update_slot(found->second, info);
    }
    add_slot(info, from_roster);
    end_earlier_lives(info);
    events_.workers_changed();
    return true;
}

// Each worker registers itself anew every second or two, mostly without news.
bool task_runner::update_slot(worker_slot& slot, const worker_registration& info)
{
    const bool news = !slot.listed || !(slot.info() == info);
    slot.listed = true;
    if (!news) {
        return false;
    }
    if (slot.info().vm != info.vm) {
        forget_vm_of(slot.info());
        workers_on_[info.vm].push_back(info.id);
    }
    slot.session->update(info);
    events_.workers_changed();
    return true;
}

void task_runner::add_slot(const worker_registration& info, bool from_roster)
{
    auto session_settings = settings_.session;
    if (!from_roster) {
        session_settings.former_lease = 0ms;
    }
    auto& slot = slots_[info.id];
    slot.from_roster = from_roster;
    slot.listed = !from_roster;
    slot.session = std::make_unique<worker_session>(timers_, static_cast<session_listener&>(*this),
                                                    connector_.connect(info.address, info.id), info,
                                                    settings_.token, session_settings);
    workers_on_[info.vm].push_back(info.id);
}

std::map<std::string, worker_slot>::iterator
task_runner::erase_slot(std::map<std::string, worker_slot>::iterator slot)
{
    forget_vm_of(slot->second.info());
    return slots_.erase(slot);
}

void task_runner::forget_vm_of(const worker_registration& info)
{
    const auto workers = workers_on_.find(info.vm);
    if (workers == workers_on_.end()) {
        return;
    }
    auto& names = workers->second;
    names.erase(std::remove(names.begin(), names.end(), info.id), names.end());
    if (names.empty()) {
        workers_on_.erase(workers);
    }
}

// A VM has one worker at a time, so the registration of a later one tells the end of the others.
void task_runner::end_earlier_lives(const worker_registration& info)
{
    for (auto* const other : slots_on(info.vm)) {
        const auto started_at_ms = other->session->started_at_ms();
        if (other->info().id != info.id && started_at_ms != 0 &&
            started_at_ms < info.started_at_ms && !other->session->dead()) {
            other->session->end("its VM has another worker");
        }
    }
}

void task_runner::worker_ended(const worker_incarnation& life)
{
    auto* const slot = find_slot(life.worker);
    if (slot != nullptr && slot->session->started_at_ms() == life.started_at_ms &&
        !slot->session->dead()) {
        slot->session->end("its VM was powered off");
    }
}

void task_runner::worker_unlisted(const std::string& worker)
{
    auto* const slot = find_slot(worker);
    if (slot != nullptr && slot->listed) {
        slot->listed = false;
        slot->unlisted_at = timers_.now();
        events_.workers_changed();
    }
}

std::vector<std::string> task_runner::forget_unlisted()
{
    std::vector<std::string> forgotten;
    const auto now = timers_.now();
    for (auto next = slots_.begin(); next != slots_.end();) {
        const auto& slot = next->second;
        const bool settled = slot.session->dead() || now >= slot.unlisted_at + unlisted_retention;
        if (!slot.listed && slot.assigned.empty() && settled && slot.session->resolved()) {
            forgotten.push_back(next->first);
            next = erase_slot(next);
        }
        else {
            ++next;
        }
    }
    return forgotten;
}

std::set<std::string> task_runner::unresolved_services() const
{
    std::set<std::string> services;
    for (const auto& [worker, slot] : slots_) {
        if (slot.from_roster && !slot.session->resolved()) {
            services.insert(slot.info().service);
        }
    }
    return services;
}

// --- Orders ------------------------------------------------------------------------------------

task* task_runner::current(const task_name& name, std::int64_t run, const std::string& worker)
{
    task* const found = jobs_.find_task(name);
    const bool same =
        found != nullptr && found->on_worker() && found->run == run && found->worker == worker;
    return same ? found : nullptr;
}

void task_runner::start(task& target, worker_slot& slot, const std::string& ticket)
{
    const auto first_run_of_term = (settings_.term - 1) * runs_per_term;
    target.run = std::max(target.run, first_run_of_term) + 1;
    target.phase = task_phase::starting;
    target.worker = slot.info().id;
    target.ticket = ticket;
    target.percent = 0;
    target.load = 0;
    target.pace = 100;
    target.changed_at = timers_.now();
    target.order_confirmed_at = order_unconfirmed;
    target.order_attempts = 0;
    if (!target.owner->any_started && !target.owner->spec.has_schedule()) {
        metrics_.record_first_start(target.owner->spec.queue,
                                    timers_.wall_now() - target.owner->accepted);
    }
    target.owner->any_started = true;
    slot.assigned.insert(&target);
    log_event(log_level::info, "task.start",
              {{"task", target.name().to_string()},
               {"run", std::to_string(target.run)},
               {"worker", target.worker}});
    send_start(target.name(), target.run, target.worker);
}

void task_runner::send_start(const task_name& name, std::int64_t run, const std::string& worker)
{
    task* const target = current(name, run, worker);
    auto* const slot = find_slot(worker);
    if (target == nullptr || slot == nullptr || target->phase != task_phase::starting) {
        return;
    }
    ++target->order_attempts;
    start_order order;
    order.task = name;
    order.run = run;
    order.payload = target->owner->spec.payload;
    order.checkpoint = target->checkpoint;
    order.ticket = target->ticket;
    slot->session->start(std::move(order), order_timeout,
                         [this, name, run, worker](const order_result& result) {
                             on_started(name, run, worker, result);
                         });
}

void task_runner::on_started(const task_name& name, std::int64_t run, const std::string& worker,
                             const order_result& result)
{
    auto* const slot = find_slot(worker);
    if (result.status == order_status::fenced) {
        events_.fenced(worker);
        return;
    }
    task* const target = current(name, run, worker);
    if (target == nullptr || slot == nullptr || target->phase != task_phase::starting) {
        return;
    }
    const auto now = timers_.now();
    if (result.status != order_status::accepted) {
        metrics_.record_refused_start(result.status);
        log_event(log_level::info, "task.start_refused",
                  {{"task", name.to_string()},
                   {"run", std::to_string(run)},
                   {"worker", worker},
                   {"reason", to_string(result.status)}});
    }
    switch (result.status) {
    case order_status::accepted:
        target->phase = task_phase::running;
        target->changed_at = now;
        target->order_confirmed_at = now;
        return;
    case order_status::unanswered:
        retry_start(*target);
        return;
    case order_status::superseded:
        if (target->order_attempts > 1) {
            // An earlier copy of this start was carried out and has ended: the lists tell how.
            target->phase = task_phase::stopping;
            target->order_confirmed_at = now;
            slot->session->look();
            return;
        }
        break;
    case order_status::no_room:
        slot->full_until = now + full_pause;
        break;
    case order_status::unhealthy:
        slot->unhealthy_until = now + unhealthy_pause;
        note_failure(*slot);
        break;
    case order_status::ticket_rejected:
        events_.ticket_rejected(*target);
        break;
    case order_status::rejected:
        target->not_before = now + rejected_pause;
        break;
    case order_status::not_sent:
        if (target->order_attempts > 1) {
            retry_start(*target); // an earlier copy was sent
            return;
        }
        slot->unhealthy_until = now + unhealthy_pause;
        slot->session->look();
        break;
    default:
        break;
    }
    release(*target);
}

void task_runner::retry_start(task& target)
{
    if (target.order_attempts >= max_start_attempts) {
        stop(target, "the start stays unanswered");
        return;
    }
    timers_.call_after(order_retry_delay, [this, alive = alive_, name = target.name(),
                                           run = target.run, worker = target.worker] {
        if (*alive) {
            send_start(name, run, worker);
        }
    });
}

void task_runner::stop(task& target, const char* reason)
{
    if (!target.on_worker() || target.phase == task_phase::stopping) {
        return;
    }
    log_event(log_level::info, "task.stop",
              {{"task", target.name().to_string()},
               {"run", std::to_string(target.run)},
               {"worker", target.worker},
               {"reason", reason}});
    target.phase = task_phase::stopping;
    target.changed_at = timers_.now();
    target.order_confirmed_at = order_unconfirmed;
    target.order_attempts = 0;
    send_stop(target.name(), target.run, target.worker);
}

void task_runner::send_stop(const task_name& name, std::int64_t run, const std::string& worker)
{
    task* const target = current(name, run, worker);
    auto* const slot = find_slot(worker);
    if (target == nullptr || slot == nullptr || target->phase != task_phase::stopping) {
        return;
    }
    ++target->order_attempts;
    stop_order order;
    order.task = name;
    order.run = run;
    slot->session->stop(
        order, order_timeout, [this, name, run, worker](const order_result& result) {
            if (result.status == order_status::fenced) {
                events_.fenced(worker);
                return;
            }
            task* const stopped = current(name, run, worker);
            if (stopped == nullptr) {
                return;
            }
            const bool settled = result.status == order_status::accepted ||
                                 result.status == order_status::superseded ||
                                 result.status == order_status::rejected;
            if (settled) {
                stopped->order_confirmed_at = timers_.now();
            }
            const auto delay =
                settled ? settings_.stop_time + stop_slack : milliseconds(stop_retry_delay);
            timers_.call_after(delay, [this, alive = alive_, settled, name, run, worker] {
                if (!*alive || current(name, run, worker) == nullptr) {
                    return;
                }
                if (settled) {
                    find_slot(worker)->session->look();
                }
                else {
                    send_stop(name, run, worker);
                }
            });
        });
}

// Stops a run that is not the current one of its task.
void task_runner::stop_stray(worker_slot& slot, const task_name& name, std::int64_t run)
{
    log_event(
        log_level::warning, "task.stray_run",
        {{"task", name.to_string()}, {"run", std::to_string(run)}, {"worker", slot.info().id}});
    stop_order order;
    order.task = name;
    order.run = run;
    slot.session->stop(order, order_timeout, [](const order_result&) {});
}

void task_runner::set_pace(task& target, int percent)
{
    auto* const slot = find_slot(target.worker);
    if (slot == nullptr || target.phase != task_phase::running || target.pace == percent) {
        return;
    }
    log_event(log_level::info, "task.pace",
              {{"task", target.name().to_string()},
               {"worker", target.worker},
               {"percent", std::to_string(percent)}});
    const int former = target.pace;
    target.pace = percent;
    pace_order order;
    order.task = target.name();
    order.run = target.run;
    order.percent = percent;
    slot->session->pace(order, order_timeout,
                        [this, former, name = target.name(), run = target.run,
                         worker = target.worker](const order_result& result) {
                            task* const paced = current(name, run, worker);
                            if (paced != nullptr && result.status != order_status::accepted) {
                                paced->pace = former; // decided anew at the next report
                            }
                        });
}

void task_runner::detach(task& target)
{
    if (auto* const slot = find_slot(target.worker)) {
        slot->assigned.erase(&target);
    }
    target.worker.clear();
}

void task_runner::release(task& target)
{
    detach(target);
    target.phase = task_phase::waiting;
    target.percent = 0;
    target.changed_at = timers_.now();
    events_.task_released(target);
}

} // namespace jl::jobs
