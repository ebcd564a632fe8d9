#include "jobs/vm_order_log.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto interval_margin = 300ms;
// A VM stays in the record for this long after it was last requested, which is longer than any
// order can take effect.
constexpr auto retention = 8000ms;

} // namespace

vm_order_log::vm_order_log(net::timer_service& timers, milliseconds interval,
                           std::function<void()> changed, std::function<void()> ready)
    : timers_(timers),
      interval_(interval),
      changed_(std::move(changed)),
      ready_(std::move(ready)),
      created_at_(timers.now())
{
}

void vm_order_log::load(const store_item& item)
{
    const auto document = nlohmann::json::parse(item.value, nullptr, false);
    if (!document.is_array()) {
        log_event(log_level::error, "vm_orders.record_unreadable", {{"key", item.key}});
        previous_record_unreadable_ = true;
        return;
    }
    for (const auto& vm : document) {
        if (vm.is_string()) {
            previous_leader_vms_.insert(vm.get<std::string>());
        }
    }
}

bool vm_order_log::may_order(const std::string& vm)
{
    const auto now = timers_.now();
    const bool ordered_by_previous_leader =
        previous_record_unreadable_ || previous_leader_vms_.count(vm) != 0;
    if (ordered_by_previous_leader && now < created_at_ + interval_ + interval_margin) {
        return false;
    }
    auto& logged_vm = logged_vms_[vm];
    logged_vm.last_requested = now;
    if (logged_vm.version == 0) {
        logged_vm.version = ++version_;
        remove_expired();
        changed_();
    }
    return logged_vm.version <= durable_version_;
}

void vm_order_log::remove_expired()
{
    const auto oldest = timers_.now() - retention;
    for (auto next = logged_vms_.begin(); next != logged_vms_.end();) {
        next = next->second.last_requested < oldest ? logged_vms_.erase(next) : std::next(next);
    }
}

std::string vm_order_log::encode() const
{
    auto names = nlohmann::json::array();
    for (const auto& [vm, logged_vm] : logged_vms_) {
        names.push_back(vm);
    }
    // Orders of the previous leader may still be in progress, and the next leader must know of
    // them.
    if (timers_.now() < created_at_ + interval_ + interval_margin) {
        for (const auto& vm : previous_leader_vms_) {
            names.push_back(vm);
        }
    }
    return names.dump();
}

void vm_order_log::on_durable(std::int64_t version)
{
    if (version > durable_version_) {
        durable_version_ = version;
        ready_();
    }
}

} // namespace jl::jobs
