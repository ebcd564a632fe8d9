#include "jobs/vm_directory.h"

#include <algorithm>
#include <utility>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto read_interval = 400ms;

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
    next_read_ = now + read_interval;
    port_.list([this, now, alive = alive_](std::optional<std::vector<fleet_vm>> listed) {
        if (!*alive) {
            return;
        }
        reading_ = false;
        if (listed) {
            vms_ = std::move(*listed);
            listed_at_ = now;
        }
    });
}

const fleet_vm* vm_directory::find(const std::string& vm) const
{
    const auto found =
        std::find_if(vms_.begin(), vms_.end(), [&](const auto& entry) { return entry.vm == vm; });
    return found == vms_.end() ? nullptr : &*found;
}

worker_slot* vm_directory::slot_of(const std::string& vm)
{
    const auto* const listed = find(vm);
    if (listed != nullptr && !listed->worker.empty()) {
        if (auto* const slot = runner_.find_slot(listed->worker)) {
            return slot;
        }
    }
    for (auto& [worker, slot] : runner_.slots()) {
        if (slot.listed && slot.info().vm == vm) {
            return &slot;
        }
    }
    return nullptr;
}

} // namespace jl::jobs
