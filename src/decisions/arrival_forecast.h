#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace jl::decisions {

// Forecasts the demand for each pool from the work that has arrived lately.
//
// Load pattern: the queues take turns. The demand for one pool grows from almost nothing to several
// times its mean within two or three seconds, about as long as a VM takes to come, so the growth is
// carried on for that time.
//
//   arrival_forecast demand;
//   demand.note_arrival("rounds", now, 0.6);
//   double vms = demand.forecast("rounds", now, 1500ms);
class arrival_forecast {
public:
    using time = std::chrono::nanoseconds; // since any fixed moment

    // Work arrives for the pool that fills one VM for `vm_seconds`.
    void note_arrival(const std::string& pool, time now, double vm_seconds);
    // VM-seconds of work expected to arrive in a second, `lead` from now.
    double forecast(const std::string& pool, time now, time lead) const;

private:
    struct arrival {
        time at{};
        double vm_seconds = 0;
    };
    std::map<std::string, std::deque<arrival>> recent_; // by pool
};

} // namespace jl::decisions
