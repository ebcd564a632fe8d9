#include "requests/call_engine.h"

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/periodic_task.h"
#include "requests/service_router.h"

namespace jl::requests {

namespace {

// Maximum number of attempts for one call, including the first.
constexpr int max_attempts = 3;
constexpr std::chrono::milliseconds min_retry_after{1000};
constexpr std::chrono::milliseconds max_retry_after{30000};
// A timeout after less time than this may be due to a short deadline of the caller, so it does not
// count as a failure of the target.
constexpr std::chrono::seconds min_timeout_counted_against_target{1};
// Answers with this HTTP status or a higher one count as failures of the target.
constexpr int min_failure_http_status = 500;
// Interval at which the members and their loads are read and the gauges are set.
constexpr std::chrono::milliseconds members_read_period{500};
// Headroom that is added to the demand of an entry before it is rounded up to a power of two. Both
// prevent small changes of demand from moving slots between entries: a moved slot stays unused for
// two load report periods.
constexpr double demand_headroom_factor = 1.25;

call_result make_refused_result(std::string code, std::string message,
                                std::chrono::milliseconds retry_after = min_retry_after)
{
    call_result result;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    result.retry_after = std::clamp(retry_after, min_retry_after, max_retry_after);
    return result;
}

call_result make_unknown_result(std::string code, std::string message)
{
    call_result result;
    result.result = outcome::unknown;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    return result;
}

call_result make_answered_result(targets::target_answer answer)
{
    call_result result;
    result.result = outcome::answered;
    result.status = answer.status;
    result.content_type = std::move(answer.content_type);
    result.body = std::move(answer.body);
    return result;
}

double round_up_demand(const cluster::service_load& load)
{
    const double demand = load.waiting + load.running + load.backlog;
    return demand <= 0 ? 0 : std::exp2(std::ceil(std::log2(demand * demand_headroom_factor)));
}

// The state of a call that is being executed. It is on the stack of the thread that executes it.
struct call_execution {
    explicit call_execution(const call& request) : request(request) {}

    const call& request;
    routed_call routing;
    bool retry = false;
    std::optional<target_slot> slot;
    bool displaced = false;
    std::condition_variable state_changed;
};

// The demand of every live entry for each service.
struct entry_demands {
    std::map<std::string, std::vector<decisions::entry_demand>> by_service;
    std::vector<decisions::entry_demand> without_demand; // all live entries, each with demand 0

    bool operator==(const entry_demands& other) const
    {
        return by_service == other.by_service && without_demand == other.without_demand;
    }

    // Load reports leave out idle services, so an entry whose report does not name a service has no
    // demand for it. An entry whose first report has not arrived yet also counts as having no
    // demand. It still gets its minimum share, and larger shares of the other entries take effect
    // only two report periods later.
    std::vector<decisions::entry_demand> demands_for_service(const std::string& service) const
    {
        const auto found = by_service.find(service);
        if (found == by_service.end()) {
            return without_demand;
        }
        auto demands = found->second;
        demands.insert(demands.end(), without_demand.begin(), without_demand.end());
        return demands;
    }
};

entry_demands collect_demands(const std::vector<cluster::member_status>& members,
                              const std::string& own_entry)
{
    entry_demands demands;
    bool own_entry_listed = false;
    for (const auto& member : members) {
        const auto& name = member.member.member;
        if (!member.alive && name != own_entry) {
            continue;
        }
        own_entry_listed = own_entry_listed || name == own_entry;
        demands.without_demand.push_back({name, 0});
        for (const auto& load : member.loads) {
            demands.by_service[load.service].push_back({name, round_up_demand(load)});
        }
    }
    if (!own_entry_listed) {
        demands.without_demand.push_back({own_entry, 0});
    }
    return demands;
}

struct service_state {
    service_state(std::chrono::milliseconds share_increase_delay, in_flight_by_vm& in_flight)
        : router(share_increase_delay, in_flight)
    {
    }

    service_router router;
    std::unordered_map<decisions::call_id, call_execution*> waiting_executions;
};

class engine final : public load_reporting_call_engine {
public:
    engine(cluster::cluster_state& state, targets::target_client& targets,
           const clock_source& clock, metrics& metrics, call_engine_options options)
        : state_(state),
          targets_(targets),
          clock_(clock),
          metrics_(metrics),
          options_(options),
          refresh_task_(options.refresh_period, options.refresh_jitter, [this] { refresh(); })
    {
    }

