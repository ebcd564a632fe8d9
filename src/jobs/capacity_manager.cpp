#include "jobs/capacity_manager.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "jobs/job_scheduler.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A VM is powered off once its pool has had a surplus for this long. Moving a VM out and back costs
// as much as leaving it idle for about two seconds.
constexpr auto surplus_delay = 1200ms;
// Time from the arrival of a VM in a pool to the first start of a task on it.
constexpr auto first_start_delay = 200ms;
constexpr int min_logged_change_vms = 2;
constexpr auto rejected_backoff = 5000ms;
constexpr auto busy_backoff = 500ms;
// A move is dropped, and the VM planned anew, if the VM is not listed in its new pool after this
// long.
constexpr auto arrival_timeout = 6000ms;

// VMs that a job needs for the isolated starts of tasks that may crash their workers.
constexpr double vms_per_isolated_job = 0.5;

// Returns the fraction of a VM that a task occupies, by its dominant resource.
double share_of_vm(const task_resources& request, const task_resources& capacity)
{
    const auto fraction = [](std::int64_t needed, std::int64_t available) {
        return available <= 0 ? 0.0 : static_cast<double>(needed) / static_cast<double>(available);
    };
    return std::max({fraction(request.millicores, capacity.millicores),
                     fraction(request.memory_mb, capacity.memory_mb),
                     fraction(request.accelerators, capacity.accelerators)});
}

bool runs_long_running_task(const worker_handle& handle)
{
    return std::any_of(handle.assigned.begin(), handle.assigned.end(),
                       [](const task* assigned) { return assigned->spec().long_running; });
}

bool any_runs_long_running_task(const std::vector<worker_handle*>& workers)
{
    return std::any_of(workers.begin(), workers.end(),
                       [](const worker_handle* handle) { return runs_long_running_task(*handle); });
}

} // namespace

capacity_manager::capacity_manager(net::timer_service& timers, vm_port& vms,
                                   vm_directory& directory, vm_reservations& reservations,
                                   job_table& jobs, std::int64_t token, milliseconds move_time,
                                   vm_order_log& order_log)
    : timers_(timers),
      vm_port_(vms),
      directory_(directory),
      reservations_(reservations),
      jobs_(jobs),
      token_(token),
      move_time_(move_time),
      order_log_(order_log),
      created_at_(timers.now())
{
}

capacity_manager::~capacity_manager()
{
    *alive_ = false;
}

void capacity_manager::note_arrival(const std::string& service, const job& accepted)
{
    if (!accepted.spec.steps.front().long_running && !accepted.spec.has_schedule()) {
        double vm_seconds = 0;
        for (const auto& step : accepted.spec.steps) {
            vm_seconds += step.count * share_of_vm(step.request, vm_capacity_) *
                          std::chrono::duration<double>(step.estimate).count();
        }
        demand_.note_arrival(service, timers_.now().time_since_epoch(),
                             {vm_seconds, critical_path_duration(accepted.spec)});
    }
}

void capacity_manager::step(const fleet_config& config)
{
    if (!directory_.loaded()) {
        return;
    }
    const bool has_standby =
        std::any_of(config.services.begin(), config.services.end(),
                    [](const service_config& service) { return service.standby; });
    if (!has_standby && config.services.size() < 2) {
        return;
    }
    remove_finished_moves();
    for (const auto& vm : directory_.vms()) {
        vm_capacity_.millicores = std::max(vm_capacity_.millicores, vm.capacity.millicores);
        vm_capacity_.memory_mb = std::max(vm_capacity_.memory_mb, vm.capacity.memory_mb);
        vm_capacity_.accelerators = std::max(vm_capacity_.accelerators, vm.capacity.accelerators);
    }
    auto pools = pool_states(config);
    measure_demand(config, pools);
    const auto sizes = decisions::size_pools(pools, {});
    log_changes(pools, sizes);
    plan(pools, sizes);
    move_drained_vms();
}

