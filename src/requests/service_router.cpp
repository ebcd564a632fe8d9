#include "requests/service_router.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace jl::requests {

namespace {

constexpr double latency_smoothing = 1.0 / 64;
// Time constant of the load reported to other entries: long enough that single calls do not move
// slots between entries, short against the seconds for which a peak lasts.
constexpr double load_time_constant_s = 0.5;
// A target is probed with idempotent calls only. After this time other calls are used as well;
// otherwise a service without idempotent calls would never get the target back.
constexpr std::chrono::seconds any_probe_after{10};

int to_count(double smoothed)
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

service_router::service_router(std::chrono::milliseconds share_hold, in_flight_counts& in_flight)
    : ramp_(share_hold), in_flight_(in_flight)
{
}

void service_router::set_targets(const objects::service& service,
                                 const std::vector<cluster::vm_state>& vms,
                                 const std::vector<decisions::entry_demand>& demands,
                                 const std::string& self, steady_time now)
{
    pool_ = service.pool;
    queue_.set_max_waiting(service.max_waiting);
    std::vector<target> targets;
    std::vector<decisions::instance_slots> instances;
    std::vector<std::string> names;
    std::unordered_map<std::string_view, const target*> known;
    for (const auto& target : targets_) {
        known.emplace(target.vm, &target);
    }
    for (const auto& vm : vms) {
        const auto found = known.find(vm.vm);
        targets.push_back(
            {vm.vm, vm.address,
             found == known.end() ? decisions::concurrency_limit() : found->second->limit});
        instances.push_back({vm.vm, service.slots_per_instance});
        names.push_back(vm.vm);
    }
    targets_ = std::move(targets);
    outliers_.set_targets(names);
    // The table is the same for the same input, and most refreshes change nothing.
    if (!same_elements(instances, instances_) || !same_elements(demands, demands_)) {
        instances_ = std::move(instances);
        demands_ = demands;
        const auto table = decisions::place_slots(service.name, instances_, demands_);
        shares_.clear();
        for (const auto& [vm, row] : table) {
            const auto own = row.find(self);
            shares_[vm] = own == row.end() ? 0 : own->second;
        }
    }
    total_slots_ = service.slots_per_instance * static_cast<int>(targets_.size());
    apply_shares(now);
}

void service_router::update_shares(steady_time now)
{
    if (increasing_) {
        apply_shares(now);
    }
}

void service_router::apply_shares(steady_time now)
{
    ramp_.update(shares_, now);
    increasing_ = ramp_.has_pending_increase();
    own_slots_ = 0;
    for (auto& target : targets_) {
        target.limit.set_maximum(ramp_.slots(target.vm));
        own_slots_ += ramp_.slots(target.vm);
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
            // The quota is divided like the slots, rounded up: a team may then exceed its quota by
            // less than one slot per entry, but is never refused where its callers happen to
            // connect.
            const double part =
                total_slots_ == 0 ? 1 : static_cast<double>(own_slots_) / total_slots_;
            limits.quota = std::max(1, static_cast<int>(std::ceil(quota->second * part - 1e-9)));
        }
    }
    queue_.set_team(call.team, limits);
    return queue_.enqueue({call.id, to_work_class(call.priority), call.team, deadline, retry}, now);
}

bool service_router::has_free_target(steady_time now) const
{
    return decisions::choose_target(make_candidates(now), needs_any_probe(now), 0).has_value();
}

std::optional<target_slot> service_router::assign(const routed_call& call, steady_time now)
{
    auto candidates = make_candidates(now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].excluded = call.excluded.count(targets_[i].vm) > 0;
    }
    const bool may_probe = call.idempotent || needs_any_probe(now);
    auto chosen = decisions::choose_target(candidates, may_probe, ++choices_);
    if (!chosen) {
        // All other targets are full. Waiting for one of them would hold up the calls behind.
        for (auto& candidate : candidates) {
            candidate.excluded = false;
        }
        chosen = decisions::choose_target(candidates, may_probe, choices_);
    }
    if (!chosen) {
        return std::nullopt;
    }
    const auto& target = targets_[*chosen];
    ++in_flight_[target.vm];
    return target_slot{target.vm, target.address, candidates[*chosen].probing};
}

void service_router::release(const routed_call& call, const std::string& vm,
                             const std::optional<exchange_report>& report, steady_time now)
{
    const auto count = in_flight_.find(vm);
    const int in_flight = count->second;
    if (--count->second == 0) {
        in_flight_.erase(count);
    }
    queue_.finish(call.id, now, report && report->success);
    if (!report || !report->counts) {
        return;
    }
    outliers_.record(vm, report->success, now);
    if (report->success) {
        const double seconds = std::chrono::duration<double>(report->duration).count();
        auto& usual =
            usual_seconds_.emplace(flow_key{call.priority, call.team}, seconds).first->second;
        const auto target = std::find_if(targets_.begin(), targets_.end(),
                                         [&](const auto& candidate) { return candidate.vm == vm; });
        if (target != targets_.end() && usual > 0) {
            target->limit.record(seconds / usual, in_flight >= target->limit.current());
        }
        usual += (seconds - usual) * latency_smoothing;
    }
    update_capacity(now);
}

void service_router::count_call()
{
    ++arrivals_;
    retries_.count_call();
}

void service_router::sample_load(steady_time now)
{
    const double elapsed = std::chrono::duration<double>(now - sampled_at_).count();
    if (elapsed <= 0) {
        return;
    }
    const double part = 1 - std::exp(-elapsed / load_time_constant_s);
    arrival_rate_ += (arrivals_ / elapsed - arrival_rate_) * part;
    waiting_ += (queue_.waiting() - waiting_) * part;
    running_ += (queue_.running() - running_) * part;
    arrivals_ = 0;
    sampled_at_ = now;
}

cluster::service_load service_router::load(const std::string& name) const
{
    cluster::service_load load;
    load.service = name;
    load.waiting = to_count(waiting_);
    load.running = to_count(running_);
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

bool service_router::needs_any_probe(steady_time now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& target) {
        return outliers_.health(target.vm, now) == decisions::target_health::probing &&
               now - outliers_.probing_since(target.vm) >= any_probe_after;
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
