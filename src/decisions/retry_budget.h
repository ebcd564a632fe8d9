#pragma once

namespace jl::decisions {

// Bounds retries to a part of the calls plus a constant, so that retries cannot multiply the load
// on targets that fail. Not thread-safe.
class retry_budget {
public:
    // Over any sequence: retries <= part * calls + constant.
    explicit retry_budget(double part = 0.1, double constant = 5);

    void count_call();
    // Takes one retry from the budget; false if it is used up.
    bool try_retry();

private:
    double part_;
    double constant_;
    double tokens_;
};

} // namespace jl::decisions
