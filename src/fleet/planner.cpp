#include "fleet/planner.h"

#include <algorithm>

#include "base/ids.h"
#include "base/log.h"
#include "cluster/liveness.h"

namespace jl::fleet {

namespace {

using decisions::step_kind;

// A write has one compare and at most two operations, and etcd allows 128 of each.
constexpr std::size_t max_writes_per_transaction = 60;
// The VM list lags behind, so a command that it does not show yet is repeated after this time.
constexpr std::chrono::seconds command_repeat{3};

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool outcome_unknown(const store::store_error& error)
{
    return error.code == store::store_error_code::outcome_unknown ||
           error.code == store::store_error_code::malformed;
}

// An entry without a lease may wait for an answer this long, and sends nothing after 2 s without
// a fresh view.
std::chrono::milliseconds silence_limit(const objects::object_set& set)
{
    std::chrono::milliseconds longest{0};
    for (const auto& service : set.services) {
        longest = std::max(longest, service.max_timeout);
    }
    return cluster::max_view_age + longest;
}

} // namespace

const char* to_text(round_outcome outcome)
{
    switch (outcome) {
    case round_outcome::standby:
        return "standby";
    case round_outcome::no_input:
        return "no_input";
    case round_outcome::lost_writes:
        return "lost_writes";
    case round_outcome::done:
        return "done";
    }
    return "";
}

planner::planner(store::key_value_store& store, store::process_lease& lease,
                 const platform::platform_api& platform, const cluster::cluster_observer& observer,
                 const clock_source& clock, metrics& metrics, planner_options options)
    : store_(store),
      lease_(lease),
      platform_(platform),
      observer_(observer),
      clock_(clock),
      metrics_(metrics),
      options_(options),
      // One watch covers the neighboring prefixes /jl/tasks/, /jl/vms/ and /jl/waves/.
      records_(store, records::tasks_prefix, store::prefix_end(records::waves_prefix)),
      operator_drains_feed_(store, records::operator_drains_prefix,
                            store::prefix_end(records::operator_drains_prefix)),
      // The neighboring prefixes /jl/entries/ and /jl/members/.
      members_feed_(store, records::entries_prefix, store::prefix_end(records::members_prefix)),
      tried_at_(clock.steady_now() - options.standby_period)
{
}

std::optional<std::int64_t> planner::hold_role()
{
    if (const auto held = lease_.token(planner_role)) {
        if (*held != tainted_token_) {
            return held;
        }
        lease_.release(planner_role);
    }
    const auto now = clock_.steady_now();
    if (loaded_token_ != 0) {
        log_event(log_level::warning, "planner_role_lost");
        loaded_token_ = 0;
        // Watches are needed by the active planner only.
        records_.stop();
        operator_drains_feed_.stop();
        members_feed_.stop();
    }
    if (!lease_.valid() || now - tried_at_ < options_.standby_period) {
        return std::nullopt;
    }
    tried_at_ = now;
    // A read is cheaper for the store than a transaction that fails.
    const auto owner = store_.range({std::string(records::owners_prefix) + planner_role, "", 0},
                                    now + options_.store_timeout);
    if (!owner || (!owner->items.empty() && owner->items[0].lease != lease_.id())) {
        return std::nullopt;
    }
    const auto token = lease_.acquire(planner_role);
    if (!token || *token == tainted_token_) {
        return std::nullopt;
    }
    log_event(log_level::info, "planner_role_acquired", {{"token", std::to_string(*token)}});
    return token;
}

bool planner::load_records(std::int64_t token)
{
    const auto now = clock_.steady_now();
    const bool current = loaded_token_ == token && records_.active() &&
                         operator_drains_feed_.active() && members_feed_.active() &&
                         now - loaded_at_ < options_.reload_period;
    if (!current) {
        loaded_token_ = 0;
        vms_.clear();
        tasks_.clear();
        waves_.clear();
        operator_drains_.clear();
        leased_members_.clear();
        entry_processes_.clear();
        const auto deadline = now + options_.store_timeout;
        if (!records_.load(deadline) || !operator_drains_feed_.load(deadline) ||
            !members_feed_.load(deadline)) {
            return false;
        }
        loaded_token_ = token;
        loaded_at_ = now;
    }
    apply_events();
    return true;
}

void planner::apply_events()
{
    for (auto* feed : {&records_, &operator_drains_feed_, &members_feed_}) {
        for (const auto& event : feed->take()) {
            apply_event(event);
        }
    }
}

void planner::apply_event(const store::watch_event& event)
{
    const auto& key = event.item.key;
    const bool removed = event.type == store::watch_event::kind::remove;
    const auto name_after = [&](const char* prefix) {
        return key.substr(std::string(prefix).size());
    };
    if (starts_with(key, records::tasks_prefix)) {
        tasks_.apply(name_after(records::tasks_prefix), event);
    }
    else if (starts_with(key, records::vms_prefix)) {
        apply_vm(name_after(records::vms_prefix), event);
    }
    else if (starts_with(key, records::waves_prefix)) {
        const auto name = name_after(records::waves_prefix);
        const auto record = records::parse_wave(event.item.value);
        waves_.erase(name);
        if (!removed && record) {
            waves_[name] = *record;
        }
    }
    else if (starts_with(key, records::operator_drains_prefix)) {
        const auto name = name_after(records::operator_drains_prefix);
        const auto record = records::parse_operator_drain(event.item.value);
        operator_drains_.erase(name);
        if (!removed && record) {
            operator_drains_[name] = *record;
        }
    }
    else if (starts_with(key, records::members_prefix)) {
        const auto name = name_after(records::members_prefix);
        const auto record = records::parse_member(event.item.value);
        leased_members_.erase(name);
        if (!removed && record) {
            leased_members_[name] = records::process_name(*record);
        }
    }
    else if (starts_with(key, records::entries_prefix)) {
        const auto process = name_after(records::entries_prefix);
        if (removed) {
            entry_processes_.erase(process);
        }
        else {
            entry_processes_.insert(process);
        }
    }
}

void planner::apply_vm(const std::string& vm, const store::watch_event& event)
{
    const auto known = vms_.find(vm);
    if (known != vms_.end() && known->second.revision >= event.item.mod_revision) {
        return; // older than our own write
    }
    if (event.type == store::watch_event::kind::remove) {
        vms_.erase(vm);
        return;
    }
    const auto record = records::parse_vm(event.item.value);
    if (!record) {
        log_event(log_level::error, "vm_record_unreadable", {{"key", event.item.key}});
        return;
    }
    vms_[vm] = {*record, event.item.mod_revision};
}

bool planner::read_platform()
{
    const auto now = clock_.steady_now();
    auto list = platform_.list->fetch(now + options_.platform_timeout);
    if (!list) {
        return false;
    }
    listed_ = std::move(*list);
    const auto listed_at = clock_.steady_now();
    for (const auto& vm : listed_) {
        last_listed_[vm.vm] = listed_at;
    }
    const bool draining = std::any_of(vms_.begin(), vms_.end(), [](const auto& item) {
        return item.second.record.phase == records::vm_phase::leaving;
    });
    tasks_on_vm_ = tasks_.on_vms();
    reports_current_ = false;
    if (!draining && tasks_.empty()) {
        return true;
    }
    const auto reports = platform_.workers->reports(listed_at + options_.platform_timeout);
    if (!reports) {
        return false;
    }
    reports_current_ = true;
    tasks_.observe(*reports);
    for (const auto& worker : *reports) {
        int running = 0;
        for (const auto& task : worker.tasks) {
            running += task.state == platform::task_state::running ||
                               task.state == platform::task_state::throttled
                           ? 1
                           : 0;
        }
        tasks_on_vm_[worker.vm] = std::max(tasks_on_vm_[worker.vm], running);
    }
    return true;
}

void planner::add_vm(decisions::fleet_snapshot& snapshot, const std::string& vm,
                     const platform::listed_vm* listed,
                     const std::map<std::string, const cluster::vm_state*>& seen)
{
    decisions::fleet_vm item;
    item.record.vm = vm;
    const auto stored = vms_.find(vm);
    if (stored != vms_.end()) {
        item.record = stored->second.record;
        item.record_revision = stored->second.revision;
    }
    item.data_centre = item.record.data_centre;
    item.rack = item.record.rack;
    if (listed != nullptr) {
        item.listed = true;
        item.listed_leaving = listed->leaving;
        item.data_centre = listed->data_centre;
        item.rack = listed->rack;
        item.boot_id = listed->boot_id;
        const auto state = seen.find(vm);
        item.reported_live = listed->leaving || state == seen.end() || state->second->listed_live;
        if (item.record_revision == 0) {
            item.record.pool = listed->initial_pool;
        }
    }
    else {
        const auto now = clock_.steady_now();
        const auto last = last_listed_.emplace(vm, now).first->second;
        item.missing_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - last);
    }
    const auto tasks = tasks_on_vm_.find(vm);
    item.tasks = tasks == tasks_on_vm_.end() ? 0 : tasks->second;
    snapshot.vms.push_back(std::move(item));
}

