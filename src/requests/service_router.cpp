#include "requests/service_router.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace jl::requests {

namespace {

constexpr double latency_smoothing_factor = 1.0 / 64;
// Time constant of the smoothed load that is reported to other entries. It is long enough that
// single calls do not move slots between entries, and short compared with load peaks, which last
// for seconds.
constexpr double load_time_constant_s = 0.5;
// A target is first probed with idempotent calls only. After this delay non-idempotent calls may
// probe it too; otherwise a service without idempotent calls would never use the target again.
constexpr std::chrono::seconds any_call_probe_delay{10};

int round_to_int(double smoothed)
{
    return static_cast<int>(std::lround(smoothed));
}

bool operator==(const decisions::instance_slots& left, const decisions::instance_slots& right)
{
    return left.vm == right.vm && left.slots == right.slots;
}

template <typename Value>
bool same_elements(const std::vector<Value>& left, const std::vector<Value>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const Value& a, const Value& b) { return a == b; });
}

} // namespace

decisions::work_class to_work_class(request_class priority)
{
    switch (priority) {
    case request_class::urgent:
        return decisions::work_class::urgent;
    case request_class::normal:
        return decisions::work_class::normal;
    case request_class::deferred:
        break;
    }
    return decisions::work_class::deferred;
}

service_router::service_router(std::chrono::milliseconds share_increase_delay,
                               in_flight_by_vm& in_flight)
    : slot_ramp_(share_increase_delay), in_flight_(in_flight)
{
}

void service_router::set_targets(const objects::service& service,
                                 const std::vector<cluster::vm_state>& vms,
                                 const std::vector<decisions::entry_demand>& demands,
                                 const std::string& own_entry, steady_time now)
{
    pool_ = service.pool;
    queue_.set_max_waiting(service.max_waiting);
    std::vector<target> targets;
    std::vector<decisions::instance_slots> instances;
    std::vector<std::string> vm_names;
    std::unordered_map<std::string_view, const target*> known_targets;
    for (const auto& target : targets_) {
        known_targets.emplace(target.vm, &target);
    }
    for (const auto& vm : vms) {
        const auto found = known_targets.find(vm.vm);
        targets.push_back(
            {vm.vm, vm.address,
             found == known_targets.end() ? decisions::concurrency_limit() : found->second->limit});
        instances.push_back({vm.vm, service.slots_per_instance});
        vm_names.push_back(vm.vm);
    }
    targets_ = std::move(targets);
    outliers_.set_targets(vm_names);
    // The slot table depends only on these inputs, and most refreshes do not change them, so it is
    // recomputed only after a change.
    if (!same_elements(instances, instances_) || !same_elements(demands, demands_)) {
        instances_ = std::move(instances);
        demands_ = demands;
        const auto slot_table = decisions::place_slots(service.name, instances_, demands_);
        shares_.clear();
        for (const auto& [vm, row] : slot_table) {
            const auto own = row.find(own_entry);
            shares_[vm] = own == row.end() ? 0 : own->second;
        }
    }
    total_slots_ = service.slots_per_instance * static_cast<int>(targets_.size());
    apply_shares(now);
}

void service_router::update_shares(steady_time now)
{
    if (shares_increasing_) {
        apply_shares(now);
    }
}

void service_router::apply_shares(steady_time now)
{
    slot_ramp_.update(shares_, now);
    shares_increasing_ = slot_ramp_.has_pending_increase();
    own_slots_ = 0;
    for (auto& target : targets_) {
        target.limit.set_maximum(slot_ramp_.slots(target.vm));
        own_slots_ += slot_ramp_.slots(target.vm);
    }
    update_capacity(now);
}

void service_router::clear_targets()
{
    targets_.clear();
    instances_.clear();
    shares_.clear();
    outliers_.set_targets({});
    own_slots_ = 0;
    total_slots_ = 0;
    queue_.set_capacity(0);
}

decisions::admission_result service_router::enqueue(const routed_call& call,
                                                    const objects::team* team, steady_time deadline,
                                                    bool retry, steady_time now)
{
    decisions::team_limits limits;
    if (team != nullptr) {
        limits.weight = team->weight;
        const auto quota = team->quotas.find(pool_);
        if (quota != team->quotas.end()) {
            // The quota is divided among the entries in proportion to their slots and rounded up.
            // A team may thus exceed its quota by less than one slot per entry. Without rounding
            // up, an entry could be left with no quota and refuse all calls of the team.
            const double own_fraction =
                total_slots_ == 0 ? 1 : static_cast<double>(own_slots_) / total_slots_;
            limits.quota =
                std::max(1, static_cast<int>(std::ceil(quota->second * own_fraction - 1e-9)));
        }
    }
    queue_.set_team(call.team, limits);
    return queue_.enqueue({call.id, to_work_class(call.priority), call.team, deadline, retry}, now);
}

