#include "jobs/testing/fake_vms.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace jl::jobs::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto list_latency = 5ms;
constexpr auto move_time = 1500ms;
constexpr auto maintenance_time = 2000ms;
// Minimum time between orders of two different leaders to one VM.
constexpr auto order_interval = 3000ms;
constexpr auto refusal_delay = 5ms;

} // namespace

fake_vms::fake_vms(net::timer_service& timers, fake_workers& workers, callbacks callbacks)
    : timers_(timers), workers_(workers), callbacks_(std::move(callbacks))
{
}

void fake_vms::add(const std::string& vm, const std::string& pool)
{
    auto& added = vms_[vm];
    added.vm = vm;
    added.pool = pool;
    added.capacity = {64000, 131072, 0};
    bring_up(vm);
}

void fake_vms::bring_up(const std::string& vm)
{
    auto& up = vms_.at(vm);
    up.state = vm_state::up;
    up.worker.clear();
    if (up.pool == standby_pool) {
        return;
    }
    up.worker = "v" + std::to_string(next_worker_++);
    auto info = workers_.add(up.worker, up.pool, up.capacity, next_worker_);
    info.vm = vm;
    record_state();
    callbacks_.worker_listed(info);
}

void fake_vms::take_down(const std::string& vm, vm_state state)
{
    auto& down = vms_.at(vm);
    if (!down.worker.empty()) {
        interrupted_tasks_ += workers_.running(down.worker);
        workers_.crash(down.worker);
        callbacks_.worker_unlisted(down.worker);
        down.worker.clear();
    }
    down.state = state;
    record_state();
}

void fake_vms::record_state()
{
    std::vector<fleet_vm> listed;
    listed.reserve(vms_.size());
    for (const auto& [name, vm] : vms_) {
        listed.push_back(vm);
        if (vms_without_worker_name.count(name) != 0) {
            listed.back().worker.clear();
        }
    }
    state_history_.emplace_back(timers_.now(), std::move(listed));
}

void fake_vms::check_order_interval(const std::string& vm, std::int64_t token)
{
    auto& last = last_orders_[vm];
    const bool recent = last.token != 0 && timers_.now() - last.at < order_interval;
    conflicting_orders_ += recent && last.token != token ? 1 : 0;
    last = {token, timers_.now()};
}

void fake_vms::list(std::function<void(std::optional<std::vector<fleet_vm>>)> done)
{
    timers_.call_after(list_latency, [this, done = std::move(done)] {
        record_state();
        while (state_history_.size() > 1 && state_history_[1].first <= timers_.now() - list_lag) {
            state_history_.pop_front();
        }
        auto listed = state_history_.front().second;
        listed.erase(
            std::remove_if(listed.begin(), listed.end(),
                           [this](const fleet_vm& vm) { return unlisted_vms.count(vm.vm) != 0; }),
            listed.end());
        done(std::move(listed));
    });
}

fake_vms::order_answer fake_vms::report_once(order_answer done)
{
    const auto answered = std::make_shared<bool>(false);
    auto answer = [answered, done = std::move(done)](vm_order_status status) {
        if (!std::exchange(*answered, true)) {
            done(status);
        }
    };
    timers_.call_after(order_timeout, [answer] { answer(vm_order_status::unanswered); });
    return answer;
}

void fake_vms::submit_order(const order_answer& answer, const std::function<void()>& execute)
{
    const bool throttled = pending_orders_ >= max_pending_orders;
    if (refusal || throttled) {
        const auto status = refusal.value_or(vm_order_status::throttled);
        timers_.call_after(refusal_delay, [answer, status] { answer(status); });
        return;
    }
    ++pending_orders_;
    timers_.call_after(order_delay, [this, execute] {
        --pending_orders_;
        execute();
    });
}

void fake_vms::move(const std::string& vm, const std::string& pool, std::int64_t token,
                    std::function<void(vm_order_status)> done)
{
    const auto answer = report_once(std::move(done));
    submit_order(answer,
                 [this, vm, pool, token, answer] { execute_move(vm, pool, token, answer); });
}

void fake_vms::execute_move(const std::string& vm, const std::string& pool, std::int64_t token,
                            const order_answer& done)
{
    check_order_interval(vm, token);
    auto& moved = vms_.at(vm);
    if (moved.state != vm_state::up) {
        done(vm_order_status::busy);
        return;
    }
    if (moved.pool != pool) {
        ++move_count_;
        take_down(vm, vm_state::moving);
        moved.pool = pool;
        timers_.call_after(move_time, [this, vm] { bring_up(vm); });
    }
    timers_.call_after(answer_delay, [done] { done(vm_order_status::accepted); });
}

void fake_vms::maintain(const std::string& vm, std::int64_t wave, std::int64_t token,
                        std::function<void(vm_order_status)> done)
{
    const auto answer = report_once(std::move(done));
    submit_order(answer,
                 [this, vm, wave, token, answer] { execute_maintenance(vm, wave, token, answer); });
}

void fake_vms::execute_maintenance(const std::string& vm, std::int64_t wave, std::int64_t token,
                                   const order_answer& done)
{
    check_order_interval(vm, token);
    if (maintained_in_wave_.count({vm, wave}) != 0) {
        done(vm_order_status::accepted); // the platform executes a maintenance order once per wave
        return;
    }
    if (vms_.at(vm).state != vm_state::up) {
        done(vm_order_status::busy);
        return;
    }
    maintained_in_wave_.insert({vm, wave});
    take_down(vm, vm_state::maintenance);
    const auto down = std::count_if(vms_.begin(), vms_.end(), [](const auto& entry) {
        return entry.second.state == vm_state::maintenance;
    });
    most_in_maintenance_ = std::max(most_in_maintenance_, static_cast<int>(down));
    timers_.call_after(maintenance_time, [this, vm] {
        ++completed_maintenances_;
        bring_up(vm);
    });
    timers_.call_after(answer_delay, [done] { done(vm_order_status::accepted); });
}

int fake_vms::vms_in(const std::string& pool) const
{
    return static_cast<int>(std::count_if(
        vms_.begin(), vms_.end(), [&](const auto& entry) { return entry.second.pool == pool; }));
}

} // namespace jl::jobs::testing