void planner::remove_silent_processes(std::int64_t token, std::chrono::milliseconds silence)
{
    const auto now = clock_.steady_now();
    for (const auto& process : tracker_.silent(now, silence)) {
        // The watch confirms the removal; until then the process stays known as silent.
        store_.commit({{store::process_lease::fence(planner_role, token)},
                       {store::remove(records::entries_prefix + process)},
                       {}},
                      now + options_.store_timeout);
    }
}

decisions::fleet_snapshot planner::build_snapshot(objects::object_set_ptr configuration,
                                                  std::int64_t token, bool platform_data_current)
{
    decisions::fleet_snapshot snapshot;
    const auto now = clock_.steady_now();
    std::set<std::string> leased;
    for (const auto& [member, process] : leased_members_) {
        leased.insert(process);
    }
    tracker_.observe_leases(leased, now);
    tracker_.observe_processes(entry_processes_, observer_.members(), now);
    remove_silent_processes(token, silence_limit(*configuration));
    snapshot.entries =
        tracker_.entries(observer_.members(), now, options_.limits.acknowledgment_limit,
                         silence_limit(*configuration));
    snapshot.configuration = std::move(configuration);
    snapshot.now = to_unix(clock_.wall_now());
    snapshot.fencing_token = token;
    snapshot.platform_data_current = platform_data_current;
    snapshot.operator_drains = operator_drains_;
    for (const auto& [wave, record] : waves_) {
        snapshot.waves[wave] = record.state;
    }
    std::map<std::string, const cluster::vm_state*> seen;
    const auto view = observer_.vms();
    for (const auto& vm : view->vms) {
        seen[vm.vm] = &vm;
    }
    std::map<std::string, const platform::listed_vm*> all;
    for (const auto& [vm, stored] : vms_) {
        all[vm] = nullptr;
    }
    for (const auto& vm : listed_) {
        all[vm.vm] = &vm;
    }
    snapshot.vms.reserve(all.size());
    for (const auto& [vm, listed] : all) {
        add_vm(snapshot, vm, listed, seen);
    }
    return snapshot;
}