bool service_router::has_free_target(steady_time now) const
{
    return decisions::choose_target(make_candidates(now), may_probe_with_any_call(now), 0)
        .has_value();
}

std::optional<target_slot> service_router::assign(const routed_call& call, steady_time now)
{
    auto candidates = make_candidates(now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].excluded = call.excluded.count(targets_[i].vm) > 0;
    }
    const bool may_probe = call.idempotent || may_probe_with_any_call(now);
    auto chosen = decisions::choose_target(candidates, may_probe, ++choice_count_);
    if (!chosen) {
        // Every target that this call has not tried is full. Waiting for one of them would delay
        // the calls queued behind this one, so a target that was already tried is used again.
        for (auto& candidate : candidates) {
            candidate.excluded = false;
        }
        chosen = decisions::choose_target(candidates, may_probe, choice_count_);
    }
    if (!chosen) {
        return std::nullopt;
    }
    const auto& target = targets_[*chosen];
    ++in_flight_[target.vm];
    return target_slot{target.vm, target.address, candidates[*chosen].probing};
}

void service_router::release(const routed_call& call, const std::string& vm,
                             const std::optional<exchange_result>& result, steady_time now)
{
    const auto count = in_flight_.find(vm);
    const int in_flight = count->second;
    if (--count->second == 0) {
        in_flight_.erase(count);
    }
    queue_.finish(call.id, now, result && result->success);
    if (!result || !result->counts_for_target_health) {
        return;
    }
    outliers_.record(vm, result->success, now);
    if (result->success) {
        const double seconds = std::chrono::duration<double>(result->duration).count();
        auto& average_seconds =
            average_seconds_.emplace(class_and_team{call.priority, call.team}, seconds)
                .first->second;
        const auto target = std::find_if(targets_.begin(), targets_.end(),
                                         [&](const auto& candidate) { return candidate.vm == vm; });
        if (target != targets_.end() && average_seconds > 0) {
            target->limit.record(seconds / average_seconds, in_flight >= target->limit.current());
        }
        average_seconds += (seconds - average_seconds) * latency_smoothing_factor;
    }
    update_capacity(now);
}

void service_router::count_call()
{
    ++arrivals_since_sample_;
    retries_.count_call();
}

void service_router::sample_load(steady_time now)
{
    const double elapsed = std::chrono::duration<double>(now - last_sample_time_).count();
    if (elapsed <= 0) {
        return;
    }
    const double sample_weight = 1 - std::exp(-elapsed / load_time_constant_s);
    arrival_rate_ += (arrivals_since_sample_ / elapsed - arrival_rate_) * sample_weight;
    average_waiting_ += (queue_.waiting() - average_waiting_) * sample_weight;
    average_running_ += (queue_.running() - average_running_) * sample_weight;
    arrivals_since_sample_ = 0;
    last_sample_time_ = now;
}

cluster::service_load service_router::load(const std::string& name) const
{
    cluster::service_load load;
    load.service = name;
    load.waiting = round_to_int(average_waiting_);
    load.running = round_to_int(average_running_);
    load.arrival_rate = arrival_rate_;
    return load;
}

std::vector<decisions::target_candidate> service_router::make_candidates(steady_time now) const
{
    std::vector<decisions::target_candidate> candidates;
    candidates.reserve(targets_.size());
    for (const auto& target : targets_) {
        decisions::target_candidate candidate;
        candidate.in_flight = count_in_flight(target.vm);
        const auto health = outliers_.health(target.vm, now);
        candidate.limit = health == decisions::target_health::ejected ? 0 : target.limit.current();
        candidate.probing = health == decisions::target_health::probing;
        candidates.push_back(candidate);
    }
    return candidates;
}

int service_router::count_in_flight(const std::string& vm) const
{
    const auto found = in_flight_.find(vm);
    return found == in_flight_.end() ? 0 : found->second;
}

bool service_router::may_probe_with_any_call(steady_time now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& target) {
        return outliers_.health(target.vm, now) == decisions::target_health::probing &&
               now - outliers_.probing_since(target.vm) >= any_call_probe_delay;
    });
}

void service_router::update_capacity(steady_time now)
{
    int capacity = 0;
    for (const auto& target : targets_) {
        if (outliers_.health(target.vm, now) == decisions::target_health::healthy) {
            capacity += target.limit.current();
        }
    }
    queue_.set_capacity(capacity);
}

} // namespace jl::requests
