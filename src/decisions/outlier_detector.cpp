#include "decisions/outlier_detector.h"

#include <algorithm>

namespace jl::decisions {

namespace {

constexpr int max_consecutive_failures = 5;
constexpr int successes_to_return = 2;
constexpr int min_samples = 16;
constexpr double smoothing = 1.0 / 16;
constexpr double outlier_failure_share = 0.5;
constexpr double peer_failure_share = 0.25;
constexpr std::chrono::seconds base_ejection{5};
constexpr int max_ejection_factor = 12;
constexpr int max_part_divisor = 3; // at most a third is set aside

} // namespace

void outlier_detector::set_targets(const std::vector<std::string>& vms)
{
    std::map<std::string, state> kept;
    for (const auto& vm : vms) {
        const auto found = states_.find(vm);
        kept[vm] = found == states_.end() ? state{} : found->second;
    }
    states_ = std::move(kept);
    // With fewer targets the bound is lower; those that came up for probing first return.
    while (set_aside() * max_part_divisor > static_cast<int>(states_.size())) {
        state* first = nullptr;
        for (auto& [vm, state] : states_) {
            if (state.out && (first == nullptr || state.probe_at < first->probe_at)) {
                first = &state;
            }
        }
        first->out = false;
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
    state.failure_share += ((success ? 0.0 : 1.0) - state.failure_share) * smoothing;
    state.samples = std::min(state.samples + 1, min_samples);
    state.consecutive_failures = success ? 0 : state.consecutive_failures + 1;
    state.consecutive_successes = success ? state.consecutive_successes + 1 : 0;
    if (state.out) {
        if (!success && now >= state.probe_at) {
            eject(state, now);
        }
        else if (success && now >= state.probe_at &&
                 state.consecutive_successes >= successes_to_return) {
            state.out = false;
            state.ejections = 0;
            state.failure_share = 0;
            state.samples = 0;
        }
        return;
    }
    if (!success && is_outlier(vm, state) &&
        (set_aside() + 1) * max_part_divisor <= static_cast<int>(states_.size())) {
        eject(state, now);
    }
}

target_health outlier_detector::health(const std::string& vm, steady_time now) const
{
    const auto found = states_.find(vm);
    if (found == states_.end() || !found->second.out) {
        return target_health::healthy;
    }
    return now < found->second.probe_at ? target_health::ejected : target_health::probing;
}

steady_time outlier_detector::probing_since(const std::string& vm) const
{
    const auto found = states_.find(vm);
    return found == states_.end() ? steady_time() : found->second.probe_at;
}

int outlier_detector::set_aside() const
{
    return static_cast<int>(std::count_if(states_.begin(), states_.end(),
                                          [](const auto& entry) { return entry.second.out; }));
}

bool outlier_detector::is_outlier(const std::string& vm, const state& state) const
{
    if (state.consecutive_failures >= max_consecutive_failures) {
        return true;
    }
    if (state.samples < min_samples || state.failure_share < outlier_failure_share) {
        return false;
    }
    double sum = 0;
    int count = 0;
    for (const auto& [name, other] : states_) {
        if (name != vm && !other.out) {
            sum += other.failure_share;
            ++count;
        }
    }
    return count > 0 && sum / count < peer_failure_share;
}

void outlier_detector::eject(state& state, steady_time now)
{
    state.out = true;
    state.ejections = std::min(state.ejections + 1, max_ejection_factor);
    state.probe_at = now + base_ejection * state.ejections;
    state.consecutive_successes = 0;
}

} // namespace jl::decisions
