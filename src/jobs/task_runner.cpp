#include "jobs/task_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto order_retry_delay = 20ms;
constexpr auto stop_retry_delay = 60ms;
// A start is given up after this time without an answer.
constexpr auto start_give_up_time = 2000ms;
constexpr auto pace_repeat_interval = 500ms;
constexpr auto unhealthy_worker_backoff = 500ms;
constexpr auto full_worker_backoff = 120ms;
constexpr auto rejected_task_backoff = 1000ms;
// Wait for a worker's report after a stop order, beyond the worker's stop time.
constexpr auto stop_margin = 60ms;
// The session with a worker that is no longer registered is kept for this long.
constexpr auto unregistered_retention = 5000ms;
// The run numbers of each term begin at a multiple of this, so that they are higher than those of
// all earlier terms.
constexpr std::int64_t runs_per_term = 1000;

} // namespace

worker_identity identity_of(const worker_handle& handle)
{
    const auto& info = handle.info();
    return {{info.id, handle.session->started_at_ms()}, info.vm, info.draining};
}

task_runner::task_runner(net::timer_service& timers, worker_connector& connector, job_table& jobs,
                         task_listener& listener, job_metrics& metrics, runner_settings settings)
    : timers_(timers),
      connector_(connector),
      jobs_(jobs),
      listener_(listener),
      metrics_(metrics),
      settings_(std::move(settings)),
      created_at_(timers.now()),
      crashes_(timers, jobs, [this](task& suspect) { listener_.on_crash_evidence(suspect); }),
      orders_(timers, [this] { listener_.on_workers_changed(); }),
      highest_token_(settings_.token)
{
}

task_runner::~task_runner()
{
    *alive_ = false;
}

worker_handle* task_runner::find_worker(const std::string& worker)
{
    const auto found = worker_handles_.find(worker);
    return found == worker_handles_.end() ? nullptr : &found->second;
}

std::vector<worker_handle*> task_runner::workers_on_vm(const std::string& vm)
{
    std::vector<worker_handle*> found;
    const auto workers = workers_by_vm_.find(vm);
    if (vm.empty() || workers == workers_by_vm_.end()) {
        return found;
    }
    for (const auto& worker : workers->second) {
        found.push_back(&worker_handles_.at(worker));
    }
    return found;
}

bool task_runner::worker_registered(const worker_registration& info, registration_source source)
{
    const bool changed = apply_registration(info, source);
    auto& handle = worker_handles_.at(info.id);
    if (source == registration_source::renewal && handle.info().capacity == info.capacity) {
        handle.renewed_at = timers_.now();
    }
    return changed;
}

bool task_runner::apply_registration(const worker_registration& info, registration_source source)
{
    const auto found = worker_handles_.find(info.id);
    if (found != worker_handles_.end()) {
        if (!needs_new_session(found->second, info, source)) {
            return update_worker(found->second, info);
        }
        erase_worker(found);
    }
    add_worker(info, source);
    stop_open_starts(worker_handles_.at(info.id));
    listener_.on_workers_changed();
    return true;
}

// A session that has ended, or at whose address the worker has never answered, knows nothing of the
// worker that is worth keeping.
bool task_runner::needs_new_session(const worker_handle& handle, const worker_registration& info,
                                    registration_source source)
{
    const auto& session = *handle.session;
    if (session.dead()) {
        return info.started_at_ms > session.started_at_ms() ||
               source == registration_source::renewal;
    }
    return !session.proven() && !(handle.info().address == info.address);
}

// Workers renew their registration every second or two, mostly without a change.
bool task_runner::update_worker(worker_handle& handle, const worker_registration& info)
{
    const bool changed_registration = !handle.registered || !(handle.info() == info);
    handle.registered = true;
    handle.unregistered_since.reset();
    if (!changed_registration) {
        return false;
    }
    handle.session->update(info);
    update_vm_index(handle);
    if (!(handle.info().address == info.address)) {
        check_address(handle, info.address);
    }
    listener_.on_workers_changed();
    return true;
}

// The worker may have restarted at another address, or another writer has left the registration.
void task_runner::check_address(worker_handle& handle, const endpoint& address)
{
    const auto& worker = handle.info().id;
    handle.session->check_presence([this, worker, address] {
        auto& absent = *find_worker(worker)->session;
        log_event(log_level::info, "worker.address_changed",
                  {{"worker", worker}, {"address", address.to_string()}});
        absent.reconnect(connector_.connect(address, worker), address);
    });
}