    call_result execute(const call& call) override
    {
        auto result = execute_with_retries(call);
        metrics_.count("jl_calls_total", "Calls by outcome",
                       {{"outcome", to_text(result.result)},
                        {"class", to_text(call.priority)},
                        {"team", call.team},
                        {"service", call.service}});
        if (result.result == outcome::not_run) {
            metrics_.count("jl_refusals_total", "Calls refused by the entry, by reason",
                           {{"code", result.error_code}, {"class", to_text(call.priority)}});
        }
        return result;
    }

    bool has_room_for_deferred(const std::string& service) const override
    {
        if (!state_.may_send()) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return false;
        }
        const auto& router = found->second.router;
        return router.queue().has_room_for_deferred(router.has_free_target(clock_.steady_now()));
    }

    int in_flight(const std::string& vm) const override
    {
        const std::lock_guard lock(mutex_);
        const auto found = in_flight_.find(vm);
        return (found == in_flight_.end() ? 0 : found->second) + count_abandoned(vm);
    }

    std::vector<cluster::service_load> service_loads() const override
    {
        const std::lock_guard lock(mutex_);
        std::vector<cluster::service_load> loads;
        loads.reserve(services_.size());
        for (const auto& [name, service] : services_) {
            loads.push_back(service.router.load(name));
        }
        return loads;
    }

private:
    call_result execute_with_retries(const call& call)
    {
        call_execution execution(call);
        execution.routing.priority = call.priority;
        execution.routing.team = call.team;
        execution.routing.idempotent = call.idempotent;
        bool may_have_run = false;
        call_result last_result;
        const auto arrival_time = clock_.steady_now();
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            if (auto refusal = acquire_slot_on_usable_vm(execution)) {
                last_result = std::move(*refusal);
                break;
            }
            if (attempt == 0) {
                metrics_.observe("jl_start_seconds", "Time from arrival to start of calls",
                                 {{"class", to_text(call.priority)}, {"team", call.team}},
                                 clock_.steady_now() - arrival_time);
            }
            auto answer = exchange_and_release_slot(execution);
            if (answer) {
                return make_answered_result(std::move(*answer));
            }
            const auto& error = targets::last_error();
            execution.retry = true;
            if (error.code == targets::target_error_code::not_sent) {
                last_result = make_refused_result("target_unreachable", error.message);
                continue;
            }
            may_have_run = true;
            last_result = make_unknown_result("no_answer", error.message);
            const bool may_repeat = call.idempotent && call.repeat_unanswered;
            if (!may_repeat || attempt + 1 == max_attempts || !try_retry(call.service)) {
                break;
            }
            metrics_.count("jl_retries_total", "Idempotent calls sent to a further target",
                           {{"class", to_text(call.priority)}, {"service", call.service}});
        }
        if (may_have_run && last_result.result != outcome::unknown) {
            return make_unknown_result("no_answer", "an attempt ended without an answer");
        }
        return last_result;
    }

    // Reports an exception of the target client as a lost connection, because it is not known what
    // was sent before it. If the exception propagated, the request would count as in flight for
    // ever.
    std::optional<targets::target_answer> exchange_with_target(const call_execution& execution,
                                                               steady_time deadline)
    {
        const auto& call = execution.request;
        try {
            return targets_.exchange(execution.slot->address,
                                     {call.service, call.id, call.content_type, call.body},
                                     deadline);
        }
        catch (const std::exception& error) {
            targets::set_last_error({targets::target_error_code::disconnected, error.what()});
            return std::nullopt;
        }
    }

    // Sends the call to its assigned target and then releases the slot.
    std::optional<targets::target_answer> exchange_and_release_slot(call_execution& execution)
    {
        const auto& call = execution.request;
        const auto start = clock_.steady_now();
        auto deadline = call.deadline;
        if (execution.slot->probe && call.idempotent) {
            // The probed target may fail again, so half of the time is kept for another target.
            deadline = start + time_left(deadline, start) / 2;
        }
        auto answer = exchange_with_target(execution, deadline);
        exchange_result result;
        result.duration = clock_.steady_now() - start;
        result.success = answer && answer->status < min_failure_http_status;
        result.counts_for_target_health =
            answer || targets::last_error().code != targets::target_error_code::timed_out ||
            result.duration >= min_timeout_counted_against_target;
        execution.routing.excluded.insert(execution.slot->vm);
        if (!answer && targets::last_error().code != targets::target_error_code::not_sent) {
            record_abandoned_request(execution);
        }
        release_slot(execution, result);
        metrics_.observe("jl_exchange_seconds", "Time from start to end of exchanges with targets",
                         {{"class", to_text(call.priority)}, {"team", call.team}}, result.duration);
        return answer;
    }

