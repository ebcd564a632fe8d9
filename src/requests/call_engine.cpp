#include "requests/call_engine.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "base/periodic_task.h"

namespace jl::requests {

namespace {

// Attempts at most for one call, the first one included.
constexpr int max_attempts = 3;
constexpr std::chrono::milliseconds refusal_retry_after{1000};

call_result refused(std::string code, std::string message)
{
    call_result result;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    result.retry_after = refusal_retry_after;
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

struct target_slot {
    std::string vm;
    endpoint address;
};

// A call that waits for a slot, on the stack of the thread that executes it.
struct waiter {
    explicit waiter(const call& owner) : owner(owner) {}

    const call& owner;
    std::set<std::string> excluded; // VMs that failed an attempt of this call
    std::optional<target_slot> slot;
    std::condition_variable changed;
};

struct target_state {
    target_slot slot;
    int limit = 0;
};

struct service_state {
    std::vector<target_state> targets;
    std::deque<waiter*> waiting;
    int running = 0;
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
                        {"team", call.team}});
        return result;
    }

    bool has_room_for_deferred(const std::string& service) const override
    {
        if (!state_.may_send()) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        const auto found = services_.find(service);
        return found != services_.end() && found->second.waiting.empty() &&
               find_free(found->second, {}) != nullptr;
    }

    int in_flight(const std::string& vm) const override
    {
        const std::lock_guard lock(mutex_);
        return count_in_flight(vm);
    }

