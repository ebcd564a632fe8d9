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

// Attempts at most for one call, the first one included.
constexpr int max_attempts = 3;
constexpr std::chrono::milliseconds min_retry_after{1000};
constexpr std::chrono::milliseconds max_retry_after{30000};
// A timeout sooner than this may be the caller's impatience, so it does not count against a target.
constexpr std::chrono::seconds min_counted_timeout{1};
constexpr int lowest_error_status = 500;
// How often members and their loads are read, and gauges are set.
constexpr std::chrono::milliseconds members_period{500};
// Demands are reported with headroom and rounded up to powers of two, so that small changes move
// no slots between entries: every move leaves slots unused for two report periods.
constexpr double demand_headroom = 1.25;

call_result refused(std::string code, std::string message,
                    std::chrono::milliseconds retry_after = min_retry_after)
{
    call_result result;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    result.retry_after = std::clamp(retry_after, min_retry_after, max_retry_after);
    return result;
}

call_result unknown(std::string code, std::string message)
{
    call_result result;
    result.result = outcome::unknown;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    return result;
}

call_result answered(targets::target_answer answer)
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
    return demand <= 0 ? 0 : std::exp2(std::ceil(std::log2(demand * demand_headroom)));
}

// A call in execution, on the stack of its thread.
struct execution {
    explicit execution(const call& owner) : owner(owner) {}

    const call& owner;
    routed_call route;
    bool retry = false;
    std::optional<target_slot> slot;
    bool displaced = false;
    std::condition_variable changed;
};

// Demand of every live entry for each service.
struct entry_demands {
    std::map<std::string, std::vector<decisions::entry_demand>> by_service;
    std::vector<decisions::entry_demand> equal; // all live entries without demand

    bool operator==(const entry_demands& other) const
    {
        return by_service == other.by_service && equal == other.equal;
    }

    // Idle services are left out of the reports, so an entry that does not mention a service has no
    // demand for it. An entry whose first report is still on its way keeps the floor of its share,
    // and larger shares of others take effect only two report periods later.
    std::vector<decisions::entry_demand> of_service(const std::string& service) const
    {
        const auto found = by_service.find(service);
        if (found == by_service.end()) {
            return equal;
        }
        auto demands = found->second;
        demands.insert(demands.end(), equal.begin(), equal.end());
        return demands;
    }
};

entry_demands collect_demands(const std::vector<cluster::member_status>& members,
                              const std::string& self)
{
    entry_demands demands;
    bool listed = false;
    for (const auto& member : members) {
        const auto& name = member.member.member;
        if (!member.alive && name != self) {
            continue;
        }
        listed = listed || name == self;
        demands.equal.push_back({name, 0});
        for (const auto& load : member.loads) {
            demands.by_service[load.service].push_back({name, round_up_demand(load)});
        }
    }
    if (!listed) {
        demands.equal.push_back({self, 0});
    }
    return demands;
}

struct service_state {
    service_state(std::chrono::milliseconds share_hold, in_flight_counts& in_flight)
        : router(share_hold, in_flight)
    {
    }

    service_router router;
    std::unordered_map<decisions::ticket, execution*> waiting;
};

class engine final : public routing_call_engine {
public:
    engine(cluster::cluster_state& state, targets::target_client& targets,
           const clock_source& clock, metrics& metrics, call_engine_options options)
        : state_(state),
          targets_(targets),
          clock_(clock),
          metrics_(metrics),
          options_(options),
          refresh_(options.refresh_period, options.refresh_jitter, [this] { refresh(); })
    {
    }

    call_result execute(const call& call) override
    {
        auto result = run(call);
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

    std::vector<cluster::service_load> loads() const override
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
    call_result run(const call& call)
    {
        execution self(call);
        self.route.priority = call.priority;
        self.route.team = call.team;
        self.route.idempotent = call.idempotent;
        bool may_have_run = false;
        call_result last;
        const auto arrived = clock_.steady_now();
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            if (auto refusal = acquire_usable(self)) {
                last = std::move(*refusal);
                break;
            }
            if (attempt == 0) {
                metrics_.observe("jl_start_seconds", "Time from arrival to start of calls",
                                 {{"class", to_text(call.priority)}, {"team", call.team}},
                                 clock_.steady_now() - arrived);
            }
            auto answer = attempt_exchange(self);
            if (answer) {
                return answered(std::move(*answer));
            }
            const auto& error = targets::last_error();
            self.retry = true;
            if (error.code == targets::target_error_code::not_sent) {
                last = refused("target_unreachable", error.message);
                continue;
            }
            may_have_run = true;
            last = unknown("no_answer", error.message);
            if (!call.idempotent || attempt + 1 == max_attempts || !try_retry(call.service)) {
                break;
            }
            metrics_.count("jl_retries_total", "Idempotent calls sent to a further target",
                           {{"class", to_text(call.priority)}, {"service", call.service}});
        }
        if (may_have_run && last.result != outcome::unknown) {
            return unknown("no_answer", "an attempt ended without an answer");
        }
        return last;
    }