    // Waits for a slot on a VM that is still usable once the slot is assigned. Returns a refusal if
    // the call gets no slot, and nothing if it has one.
    std::optional<call_result> acquire_slot_on_usable_vm(call_execution& execution)
    {
        for (;;) {
            if (!state_.may_send()) {
                return make_refused_result("vm_view_old",
                                           "the VM view is too old to send to targets");
            }
            if (!is_service_known(execution.request.service)) {
                refresh();
            }
            if (auto refusal = acquire_slot(execution)) {
                return refusal;
            }
            // The request already counts as in flight. If the VM becomes unusable after this check,
            // this entry therefore does not report 0 requests in flight for it before the exchange
            // has ended.
            if (is_usable(execution.slot->vm)) {
                return std::nullopt;
            }
            execution.retry = true;
            release_slot(execution, std::nullopt);
        }
    }

    bool is_usable(const std::string& vm)
    {
        if (!state_.may_send()) {
            return false;
        }
        const auto vms = state_.vms();
        {
            const std::lock_guard lock(mutex_);
            if (vms == vms_) {
                return usable_vms_.count(vm) > 0;
            }
        }
        refresh();
        const std::lock_guard lock(mutex_);
        return usable_vms_.count(vm) > 0;
    }

    bool is_service_known(const std::string& service) const
    {
        const std::lock_guard lock(mutex_);
        return services_.count(service) > 0;
    }

    std::optional<call_result> acquire_slot(call_execution& execution)
    {
        std::unique_lock lock(mutex_);
        const auto found = services_.find(execution.request.service);
        if (found == services_.end()) {
            return make_refused_result("unknown_service",
                                       "the service is not in the configuration in force");
        }
        auto& service = found->second;
        auto& queue = service.router.queue();
        if (!execution.retry) {
            service.router.count_call();
        }
        const auto priority = to_work_class(execution.request.priority);
        if (!make_room_for_waiting_call(service, priority, execution.request.team) ||
            !enqueue(service, execution)) {
            return make_refused_result("queue_full", "too many calls of this team are waiting",
                                       queue.expected_wait(priority, execution.request.team));
        }
        dispatch(service);
        while (!execution.slot && !execution.displaced) {
            const auto time_remaining = execution.request.deadline - clock_.steady_now();
            if (time_remaining <= steady_time::duration::zero()) {
                queue.remove(execution.routing.id);
                service.waiting_executions.erase(execution.routing.id);
                --waiting_calls_;
                return make_refused_result("deadline_passed",
                                           "no slot became free before the deadline");
            }
            execution.state_changed.wait_for(lock, time_remaining);
        }
        if (execution.displaced) {
            // `service` must not be used here: it may have been erased after a change of
            // configuration.
            return make_refused_result("displaced", "too many calls of this team are waiting");
        }
        return std::nullopt;
    }

    void release_slot(call_execution& execution, const std::optional<exchange_result>& result)
    {
        const std::lock_guard lock(mutex_);
        auto& service = services_.at(execution.request.service);
        service.router.release(execution.routing, execution.slot->vm, result, clock_.steady_now());
        execution.slot.reset();
        dispatch(service);
    }

    bool try_retry(const std::string& service)
    {
        const std::lock_guard lock(mutex_);
        const auto found = services_.find(service);
        return found != services_.end() && found->second.router.try_retry();
    }

    // Counts a request whose answer is no longer awaited as in flight for the maximum timeout of
    // its service. The target may execute it for that long, and a stop of the VM would interrupt
    // it.
    void record_abandoned_request(const call_execution& execution)
    {
        const auto* service =
            execution.request.configuration
                ? execution.request.configuration->find_service(execution.request.service)
                : nullptr;
        const auto max_duration =
            service != nullptr ? service->max_timeout : objects::service().max_timeout;
        const std::lock_guard lock(mutex_);
        const auto now = clock_.steady_now();
        auto& end_times = abandoned_until_[execution.slot->vm];
        remove_expired(end_times, now);
        end_times.push_back(now + max_duration);
    }