void task_runner::add_worker(const worker_registration& info, registration_source source)
{
    const bool loaded_from_roster = source == registration_source::roster;
    auto session_settings = settings_.session;
    if (!loaded_from_roster) {
        session_settings.previous_leader_lease = 0ms;
    }
    auto& handle = worker_handles_[info.id];
    handle.loaded_from_roster = loaded_from_roster;
    handle.registered = !loaded_from_roster;
    handle.session = std::make_unique<worker_session>(
        timers_, static_cast<session_listener&>(*this), connector_.connect(info.address, info.id),
        info, highest_token_, session_settings, std::move(open_lease_orders_[info.id]));
    open_lease_orders_.erase(info.id);
    handle.indexed_vm = info.vm;
    workers_by_vm_[info.vm].push_back(info.id);
}

std::map<std::string, worker_handle>::iterator
task_runner::erase_worker(std::map<std::string, worker_handle>::iterator handle)
{
    remove_from_vm_index(handle->second);
    const auto& open_orders = handle->second.session->open_orders();
    if (open_orders.open_until(timers_.now())) {
        open_lease_orders_[handle->first] = open_orders;
    }
    return worker_handles_.erase(handle);
}

void task_runner::remove_from_vm_index(const worker_handle& handle)
{
    const auto workers = workers_by_vm_.find(handle.indexed_vm);
    if (workers == workers_by_vm_.end()) {
        return;
    }
    auto& names = workers->second;
    names.erase(std::remove(names.begin(), names.end(), handle.info().id), names.end());
    if (names.empty()) {
        workers_by_vm_.erase(workers);
    }
}

void task_runner::update_vm_index(worker_handle& handle)
{
    const auto& info = handle.info();
    if (handle.indexed_vm != info.vm) {
        remove_from_vm_index(handle);
        handle.indexed_vm = info.vm;
        workers_by_vm_[info.vm].push_back(info.id);
    }
}

// A VM has one worker at a time, so the earlier ones on the VM of a worker that has answered have
// ended. The VM is known from registrations alone, which may be another writer's, so an earlier
// worker is asked: one that still answers has not been replaced.
void task_runner::check_earlier_workers(worker_handle& handle)
{
    const worker_incarnation successor{handle.info().id, handle.session->started_at_ms()};
    const bool checked = handle.checked_vm == handle.info().vm &&
                         handle.checked_incarnation == successor.started_at_ms;
    if (checked) {
        return;
    }
    handle.checked_vm = handle.info().vm;
    handle.checked_incarnation = successor.started_at_ms;
    for (auto* const other : workers_on_vm(handle.checked_vm)) {
        const auto started_at_ms = other->session->started_at_ms();
        if (other != &handle && started_at_ms != 0 && started_at_ms < successor.started_at_ms) {
            end_if_absent(*other, loss_cause::replaced);
        }
    }
    crashes_.successor_answered(handle.checked_vm, successor, [this](const std::string& worker) {
        const auto* const earlier = find_worker(worker);
        return earlier != nullptr && !earlier->session->dead();
    });
}

void task_runner::end_if_absent(worker_handle& handle, loss_cause cause)
{
    handle.session->check_presence(
        [this, worker = handle.info().id, cause] { find_worker(worker)->session->end(cause); });
}

void task_runner::end_incarnation(const worker_incarnation& life)
{
    auto* const handle = find_worker(life.worker);
    if (handle != nullptr && handle->session->started_at_ms() == life.started_at_ms) {
        end_if_absent(*handle, loss_cause::powered_off);
    }
}

void task_runner::worker_unregistered(const std::string& worker)
{
    auto* const handle = find_worker(worker);
    if (handle != nullptr && handle->registered) {
        handle->registered = false;
        handle->unregistered_since = timers_.now();
        listener_.on_workers_changed();
    }
}

void task_runner::registrations_listed()
{
    for (auto& [worker, handle] : worker_handles_) {
        if (!handle.registered && !handle.unregistered_since) {
            handle.unregistered_since = timers_.now();
        }
    }
}

