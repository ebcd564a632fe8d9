#include "jobs/vm_directory.h"

#include <algorithm>
#include <utility>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto read_interval = 400ms;
// Minimum interval per VM in the list. Limits the rate of reading long lists to 0.5 MB/s, at 250
// bytes per VM.
constexpr auto read_interval_per_vm = 500us;
// Longer than the list lags, and longer than a VM takes to return with another worker.
constexpr auto worker_replacement_time = 3500ms;
// Covers several reads of the list, even of a long one.
constexpr auto left_fleet_after = 8000ms;

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

bool vm_directory::left_fleet(const std::string& vm, net::boot_time known_since) const
{
    const auto seen = last_seen_.find(vm);
    const auto since = seen == last_seen_.end() ? known_since : std::max(seen->second, known_since);
    return listed_at_ >= since + left_fleet_after;
}

worker_handle* vm_directory::worker_on_vm(const std::string& vm)
{
    worker_handle* latest = nullptr;
    for (auto* const handle : workers_on_vm(vm)) {
        // A registration alone may be another writer's.
        if (handle->registered && handle->session->proven() &&
            (latest == nullptr ||
             handle->session->started_at_ms() > latest->session->started_at_ms())) {
            latest = handle;
        }
    }
    if (latest != nullptr) {
        return latest;
    }
    const auto* const listed = find(vm);
    return listed == nullptr || listed->worker.empty() ? nullptr
                                                       : runner_.find_worker(listed->worker);
}

std::vector<worker_handle*> vm_directory::workers_on_vm(const std::string& vm)
{
    auto workers = runner_.workers_on_vm(vm);
    workers.erase(
        std::remove_if(workers.begin(), workers.end(),
                       [](const worker_handle* handle) { return handle->session->dead(); }),
        workers.end());
    return workers;
}

std::size_t vm_directory::count_tasks(const std::string& vm)
{
    std::size_t tasks = 0;
    for (const auto* const handle : workers_on_vm(vm)) {
        tasks += handle->assigned.size();
    }
    return tasks;
}

worker_incarnation vm_directory::incarnation_on_vm(const std::string& vm)
{
    const auto* const handle = worker_on_vm(vm);
    return handle == nullptr
               ? worker_incarnation{}
               : worker_incarnation{handle->info().id, handle->session->started_at_ms()};
}

bool vm_directory::has_no_tasks(const std::string& vm)
{
    const auto* const listed = find(vm);
    if (listed == nullptr) {
        return false;
    }
    for (const auto* const handle : runner_.workers_on_vm(vm)) {
        // A worker whose registration has expired may still run tasks. Ends that are not durable
        // yet would be lost with the worker, and their tasks would run again.
        // The VMs of a standby pool are off: their former workers run nothing any more.
        const bool may_run_tasks_of_previous_leader =
            handle->loaded_from_roster && !handle->session->resolved() &&
            (handle->registered || !in_standby_pool(*listed));
        if (!handle->assigned.empty() || may_run_tasks_of_previous_leader ||
            (!handle->unacknowledged_ends.empty() && !handle->session->dead())) {
            return false;
        }
    }
    const auto* const handle = worker_on_vm(vm);
    if (handle != nullptr && handle->registered && !handle->session->dead()) {
        // A worker that has not answered this leader yet may run tasks of the previous one, or keep
        // their ends.
        return handle->session->all_ends_read() && handle->assigned.empty();
    }
    if (in_standby_pool(*listed) || listed->worker.empty()) {
        return true;
    }
    // The worker is no longer registered. The VM may have returned with another worker that is not
    // known yet, so wait until that one would have registered.
    return handle != nullptr && handle->assigned.empty() && !handle->registered &&
           handle->session->resolved() && handle->unregistered_since &&
           timers_.now() > *handle->unregistered_since + worker_replacement_time;
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