    // The following require mutex_.

    int count_abandoned(const std::string& vm) const
    {
        const auto found = abandoned_until_.find(vm);
        if (found == abandoned_until_.end()) {
            return 0;
        }
        remove_expired(found->second, clock_.steady_now());
        const auto count = static_cast<int>(found->second.size());
        if (count == 0) {
            abandoned_until_.erase(found);
        }
        return count;
    }

    // Removes end times that have passed from the front. The end times of one service are in
    // ascending order. Those of a VM that moved to another pool may not be; some then stay longer
    // than needed.
    static void remove_expired(std::deque<steady_time>& end_times, steady_time now)
    {
        while (!end_times.empty() && end_times.front() <= now) {
            end_times.pop_front();
        }
    }

    bool enqueue(service_state& service, call_execution& execution)
    {
        execution.routing.id = ++last_call_id_;
        const auto result = service.router.enqueue(
            execution.routing, configuration_->find_team(execution.request.team),
            execution.request.deadline, execution.retry, clock_.steady_now());
        if (result.displaced) {
            displace(service, *result.displaced);
        }
        if (result.accepted) {
            service.waiting_executions[execution.routing.id] = &execution;
            ++waiting_calls_;
        }
        return result.accepted;
    }

    // Ensures that one more call may wait. If the limit over all services is reached, displaces a
    // call from the longest queue. Returns false if no queue is longer than that of the new call.
    bool make_room_for_waiting_call(service_state& service, decisions::work_class priority,
                                    const std::string& team)
    {
        if (waiting_calls_ < options_.max_waiting_calls) {
            return true;
        }
        service_state* longest_service = nullptr;
        for (auto& [name, candidate] : services_) {
            if (longest_service == nullptr ||
                candidate.router.queue().max_relative_queue_length() >
                    longest_service->router.queue().max_relative_queue_length()) {
                longest_service = &candidate;
            }
        }
        if (longest_service->router.queue().max_relative_queue_length() <=
            service.router.queue().relative_queue_length(priority, team)) {
            return false;
        }
        if (const auto id = longest_service->router.queue().displace_from_longest_queue()) {
            displace(*longest_service, *id);
        }
        return true;
    }

    // Ends the wait of a call that the queue has removed in favour of another call.
    void displace(service_state& service, decisions::call_id id)
    {
        const auto found = service.waiting_executions.find(id);
        found->second->displaced = true;
        found->second->state_changed.notify_one();
        service.waiting_executions.erase(found);
        --waiting_calls_;
    }

    // Starts waiting calls while targets have free slots.
    void dispatch(service_state& service)
    {
        auto& queue = service.router.queue();
        const auto now = clock_.steady_now();
        while (queue.waiting() > 0 && service.router.has_free_target(now)) {
            const auto id = queue.start_next(now);
            if (!id) {
                return;
            }
            const auto found = service.waiting_executions.find(*id);
            auto* next = found->second;
            next->slot = service.router.assign(next->routing, now);
            service.waiting_executions.erase(found);
            --waiting_calls_;
            next->state_changed.notify_one();
        }
    }

    // Applies the current configuration, VMs and members. It must be cheap if nothing has changed:
    // it runs many times a second, and control work is limited to 1% of a core at 215 services and
    // 1,200 VMs.
    void refresh()
    {
        // Several threads refresh. The lock ensures that an older snapshot is never applied after a
        // newer one.
        const std::lock_guard refresh_lock(refresh_mutex_);
        auto vms = state_.vms();
        auto configuration = state_.configuration();
        if (!configuration) {
            return;
        }
        const auto now = clock_.steady_now();
        const bool members_due = now >= next_members_read_;
        std::optional<entry_demands> demands;
        std::string own_entry;
        if (members_due) {
            next_members_read_ = now + members_read_period;
            own_entry = state_.self();
            demands = collect_demands(state_.members(), own_entry);
        }
        std::vector<endpoint> unused_addresses;
        {
            const std::lock_guard lock(mutex_);
            const bool demands_changed = demands && !(*demands == demands_);
            if (demands) {
                demands_ = std::move(*demands);
                own_entry_ = std::move(own_entry);
            }
            if (demands_changed || vms != vms_ || configuration != configuration_) {
                unused_addresses =
                    apply_cluster_state(std::move(vms), std::move(configuration), now);
            }
            for (auto& [name, service] : services_) {
                service.router.sample_load(now);
                service.router.update_shares(now);
                dispatch(service);
            }
        }
        for (const auto& address : unused_addresses) {
            targets_.close_connections(address);
        }
        if (members_due) {
            report_metrics();
        }
    }