// Removes the moves whose VM has arrived, has left the fleet, or has not arrived in time.
void capacity_manager::remove_finished_moves()
{
    const auto now = timers_.now();
    for (auto next = moves_.begin(); next != moves_.end();) {
        const auto& move = next->second;
        const auto* const vm = directory_.find(next->first);
        const bool settled = move.order.settled();
        const bool listed_since = directory_.listed_at() > move.order.sent_or_executed_at();
        const bool arrived = settled && listed_since && vm != nullptr && vm->pool == move.to &&
                             vm->state == vm_state::up;
        const bool timed_out = settled && now > move.order.sent_or_executed_at() + arrival_timeout;
        if (arrived && directory_.in_standby_pool(*vm)) {
            directory_.end_incarnation(move.order.former_worker());
        }
        if (arrived || timed_out || directory_.left_fleet(next->first, move.planned_at)) {
            reservations_.release(next->first, reservation_purpose::move);
            finished_orders_[next->first] = move.order;
            next = moves_.erase(next);
        }
        else {
            ++next;
        }
    }
}

bool capacity_manager::has_worker(const fleet_vm& vm)
{
    const auto* const handle = directory_.worker_on_vm(vm.vm);
    return handle != nullptr && handle->registered && handle->session->reachable() &&
           !handle->session->dead();
}

std::map<std::string, capacity_manager::pool_members>
capacity_manager::pools_by_name(const fleet_config& config)
{
    std::map<std::string, pool_members> pools;
    for (const auto& vm : directory_.vms()) {
        // A VM in maintenance provides no capacity to its pool.
        if (vm.state == vm_state::down ||
            reservations_.reserved_for(vm.vm, reservation_purpose::maintenance)) {
            continue;
        }
        const auto moving = moves_.find(vm.vm);
        if (moving != moves_.end()) {
            ++pools[moving->second.to].arriving;
            continue;
        }
        const auto* const service = config.find_service(vm.pool);
        const bool in_standby_pool = service != nullptr && service->standby;
        if (in_standby_pool || has_worker(vm)) {
            pools[vm.pool].vms.push_back(&vm);
        }
    }
    return pools;
}

std::vector<decisions::pool_state> capacity_manager::pool_states(const fleet_config& config)
{
    const auto now = timers_.now().time_since_epoch();
    auto by_pool = pools_by_name(config);
    std::vector<decisions::pool_state> pools;
    for (const auto& service : config.services) {
        decisions::pool_state state;
        state.pool = service.name;
        state.standby = service.standby;
        const auto& present = by_pool[service.name];
        state.vms = static_cast<int>(present.vms.size()) + present.arriving;
        for (const auto* const vm : present.vms) {
            state.pinned_vms +=
                any_runs_long_running_task(directory_.workers_on_vm(vm->vm)) ? 1 : 0;
        }
        // A VM that arrives stays at least until its pool has had a surplus for a while.
        const auto lead_time = move_time_ + first_start_delay;
        state.expected_load =
            demand_.forecast(service.name, now, lead_time, lead_time + surplus_delay);
        pools.push_back(std::move(state));
    }
    return pools;
}

