#include "jobs/vm_order_log.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto interval_slack = 300ms;
// A VM stays named for this long after the last order; longer than any order of ours matters.
constexpr auto retention = 8000ms;

} // namespace

vm_order_log::vm_order_log(net::timer_service& timers, milliseconds interval,
                           std::function<void()> changed, std::function<void()> ready)
    : timers_(timers),
      interval_(interval),
      changed_(std::move(changed)),
      ready_(std::move(ready)),
      began_(timers.now())
{
}

void vm_order_log::load(const store_item& item)
{
    const auto document = nlohmann::json::parse(item.value, nullptr, false);
    if (!document.is_array()) {
        log_event(log_level::error, "vm_orders.record_unreadable", {{"key", item.key}});
        former_unknown_ = true;
        return;
    }
    for (const auto& vm : document) {
        if (vm.is_string()) {
            former_.insert(vm.get<std::string>());
        }
    }
}

bool vm_order_log::may_order(const std::string& vm)
{
    const auto now = timers_.now();
    const bool former = former_unknown_ || former_.count(vm) != 0;
    if (former && now < began_ + interval_ + interval_slack) {
        return false;
    }
    auto& announcement = announced_[vm];
    announcement.last_wanted = now;
    if (announcement.version == 0) {
        announcement.version = ++version_;
        forget_old();
        changed_();
    }
    return announcement.version <= durable_version_;
}

void vm_order_log::forget_old()
{
    const auto oldest = timers_.now() - retention;
    for (auto next = announced_.begin(); next != announced_.end();) {
        next = next->second.last_wanted < oldest ? announced_.erase(next) : std::next(next);
    }
}

std::string vm_order_log::encode() const
{
    auto names = nlohmann::json::array();
    for (const auto& [vm, announcement] : announced_) {
        names.push_back(vm);
    }
    // Orders of the leader before may still be under way as well.
    if (timers_.now() < began_ + interval_ + interval_slack) {
        for (const auto& vm : former_) {
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
