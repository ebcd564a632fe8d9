#include "jobs/wave_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/availability.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Time for the pool to get another VM before a long-running task is stopped that no other worker
// has capacity for.
constexpr auto relocation_timeout = 4000ms;
// Longer than the list of VMs lags.
constexpr auto max_list_lag = 3500ms;

} // namespace

wave_manager::wave_manager(net::timer_service& timers, vm_port& vms, vm_directory& directory,
                           store_port& store, const document_codec& documents, task_runner& runner,
                           vm_reservations& reservations, leader_record leader,
                           vm_order_log& order_log, std::function<bool()> may_act,
                           std::function<bool(const task&)> may_relocate)
    : timers_(timers),
      vm_port_(vms),
      directory_(directory),
      store_(store),
      documents_(documents),
      runner_(runner),
      reservations_(reservations),
      leader_(std::move(leader)),
      order_log_(order_log),
      may_act_(std::move(may_act)),
      may_relocate_(std::move(may_relocate))
{
}

wave_manager::~wave_manager()
{
    *alive_ = false;
}

void wave_manager::load(const store_item& item)
{
    record_revisions_[item.key] = item.revision;
    if (auto record = decode_wave_record(item)) {
        const auto wave = record->wave;
        records_[wave] = std::move(*record);
    }
}

void wave_manager::add_wave(const wave_request& wave)
{
    auto& progress = waves_[wave.wave];
    if (!progress.vms.empty()) {
        return;
    }
    progress.request = wave;
    progress.known_since = timers_.now();
    for (const auto& vm : wave.vms) {
        progress.vms[vm];
    }
    const auto record = records_.find(wave.wave);
    if (record != records_.end()) {
        for (const auto& vm : record->second.finished) {
            progress.vms[vm].phase = wave_phase::finished;
        }
        adopt_orders(progress, record->second);
    }
    log_event(log_level::info, "wave.requested",
              {{"wave", std::to_string(wave.wave)},
               {"vms", std::to_string(wave.vms.size())},
               {"max_concurrent", std::to_string(wave.max_concurrent)},
               {"duration_s", std::to_string(wave.duration.count())}});
}

// The list of VMs may not show yet what the orders of previous leaders have done, so their VMs keep
// their places in the wave. An accepted order has been executed. Any other one is sent again, and
// the answer, which holds for all attempts, settles it.
void wave_manager::adopt_orders(wave_progress& wave, const wave_record& record)
{
    const auto now = timers_.now();
    if (!record.orders_known) {
        wave.orders_held_until = now + late_execution_limit + max_list_lag;
    }
    for (const auto& name : record.ordered) {
        const auto found = wave.vms.find(name);
        if (found == wave.vms.end() || found->second.phase == wave_phase::finished) {
            continue;
        }
        const bool accepted = record.accepted.count(name) != 0;
        auto& vm = found->second;
        vm.may_be_ordered = true;
        vm.draining_since = now;
        reservations_.reserve(name, reservation_purpose::maintenance);
        if (accepted) {
            vm.phase = wave_phase::ordered;
            vm.order.on_sent(now, {});
            vm.order.on_answered(vm_order_status::accepted, now);
            reservations_.confirm(name, reservation_purpose::maintenance, "");
        }
        else {
            vm.phase = wave_phase::draining;
            vm.ordered_by_previous_leader = true;
        }
        wave.recorded_orders.insert(name);
        log_event(log_level::info, "wave.order_adopted",
                  {{"wave", std::to_string(wave.request.wave)},
                   {"vm", name},
                   {"accepted", accepted ? "true" : "false"}});
    }
}

void wave_manager::drop_expired_order(wave_progress& wave, const std::string& name, wave_vm& vm)
{
    const auto* const listed = directory_.find(name);
    const auto last_effect = wave.known_since + late_execution_limit + max_list_lag;
    if (!vm.ordered_by_previous_leader || vm.phase != wave_phase::draining || listed == nullptr ||
        listed->state == vm_state::maintenance || directory_.listed_at() <= last_effect) {
        return;
    }
    vm = {};
    wave.status_written = false;
    reservations_.release(name, reservation_purpose::maintenance);
    log_event(log_level::info, "wave.order_expired",
              {{"wave", std::to_string(wave.request.wave)}, {"vm", name}});
}

void wave_manager::step()
{
    if (!directory_.loaded()) {
        return;
    }
    for (auto& [number, wave] : waves_) {
        step_wave(wave);
    }
}

void wave_manager::step_wave(wave_progress& wave)
{
    if (!wave.status_written) {
        write_status(wave);
    }
    if (wave.completed) {
        return;
    }
    update_wave(wave);
    drain_vms(wave);
    order_drained(wave);
}

