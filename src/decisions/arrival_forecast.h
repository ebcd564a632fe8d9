#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace jl::decisions {

// Forecasts the demand for each pool from the work that has arrived recently.
//
// Load pattern: the queues take turns. The demand for one pool grows from almost nothing to several
// times its mean within two or three seconds. A VM takes about as long to become available, so the
// forecast extrapolates the growth over that time.
//
//   arrival_forecast demand;
//   demand.note_arrival("rounds", now, 0.6);
//   double vms = demand.forecast("rounds", now, 1500ms);
class arrival_forecast {
public:
    using time = std::chrono::nanoseconds; // since any fixed point in time

    // Records the arrival of work that would occupy one whole VM of the pool for `vm_seconds`.
    void note_arrival(const std::string& pool, time now, double vm_seconds);
    // Returns the VM-seconds of work expected to arrive per second at the time `now + lead_time`.
    double forecast(const std::string& pool, time now, time lead_time) const;

private:
    struct arrival {
        time at{};
        double vm_seconds = 0;
    };
    std::map<std::string, std::deque<arrival>> recent_arrivals_; // by pool
};

} // namespace jl::decisions