std::vector<std::string> task_runner::forget_unregistered()
{
    expire_open_orders();
    release_tasks_kept_after_lease();
    std::vector<std::string> forgotten;
    const auto now = timers_.now();
    for (auto next = worker_handles_.begin(); next != worker_handles_.end();) {
        const auto& handle = next->second;
        const bool retained =
            !handle.unregistered_since || now < *handle.unregistered_since + unregistered_retention;
        const bool idle = handle.assigned.empty() && handle.unacknowledged_ends.empty();
        if (!handle.registered && idle && (!retained || handle.session->dead()) &&
            handle.session->resolved()) {
            forgotten.push_back(next->first);
            next = erase_worker(next);
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
    for (const auto& [worker, handle] : worker_handles_) {
        if (handle.loaded_from_roster && !handle.session->resolved()) {
            services.insert(handle.info().service);
        }
    }
    return services;
}

bool task_runner::is_assigned(const open_starts::task_run& open, const std::string& worker) const
{
    const auto* const found = jobs_.find_task(open.task);
    return found != nullptr && found->on_worker() && found->worker == worker &&
           found->run == open.run;
}

bool task_runner::is_stray(const open_starts::task_run& open, const std::string& worker) const
{
    const auto handle = worker_handles_.find(worker);
    if (handle == worker_handles_.end()) {
        return false;
    }
    const auto& strays = handle->second.strays;
    const auto stray = strays.find(open.task.to_string());
    return stray != strays.end() && stray->second.run == open.run;
}

std::vector<task_name> task_runner::unassigned_runs() const
{
    std::vector<task_name> runs;
    for (const auto& [worker, handle] : worker_handles_) {
        for (const auto& [name, stray] : handle.strays) {
            if (const auto parsed = parse_task_name(name)) {
                runs.push_back(*parsed);
            }
        }
    }
    for (const auto& [worker, starts] : open_starts_) {
        for (const auto& open : starts.startable_runs()) {
            if (!is_assigned(open, worker) && !is_stray(open, worker)) {
                runs.push_back(open.task);
            }
        }
    }
    return runs;
}

// --- Orders ------------------------------------------------------------------------------------

task* task_runner::find_current_run(const task_name& name, std::int64_t run,
                                    const std::string& worker)
{
    task* const found = jobs_.find_task(name);
    const bool same =
        found != nullptr && found->on_worker() && found->run == run && found->worker == worker;
    return same ? found : nullptr;
}

void task_runner::start(task& target, worker_handle& handle, start_options options)
{
    target.run = std::max(target.run, first_run_of_term() - 1) + 1;
    target.phase = task_phase::starting;
    target.worker = handle.info().id;
    target.ticket = std::move(options.ticket);
    target.percent = 0;
    target.load = 0;
    target.pace = 100;
    target.pace_uncertain_until = {};
    target.changed_at = timers_.now();
    target.order_confirmed_at = order_unconfirmed;
    target.order_attempts = 0;
    target.start_sent = false;
    target.reported = false;
    target.isolation = task_isolation::none;
    if (options.isolated) {
        isolate(target, handle);
    }
    else if (target.maybe_crashed_unseen) {
        crashes_.begin_start(target, identity_of(handle), decisions::crash_link::shared);
    }
    target.maybe_crashed_unseen = false;
    target.owning_step->gang_stopped = false;
    handle.assigned.insert(&target);
    log_event(log_level::info, "task.start",
              {{"task", target.name().to_string()},
               {"run", std::to_string(target.run)},
               {"worker", target.worker}});
    send_start(target.name(), target.run, target.worker);
}

void task_runner::isolate(task& target, const worker_handle& handle)
{
    const bool whole_run = crashes_.verdict(target) == decisions::crash_verdict::isolate_run;
    target.isolation = whole_run ? task_isolation::run : task_isolation::start;
    metrics_.record_isolated_start();
    crashes_.begin_start(target, identity_of(handle), decisions::crash_link::sole);
}

void task_runner::raise_token(worker_handle& handle, std::int64_t token)
{
    handle.session->raise_token(token);
    highest_token_ = std::max(highest_token_, handle.session->token());
}

void task_runner::send_recorded_starts(job& recorded)
{
    for_each_task(recorded, [this](const task& target) {
        if (target.phase == task_phase::starting && !target.start_sent) {
            send_start(target.name(), target.run, target.worker);
        }
    });
}

void task_runner::send_start(const task_name& name, std::int64_t run, const std::string& worker)
{
    orders_.send([this, name, run, worker] { transmit_start(name, run, worker); });
}

void task_runner::transmit_start(const task_name& name, std::int64_t run, const std::string& worker)
{
    task* const target = find_current_run(name, run, worker);
    auto* const handle = find_worker(worker);
    if (target == nullptr || handle == nullptr || target->phase != task_phase::starting) {
        return;
    }
    if (!target->start_sent && target->owner->durable_version < target->crashes_version) {
        return; // send_recorded_starts() sends it
    }
    if (target->order_attempts++ == 0) {
        target->start_sent = true;
        target->start_sent_at = timers_.now();
        target->changed_at = target->start_sent_at;
        handle->last_start_at = target->start_sent_at;
    }
    start_order order;
    order.task = name;
    order.run = run;
    order.payload = target->owner->spec.payload;
    order.checkpoint = target->checkpoint;
    order.ticket = target->ticket;
    if (target->isolation != task_isolation::none) {
        handle->session->limit_next_wait(decisions::crash_window);
    }
    open_starts_[worker].on_sent(name, run, timers_.now());
    handle->session->start(std::move(order), [this, name, run, worker](const order_result& result) {
        on_started(name, run, worker, result);
    });
}

void task_runner::on_started(const task_name& name, std::int64_t run, const std::string& worker,
                             const order_result& result)
{
    auto* const handle = find_worker(worker);
    open_starts_[worker].on_answered(name, run, result.status);
    if (result.status == order_status::fenced) {
        listener_.fenced(worker);
        return;
    }
    task* const target = find_current_run(name, run, worker);
    if (target == nullptr || handle == nullptr || target->phase != task_phase::starting) {
        return;
    }
    const auto now = timers_.now();
    const bool repetition_not_sent =
        result.status == order_status::not_sent && target->order_attempts > 1;
    if (result.status != order_status::accepted && !repetition_not_sent) {
        metrics_.record_refused_start(result.status);
        log_event(log_level::info, "task.start_refused",
                  {{"task", name.to_string()},
                   {"run", std::to_string(run)},
                   {"worker", worker},
                   {"reason", to_string(result.status)},
                   {"attempt", std::to_string(target->order_attempts)},
                   {"open_attempts", std::to_string(open_attempts(name, run, worker))}});
    }
    switch (result.status) {
    case order_status::accepted:
        log_accepted_start(*handle, *target, result);
        confirm_running(*target);
        return;
    case order_status::unanswered:
        retry_start(*target);
        return;
    case order_status::superseded:
        if (target->order_attempts > 1) {
            // An earlier attempt of this start was executed and its run has ended. The worker's
            // report tells how.
            target->phase = task_phase::stopping;
            target->order_confirmed_at = now;
            handle->session->request_report();
            return;
        }
        break;
    case order_status::no_room:
        handle->no_room_until = now + full_worker_backoff;
        break;
    case order_status::unhealthy:
        handle->unhealthy_until = now + unhealthy_worker_backoff;
        record_failure(*handle);
        break;
    case order_status::ticket_rejected:
        listener_.on_ticket_rejected(*target);
        break;
    case order_status::rejected:
        target->not_before = now + rejected_task_backoff;
        break;
    case order_status::not_sent:
        if (target->order_attempts > 1) {
            retry_start(*target); // an earlier attempt was sent
            return;
        }
        handle->unhealthy_until = now + unhealthy_worker_backoff;
        handle->session->request_report();
        break;
    default:
        break;
    }
    if (start_is_open(*target)) {
        stop(*target, "an earlier attempt to start it may still be carried out");
        return;
    }
    release(*target);
}

// The answer does not name the incarnation of the worker that gave it; its clock, which starts anew
// with each incarnation, tells afterwards which one it was.
void task_runner::log_accepted_start(const worker_handle& handle, const task& started,
                                     const order_result& result) const
{
    const auto clock_ms = result.worker_clock ? std::to_string(result.worker_clock->count()) : "";
    log_event(log_level::info, "task.started",
              {{"task", started.name().to_string()},
               {"run", std::to_string(started.run)},
               {"worker", started.worker},
               {"known_incarnation", std::to_string(handle.session->started_at_ms())},
               {"worker_clock_ms", clock_ms},
               {"attempt", std::to_string(started.order_attempts)}});
}

void task_runner::confirm_running(task& target)
{
    auto& owner = *target.owner;
    const bool started_now = target.phase == task_phase::starting;
    if (started_now && !owner.any_started && !owner.spec.has_schedule()) {
        metrics_.record_first_start(owner.spec.queue, timers_.wall_now() - owner.accepted);
    }
    owner.any_started = true;
    target.phase = task_phase::running;
    target.changed_at = timers_.now();
    target.order_confirmed_at = target.changed_at;
}

void task_runner::retry_start(task& target)
{
    if (timers_.now() >= target.changed_at + start_give_up_time) {
        stop(target, "no attempt to start it was answered");
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
    orders_.send([this, name, run, worker] { transmit_stop(name, run, worker); });
}

void task_runner::transmit_stop(const task_name& name, std::int64_t run, const std::string& worker)
{
    task* const target = find_current_run(name, run, worker);
    auto* const handle = find_worker(worker);
    if (target == nullptr || handle == nullptr || target->phase != task_phase::stopping) {
        return;
    }
    ++target->order_attempts;
    stop_order order;
    order.task = name;
    order.run = run;
    handle->session->stop(order, [this, name, run, worker](const order_result& result) {
        if (result.status == order_status::fenced) {
            listener_.fenced(worker);
            return;
        }
        task* const stopped = find_current_run(name, run, worker);
        if (stopped == nullptr) {
            return;
        }
        const bool settled = is_stop_settled(name, run, worker, result.status);
        if (settled) {
            close_run(name, run, worker);
            stopped->order_confirmed_at = timers_.now();
        }
        const auto delay =
            settled ? settings_.stop_time + stop_margin : milliseconds(stop_retry_delay);
        timers_.call_after(delay, [this, alive = alive_, settled, name, run, worker] {
            if (!*alive || find_current_run(name, run, worker) == nullptr) {
                return;
            }
            if (settled) {
                find_worker(worker)->session->request_report();
            }
            else {
                send_stop(name, run, worker);
            }
        });
    });
}

// Stops a run that is not the current run of its task.
void task_runner::stop_stray(worker_handle& handle, const task_name& name, std::int64_t run)
{
    log_event(log_level::warning, "task.stray_run",
              {{"task", name.to_string()},
               {"run", std::to_string(run)},
               {"worker", handle.info().id},
               {"open_attempts", std::to_string(open_attempts(name, run, handle.info().id))}});
    auto& stray = handle.strays[name.to_string()];
    if (stray.run != run) {
        stray = {run, order_unconfirmed};
        metrics_.record_stray_run();
    }
    orders_.send(
        [this, name, run, worker = handle.info().id] { transmit_stray_stop(name, run, worker); });
}

void task_runner::transmit_stray_stop(const task_name& name, std::int64_t run,
                                      const std::string& worker)
{
    auto* const handle = find_worker(worker);
    if (handle == nullptr || handle->strays.count(name.to_string()) == 0) {
        return;
    }
    stop_order order;
    order.task = name;
    order.run = run;
    handle->session->stop(order, [this, name, run, worker](const order_result& result) {
        on_stray_stopped(name, run, worker, result);
    });
}

void task_runner::on_stray_stopped(const task_name& name, std::int64_t run,
                                   const std::string& worker, const order_result& result)
{
    const auto find_stray = [this, key = name.to_string(), run, worker] {
        auto* const handle = find_worker(worker);
        const bool present = handle != nullptr && handle->strays.count(key) != 0 &&
                             handle->strays.at(key).run == run;
        return present ? handle : nullptr;
    };
    auto* const handle = find_stray();
    if (handle == nullptr) {
        return;
    }
    const bool settled = is_stop_settled(name, run, worker, result.status);
    if (settled) {
        close_run(name, run, worker);
        handle->strays.at(name.to_string()).stop_confirmed_at = timers_.now();
    }
    const auto delay = settled ? settings_.stop_time + stop_margin : milliseconds(stop_retry_delay);
    timers_.call_after(delay, [this, alive = alive_, find_stray, settled, name, run] {
        auto* const handle_then = *alive ? find_stray() : nullptr;
        if (handle_then == nullptr) {
            return;
        }
        if (settled) {
            handle_then->session->request_report();
        }
        else {
            stop_stray(*handle_then, name, run);
        }
    });
}

void task_runner::stop_on_new_incarnation(task& target)
{
    if (target.phase != task_phase::stopping) {
        stop(target, "its worker has restarted");
        return;
    }
    const bool is_being_repeated = target.order_confirmed_at == order_unconfirmed;
    if (!is_being_repeated) {
        target.order_confirmed_at = order_unconfirmed;
        send_stop(target.name(), target.run, target.worker);
    }
}

void task_runner::stop_open_starts(worker_handle& handle)
{
    const auto& worker = handle.info().id;
    const auto found = open_starts_.find(worker);
    if (found == open_starts_.end()) {
        return;
    }
    for (const auto& open : found->second.runs()) {
        if (find_current_run(open.task, open.run, worker) == nullptr) {
            stop_stray(handle, open.task, open.run);
        }
    }
}

bool task_runner::start_is_open(const task& target) const
{
    return open_attempts(target.name(), target.run, target.worker) > 0;
}

std::int64_t task_runner::first_run_of_term() const
{
    return (settings_.term - 1) * runs_per_term + 1;
}

// Attempts of that start may be open without this leader knowing of them.
bool task_runner::started_by_former_leader(const task& target) const
{
    return target.run < first_run_of_term();
}

void task_runner::close_run(const task_name& name, std::int64_t run, const std::string& worker)
{
    const auto found = open_starts_.find(worker);
    if (found != open_starts_.end()) {
        found->second.on_run_closed(name, run);
    }
}

int task_runner::open_attempts(const task_name& name, std::int64_t run,
                               const std::string& worker) const
{
    const auto found = open_starts_.find(worker);
    return found == open_starts_.end() ? 0 : found->second.attempts(name, run);
}

// A worker that rejects a stop has no such run, but it may still carry out an open start of it.
bool task_runner::is_stop_settled(const task_name& name, std::int64_t run,
                                  const std::string& worker, order_status status) const
{
    return status == order_status::accepted || status == order_status::superseded ||
           (status == order_status::rejected && open_attempts(name, run, worker) == 0);
}

// A start that is carried out as late as possible, by a worker that has restarted, runs for the
// longest lease.
net::boot_time task_runner::oldest_open_start() const
{
    return timers_.now() - late_execution_limit - longest_lease(settings_.session.max_lease);
}

void task_runner::expire_open_orders()
{
    for (auto next = open_starts_.begin(); next != open_starts_.end();) {
        next->second.expire(oldest_open_start());
        next = next->second.empty() ? open_starts_.erase(next) : std::next(next);
    }
    for (auto next = open_lease_orders_.begin(); next != open_lease_orders_.end();) {
        const bool open = next->second.open_until(timers_.now()).has_value();
        next = open ? std::next(next) : open_lease_orders_.erase(next);
    }
}

// A pace order without an answer may take effect after newer ones, so the present pace is repeated
// until that is over.
bool task_runner::pace_repeat_due(const task& target) const
{
    const auto now = timers_.now();
    return now < target.pace_uncertain_until && now >= target.pace_sent_at + pace_repeat_interval;
}

void task_runner::set_pace(task& target, int percent)
{
    auto* const handle = find_worker(target.worker);
    if (handle == nullptr || target.phase != task_phase::running ||
        (target.pace == percent && !pace_repeat_due(target))) {
        return;
    }
    log_event(log_level::info, "task.pace",
              {{"task", target.name().to_string()},
               {"worker", target.worker},
               {"percent", std::to_string(percent)}});
    const int previous_percent = target.pace;
    target.pace = percent;
    target.pace_sent_at = timers_.now();
    pace_order order;
    order.task = target.name();
    order.run = target.run;
    order.percent = percent;
    handle->session->pace(order, [this, previous_percent, percent, name = target.name(),
                                  run = target.run,
                                  worker = target.worker](const order_result& result) {
        task* const paced = find_current_run(name, run, worker);
        if (paced == nullptr || result.status == order_status::accepted) {
            return;
        }
        if (result.status == order_status::unanswered) {
            paced->pace_uncertain_until = timers_.now() + late_execution_limit;
        }
        else if (paced->pace == percent) {
            paced->pace = previous_percent; // the next report decides again
        }
    });
}

void task_runner::detach(task& target)
{
    if (auto* const handle = find_worker(target.worker)) {
        handle->assigned.erase(&target);
    }
    target.worker.clear();
    target.awaits_report = false;
}

void task_runner::release(task& target)
{
    crashes_.run_ended(target, target.worker);
    requeue(target);
}

void task_runner::requeue(task& target)
{
    detach(target);
    target.phase = task_phase::waiting;
    target.percent = 0;
    target.changed_at = timers_.now();
    listener_.on_task_released(target);
}

} // namespace jl::jobs
