#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/drains.h"

namespace jl::decisions {

// Forecast of one pool's demand, measured in VMs. It learns when the demand peaks, how high the
// peaks are and how often they recur, and updates the forecast with each observation. A value type.
//
//   forecast.observe(now, required_vms);
//   if (auto wait = forecast.time_until(12, now)) { ... } // until 12 VMs are needed
class demand_forecast {
public:
    void observe(std::chrono::milliseconds now, double required_vms);
    // Number of VMs that the last observed demand requires.
    double required_vms() const { return required_vms_; }
    // Time until at least `level` VMs are required: zero if they are required now, nullopt if no
    // such time can be forecast.
    std::optional<std::chrono::milliseconds> time_until(int level,
                                                        std::chrono::milliseconds now) const;

    bool in_peak() const { return in_peak_; }
    std::optional<std::chrono::milliseconds> last_peak_start() const;
    std::optional<std::chrono::milliseconds> last_peak_end() const { return last_peak_end_; }
    // Mean duration of the peaks that have ended; nullopt until two have ended.
    std::optional<std::chrono::milliseconds> mean_peak_duration() const;
    // Mean absolute deviation of the peaks' durations from mean_peak_duration().
    std::chrono::milliseconds peak_duration_deviation() const;
    // Sets the forecast start of the next peak. With nullopt, the forecast is again the start of
    // the last peak plus the mean interval between starts.
    void override_next_peak_start(std::optional<std::chrono::milliseconds> start)
    {
        next_peak_start_override_ = start;
    }

private:
    std::optional<std::chrono::milliseconds> next_peak_start(std::chrono::milliseconds now) const;

    double required_vms_ = 0;
    double upper_bound_ = 0; // bounds of the observed demand; they slowly move towards each other
    double lower_bound_ = 0;
    double current_peak_ = 0;        // highest demand since the last peak started
    double last_completed_peak_ = 0; // highest demand in the last peak that has ended
    bool has_observation_ = false;
    bool in_peak_ = false;
    std::deque<std::chrono::milliseconds> peak_starts_;
    std::deque<std::chrono::milliseconds> peak_durations_;
    std::optional<std::chrono::milliseconds> last_peak_end_;
    std::optional<std::chrono::milliseconds> next_peak_start_override_;
};

// Demand for one service, summed over all entries.
struct service_demand {
    int waiting = 0;         // requests that wait for a slot
    int running = 0;         // requests that hold a slot
    double arrival_rate = 0; // requests per second
    int backlog = 0;         // deferred requests that have not started
};
// Returns how many VMs the service requires. `service_time` is the learned time for which one
// request holds a slot; it is updated here whenever the load allows it to be measured.
double estimate_required_vms(const objects::service& service, const service_demand& demand,
                             const objects::policy& policy,
                             std::chrono::duration<double>& service_time);

struct capacity_options {
    // Expected duration of a move; VMs start to move this long before they are needed.
    std::chrono::milliseconds move_lead_time{5000};
    // Holding one VM as buffer for this time costs as much as one move if the policy gives moves
    // and buffer the same weight.
    std::chrono::milliseconds move_break_even_time{60000};
    // The demand must stay below a pool's size for this long before surplus VMs leave the pool.
    std::chrono::milliseconds release_delay{2000};
};

// What has been learned about the demand of one pool.
struct pool_outlook {
    demand_forecast forecast;
    // Since when the pool has had more VMs than it requires; nullopt if it has no surplus.
    std::optional<std::chrono::milliseconds> surplus_since;
    // Pool whose peaks end when those of this pool start, and for how many consecutive peaks of
    // this pool that was observed.
    std::string predecessor;
    int predecessor_matches = 0;
    // Start of the last peak that was compared with the ends of the other pools' peaks.
    std::optional<std::chrono::milliseconds> last_linked_start;
};

// Learns which pools peak one after another. For a pool with a known predecessor, the forecast
// start of its next peak is the expected end of the predecessor's peak. This is more accurate than
// the interval between the pool's own peaks, because it takes into account which pool of the
// sequence peaks now and since when. The forecast start is moved earlier by `safety_factor` times
// peak_duration_deviation() of the pool that peaks now.
void link_successive_peaks(std::map<std::string, pool_outlook>& outlooks,
                           std::chrono::milliseconds now, double safety_factor);

// Starts moves of VMs into pools that need them now or soon, from pools with a surplus first and
// then from the spare pools. Also starts moves of surplus VMs to a spare pool if no pool will need
// them soon enough to be worth holding them. Starts only moves that all budgets allow and counts
// them in `ledger`. `outlooks` is keyed by pool; its forecasts and surplus times are updated.
void plan_moves(const fleet_snapshot& snapshot, const planning_limits& limits,
                const capacity_options& options, std::map<std::string, pool_outlook>& outlooks,
                budget_ledger& ledger, fleet_plan& plan);

} // namespace jl::decisions
