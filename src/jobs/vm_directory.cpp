#include "jobs/vm_directory.h"

#include <algorithm>
#include <utility>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto read_interval = 400ms;
// A long list is read less often: at 250 bytes an entry this is 0.5 MB a second.
constexpr auto read_interval_per_vm = 500us;
// Longer than the list lags and than a VM takes to come back with another worker.
constexpr auto settled_after = 3500ms;
// Several readings of the list, also of a long one.
constexpr auto gone_after = 8000ms;

} // namespace

vm_directory::vm_directory(net::timer_service& timers, vm_port& vms, task_runner& runner)
    : timers_(timers), port_(vms), runner_(runner)
{
}

vm_directory::~vm_directory()
{
    *alive_ = false;
}

void vm_directory::refresh()
{
    const auto now = timers_.now();
    if (reading_ || now < next_read_) {
        return;
    }
    reading_ = true;
    next_read_ = now + std::max<net::boot_clock::duration>(read_interval,
                                                           read_interval_per_vm * vms_.size());
    port_.list([this, now, alive = alive_](std::optional<std::vector<fleet_vm>> listed) {
        if (!*alive) {
            return;
        }
        reading_ = false;
        if (listed) {
            vms_ = std::move(*listed);
            listed_at_ = now;
            position_.clear();
            for (std::size_t index = 0; index < vms_.size(); ++index) {
                position_[vms_[index].vm] = index;
                last_seen_[vms_[index].vm] = now;
            }
        }
    });
}

const fleet_vm* vm_directory::find(const std::string& vm) const
{
    const auto found = position_.find(vm);
    return found == position_.end() ? nullptr : &vms_[found->second];
}

bool vm_directory::gone(const std::string& vm, net::boot_time known_since) const
{
    const auto seen = last_seen_.find(vm);
    const auto since = seen == last_seen_.end() ? known_since : std::max(seen->second, known_since);
    return listed_at_ >= since + gone_after;
}

worker_slot* vm_directory::slot_of(const std::string& vm)
{
    worker_slot* newest = nullptr;
    for (auto* const slot : runner_.slots_on(vm)) {
        if (slot->listed && !slot->session->dead() &&
            (newest == nullptr || slot->info().started_at_ms > newest->info().started_at_ms)) {
            newest = slot;
        }
    }
    if (newest != nullptr) {
        return newest;
    }
    const auto* const listed = find(vm);
    return listed == nullptr || listed->worker.empty() ? nullptr
                                                       : runner_.find_slot(listed->worker);
}

worker_incarnation vm_directory::worker_on(const std::string& vm)
{
    const auto* const slot = slot_of(vm);
    return slot == nullptr ? worker_incarnation{}
                           : worker_incarnation{slot->info().id, slot->session->started_at_ms()};
}

bool vm_directory::empty(const std::string& vm)
{
    const auto* const listed = find(vm);
    if (listed == nullptr) {
        return false;
    }
    for (const auto* const slot : runner_.slots_on(vm)) {
        // Also a worker whose registration has lapsed may run tasks. Ends that are not in the store
        // yet would be lost with the worker, and their tasks would run again.
        if (!slot->assigned.empty() || (!slot->pending_ends.empty() && !slot->session->dead())) {
            return false;
        }
    }
    const auto* const slot = slot_of(vm);
    if (slot != nullptr && slot->listed && !slot->session->dead()) {
        // A worker that has not answered this leader yet may run tasks of the former one.
        return slot->session->contacted() && slot->assigned.empty();
    }
    if (powered_off(*listed) || listed->worker.empty()) {
        return true;
    }
    // Its worker has gone: nothing runs there once that is old news.
    return slot != nullptr && slot->assigned.empty() && !slot->listed &&
           slot->session->resolved() && timers_.now() > slot->unlisted_at + settled_after;
}

void vm_directory::config_changed(const fleet_config& config)
{
    standby_pools_.clear();
    for (const auto& service : config.services) {
        if (service.standby) {
            standby_pools_.insert(service.name);
        }
    }
}

} // namespace jl::jobs
