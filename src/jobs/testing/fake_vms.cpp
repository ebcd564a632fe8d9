#include "jobs/testing/fake_vms.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace jl::jobs::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto latency = 5ms;
constexpr auto move_time = 1500ms;
constexpr auto maintenance_time = 2000ms;
// Orders of two leaders to one VM must be this far apart.
constexpr auto order_interval = 3000ms;
constexpr auto throttle_delay = 5ms;

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
    note_state();
    callbacks_.worker_listed(info);
}

void fake_vms::take_down(const std::string& vm, vm_state state)
{
    auto& down = vms_.at(vm);
    if (!down.worker.empty()) {
        cut_tasks_ += workers_.running(down.worker);
        workers_.crash(down.worker);
        callbacks_.worker_unlisted(down.worker);
        down.worker.clear();
    }
    down.state = state;
    note_state();
}

void fake_vms::note_state()
{
    std::vector<fleet_vm> listed;
    listed.reserve(vms_.size());
    for (const auto& [name, vm] : vms_) {
        listed.push_back(vm);
        if (nameless.count(name) != 0) {
            listed.back().worker.clear();
        }
    }
    history_.emplace_back(timers_.now(), std::move(listed));
}

void fake_vms::judge_order(const std::string& vm, std::int64_t token)
{
    auto& last = last_orders_[vm];
    const bool recent = last.token != 0 && timers_.now() - last.at < order_interval;
    contested_ += recent && last.token != token ? 1 : 0;
    last = {token, timers_.now()};
}

void fake_vms::list(std::function<void(std::optional<std::vector<fleet_vm>>)> done)
{
    timers_.call_after(latency, [this, done = std::move(done)] {
        note_state();
        while (history_.size() > 1 && history_[1].first <= timers_.now() - list_lag) {
            history_.pop_front();
        }
        auto listed = history_.front().second;
        listed.erase(
            std::remove_if(listed.begin(), listed.end(),
                           [this](const fleet_vm& vm) { return left_out.count(vm.vm) != 0; }),
            listed.end());
        done(std::move(listed));
    });
}

fake_vms::order_answer fake_vms::answer_once(order_answer done)
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

void fake_vms::give(const order_answer& answer, const std::function<void()>& carry_out)
{
    if (open_orders_ >= max_open_orders) {
        timers_.call_after(throttle_delay, [answer] { answer(vm_order_status::throttled); });
        return;
    }
    ++open_orders_;
    timers_.call_after(order_delay, [this, carry_out] {
        --open_orders_;
        carry_out();
    });
}

void fake_vms::move(const std::string& vm, const std::string& pool, std::int64_t token,
                    std::function<void(vm_order_status)> done)
{
    const auto answer = answer_once(std::move(done));
    give(answer, [this, vm, pool, token, answer] { carry_out_move(vm, pool, token, answer); });
}

void fake_vms::carry_out_move(const std::string& vm, const std::string& pool, std::int64_t token,
                              const order_answer& done)
{
    judge_order(vm, token);
    auto& moved = vms_.at(vm);
    if (moved.state != vm_state::up) {
        done(vm_order_status::busy);
        return;
    }
    if (moved.pool != pool) {
        ++moves_;
        take_down(vm, vm_state::moving);
        moved.pool = pool;
        timers_.call_after(move_time, [this, vm] { bring_up(vm); });
    }
    timers_.call_after(answer_delay, [done] { done(vm_order_status::accepted); });
}

void fake_vms::maintain(const std::string& vm, std::int64_t wave, std::int64_t token,
                        std::function<void(vm_order_status)> done)
{
    const auto answer = answer_once(std::move(done));
    give(answer,
         [this, vm, wave, token, answer] { carry_out_maintenance(vm, wave, token, answer); });
}

void fake_vms::carry_out_maintenance(const std::string& vm, std::int64_t wave, std::int64_t token,
                                     const order_answer& done)
{
    judge_order(vm, token);
    if (done_in_wave_.count({vm, wave}) != 0) {
        done(vm_order_status::accepted); // the platform carries an order out once
        return;
    }
    if (vms_.at(vm).state != vm_state::up) {
        done(vm_order_status::busy);
        return;
    }
    done_in_wave_.insert({vm, wave});
    take_down(vm, vm_state::maintenance);
    const auto down = std::count_if(vms_.begin(), vms_.end(), [](const auto& entry) {
        return entry.second.state == vm_state::maintenance;
    });
    most_in_maintenance_ = std::max(most_in_maintenance_, static_cast<int>(down));
    timers_.call_after(maintenance_time, [this, vm] {
        ++maintained_;
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