void planner::observe_demand(const objects::object_set& configuration,
                             std::chrono::milliseconds now)
{
    std::map<std::string, decisions::service_demand> demands;
    for (const auto& member : observer_.members()) {
        if (!member.alive) {
            continue;
        }
        for (const auto& load : member.loads) {
            auto& demand = demands[load.service];
            demand.waiting += load.waiting;
            demand.running += load.running;
            demand.arrival_rate += load.arrival_rate;
            demand.backlog += load.backlog;
        }
    }
    for (const auto& service : configuration.services) {
        const double need = decisions::estimate_required_vms(
            service, demands[service.name], configuration.policy, service_times_[service.name]);
        outlooks_[service.pool].forecast.observe(now, need);
        metrics_.set("jl_pool_need_vms", "VMs that the service of a pool needs",
                     {{"pool", service.pool}}, need);
    }
}

void planner::create_records(const decisions::fleet_snapshot& snapshot, decisions::fleet_plan& plan)
{
    for (const auto& vm : snapshot.vms) {
        if (vm.record_revision != 0 || !vm.listed) {
            continue;
        }
        if (snapshot.configuration->find_pool(vm.record.pool) == nullptr) {
            plan.problems.push_back(
                {vm.record.vm, "vm_without_pool",
                 "the VM list names the pool \"" + vm.record.pool + "\", which is not configured"});
            continue;
        }
        decisions::vm_step step;
        step.next = vm.record;
        step.next.phase_since = snapshot.now;
        step.next.data_centre = vm.data_centre;
        step.next.rack = vm.rack;
        plan.steps.push_back(std::move(step));
    }
}

