#include "decisions/outlier_detector.h"

#include <algorithm>

namespace jl::decisions {

namespace {

constexpr int max_consecutive_failures = 5;
constexpr int successes_to_recover = 2;
constexpr int min_samples = 16; // calls before the failure rate is used
// Weight of a new sample in the moving average of the failure rate.
constexpr double smoothing_factor = 1.0 / 16;
// A target is an outlier if its failure rate is at least the first value while the mean of the
// other targets is below the second.
constexpr double outlier_failure_rate = 0.5;
constexpr double max_peer_failure_rate = 0.25;
// The ejection time is the base time multiplied by the number of consecutive ejections, up to the
// maximum factor.
constexpr std::chrono::seconds base_ejection_time{5};
constexpr int max_ejection_factor = 12;
constexpr int max_unhealthy_divisor = 3; // at most a third of the targets are unhealthy

} // namespace

void outlier_detector::set_targets(const std::vector<std::string>& vms)
{
    std::map<std::string, state> kept;
    for (const auto& vm : vms) {
        const auto found = states_.find(vm);
        kept[vm] = found == states_.end() ? state{} : found->second;
    }
    states_ = std::move(kept);
    // With fewer targets, fewer of them may be unhealthy. Those whose ejection ends first become
    // healthy without probing.
    while (unhealthy_count() * max_unhealthy_divisor > static_cast<int>(states_.size())) {
        state* first = nullptr;
        for (auto& [vm, state] : states_) {
            if (state.unhealthy &&
                (first == nullptr || state.ejected_until < first->ejected_until)) {
                first = &state;
            }
        }
        first->unhealthy = false;
        first->consecutive_failures = 0;
    }
}

void outlier_detector::record(const std::string& vm, bool success, steady_time now)
{
    const auto found = states_.find(vm);
    if (found == states_.end()) {
        return;
    }
    auto& state = found->second;
    state.failure_rate += ((success ? 0.0 : 1.0) - state.failure_rate) * smoothing_factor;
    state.samples = std::min(state.samples + 1, min_samples);
    state.consecutive_failures = success ? 0 : state.consecutive_failures + 1;
    state.consecutive_successes = success ? state.consecutive_successes + 1 : 0;
    if (state.unhealthy) {
        if (!success && now >= state.ejected_until) {
            eject(state, now);
        }
        else if (success && now >= state.ejected_until &&
                 state.consecutive_successes >= successes_to_recover) {
            state.unhealthy = false;
            state.consecutive_ejections = 0;
            state.failure_rate = 0;
            state.samples = 0;
        }
        return;
    }
    if (!success && is_outlier(vm, state) &&
        (unhealthy_count() + 1) * max_unhealthy_divisor <= static_cast<int>(states_.size())) {
        eject(state, now);
    }
}

target_health outlier_detector::health(const std::string& vm, steady_time now) const
{
    const auto found = states_.find(vm);
    if (found == states_.end() || !found->second.unhealthy) {
        return target_health::healthy;
    }
    return now < found->second.ejected_until ? target_health::ejected : target_health::probing;
}

steady_time outlier_detector::probing_since(const std::string& vm) const
{
    const auto found = states_.find(vm);
    return found == states_.end() ? steady_time() : found->second.ejected_until;
}

int outlier_detector::unhealthy_count() const
{
    return static_cast<int>(std::count_if(
        states_.begin(), states_.end(), [](const auto& entry) { return entry.second.unhealthy; }));
}

bool outlier_detector::is_outlier(const std::string& vm, const state& state) const
{
    if (state.consecutive_failures >= max_consecutive_failures) {
        return true;
    }
    if (state.samples < min_samples || state.failure_rate < outlier_failure_rate) {
        return false;
    }
    double sum = 0;
    int count = 0;
    for (const auto& [name, other] : states_) {
        if (name != vm && !other.unhealthy) {
            sum += other.failure_rate;
            ++count;
        }
    }
    return count > 0 && sum / count < max_peer_failure_rate;
}

void outlier_detector::eject(state& state, steady_time now)
{
    state.unhealthy = true;
    state.consecutive_ejections = std::min(state.consecutive_ejections + 1, max_ejection_factor);
    state.ejected_until = now + base_ejection_time * state.consecutive_ejections;
    state.consecutive_successes = 0;
}

} // namespace jl::decisions