    // An exception must not leave the request counted as in flight for ever. What was sent by then
    // is not known.
    std::optional<targets::target_answer> exchange(const execution& self, steady_time deadline)
    {
        const auto& call = self.owner;
        try {
            return targets_.exchange(self.slot->address,
                                     {call.service, call.id, call.content_type, call.body},
                                     deadline);
        }
        catch (const std::exception& error) {
            targets::set_last_error({targets::target_error_code::disconnected, error.what()});
            return std::nullopt;
        }
    }

    // Sends the call to the target it was assigned to, and gives the slot back.
    std::optional<targets::target_answer> attempt_exchange(execution& self)
    {
        const auto& call = self.owner;
        const auto start = clock_.steady_now();
        auto deadline = call.deadline;
        if (self.slot->probe && call.idempotent) {
            // Leaves time for another target, as the probed one may fail again.
            deadline = start + time_left(deadline, start) / 2;
        }
        auto answer = exchange(self, deadline);
        exchange_report report;
        report.duration = clock_.steady_now() - start;
        report.success = answer && answer->status < lowest_error_status;
        report.counts = answer ||
                        targets::last_error().code != targets::target_error_code::timed_out ||
                        report.duration >= min_counted_timeout;
        self.route.excluded.insert(self.slot->vm);
        if (!answer && targets::last_error().code != targets::target_error_code::not_sent) {
            note_abandoned(self);
        }
        release(self, report);
        metrics_.observe("jl_exchange_seconds", "Time from start to end of exchanges with targets",
                         {{"class", to_text(call.priority)}, {"team", call.team}}, report.duration);
        return answer;
    }

