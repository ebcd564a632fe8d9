#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace jl::decisions {

enum class target_health {
    healthy,
    ejected, // gets no calls until its ejection time has passed
    probing, // gets one call at a time; healthy after consecutive successes, ejected on a failure
};

// Ejects targets that fail several calls in a row, or that fail much more often than the other
// targets of their service. At most a third of the targets are ejected or probing at once, so that
// a fault of the service itself, or of the network near this entry, cannot leave the service
// without targets. Not thread-safe.
class outlier_detector {
public:
    // Sets the targets in use. The state of all other targets is discarded.
    void set_targets(const std::vector<std::string>& vms);
    // Records the result of a call. Ignored if the target is not in use.
    void record(const std::string& vm, bool success, steady_time now);
    target_health health(const std::string& vm, steady_time now) const;
    // Time at which the target's ejection ended. Meaningful only while its health is `probing`.
    steady_time probing_since(const std::string& vm) const;
    // Number of targets that are ejected or probing.
    int unhealthy_count() const;

private:
    struct state {
        int consecutive_failures = 0;
        int consecutive_successes = 0;
        double failure_rate = 0; // moving average
        int samples = 0;         // calls in `failure_rate`, counted up to the required minimum
        bool unhealthy = false;  // ejected or probing
        int consecutive_ejections =
            0; // without a recovery by probing; multiplies the ejection time
        steady_time ejected_until;
    };
    bool is_outlier(const std::string& vm, const state& state) const;
    static void eject(state& state, steady_time now);

    std::map<std::string, state> states_;
};

} // namespace jl::decisions