    // Returns the addresses of VMs that became unusable and have no request in flight. Requires
    // mutex_.
    std::vector<endpoint> apply_cluster_state(cluster::vm_snapshot_ptr vms,
                                              objects::object_set_ptr configuration,
                                              steady_time now)
    {
        vms_ = std::move(vms);
        configuration_ = std::move(configuration);
        std::map<std::string, std::vector<cluster::vm_state>> by_pool;
        auto no_longer_usable = std::move(usable_vms_);
        usable_vms_.clear();
        for (const auto& vm : vms_->vms) {
            if (vm.usable()) {
                by_pool[vm.pool].push_back(vm);
                usable_vms_[vm.vm] = vm.address;
                no_longer_usable.erase(vm.vm);
            }
        }
        for (const auto& definition : configuration_->services) {
            auto& service =
                services_.try_emplace(definition.name, options_.load_report_period * 2, in_flight_)
                    .first->second;
            service.router.set_targets(definition, by_pool[definition.pool],
                                       demands_.demands_for_service(definition.name), own_entry_,
                                       now);
        }
        for (auto found = services_.begin(); found != services_.end();) {
            auto& router = found->second.router;
            if (configuration_->find_service(found->first) != nullptr) {
                ++found;
                continue;
            }
            router.clear_targets();
            const bool idle = router.queue().waiting() == 0 && router.queue().running() == 0;
            found = idle ? services_.erase(found) : std::next(found);
        }
        std::vector<endpoint> unused_addresses;
        for (const auto& [vm, address] : no_longer_usable) {
            if (in_flight_.count(vm) == 0) {
                unused_addresses.push_back(address);
            }
        }
        return unused_addresses;
    }

    void report_metrics()
    {
        struct service_gauge {
            std::string name;
            int waiting;
            int running;
            int slots;
            int unhealthy_targets;
        };
        std::vector<service_gauge> gauges;
        {
            const std::lock_guard lock(mutex_);
            gauges.reserve(services_.size());
            for (const auto& [name, service] : services_) {
                const auto& router = service.router;
                gauges.push_back({name, router.queue().waiting(), router.queue().running(),
                                  router.slots(), router.count_unhealthy_targets()});
            }
        }
        for (const auto& gauge : gauges) {
            const metric_labels labels = {{"service", gauge.name}};
            metrics_.set("jl_waiting_calls", "Calls that wait for a slot", labels, gauge.waiting);
            metrics_.set("jl_running_calls", "Slots in use by this entry", labels, gauge.running);
            metrics_.set("jl_slots", "Slots this entry may use", labels, gauge.slots);
            metrics_.set("jl_targets_set_aside", "Targets that are ejected or probed", labels,
                         gauge.unhealthy_targets);
        }
    }

    cluster::cluster_state& state_;
    targets::target_client& targets_;
    const clock_source& clock_;
    metrics& metrics_;
    const call_engine_options options_;

    std::mutex refresh_mutex_;      // acquired before any other mutex; serializes refreshes
    steady_time next_members_read_; // guarded by refresh_mutex_
    mutable std::mutex mutex_;      // rank 3: admission queues
    cluster::vm_snapshot_ptr vms_;
    objects::object_set_ptr configuration_;
    entry_demands demands_;
    std::string own_entry_;
    std::map<std::string, endpoint> usable_vms_;
    in_flight_by_vm in_flight_;
    // By VM: for each request whose answer is no longer awaited, the time until which it counts as
    // in flight.
    mutable std::map<std::string, std::deque<steady_time>> abandoned_until_;
    std::map<std::string, service_state> services_;
    decisions::call_id last_call_id_ = 0;
    int waiting_calls_ = 0;
    periodic_task refresh_task_; // declared last, because it uses the other members
};

} // namespace

std::unique_ptr<load_reporting_call_engine>
make_call_engine(cluster::cluster_state& state, targets::target_client& targets,
                 const clock_source& clock, metrics& metrics, call_engine_options options)
{
    return std::make_unique<engine>(state, targets, clock, metrics, options);
}

} // namespace jl::requests
