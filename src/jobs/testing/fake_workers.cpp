#include "jobs/testing/fake_workers.h"

#include <algorithm>
#include <utility>

namespace jl::jobs::testing {

namespace {

using namespace std::chrono_literals;

// Time until a leader notices that its connection to a worker was reset.
constexpr auto reset_delay = 20ms;
// A task under which so many workers have crashed must not be started again.
constexpr int max_crashes_by_task = 5;

order_result make_result(order_status status)
{
    order_result result;
    result.status = status;
    return result;
}

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

// The connection of one leader to one worker.
class fake_workers::port final : public worker_port {
public:
    port(fake_workers& fleet, std::string worker) : fleet_(fleet), worker_(std::move(worker)) {}

    void start(const start_order& order, milliseconds timeout,
               std::function<void(const order_result&)> done) override
    {
        const auto found = fleet_.workers_.find(worker_);
        const bool stopped = found != fleet_.workers_.end() && !found->second.up;
        fleet_.starts_on_stopped_workers_ += stopped ? 1 : 0;
        deliver([&fleet = fleet_, worker = worker_,
                 order] { return fleet.handle_start(worker, order); },
                timeout, done);
    }

    void stop(const stop_order& order, milliseconds timeout,
              std::function<void(const order_result&)> done) override
    {
        deliver(
            [&fleet = fleet_, worker = worker_, order] { return fleet.handle_stop(worker, order); },
            timeout, done);
    }

    void pace(const pace_order& order, milliseconds timeout,
              std::function<void(const order_result&)> done) override
    {
        deliver(
            [&fleet = fleet_, worker = worker_, order] { return fleet.handle_pace(worker, order); },
            timeout, done);
    }

    void hold(const hold_order& order, milliseconds timeout,
              std::function<void(const hold_report&)> answered) override
    {
        const auto done = [open = std::make_shared<bool>(true),
                           answered](const hold_report& report) {
            if (std::exchange(*open, false)) {
                answered(report);
            }
        };
        auto& timers = fleet_.timers_;
        ++fleet_.holds_;
        const auto found = fleet_.workers_.find(worker_);
        fleet_.holds_to_unknown_workers_ += found == fleet_.workers_.end() ? 1 : 0;
        const auto unanswered = [done] {
            hold_report report;
            report.result.status = order_status::unanswered;
            done(report);
        };
        if (found == fleet_.workers_.end() || !found->second.up || !answers_holds(found->second)) {
            timers.call_after(timeout, unanswered);
            return;
        }
        const auto incarnation = found->second.info.started_at_ms;
        if (connected_incarnation_ != 0 && connected_incarnation_ != incarnation) {
            connected_incarnation_ = 0;
            timers.call_after(fleet_.latency,
                              unanswered); // the connection belonged to the former process
            return;
        }
        if (connected_incarnation_ == 0 && order.last_seen_end > 0) {
            fleet_.violations_.push_back(worker_ + " gets an acknowledgement of ends before the " +
                                         "leader knows whether the worker has restarted");
        }
        connected_incarnation_ = incarnation;
        timers.call_after(timeout, unanswered); // no effect if the answer has come before
        timers.call_after(fleet_.latency, [&fleet = fleet_, id = worker_, order, done, &timers,
                                           incarnation, unanswered,
                                           weak_self = std::weak_ptr<port*>(self_)] {
            auto& worker = fleet.state(id);
            if (!worker.up || worker.info.started_at_ms != incarnation) {
                unanswered(); // its connection was reset
                return;
            }
            if (fleet.fenced(worker, order.fencing_token)) {
                hold_report report;
                report.result = make_result(order_status::fenced);
                timers.call_after(fleet.latency, [done, report] { done(report); });
                return;
            }
            if (order.lease_until) {
                fleet.extend_lease(worker, *order.lease_until);
            }
            worker.last_acknowledged_end =
                std::max(worker.last_acknowledged_end, order.last_seen_end);
            for (const auto& end : worker.ended) {
                if (end.number <= worker.last_acknowledged_end &&
                    end.number > worker.last_end_at_lease_expiry && end.kind == end_kind::done) {
                    fleet.acknowledged_done_.insert(end.name);
                }
            }
            const auto answer = [&fleet, id, done, &timers] {
                const auto report = fleet.make_report(fleet.state(id));
                timers.call_after(fleet.latency, [done, report] { done(report); });
            };
            const bool has_new =
                !worker.ended.empty() && worker.ended.back().number > worker.last_acknowledged_end;
            if (has_new || order.wait == 0ms) {
                answer();
                return;
            }
            pending_hold waiting;
            waiting.answer = answer;
            waiting.connection_reset = [weak_self, unanswered] {
                if (const auto port = weak_self.lock()) {
                    (*port)->connected_incarnation_ = 0;
                }
                unanswered();
            };
            waiting.timer = timers.call_after(
                order.wait, [&fleet, id] { fleet.answer_holds(fleet.state(id)); });
            worker.holds.push_back(waiting);
        });
    }