void wave_manager::update_wave(wave_progress& wave)
{
    bool all_finished = true;
    for (auto& [name, vm] : wave.vms) {
        if (vm.phase == wave_phase::ordered) {
            const auto* const listed = directory_.find(name);
            vm.seen_down |= listed != nullptr && listed->state != vm_state::up;
            if (has_returned(name, vm)) {
                finish_vm(wave, name);
            }
        }
        drop_expired_order(wave, name, vm);
        if (vm.phase != wave_phase::finished && directory_.left_fleet(name, wave.known_since)) {
            log_event(log_level::info, "wave.vm_gone",
                      {{"wave", std::to_string(wave.request.wave)}, {"vm", name}});
            finish_vm(wave, name);
        }
        all_finished = all_finished && vm.phase == wave_phase::finished;
    }
    if (all_finished) {
        wave.completed = true;
        wave.status_written = false;
        log_event(log_level::info, "wave.completed", {{"wave", std::to_string(wave.request.wave)}});
    }
}

bool wave_manager::has_returned(const std::string& name, const wave_vm& vm) const
{
    const auto* const listed = directory_.find(name);
    if (listed == nullptr || listed->state != vm_state::up || !vm.order.settled()) {
        return false;
    }
    // An order for a VM that the wave has maintained already is accepted and has no effect.
    const auto earliest = vm.order.sent_or_executed_at() +
                          (vm.seen_down ? milliseconds(0) : milliseconds(max_list_lag));
    return directory_.listed_at() > earliest;
}

void wave_manager::finish_vm(wave_progress& wave, const std::string& name)
{
    wave.vms[name].phase = wave_phase::finished;
    wave.vms[name].may_be_ordered = false;
    wave.status_written = false; // the progress record lists finished VMs
    reservations_.release(name, reservation_purpose::maintenance);
}

void wave_manager::drain_vms(wave_progress& wave)
{
    int in_progress = 0;
    std::vector<std::pair<std::size_t, std::string>> candidates; // by number of tasks
    for (auto& [name, vm] : wave.vms) {
        if (vm.phase == wave_phase::draining || vm.phase == wave_phase::ordered) {
            ++in_progress;
        }
        const auto* const listed = directory_.find(name);
        if (vm.phase != wave_phase::waiting || listed == nullptr || listed->state != vm_state::up ||
            reservations_.reserved(name)) {
            continue; // a VM that is being moved is maintained after its move
        }
        candidates.emplace_back(directory_.count_tasks(name), name);
    }
    std::sort(candidates.begin(), candidates.end());
    const int free_places = wave.request.max_concurrent - in_progress;
    for (int index = 0; index < free_places && index < static_cast<int>(candidates.size());
         ++index) {
        const auto& name = candidates[static_cast<std::size_t>(index)].second;
        reservations_.reserve(name, reservation_purpose::maintenance);
        wave.vms[name].phase = wave_phase::draining;
        wave.vms[name].draining_since = timers_.now();
        log_event(log_level::info, "wave.emptying",
                  {{"wave", std::to_string(wave.request.wave)}, {"vm", name}});
    }
    for (auto& [name, vm] : wave.vms) {
        if (vm.phase != wave_phase::draining) {
            continue;
        }
        for (auto* const handle : directory_.workers_on_vm(name)) {
            drain_worker(*handle, vm.draining_since);
        }
    }
}

void wave_manager::drain_worker(worker_handle& handle, net::boot_time since)
{
    const auto assigned = handle.assigned;
    // If no other worker gets capacity for a task, the task pauses during the maintenance of its
    // VM. It is stopped only when no other tasks delay the maintenance, to keep the pause short.
    const bool only_long_running =
        std::all_of(assigned.begin(), assigned.end(),
                    [](const task* other) { return other->spec().long_running; });
    const bool must_pause = only_long_running && timers_.now() >= since + relocation_timeout;
    for (auto* const task : assigned) {
        if (task->phase != task_phase::running || !task->spec().long_running) {
            continue;
        }
        // Tasks in their start-up are checked as well: they may have become available since the
        // last report.
        if (may_interrupt(*task, runner_) && (must_pause || may_relocate_(*task))) {
            runner_.stop(*task, "its worker is being drained");
        }
    }
}

bool wave_manager::may_be_down(const std::string& name) const
{
    const auto* const listed = directory_.find(name);
    if (listed != nullptr && listed->state == vm_state::maintenance) {
        return true;
    }
    return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
        const auto vm = entry.second.vms.find(name);
        return vm != entry.second.vms.end() && vm->second.may_be_ordered;
    });
}

