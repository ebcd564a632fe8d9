#pragma once

namespace jl::decisions {

// Adaptive limit on the calls that this entry has in flight to one target. The upper bound is the
// number of slots that this entry may use there. The limit decreases while the limit is reached and
// answers take much longer than usual, and recovers afterwards. Not thread-safe.
class concurrency_limit {
public:
    // Sets the number of slots that this entry may use on the target.
    void set_maximum(int slots);
    // Records an answer. `latency_ratio`: its latency divided by the usual latency of such calls on
    // the service's targets. `limit_reached`: the limit was reached while the call ran.
    void record(double latency_ratio, bool limit_reached);
    // The limit in calls; at least 1 unless the maximum is 0.
    int current() const;

private:
    int maximum_ = 0;
    double allowed_fraction_ = 1; // of the maximum
    // Of the answers since the last update of the limit.
    double latency_ratio_sum_ = 0;
    int samples_ = 0;
    bool limit_was_reached_ = false;
};

} // namespace jl::decisions
