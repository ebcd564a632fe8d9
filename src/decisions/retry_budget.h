#pragma once

namespace jl::decisions {

// Token bucket that bounds retries to a fraction of the calls plus a constant, so that retries
// cannot multiply the load on targets that fail. Not thread-safe.
class retry_budget {
public:
    // At any time: retries <= retries_per_call * calls + base_retries.
    explicit retry_budget(double retries_per_call = 0.1, double base_retries = 5);

    // Counts a first attempt, which adds to the budget.
    void count_call();
    // Takes one retry from the budget. Returns false if the budget is used up.
    bool try_retry();

private:
    double retries_per_call_;
    double base_retries_;
    double tokens_; // retries that are left
};

} // namespace jl::decisions
