#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace jl::decisions {

enum class target_health {
    healthy,
    ejected, // takes no calls
    probing, // takes one call at a time; returns after consecutive successes
};

// Sets aside targets that fail much more than the other targets of their service. At most a third
// of the targets are set aside at once, so that a fault of the service itself, or of the network
// near this entry, cannot leave it without targets. Not thread-safe.
class outlier_detector {
public:
    // Targets in use; the state of others is forgotten.
    void set_targets(const std::vector<std::string>& vms);
    void record(const std::string& vm, bool success, steady_time now);
    target_health health(const std::string& vm, steady_time now) const;
    // Time at which the target came up for probing; meaningful for `probing`.
    steady_time probing_since(const std::string& vm) const;
    int set_aside() const;

private:
    struct state {
        int consecutive_failures = 0;
        int consecutive_successes = 0;
        double failure_share = 0; // smoothed
        int samples = 0;
        bool out = false;
        int ejections = 0;
        steady_time probe_at;
    };
    bool is_outlier(const std::string& vm, const state& state) const;
    static void eject(state& state, steady_time now);

    std::map<std::string, state> states_;
};

} // namespace jl::decisions