// Adds the load of running and waiting tasks to the pools.
void capacity_manager::measure_demand(const fleet_config& config,
                                      std::vector<decisions::pool_state>& pools)
{
    const auto now = timers_.now();
    std::map<std::string, decisions::pool_state*> by_name;
    for (auto& pool : pools) {
        by_name[pool.pool] = &pool;
    }
    for (const auto* const target : jobs_.active()) {
        const auto* const queue = config.find_queue(target->spec.queue);
        const auto pool = queue == nullptr ? by_name.end() : by_name.find(queue->service);
        if (pool == by_name.end() || !target->active()) {
            continue;
        }
        if (awaits_isolated_start(*target)) {
            pool->second->current_load += vms_per_isolated_job;
        }
        const bool long_running = target->spec.steps.front().long_running;
        const bool late =
            !long_running && remaining_critical_path(*target, now) > target->objective - now;
        for (const auto& [number, occurrence] : target->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& progress = occurrence.steps[step];
                const auto& spec = target->spec.steps[step];
                if (spec.filler || progress.complete() || !target->step_ready(occurrence, step)) {
                    continue;
                }
                const double load = (static_cast<double>(progress.tasks.size()) - progress.done) *
                                    share_of_vm(spec.request, vm_capacity_);
                if (late) {
                    pool->second->late_load += load;
                    continue;
                }
                if (spec.max_per_worker > 0) {
                    const int workers =
                        (spec.count + spec.max_per_worker - 1) / spec.max_per_worker;
                    pool->second->spread_vms = std::max(pool->second->spread_vms, workers);
                }
                pool->second->current_load += load;
                pool->second->pinned_load += spec.long_running ? load : 0;
            }
        }
    }
}

bool capacity_manager::movable(const fleet_vm& vm)
{
    if (vm.state != vm_state::up || reservations_.reserved(vm.vm)) {
        return false;
    }
    const auto refused = backoff_until_.find(vm.vm);
    if (refused != backoff_until_.end() && timers_.now() < refused->second) {
        return false;
    }
    const auto finished = finished_orders_.find(vm.vm);
    if (finished != finished_orders_.end() && finished->second.may_execute_late(timers_.now())) {
        return false;
    }
    const auto* const handle = directory_.worker_on_vm(vm.vm);
    return handle == nullptr || !handle->registered || handle->session->dead()
               ? directory_.has_no_tasks(vm.vm)
               : (handle->session->contacted() && !handle->info().draining &&
                  !any_runs_long_running_task(directory_.workers_on_vm(vm.vm)));
}