    std::vector<cluster::service_load> loads() const override
    {
        const std::lock_guard lock(mutex_);
        std::vector<cluster::service_load> loads;
        for (const auto& [name, service] : services_) {
            cluster::service_load load;
            load.service = name;
            load.waiting = static_cast<int>(service.waiting.size());
            load.running = service.running;
            loads.push_back(std::move(load));
        }
        return loads;
    }

private:
    call_result run(const call& call)
    {
        bool may_have_run = false;
        waiter self(call);
        call_result last = refused("no_attempt", "no attempt was made");
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            refresh_if_changed();
            if (!state_.may_send()) {
                last = refused("vm_view_old", "the VM view is too old to send to targets");
                break;
            }
            if (auto refusal = acquire(self)) {
                last = std::move(*refusal);
                break;
            }
            // The request is counted as in flight from here on, so a VM that becomes unusable
            // after this check is not acknowledged with 0 before the exchange has ended.
            if (!is_usable(self.slot->vm)) {
                release(self);
                continue;
            }
            auto answer = targets_.exchange(self.slot->address,
                                            {call.service, call.id, call.content_type, call.body},
                                            call.deadline);
            const auto error = answer ? targets::target_error{} : targets::last_error();
            self.excluded.insert(self.slot->vm);
            release(self);
            if (answer) {
                call_result result;
                result.result = outcome::answered;
                result.status = answer->status;
                result.content_type = std::move(answer->content_type);
                result.body = std::move(answer->body);
                return result;
            }
            if (error.code == targets::target_error_code::not_sent) {
                last = refused("target_unreachable", error.message);
                continue;
            }
            may_have_run = true;
            last = unknown("no_answer", error.message);
            if (!call.idempotent) {
                break;
            }
        }
        if (may_have_run && last.result != outcome::unknown) {
            return unknown("no_answer", "an attempt ended without an answer");
        }
        return last;
    }

    bool is_usable(const std::string& vm)
    {
        refresh_if_changed();
        if (!state_.may_send()) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        return usable_.count(vm) > 0;
    }

    // Waits for a slot; returns a refusal if none was assigned.
    std::optional<call_result> acquire(waiter& self)
    {
        std::unique_lock lock(mutex_);
        const auto found = services_.find(self.owner.service);
        if (found == services_.end()) {
            return refused("unknown_service", "no service has this name");
        }
        if (waiting_ >= options_.max_waiting_calls) {
            return refused("queue_full", "too many calls are waiting");
        }
        auto& service = found->second;
        self.slot.reset();
        service.waiting.push_back(&self);
        ++waiting_;
        dispatch(service);
        while (!self.slot) {
            const auto left = time_left(self.owner.deadline, clock_.steady_now());
            if (left == std::chrono::milliseconds::zero()) {
                service.waiting.erase(
                    std::find(service.waiting.begin(), service.waiting.end(), &self));
                --waiting_;
                return refused("deadline_passed", "no slot became free before the deadline");
            }
            self.changed.wait_for(lock, left);
        }
        return std::nullopt;
    }

    void release(waiter& self)
    {
        const std::lock_guard lock(mutex_);
        const auto found = in_flight_.find(self.slot->vm);
        if (--found->second == 0) {
            in_flight_.erase(found);
        }
        self.slot.reset();
        auto& service = services_.at(self.owner.service);
        --service.running;
        dispatch(service);
    }

    // The following require mutex_.

    int count_in_flight(const std::string& vm) const
    {
        const auto found = in_flight_.find(vm);
        return found == in_flight_.end() ? 0 : found->second;
    }

    const target_state* find_free(const service_state& service,
                                  const std::set<std::string>& excluded) const
    {
        const target_state* best = nullptr;
        int best_count = 0;
        for (const auto& target : service.targets) {
            const int count = count_in_flight(target.slot.vm);
            if (count < target.limit && excluded.count(target.slot.vm) == 0 &&
                (best == nullptr || count < best_count)) {
                best = &target;
                best_count = count;
            }
        }
        return best;
    }

    void dispatch(service_state& service)
    {
        while (!service.waiting.empty()) {
            auto* next = service.waiting.front();
            const auto* target = find_free(service, next->excluded);
            if (target == nullptr) {
                return;
            }
            service.waiting.pop_front();
            --waiting_;
            ++service.running;
            ++in_flight_[target->slot.vm];
            next->slot = target->slot;
            next->changed.notify_one();
        }
    }

    void refresh_if_changed()
    {
        const auto vms = state_.vms();
        const auto configuration = state_.configuration();
        {
            const std::lock_guard lock(mutex_);
            if (vms == vms_ && configuration == configuration_) {
                return;
            }
        }
        refresh();
    }

    // Takes over the current configuration, VMs and members.
    void refresh()
    {
        const auto members = state_.members();
        const auto alive = std::count_if(members.begin(), members.end(),
                                         [](const auto& member) { return member.alive; });
        // Refreshes run in several threads; the order of snapshots must match that of updates.
        const std::lock_guard refresh_lock(refresh_mutex_);
        auto vms = state_.vms();
        auto configuration = state_.configuration();
        if (!configuration) {
            return;
        }
        const std::lock_guard lock(mutex_);
        vms_ = std::move(vms);
        configuration_ = std::move(configuration);
        usable_.clear();
        for (const auto& service : configuration_->services) {
            services_[service.name];
        }
        for (auto& [name, service] : services_) {
            service.targets.clear();
            const auto* definition = configuration_->find_service(name);
            if (definition == nullptr) {
                continue;
            }
            const int limit =
                std::max(1, definition->slots_per_instance / std::max(1, static_cast<int>(alive)));
            for (const auto& vm : vms_->vms) {
                if (vm.pool == definition->pool && vm.usable()) {
                    service.targets.push_back({{vm.vm, vm.address}, limit});
                    usable_.insert(vm.vm);
                }
            }
            dispatch(service);
        }
    }

    cluster::cluster_state& state_;
    targets::target_client& targets_;
    const clock_source& clock_;
    metrics& metrics_;
    const call_engine_options options_;

    std::mutex refresh_mutex_; // acquired before any other; held while snapshots are read
    mutable std::mutex mutex_; // rank 3: admission queues
    cluster::vm_snapshot_ptr vms_;
    objects::object_set_ptr configuration_;
    std::set<std::string> usable_;
    std::map<std::string, service_state> services_;
    std::map<std::string, int> in_flight_; // by VM, whichever service it belongs to
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
