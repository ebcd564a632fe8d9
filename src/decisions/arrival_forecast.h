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
// forecast extrapolates the growth over that time. Jobs differ widely in size, and a single large
// one is no trend: it counts only with the part of its work that it does before the VMs that are
// ordered for it could leave again.
//
//   arrival_forecast demand;
//   demand.note_arrival("rounds", now, {0.6, 1s});
//   double vms = demand.forecast("rounds", now, 1500ms, 3s);
class arrival_forecast {
public:
    using time = std::chrono::nanoseconds; // since any fixed point in time

    struct work {
        double vm_seconds = 0; // for which it would occupy one whole VM of the pool
        time duration{0};      // from its start to its end if it never waits
    };

    // Records the arrival of a job.
    void note_arrival(const std::string& pool, time now, const work& arrived);
    // Returns the VMs that jobs like the recent ones are expected to occupy at the time
    // `now + lead_time`, counting of each job the work that it can do within `horizon`.
    double forecast(const std::string& pool, time now, time lead_time, time horizon) const;

private:
    struct arrival {
        time at{};
        work arrived;
    };
    std::map<std::string, std::deque<arrival>> recent_arrivals_; // by pool
};

} // namespace jl::decisions