bool planner::commit(const std::vector<record_write>& writes, std::int64_t token,
                     const std::function<void(std::size_t, std::int64_t)>& committed)
{
    for (std::size_t first = 0; first < writes.size(); first += max_writes_per_transaction) {
        const auto last = std::min(writes.size(), first + max_writes_per_transaction);
        store::transaction transaction;
        transaction.compares.push_back(store::process_lease::fence(planner_role, token));
        for (auto index = first; index < last; ++index) {
            const auto& write = writes[index];
            transaction.compares.push_back(
                write.expected_revision == 0
                    ? store::key_absent(write.key)
                    : store::unchanged_since(write.key, write.expected_revision));
            transaction.on_success.push_back(write.value.empty()
                                                 ? store::remove(write.key)
                                                 : store::put(write.key, write.value));
            if (!write.also_removed.empty()) {
                transaction.on_success.push_back(store::remove(write.also_removed));
            }
        }
        if (!lease_.valid()) {
            return false;
        }
        const auto result =
            store_.commit(transaction, clock_.steady_now() + options_.store_timeout);
        if (!result || !result->succeeded) {
            loaded_token_ = 0;
            if (!result && outcome_unknown(store::last_error())) {
                tainted_token_ = token;
            }
            // A conflict: either the role is gone or a record was changed by someone else.
            log_event(log_level::warning, "planner_write_failed",
                      {{"reason", result ? "conflict" : store::last_error().message}});
            return false;
        }
        for (auto index = first; index < last; ++index) {
            committed(index, result->revision);
        }
    }
    return true;
}

void planner::apply_step(const decisions::vm_step& step, const records::vm_record& record,
                         std::int64_t revision)
{
    metrics_.count("jl_planner_steps_total", "Steps of VM records by kind",
                   {{"kind", to_text(step.kind)}});
    log_event(log_level::info, "vm_step",
              {{"vm", record.vm},
               {"step", to_text(step.kind)},
               {"pool", record.pool},
               {"phase", to_text(record.phase)},
               {"reason", record.reason}});
    if (step.kind == step_kind::forget) {
        vms_.erase(record.vm);
        last_listed_.erase(record.vm);
        return;
    }
    vms_[record.vm] = {record, revision};
    if (step.ends_operator_drain) {
        operator_drains_.erase(record.vm);
    }
}

bool planner::commit_steps(const std::vector<decisions::vm_step>& steps, std::int64_t token)
{
    std::vector<record_write> writes;
    std::vector<records::vm_record> written;
    for (const auto& step : steps) {
        auto record = step.next;
        record.write_id = new_id();
        record_write write;
        write.key = records::vms_prefix + record.vm;
        write.expected_revision = step.expected_revision;
        if (step.kind != step_kind::forget) {
            write.value = records::to_json(record);
        }
        if (step.ends_operator_drain) {
            write.also_removed = records::operator_drains_prefix + record.vm;
        }
        writes.push_back(std::move(write));
        written.push_back(std::move(record));
    }
    return commit(writes, token, [&](std::size_t index, std::int64_t revision) {
        apply_step(steps[index], written[index], revision);
    });
}

bool planner::place_tasks(const decisions::fleet_snapshot& snapshot, decisions::fleet_plan& plan,
                          std::int64_t token)
{
    if (tasks_.empty() || !snapshot.platform_data_current) {
        return true;
    }
    std::map<std::string, const platform::listed_vm*> listed;
    for (const auto& vm : listed_) {
        listed[vm.vm] = &vm;
    }
    decisions::placement_snapshot placement;
    placement.configuration = snapshot.configuration;
    placement.now = snapshot.now;
    placement.reports_current = reports_current_;
    for (const auto& vm : snapshot.vms) {
        decisions::worker_view worker;
        worker.vm = vm.record.vm;
        worker.pool = vm.record.pool;
        worker.rack = vm.rack;
        worker.boot_id = vm.boot_id;
        worker.listed = vm.listed;
        // The record in the cache already shows a drain that was started in this round.
        const auto stored = vms_.find(vm.record.vm);
        worker.accepts_tasks = vm.available() && stored != vms_.end() &&
                               stored->second.record.phase == records::vm_phase::in_service;
        const auto found = listed.find(vm.record.vm);
        if (found != listed.end()) {
            worker.cores = found->second->resources.cores;
            worker.memory_gb = found->second->resources.memory_gb;
            worker.accelerators = found->second->resources.accelerators;
        }
        placement.workers.push_back(std::move(worker));
    }
    const auto planned = tasks_.plan(std::move(placement), options_.placement);
    for (const auto& problem : planned.problems) {
        plan.problems.push_back({problem.task, problem.kind, problem.message});
    }
    const auto writes = task_manager::prepare(planned.steps);
    return commit(writes, token, [&](std::size_t index, std::int64_t revision) {
        tasks_.committed(planned.steps[index], revision);
    });
}

