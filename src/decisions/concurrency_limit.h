#pragma once

namespace jl::decisions {

// Limits the calls this entry has in flight to one target, from the latency of its answers. The
// declared slots are the upper bound; a target that answers much more slowly than usual at that
// load gets fewer. Not thread-safe.
class concurrency_limit {
public:
    // Slots this entry may use on the target.
    void set_maximum(int slots);
    // `ratio`: latency of an answer divided by the usual latency of such calls on the service's
    // targets. `busy`: the limit was reached while the call ran.
    void record(double ratio, bool busy);
    int current() const;

private:
    int maximum_ = 0;
    double reduction_ = 1; // part of the maximum that is used
    double sum_ = 0;
    int samples_ = 0;
    bool busy_ = false;
};

} // namespace jl::decisions
