#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace jl::peers {

// Token bucket for the control traffic of a node. Messages that must not wait are sent at once and
// only recorded; traffic that can wait asks first. Not thread-safe.
class traffic_budget {
public:
    explicit traffic_budget(double bytes_per_second) : rate_(bytes_per_second), tokens_(rate_) {}

    void record(std::size_t bytes, steady_time now)
    {
        refill(now);
        tokens_ = std::max(tokens_ - static_cast<double>(bytes), -rate_ * max_debt_seconds);
    }

    // True if deferrable traffic may be sent now.
    bool allows(steady_time now)
    {
        refill(now);
        return tokens_ > 0;
    }

private:
    // A large configuration must not silence the load reports for long.
    static constexpr double max_debt_seconds = 5;

    void refill(steady_time now)
    {
        const std::chrono::duration<double> elapsed = now - refilled_at_;
        tokens_ = std::min(tokens_ + std::max(elapsed.count(), 0.0) * rate_, rate_);
        refilled_at_ = now;
    }

    double rate_;
    double tokens_;
    steady_time refilled_at_;
};

} // namespace jl::peers
