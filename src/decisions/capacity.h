#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/drains.h"

namespace jl::decisions {

// Forecast of one pool's need for VMs. It learns when the need rises to a peak, how high and how
// often, and corrects itself with each observation. A value type.
//
//   forecast.observe(now, need);
//   if (auto wait = forecast.time_until(12, now)) { ... } // until 12 VMs are needed
class demand_forecast {
public:
    void observe(std::chrono::milliseconds now, double need);
    // Last observed need, in VMs.
    double need() const { return need_; }
    // Time until at least `level` VMs are needed: zero if now, nothing if no such time is known.
    std::optional<std::chrono::milliseconds> time_until(int level,
                                                        std::chrono::milliseconds now) const;

    bool in_peak() const { return in_peak_; }
    std::optional<std::chrono::milliseconds> last_start() const;
    std::optional<std::chrono::milliseconds> last_end() const { return last_end_; }
    // Mean duration of the peaks that have ended; nothing before the second one.
    std::optional<std::chrono::milliseconds> duration() const;
    // Mean absolute deviation from duration().
    std::chrono::milliseconds duration_spread() const;
    // Replaces the forecast of the next start, which is otherwise the mean interval after the last
    // one; nothing returns to that.
    void expect_start(std::optional<std::chrono::milliseconds> start) { expected_start_ = start; }

private:
    std::optional<std::chrono::milliseconds> next_start(std::chrono::milliseconds now) const;

    double need_ = 0;
    double high_ = 0; // bounds of the need, forgotten slowly
    double low_ = 0;
    double peak_ = 0; // highest need of the present peak, or of the last one
    double last_peak_ = 0;
    bool observed_ = false;
    bool in_peak_ = false;
    std::deque<std::chrono::milliseconds> starts_;
    std::deque<std::chrono::milliseconds> durations_;
    std::optional<std::chrono::milliseconds> last_end_;
    std::optional<std::chrono::milliseconds> expected_start_;
};

// Need for VMs of one service as the entries see it, in VMs. `service_time` is the learned time
// that one request holds a slot, updated when the load allows it.
struct service_demand {
    int waiting = 0;
    int running = 0;
    double arrival_rate = 0;
    int backlog = 0;
};
double estimate_need(const objects::service& service, const service_demand& demand,
                     const objects::policy& policy, std::chrono::duration<double>& service_time);

struct capacity_options {
    // A move takes about this long, so VMs are moved this early.
    std::chrono::milliseconds lead{5000};
    // With equal weights, one move costs as much as a VM held as buffer for this time.
    std::chrono::milliseconds move_cost{60000};
    // Need must stay below a pool's size for this long before VMs leave it.
    std::chrono::milliseconds release_delay{2000};
};

struct pool_outlook {
    demand_forecast forecast;
    // Since when the pool has had more VMs than it needs; nothing if it has not.
    std::optional<std::chrono::milliseconds> surplus_since;
    // Pool whose peaks end when those of this pool start, and how often in a row that was seen.
    std::string predecessor;
    int sequences = 0;
    std::optional<std::chrono::milliseconds> counted_start;
};

// Learns which queues peak in turn. The end of one peak is then the forecast of the next one's
// start, which is more exact than the interval between a pool's own peaks, because it uses how far
// the turn has come. The start is forecast earlier by `caution` times the spread of the durations.
void link_peaks(std::map<std::string, pool_outlook>& outlooks, std::chrono::milliseconds now,
                double caution);

// Moves VMs to pools that need them now or soon, from pools with a surplus and then from the spare
// pools, and returns a surplus that no pool will need soon enough to be worth holding. Only moves
// that all budgets allow are started; takes their VMs from `ledger`. `outlooks` by pool; its
// surplus times are updated.
void plan_moves(const fleet_snapshot& snapshot, const planning_limits& limits,
                const capacity_options& options, std::map<std::string, pool_outlook>& outlooks,
                budget_ledger& ledger, fleet_plan& plan);

} // namespace jl::decisions