bool planner::send(const decisions::vm_command& command)
{
    const auto deadline = clock_.steady_now() + options_.platform_timeout;
    switch (command.kind) {
    case decisions::command_kind::drain:
        return platform_.control->drain(command.vm, command.operation_id, deadline);
    case decisions::command_kind::cancel_drain:
        return platform_.control->cancel_drain(command.vm, command.operation_id, deadline);
    case decisions::command_kind::reboot:
        return platform_.control->reboot(command.vm, command.operation_id, deadline);
    }
    return false;
}

int planner::send_commands(decisions::fleet_snapshot& snapshot)
{
    for (auto& vm : snapshot.vms) {
        const auto stored = vms_.find(vm.record.vm);
        if (stored != vms_.end()) {
            vm.record = stored->second.record;
        }
    }
    const auto started_at = clock_.steady_now();
    std::map<std::string, steady_time> still_needed;
    int sent = 0;
    for (const auto& command : decisions::outstanding_commands(snapshot)) {
        const auto before = command_sent_.find(command.operation_id);
        const auto now = clock_.steady_now();
        if (before != command_sent_.end() && now - before->second < command_repeat) {
            still_needed[command.operation_id] = before->second;
            continue;
        }
        // Without a valid lease another planner may already have taken other steps.
        if (!lease_.valid() || now - started_at >= options_.command_time) {
            break;
        }
        ++sent;
        if (send(command)) {
            still_needed[command.operation_id] = now;
            continue;
        }
        metrics_.count("jl_planner_command_failures_total", "Commands that the platform refused");
        log_event(log_level::warning, "vm_command_failed",
                  {{"vm", command.vm}, {"reason", platform::last_error().message}});
    }
    command_sent_ = std::move(still_needed);
    return sent;
}

void planner::publish(const round_report& report)
{
    metrics_.count("jl_planner_rounds_total", "Planning rounds by outcome",
                   {{"outcome", to_text(report.outcome)}});
    if (report.outcome != round_outcome::done) {
        return;
    }
    std::map<std::string, std::string> current;
    for (const auto& problem : report.problems) {
        const auto key = problem.kind + ' ' + problem.subject;
        current[key] = problem.message;
        if (reported_.count(key) == 0) {
            log_event(log_level::warning, problem.kind,
                      {{"subject", problem.subject}, {"message", problem.message}});
            metrics_.count("jl_planner_problems_total", "Problems reported to operators by kind",
                           {{"kind", problem.kind}});
        }
    }
    reported_ = std::move(current);
    for (const auto& wave : report.waves) {
        const auto set = [&](const char* state, int value) {
            metrics_.set("jl_wave_vms", "VMs of a wave in its current period by state",
                         {{"wave", wave.wave}, {"state", state}}, value);
        };
        set("done", wave.done);
        set("in_progress", wave.in_progress);
        set("due", wave.due);
    }
}

round_report planner::run_round()
{
    round_report report;
    tracker_.observe(observer_.members(), clock_.steady_now());
    const auto token = hold_role();
    if (!token) {
        publish(report);
        return report;
    }
    report.outcome = round_outcome::no_input;
    const auto configuration = observer_.configuration();
    if (configuration == nullptr || !load_records(*token)) {
        publish(report);
        return report;
    }
    const bool platform_data_current = read_platform();
    auto snapshot = build_snapshot(configuration, *token, platform_data_current);
    decisions::fleet_plan plan;
    decisions::budget_ledger ledger(*configuration, snapshot.vms);
    decisions::advance_drains(snapshot, options_.limits, ledger, plan);
    if (platform_data_current) {
        create_records(snapshot, plan);
    }
    observe_demand(*configuration, snapshot.now);
    decisions::plan_moves(snapshot, options_.limits, options_.capacity, outlooks_, ledger, plan);
    decisions::plan_maintenance(snapshot, options_.limits, ledger, plan);
    report.steps = static_cast<int>(plan.steps.size());
    const bool committed = commit_steps(plan.steps, *token) && place_tasks(snapshot, plan, *token);
    report.commands = send_commands(snapshot);
    report.commands += tasks_.send_commands(
        *platform_.workers, options_.placement, clock_,
        [&](steady_time started) {
            return lease_.valid() && clock_.steady_now() - started < options_.command_time;
        },
        options_.platform_timeout);
    report.problems = std::move(plan.problems);
    report.waves = decisions::describe_waves(snapshot);
    report.outcome = committed ? round_outcome::done : round_outcome::lost_writes;
    publish(report);
    return report;
}

} // namespace jl::fleet