// An order is sent only after the stored record names its VM as ordered, so that the next leader
// knows of it.
void wave_manager::order_drained(wave_progress& wave)
{
    if (directory_.listed_at() <= wave.orders_held_until) {
        return;
    }
    const auto down = std::count_if(wave.vms.begin(), wave.vms.end(),
                                    [this](const auto& entry) { return may_be_down(entry.first); });
    auto free_places = wave.request.max_concurrent - down;
    for (auto& [name, vm] : wave.vms) {
        if (vm.phase == wave_phase::ordered && vm.order.repeat_due(timers_.now()) &&
            order_log_.may_order(name)) {
            order_maintenance(wave, name);
        }
        if (vm.phase != wave_phase::draining || (!vm.may_be_ordered && free_places <= 0)) {
            continue;
        }
        if (!directory_.has_no_tasks(name) || directory_.find(name)->state != vm_state::up) {
            continue;
        }
        if (!vm.may_be_ordered) {
            vm.may_be_ordered = true;
            --free_places;
            wave.status_written = false;
        }
        const bool logged = order_log_.may_order(name);
        if (logged && wave.recorded_orders.count(name) != 0) {
            vm.phase = wave_phase::ordered;
            order_maintenance(wave, name);
        }
    }
    if (!wave.status_written) {
        write_status(wave);
    }
}

void wave_manager::order_maintenance(wave_progress& wave, const std::string& name)
{
    directory_.prepare_order(name);
    wave.vms[name].order.on_sent(timers_.now(), directory_.incarnation_on_vm(name));
    const auto number = wave.request.wave;
    vm_port_.maintain(name, number, leader_.token,
                      [this, number, name, alive = alive_](vm_order_status status) {
                          if (*alive) {
                              on_answer(waves_[number], name, status);
                          }
                      });
}

void wave_manager::on_answer(wave_progress& wave, const std::string& name, vm_order_status status)
{
    log_event(log_level::info, "wave.ordered",
              {{"wave", std::to_string(wave.request.wave)},
               {"vm", name},
               {"outcome", to_string(status)}});
    if (status == vm_order_status::unanswered) {
        order_log_.on_unanswered(name);
    }
    auto& vm = wave.vms[name];
    switch (vm.order.on_answered(status, timers_.now())) {
    case vm_order::outcome::executed:
        vm.ordered_by_previous_leader = false;
        wave.status_written = false; // the record lists accepted orders
        reservations_.confirm(name, reservation_purpose::maintenance,
                              vm.order.former_worker().worker);
        return;
    case vm_order::outcome::unknown:
        return;
    case vm_order::outcome::not_executed:
        if (status == vm_order_status::wrong_wave || status == vm_order_status::rejected) {
            finish_vm(wave, name);
            return;
        }
        vm.phase = wave_phase::draining;
        vm.order = {};
        vm.seen_down = false;
        return;
    }
}

wave_record wave_manager::record_of(const wave_progress& wave)
{
    wave_record record;
    record.wave = wave.request.wave;
    for (const auto& [name, vm] : wave.vms) {
        if (vm.phase == wave_phase::finished) {
            record.finished.insert(name);
        }
        if (vm.may_be_ordered) {
            record.ordered.insert(name);
        }
        if (vm.phase == wave_phase::ordered && vm.order.settled()) {
            record.accepted.insert(name);
        }
    }
    return record;
}

void wave_manager::write_status(wave_progress& wave)
{
    if (wave.writing || !may_act_()) {
        return;
    }
    wave.writing = true;
    const auto number = wave.request.wave;
    const bool completed = wave.completed;
    const auto record = record_of(wave);
    const auto encoded = record.encode();
    const auto record_key = wave_record::key_of(number);
    store_transaction transaction;
    transaction.conditions = {{leadership::leader_key, leader_.token},
                              {record_key, record_revisions_[record_key]}};
    transaction.writes = {
        {documents_.wave_status_key(number), documents_.encode_wave_status(completed), 0},
        {record_key, encoded, 0}};
    store_.commit(transaction, [this, number, record_key, completed, encoded,
                                orders = record.ordered,
                                alive = alive_](const store_result<commit_outcome>& result) {
        if (!*alive) {
            return;
        }
        auto& wave = waves_[number];
        wave.writing = false;
        const bool executed = result.value && on_status_written(record_key, *result.value);
        wave.status_written =
            executed && wave.completed == completed && record_of(wave).encode() == encoded;
        if (executed) {
            wave.recorded_orders = orders;
            if (may_act_()) {
                step(); // sends the orders that have waited for the record
            }
        }
    });
}

bool wave_manager::on_status_written(const std::string& record_key, const commit_outcome& outcome)
{
    if (outcome.committed) {
        record_revisions_[record_key] = outcome.revision;
        return true;
    }
    // An earlier write that got no answer may have changed the record.
    for (const auto& item : outcome.current) {
        if (item.key == record_key) {
            record_revisions_[record_key] = item.revision;
        }
    }
    return false;
}

} // namespace jl::jobs