    bool has_hold_connection() const override { return connected_incarnation_ != 0; }

private:
    void deliver(const std::function<order_result()>& action, milliseconds timeout,
                 const std::function<void(const order_result&)>& done)
    {
        auto& timers = fleet_.timers_;
        const auto unanswered = [done] { done(make_result(order_status::unanswered)); };
        const auto found = fleet_.workers_.find(worker_);
        if (found == fleet_.workers_.end() || !found->second.up ||
            found->second.mode == worker_mode::unreachable) {
            timers.call_after(timeout, unanswered);
            return;
        }
        switch (found->second.mode) {
        case worker_mode::delayed:
        case worker_mode::late_orders:
            timers.call_after(fleet_.late_order_delay, [action] { action(); });
            timers.call_after(timeout, unanswered);
            return;
        case worker_mode::answer_lost:
            timers.call_after(fleet_.latency, [action] { action(); });
            timers.call_after(timeout, unanswered);
            return;
        default:
            timers.call_after(fleet_.latency,
                              [action, done, latency = fleet_.latency, &timers,
                               &worker = found->second,
                               incarnation = found->second.info.started_at_ms, unanswered] {
                                  if (!worker.up || worker.info.started_at_ms != incarnation) {
                                      unanswered(); // its connection was reset
                                      return;
                                  }
                                  const auto result = action();
                                  timers.call_after(latency, [done, result] { done(result); });
                              });
        }
    }

