#include "jobs/vm_order_log.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto interval_margin = 300ms;
// A VM stays in the record for this long after it was last requested, which is longer than any
// order can take effect.
constexpr auto retention = 8000ms;

// Returns 0 if the value is no age. Limits the others to `longest` and, for orders that may be
// executed late, to a negative age of late_execution_limit, so that no time overflows.
milliseconds decode_age(const nlohmann::json& value, milliseconds longest)
{
    if (value.is_number_unsigned()) {
        const auto limit = static_cast<std::uint64_t>(longest.count());
        return milliseconds(std::min(value.get<std::uint64_t>(), limit));
    }
    if (value.is_number_integer()) {
        return std::max<milliseconds>(milliseconds(value.get<std::int64_t>()),
                                      -late_execution_limit);
    }
    return milliseconds(0);
}

// Rounded down.
std::int64_t whole_milliseconds(net::boot_clock::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

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
    const auto document = parse_json_object(item.value);
    if (!document) {
        log_event(log_level::error, "vm_orders.record_unreadable", {{"key", item.key}});
        previous_record_unreadable_ = true;
        return;
    }
    // The record may have been written long before the change of leaders, so the true ages are the
    // stated ones or higher.
    for (const auto& [vm, age] : document->items()) {
        held_until_[vm] = last_hold_end() - decode_age(age, interval_ + interval_margin);
    }
}

net::boot_time vm_order_log::last_hold_end() const
{
    return created_at_ + interval_ + interval_margin;
}

bool vm_order_log::held_by_previous_leader(const std::string& vm) const
{
    if (previous_record_unreadable_) {
        return timers_.now() < last_hold_end();
    }
    const auto held = held_until_.find(vm);
    return held != held_until_.end() && timers_.now() < held->second;
}

bool vm_order_log::may_order(const std::string& vm)
{
    if (held_by_previous_leader(vm)) {
        return false;
    }
    const auto now = timers_.now();
    auto& logged_vm = logged_vms_[vm];
    logged_vm.last_requested = now;
    if (logged_vm.version == 0 || logged_vm.aged) {
        logged_vm.version = ++version_;
        logged_vm.aged = false;
        remove_expired();
        changed_();
    }
    return logged_vm.version <= durable_version_;
}

void vm_order_log::on_unanswered(const std::string& vm)
{
    logged_vms_[vm].open_until = timers_.now() + late_execution_limit;
    ++version_;
    changed_();
}

void vm_order_log::remove_expired()
{
    const auto now = timers_.now();
    for (auto next = logged_vms_.begin(); next != logged_vms_.end();) {
        const auto& logged_vm = next->second;
        const bool expired =
            logged_vm.last_requested + retention < now && logged_vm.open_until < now;
        next = expired ? logged_vms_.erase(next) : std::next(next);
    }
}

std::int64_t vm_order_log::age_with_hold(net::boot_clock::duration hold) const
{
    return whole_milliseconds(interval_ + interval_margin - hold);
}

std::string vm_order_log::encode()
{
    const auto now = timers_.now();
    auto ages = nlohmann::json::object();
    // Orders of the previous leader may still be in progress, and the next leader must know of
    // them.
    for (const auto& [vm, held_until] : held_until_) {
        if (now < held_until) {
            ages[vm] = age_with_hold(held_until - now);
        }
    }
    for (auto& [vm, logged_vm] : logged_vms_) {
        // An order may be sent as soon as this version is durable. Age 0 holds until then, because
        // the next leader counts it from its own start.
        const bool order_follows = logged_vm.version > durable_version_;
        auto age = order_follows ? 0 : whole_milliseconds(now - logged_vm.last_requested);
        if (logged_vm.open_until > now) {
            age = std::min(age, age_with_hold(logged_vm.open_until - now));
        }
        logged_vm.aged = age > 0;
        ages[vm] = age;
    }
    return ages.dump();
}

void vm_order_log::on_durable(std::int64_t version)
{
    if (version > durable_version_) {
        durable_version_ = version;
        ready_();
    }
}

} // namespace jl::jobs