// Returns the VMs of the pool that can be moved, those with the fewest tasks first.
std::vector<std::string> capacity_manager::movable_vms(const std::string& pool)
{
    std::vector<std::pair<std::size_t, std::string>> found;
    for (const auto& vm : directory_.vms()) {
        if (vm.pool == pool && movable(vm)) {
            found.emplace_back(directory_.count_tasks(vm.vm), vm.vm);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<std::string> names;
    names.reserve(found.size());
    for (auto& entry : found) {
        names.push_back(std::move(entry.second));
    }
    return names;
}

// Cancels up to `count` moves out of a pool that needs its VMs again, if no order was sent yet.
void capacity_manager::cancel_moves(const std::string& pool, int count)
{
    for (auto next = moves_.begin(); next != moves_.end() && count > 0;) {
        const bool draining = !next->second.order.ever_sent();
        if (!draining || next->second.from != pool) {
            ++next;
            continue;
        }
        reservations_.release(next->first, reservation_purpose::move);
        next = moves_.erase(next);
        --count;
    }
}

void capacity_manager::plan(const std::vector<decisions::pool_state>& pools,
                            const std::vector<int>& sizes)
{
    std::map<std::string, int> missing;
    std::vector<pool_surplus> surplus;
    std::string standby;
    // A new leader knows neither recent arrivals nor recent sizes.
    const bool sizes_observed_long_enough = timers_.now() >= created_at_ + surplus_delay;
    for (std::size_t index = 0; index < pools.size(); ++index) {
        const auto& pool = pools[index];
        const int difference = pool.vms - sizes[index];
        const int recent_size = largest_recent_size(pool.pool, sizes[index]);
        const int sustained_surplus = sizes_observed_long_enough ? pool.vms - recent_size : 0;
        if (pool.standby) {
            standby = pool.pool;
            surplus.insert(surplus.begin(), {pool.pool, pool.vms, 0});
            continue;
        }
        if (difference < 0) {
            missing[pool.pool] = -difference;
            cancel_moves(pool.pool, -difference);
        }
        if (difference > 0) {
            surplus.push_back({pool.pool, difference, sustained_surplus});
        }
    }
    for (auto& source : surplus) {
        const auto available = movable_vms(source.pool);
        std::size_t taken = 0;
        while (source.count > 0 && taken < available.size()) {
            const auto target = std::find_if(missing.begin(), missing.end(),
                                             [](const auto& entry) { return entry.second > 0; });
            std::string to;
            if (target != missing.end()) {
                to = target->first;
                --target->second;
            }
            else if (source.sustained > 0 && !standby.empty()) {
                to = standby;
            }
            else {
                break;
            }
            begin_move(available[taken++], source.pool, to);
            --source.count;
            --source.sustained;
        }
    }
}

void capacity_manager::begin_move(const std::string& vm, const std::string& from,
                                  const std::string& to)
{
    if (reservations_.reserve(vm, reservation_purpose::move)) {
        moves_[vm] = {from, to, {}, timers_.now()};
    }
}

// Logs the target sizes that differ from those logged last, with the inputs of the sizing.
void capacity_manager::log_changes(const std::vector<decisions::pool_state>& pools,
                                   const std::vector<int>& sizes)
{
    for (std::size_t index = 0; index < pools.size(); ++index) {
        const auto& pool = pools[index];
        auto& logged = logged_sizes_[pool.pool];
        if (std::abs(logged - sizes[index]) < min_logged_change_vms) {
            continue;
        }
        logged = sizes[index];
        log_event(log_level::info, "pool.size",
                  {{"pool", pool.pool},
                   {"vms", std::to_string(pool.vms)},
                   {"target", std::to_string(sizes[index])},
                   {"load", std::to_string(pool.current_load)},
                   {"expected", std::to_string(pool.expected_load)},
                   {"late", std::to_string(pool.late_load)},
                   {"pinned", std::to_string(pool.pinned_vms)}});
    }
}

// Returns the largest target size of the pool within the last `surplus_delay`.
int capacity_manager::largest_recent_size(const std::string& pool, int size)
{
    const auto now = timers_.now();
    auto& recent = recent_sizes_[pool];
    recent.push_back({now, size});
    while (recent.front().first < now - surplus_delay) {
        recent.pop_front();
    }
    int largest = 0;
    for (const auto& entry : recent) {
        largest = std::max(largest, entry.second);
    }
    return largest;
}

void capacity_manager::move_drained_vms()
{
    for (auto& [vm, move] : moves_) {
        const bool due = move.order.ever_sent() ? move.order.repeat_due(timers_.now())
                                                : directory_.has_no_tasks(vm);
        if (due && order_log_.may_order(vm)) {
            send_move(vm, move);
        }
    }
}

void capacity_manager::send_move(const std::string& vm, vm_move& move)
{
    directory_.prepare_order(vm);
    move.order.on_sent(timers_.now(), directory_.incarnation_on_vm(vm));
    vm_port_.move(vm, move.to, token_, [this, vm, alive = alive_](vm_order_status status) {
        if (*alive) {
            on_answer(vm, status);
        }
    });
}

void capacity_manager::on_answer(const std::string& vm, vm_order_status status)
{
    const auto found = moves_.find(vm);
    if (found == moves_.end()) {
        return;
    }
    if (status == vm_order_status::unanswered) {
        order_log_.on_unanswered(vm);
    }
    auto& move = found->second;
    log_event(log_level::info, "vm.move",
              {{"vm", vm}, {"from", move.from}, {"to", move.to}, {"outcome", to_string(status)}});
    switch (move.order.on_answered(status, timers_.now())) {
    case vm_order::outcome::executed:
        reservations_.confirm(vm, reservation_purpose::move, move.order.former_worker().worker);
        return;
    case vm_order::outcome::unknown:
        return;
    case vm_order::outcome::not_executed:
        backoff_until_[vm] =
            timers_.now() + (status == vm_order_status::rejected ? milliseconds(rejected_backoff)
                                                                 : milliseconds(busy_backoff));
        reservations_.release(vm, reservation_purpose::move);
        moves_.erase(found);
        return;
    }
}

} // namespace jl::jobs