    fake_workers& fleet_;
    std::string worker_;
    std::shared_ptr<port*> self_ = std::make_shared<port*>(this);
    std::int64_t connected_incarnation_ =
        0; // of the worker that the hold connection leads to; 0: none
};

std::unique_ptr<worker_port> fake_workers::connect(const endpoint&, const std::string& worker)
{
    return std::make_unique<port>(*this, worker);
}

worker_registration fake_workers::add(const std::string& id, const std::string& service,
                                      task_resources capacity, std::int64_t started_at_ms)
{
    auto& worker = workers_[id];
    worker.info.id = id;
    worker.info.service = service;
    worker.info.address = {"10.0.0.1", 1};
    worker.info.vm = "vm-" + id;
    worker.info.rack = "rack-" + id;
    worker.info.labels = {"kind", worker.info.rack};
    worker.info.capacity = capacity;
    worker.info.started_at_ms = started_at_ms;
    worker.started = timers_.now();
    return worker.info;
}

void fake_workers::crash(const std::string& id)
{
    auto& worker = state(id);
    worker.up = false;
    for (auto& [task, run] : worker.active) {
        ++crashes_by_task_[task];
        timers_.cancel(run.end_timer);
    }
    worker.active.clear();
    worker.ended.clear();
    worker.highest_ended_run.clear();
    for (const auto& hold : worker.holds) {
        timers_.cancel(hold.timer);
        timers_.call_after(reset_delay, hold.connection_reset);
    }
    worker.holds.clear();
    worker.token = 0;
}

void fake_workers::restart(const std::string& id)
{
    crash(id);
    auto& worker = state(id);
    worker.up = true;
    ++worker.info.started_at_ms;
    worker.started = timers_.now();
    worker.next_end_number = 1;
    worker.last_acknowledged_end = 0;
    worker.last_end_at_lease_expiry = 0;
    worker.lease_ends = {};
}

void fake_workers::crash_and_recover(const std::string& id)
{
    if (!state(id).up) {
        return; // another task has crashed it before
    }
    crash(id);
    timers_.call_after(crash_downtime, [this, id] { recover(id); });
}

void fake_workers::recover(const std::string& id)
{
    if (state(id).up || (may_recover && !may_recover(id))) {
        return;
    }
    const auto former = state(id).info;
    if (recovery == crash_recovery::same_id) {
        restart(id);
        on_recovered(id, state(id).info);
        return;
    }
    add(id + "+", former.service, former.capacity, former.started_at_ms + 1);
    auto& successor = state(id + "+").info;
    successor.vm = former.vm;
    successor.rack = former.rack;
    successor.labels = former.labels;
    on_recovered(id, successor);
}

milliseconds fake_workers::clock_of(const worker_state& worker) const
{
    return std::chrono::duration_cast<milliseconds>(timers_.now() - worker.started) + 1000ms;
}

void fake_workers::extend_lease(worker_state& worker, milliseconds until)
{
    const auto limited = std::min(until, clock_of(worker) + max_lease);
    const auto ends = timers_.now() + (limited - clock_of(worker));
    if (ends > worker.lease_ends) {
        worker.lease_ends = ends;
        timers_.call_after(ends - timers_.now(),
                           [this, id = worker.info.id] { end_tasks_if_lease_expired(id); });
    }
}

void fake_workers::end_tasks_if_lease_expired(const std::string& id)
{
    auto& worker = state(id);
    if (!worker.up || timers_.now() < worker.lease_ends) {
        return;
    }
    while (!worker.active.empty()) {
        end(worker, worker.active.begin()->first, end_kind::lapsed);
    }
    worker.last_end_at_lease_expiry = worker.next_end_number - 1;
}

bool fake_workers::fenced(worker_state& worker, std::int64_t token)
{
    if (token < worker.token) {
        return true;
    }
    worker.token = token;
    return false;
}

order_result fake_workers::handle_start(const std::string& id, const start_order& order)
{
    auto& worker = state(id);
    auto result = make_result(order_status::accepted);
    result.worker_clock = clock_of(worker);
    if (!worker.up) {
        result.status = order_status::not_sent;
        return result;
    }
    if (fenced(worker, order.fencing_token)) {
        result.status = order_status::fenced;
        return result;
    }
    const auto name = order.task.to_string();
    const auto active = worker.active.find(name);
    if (active != worker.active.end() && active->second.run == order.run) {
        extend_lease(worker, order.lease_until);
        return result;
    }
    const auto ended = worker.highest_ended_run.find(name);
    if (active != worker.active.end() ||
        (ended != worker.highest_ended_run.end() && order.run <= ended->second)) {
        extend_lease(worker, order.lease_until); // also by a start that is refused so
        result.status = order_status::superseded;
        return result;
    }
    if (order.lease_until <= clock_of(worker)) {
        result.status = order_status::lease_too_late;
        return result;
    }
    if (worker.answer_to_starts != order_status::accepted) {
        result.status = worker.answer_to_starts;
        return result;
    }
    check_start(id, order);
    extend_lease(worker, order.lease_until);
    auto& run = worker.active[name];
    run.run = order.run;
    run.started = timers_.now();
    runs_by_task_[name].push_back(order.run);
    const auto found = plans_by_job.find(job_of(name));
    const auto& plan = found == plans_by_job.end() ? default_plan : found->second;
    const bool fails = failed_runs_[name] < plan.failures;
    if (crashing_tasks.count(name) != 0) {
        timers_.call_after(crash_delay, [this, id, incarnation = worker.info.started_at_ms] {
            if (state(id).info.started_at_ms == incarnation) {
                crash_and_recover(id);
            }
        });
    }
    run.end_timer = timers_.call_after(plan.duration, [this, id, name, fails] {
        end(state(id), name, fails ? end_kind::failed : end_kind::done);
    });
    return result;
}

worker_registration fake_workers::resize(const std::string& id, task_resources capacity)
{
    auto& worker = state(id);
    worker.former_capacity = worker.info.capacity;
    worker.capacity_changed_at = timers_.now();
    worker.info.capacity = capacity;
    return worker.info;
}

void fake_workers::check_capacity(const worker_state& worker, const start_order& order)
{
    const bool grace = timers_.now() < worker.capacity_changed_at + capacity_grace;
    const auto limit = [grace](std::int64_t present, std::int64_t former) {
        return grace ? std::max(present, former) : present;
    };
    const auto& capacity = worker.info.capacity;
    const auto& former = worker.former_capacity;
    const auto runs = static_cast<std::int64_t>(worker.active.size()) + 1;
    if (runs * request_of_each_task.millicores > limit(capacity.millicores, former.millicores) ||
        runs * request_of_each_task.memory_mb > limit(capacity.memory_mb, former.memory_mb)) {
        violations_.push_back(order.task.to_string() + " brings " + worker.info.id +
                              " over its capacity with " + std::to_string(runs) + " runs");
    }
}

void fake_workers::check_crashing_task(const start_order& order)
{
    const auto name = order.task.to_string();
    if (crashing_tasks.count(name) != 0 && crash_count(name) >= max_crashes_by_task) {
        violations_.push_back(name + " run " + std::to_string(order.run) + " starts after " +
                              std::to_string(crash_count(name)) + " workers crashed under it");
    }
}

void fake_workers::check_start(const std::string& id, const start_order& order)
{
    const auto name = order.task.to_string();
    for (const auto& [other, worker] : workers_) {
        if (worker.up && worker.active.count(name) != 0) {
            violations_.push_back(name + " run " + std::to_string(order.run) + " starts on " + id +
                                  " while it runs on " + other);
        }
    }
    ++started_runs_;
    check_capacity(state(id), order);
    check_crashing_task(order);
    if (acknowledged_done_.count(name) != 0) {
        violations_.push_back(name + " starts on " + id + " after its end was acknowledged");
    }
}

order_result fake_workers::handle_stop(const std::string& id, const stop_order& order)
{
    auto& worker = state(id);
    auto result = make_result(order_status::accepted);
    result.worker_clock = clock_of(worker);
    if (fenced(worker, order.fencing_token)) {
        result.status = order_status::fenced;
        return result;
    }
    if (worker.answer_to_stops != order_status::accepted) {
        result.status = worker.answer_to_stops;
        return result;
    }
    const auto name = order.task.to_string();
    auto& highest = worker.highest_ended_run[name];
    highest = std::max(highest, order.run);
    const auto active = worker.active.find(name);
    if (active != worker.active.end() && active->second.run <= order.run) {
        stopped_at_ = timers_.now();
        timers_.call_after(stop_time, [this, id, name, run = active->second.run] {
            auto& stopped = state(id);
            const auto found = stopped.active.find(name);
            if (found != stopped.active.end() && found->second.run == run) {
                end(stopped, name, end_kind::stopped);
            }
        });
    }
    return result;
}

order_result fake_workers::handle_pace(const std::string& id, const pace_order& order)
{
    auto& worker = state(id);
    if (fenced(worker, order.fencing_token)) {
        return make_result(order_status::fenced);
    }
    const auto active = worker.active.find(order.task.to_string());
    if (active == worker.active.end() || active->second.run != order.run) {
        return make_result(order_status::rejected);
    }
    active->second.pace = order.percent;
    return make_result(order_status::accepted);
}

void fake_workers::end(worker_state& worker, const std::string& task, end_kind kind)
{
    const auto found = worker.active.find(task);
    if (!worker.up || found == worker.active.end()) {
        return;
    }
    if (kind == end_kind::failed) {
        ++failed_runs_[task];
    }
    ended_task ended;
    ended.number = worker.next_end_number++;
    ended.name = task;
    ended.run = found->second.run;
    ended.kind = kind;
    timers_.cancel(found->second.end_timer);
    auto& highest = worker.highest_ended_run[task];
    highest = std::max(highest, ended.run);
    worker.active.erase(found);
    worker.ended.push_back(ended);
    answer_holds(worker);
}

void fake_workers::answer_holds(worker_state& worker)
{
    const auto waiting = std::move(worker.holds);
    worker.holds.clear();
    for (const auto& hold : waiting) {
        timers_.cancel(hold.timer);
        if (answers_holds(worker)) {
            hold.answer();
        }
    }
}

hold_report fake_workers::make_report(const worker_state& worker) const
{
    hold_report report;
    report.result = make_result(order_status::accepted);
    report.result.worker_clock = clock_of(worker);
    report.result.started_at_ms = worker.info.started_at_ms;
    for (const auto& [name, run] : worker.active) {
        running_task entry;
        entry.name = name;
        entry.run = run.run;
        entry.percent = timers_.now() >= run.started + startup ? 100 : 0;
        const auto load = loads.find(name);
        entry.load = load == loads.end() ? 0 : load->second;
        report.running.push_back(entry);
    }
    for (const auto& ended : worker.ended) {
        if (ended.number > worker.last_acknowledged_end && report.ended.size() < ends_per_report) {
            report.ended.push_back(ended);
        }
    }
    report.has_more_ends = report.ended.size() >= ends_per_report;
    return report;
}

int fake_workers::start_count(const std::string& task) const
{
    const auto found = runs_by_task_.find(task);
    return found == runs_by_task_.end() ? 0 : static_cast<int>(found->second.size());
}

int fake_workers::crash_count(const std::string& task) const
{
    const auto found = crashes_by_task_.find(task);
    return found == crashes_by_task_.end() ? 0 : found->second;
}

int fake_workers::running(const std::string& id) const
{
    return static_cast<int>(workers_.at(id).active.size());
}

bool fake_workers::is_running(const std::string& task) const
{
    return !worker_of(task).empty();
}

int fake_workers::pace_of(const std::string& task) const
{
    const auto worker = worker_of(task);
    return worker.empty() ? 0 : workers_.at(worker).active.at(task).pace;
}

bool fake_workers::is_at_work(const std::string& task) const
{
    const auto worker = worker_of(task);
    return !worker.empty() &&
           timers_.now() >= workers_.at(worker).active.at(task).started + startup;
}

std::string fake_workers::worker_of(const std::string& task) const
{
    for (const auto& [id, worker] : workers_) {
        if (worker.up && worker.active.count(task) != 0) {
            return id;
        }
    }
    return "";
}

} // namespace jl::jobs::testing