    // Waits for a slot on a target that is still usable; returns a refusal if there is none.
    std::optional<call_result> acquire_usable(execution& self)
    {
        for (;;) {
            if (!state_.may_send()) {
                return refused("vm_view_old", "the VM view is too old to send to targets");
            }
            if (!is_service_known(self.owner.service)) {
                refresh();
            }
            if (auto refusal = acquire(self)) {
                return refusal;
            }
            // The request is counted as in flight from here on, so a VM that becomes unusable
            // after this check is not acknowledged with 0 before the exchange has ended.
            if (is_usable(self.slot->vm)) {
                return std::nullopt;
            }
            self.retry = true;
            release(self, std::nullopt);
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
                return usable_.count(vm) > 0;
            }
        }
        refresh();
        const std::lock_guard lock(mutex_);
        return usable_.count(vm) > 0;
    }

    bool is_service_known(const std::string& service) const
    {
        const std::lock_guard lock(mutex_);
        return services_.count(service) > 0;
    }

    std::optional<call_result> acquire(execution& self)
    {
        std::unique_lock lock(mutex_);
        const auto found = services_.find(self.owner.service);
        if (found == services_.end()) {
            return refused("unknown_service", "the service is not in the configuration in force");
        }
        auto& service = found->second;
        auto& queue = service.router.queue();
        if (!self.retry) {
            service.router.count_call();
        }
        const auto priority = to_work_class(self.owner.priority);
        if (!make_room(service, priority, self.owner.team) || !enqueue(service, self)) {
            return refused("queue_full", "too many calls of this team are waiting",
                           queue.expected_wait(priority, self.owner.team));
        }
        dispatch(service);
        while (!self.slot && !self.displaced) {
            const auto left = self.owner.deadline - clock_.steady_now();
            if (left <= steady_time::duration::zero()) {
                queue.remove(self.route.id);
                service.waiting.erase(self.route.id);
                --waiting_;
                return refused("deadline_passed", "no slot became free before the deadline");
            }
            self.changed.wait_for(lock, left);
        }
        if (self.displaced) {
            // The service may have been removed from the configuration since, so it is not used.
            return refused("displaced", "too many calls of this team are waiting");
        }
        return std::nullopt;
    }

    void release(execution& self, const std::optional<exchange_report>& report)
    {
        const std::lock_guard lock(mutex_);
        auto& service = services_.at(self.owner.service);
        service.router.release(self.route, self.slot->vm, report, clock_.steady_now());
        self.slot.reset();
        dispatch(service);
    }

    bool try_retry(const std::string& service)
    {
        const std::lock_guard lock(mutex_);
        const auto found = services_.find(service);
        return found != services_.end() && found->second.router.try_retry();
    }

    // The target may still execute a request whose answer this entry no longer waits for. A stop of
    // the VM would cut it, so it counts as in flight for the longest time a request of the service
    // may take.
    void note_abandoned(const execution& self)
    {
        const auto* service = self.owner.configuration
                                  ? self.owner.configuration->find_service(self.owner.service)
                                  : nullptr;
        const auto longest =
            service != nullptr ? service->max_timeout : objects::service().max_timeout;
        const std::lock_guard lock(mutex_);
        const auto now = clock_.steady_now();
        auto& ends = abandoned_[self.slot->vm];
        drop_ended(ends, now);
        ends.push_back(now + longest);
    }

    // The following require mutex_.

    int count_abandoned(const std::string& vm) const
    {
        const auto found = abandoned_.find(vm);
        if (found == abandoned_.end()) {
            return 0;
        }
        drop_ended(found->second, clock_.steady_now());
        const auto count = static_cast<int>(found->second.size());
        if (count == 0) {
            abandoned_.erase(found);
        }
        return count;
    }

    // The ends of one service are in order. Those of a VM that changed its pool may not be, and
    // then some stay a little longer.
    static void drop_ended(std::deque<steady_time>& ends, steady_time now)
    {
        while (!ends.empty() && ends.front() <= now) {
            ends.pop_front();
        }
    }

    bool enqueue(service_state& service, execution& self)
    {
        self.route.id = ++last_ticket_;
        const auto result =
            service.router.enqueue(self.route, configuration_->find_team(self.owner.team),
                                   self.owner.deadline, self.retry, clock_.steady_now());
        if (result.displaced) {
            displace(service, *result.displaced);
        }
        if (result.accepted) {
            service.waiting[self.route.id] = &self;
            ++waiting_;
        }
        return result.accepted;
    }

    // Keeps the number of waiting calls of all services within the limit, at the expense of the
    // longest queue. False if that is the queue of the new call.
    bool make_room(service_state& service, decisions::work_class priority, const std::string& team)
    {
        if (waiting_ < options_.max_waiting_calls) {
            return true;
        }
        service_state* longest = nullptr;
        for (auto& [name, candidate] : services_) {
            if (longest == nullptr || candidate.router.queue().longest_queue() >
                                          longest->router.queue().longest_queue()) {
                longest = &candidate;
            }
        }
        if (longest->router.queue().longest_queue() <=
            service.router.queue().queue_length(priority, team)) {
            return false;
        }
        if (const auto id = longest->router.queue().displace_longest()) {
            displace(*longest, *id);
        }
        return true;
    }

    void displace(service_state& service, decisions::ticket id)
    {
        const auto found = service.waiting.find(id);
        found->second->displaced = true;
        found->second->changed.notify_one();
        service.waiting.erase(found);
        --waiting_;
    }

    void dispatch(service_state& service)
    {
        auto& queue = service.router.queue();
        const auto now = clock_.steady_now();
        while (queue.waiting() > 0 && service.router.has_free_target(now)) {
            const auto id = queue.start_next(now);
            if (!id) {
                return;
            }
            const auto found = service.waiting.find(*id);
            auto* next = found->second;
            next->slot = service.router.assign(next->route, now);
            service.waiting.erase(found);
            --waiting_;
            next->changed.notify_one();
        }
    }

    // Takes over the current configuration, VMs and members. Does little if nothing has changed: it
    // runs many times a second, and control may use 1% of a core at 215 services and 1,200 VMs.
    void refresh()
    {
        // Refreshes run in several threads; the order of snapshots must match that of updates.
        const std::lock_guard refresh_lock(refresh_mutex_);
        auto vms = state_.vms();
        auto configuration = state_.configuration();
        if (!configuration) {
            return;
        }
        const auto now = clock_.steady_now();
        const bool members_due = now >= members_due_;
        std::optional<entry_demands> demands;
        std::string self;
        if (members_due) {
            members_due_ = now + members_period;
            self = state_.self();
            demands = collect_demands(state_.members(), self);
        }
        std::vector<endpoint> unused;
        {
            const std::lock_guard lock(mutex_);
            const bool demands_changed = demands && !(*demands == demands_);
            if (demands) {
                demands_ = std::move(*demands);
                self_ = std::move(self);
            }
            if (demands_changed || vms != vms_ || configuration != configuration_) {
                unused = update(std::move(vms), std::move(configuration), now);
            }
            for (auto& [name, service] : services_) {
                service.router.sample_load(now);
                service.router.update_shares(now);
                dispatch(service);
            }
        }
        for (const auto& address : unused) {
            targets_.close_connections(address);
        }
        if (members_due) {
            report_metrics();
        }
    }

    // Returns the addresses of VMs that are not used any more. Requires mutex_.
    std::vector<endpoint> update(cluster::vm_snapshot_ptr vms,
                                 objects::object_set_ptr configuration, steady_time now)
    {
        vms_ = std::move(vms);
        configuration_ = std::move(configuration);
        std::map<std::string, std::vector<cluster::vm_state>> by_pool;
        auto before = std::move(usable_);
        usable_.clear();
        for (const auto& vm : vms_->vms) {
            if (vm.usable()) {
                by_pool[vm.pool].push_back(vm);
                usable_[vm.vm] = vm.address;
                before.erase(vm.vm);
            }
        }
        for (const auto& definition : configuration_->services) {
            auto& service =
                services_.try_emplace(definition.name, options_.report_period * 2, in_flight_)
                    .first->second;
            service.router.set_targets(definition, by_pool[definition.pool],
                                       demands_.of_service(definition.name), self_, now);
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
        std::vector<endpoint> unused;
        for (const auto& [vm, address] : before) {
            if (in_flight_.count(vm) == 0) {
                unused.push_back(address);
            }
        }
        return unused;
    }

    void report_metrics()
    {
        struct service_gauge {
            std::string name;
            int waiting;
            int running;
            int slots;
            int set_aside;
        };
        std::vector<service_gauge> gauges;
        {
            const std::lock_guard lock(mutex_);
            gauges.reserve(services_.size());
            for (const auto& [name, service] : services_) {
                const auto& router = service.router;
                gauges.push_back({name, router.queue().waiting(), router.queue().running(),
                                  router.slots(), router.count_set_aside()});
            }
        }
        for (const auto& gauge : gauges) {
            const metric_labels labels = {{"service", gauge.name}};
            metrics_.set("jl_waiting_calls", "Calls that wait for a slot", labels, gauge.waiting);
            metrics_.set("jl_running_calls", "Slots in use by this entry", labels, gauge.running);
            metrics_.set("jl_slots", "Slots this entry may use", labels, gauge.slots);
            metrics_.set("jl_targets_set_aside", "Targets that are ejected or probed", labels,
                         gauge.set_aside);
        }
    }

    cluster::cluster_state& state_;
    targets::target_client& targets_;
    const clock_source& clock_;
    metrics& metrics_;
    const call_engine_options options_;

    std::mutex refresh_mutex_; // acquired before any other; orders refreshes
    steady_time members_due_;  // guarded by refresh_mutex_
    mutable std::mutex mutex_; // rank 3: admission queues
    cluster::vm_snapshot_ptr vms_;
    objects::object_set_ptr configuration_;
    entry_demands demands_;
    std::string self_;
    std::map<std::string, endpoint> usable_;
    in_flight_counts in_flight_;
    // By VM: until when requests count as in flight whose answers are no longer awaited.
    mutable std::map<std::string, std::deque<steady_time>> abandoned_;
    std::map<std::string, service_state> services_;
    decisions::ticket last_ticket_ = 0;
    int waiting_ = 0;
    periodic_task refresh_; // last: it uses the other members
};

} // namespace

std::unique_ptr<routing_call_engine> make_call_engine(cluster::cluster_state& state,
                                                      targets::target_client& targets,
                                                      const clock_source& clock, metrics& metrics,
                                                      call_engine_options options)
{
    return std::make_unique<engine>(state, targets, clock, metrics, options);
}

} // namespace jl::requests
