#include "decisions/capacity.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace jl::decisions {

namespace {

using records::vm_phase;
using std::chrono::milliseconds;

// A rise of the demand counts as a peak only if it reaches both this factor and this many VMs;
// smaller changes are treated as noise.
constexpr double min_peak_factor = 1.5;
constexpr double min_peak_rise_vms = 1;
constexpr std::size_t max_recorded_peaks = 8;
// If any interval between peaks deviates from the mean by more than this share of the mean, the
// peaks are not periodic and no start is forecast.
constexpr double max_interval_deviation_share = 0.35;
// With each observation, the upper and the lower bound of the demand move towards each other by
// this share of their distance, so that old extremes lose their influence.
constexpr double bound_decay_per_observation = 0.002;
// The forecast is dropped if the peak is overdue by more than this share of the mean interval.
constexpr double max_overdue_share = 0.35;

// One peak succeeds another if it starts at most this long before or after the other one ends.
constexpr milliseconds max_succession_gap{4000};

// With this factor, the forecast start is early enough for nearly all observed peak durations.
constexpr double max_safety_factor = 2;

constexpr double min_policy_weight = 0.01;
// Target share of busy slots in a pool. The lower one applies if the policy weighs service during
// floods above the cost of buffer VMs; it keeps more slots free.
constexpr double normal_target_utilization = 0.9;
constexpr double flood_target_utilization = 0.8;
// Pools are sized to process all waiting requests within the first time and the backlog of deferred
// requests within the second.
constexpr double waiting_clearance_seconds = 4;
constexpr double backlog_clearance_seconds = 60;
constexpr double default_service_time_seconds = 0.1;

int round_up_to_vms(double required_vms)
{
    // The tolerance keeps a rounding error just above a whole number from requiring another VM.
    return static_cast<int>(std::ceil(required_vms - 0.01));
}

struct pool_state {
    const objects::pool* pool = nullptr;
    const pool_outlook* outlook = nullptr;
    int size = 0;          // VMs that are in the pool or moving into it
    int required = 0;      // VMs needed now or within the lead time of a move
    int worth_holding = 0; // VMs to keep for the pool's own next peak rather than move twice
    std::vector<std::size_t> movable_vms; // indexes into the VMs of the snapshot
    bool blocked_by_budgets = false;      // the budgets allow no further VM to leave the pool

    int shortage() const { return std::max(0, required - size); }
    int surplus() const { return std::max(0, size - std::max(required, worth_holding)); }
    // VMs that a pool with a shortage may take, including those kept for a coming peak.
    int lendable() const { return std::max(0, size - required); }
};

class move_planner {
public:
    move_planner(const fleet_snapshot& snapshot, const planning_limits& limits,
                 const capacity_options& options, std::map<std::string, pool_outlook>& outlooks,
                 budget_ledger& ledger, fleet_plan& plan)
        : snapshot_(snapshot),
          limits_(limits),
          options_(options),
          outlooks_(outlooks),
          ledger_(ledger),
          plan_(plan)
    {
        const auto& policy = snapshot.configuration->policy;
        const double moves = std::max(policy.moves, min_policy_weight);
        const double buffer = std::max(policy.buffer_cost, min_policy_weight);
        max_holding_time_ =
            std::chrono::duration_cast<milliseconds>(options.move_break_even_time * moves / buffer);
    }

    void run()
    {
        build_pool_states();
        meet_shortages();
        release_surplus();
    }

private:
    // Returns the highest number of VMs that the forecast requires at any time within `window`,
    // clamped to the pool's minimum and maximum size.
    int max_vms_needed_within(const pool_state& state, milliseconds window) const
    {
        const auto& forecast = state.outlook->forecast;
        int level = round_up_to_vms(forecast.required_vms());
        const int maximum = state.pool->max_vms;
        while (level < maximum) {
            const auto wait = forecast.time_until(level + 1, snapshot_.now);
            if (!wait || *wait > window) {
                break;
            }
            ++level;
        }
        return std::clamp(level, state.pool->min_vms, maximum);
    }

    void build_pool_states()
    {
        for (const auto& pool : snapshot_.configuration->pools) {
            auto& state = states_[pool.name];
            state.pool = &pool;
            state.outlook = &outlooks_[pool.name];
            ordered_states_.push_back(&state);
        }
        for (std::size_t index = 0; index < snapshot_.vms.size(); ++index) {
            const auto& vm = snapshot_.vms[index];
            const auto& record = vm.record;
            const auto found =
                states_.find(record.move_to_pool.empty() ? record.pool : record.move_to_pool);
            if (found == states_.end() || vm.record_revision == 0) {
                continue;
            }
            // VMs in maintenance are expected to return; VMs that are not live while in service may
            // not.
            const bool counts = vm.live() || record.phase != vm_phase::in_service;
            found->second.size += counts ? 1 : 0;
            if (vm.available() && !recently_withdrawn(snapshot_, limits_, vm) &&
                snapshot_.operator_drains.count(record.vm) == 0) {
                found->second.movable_vms.push_back(index);
            }
        }
        for (auto* state : ordered_states_) {
            state->required = max_vms_needed_within(*state, options_.move_lead_time);
            // A VM that leaves can serve the peaks of other pools meanwhile, at the cost of one
            // move for each, so it is not worth holding a VM for longer than one move costs.
            state->worth_holding = max_vms_needed_within(*state, max_holding_time_);
            auto& since = outlooks_[state->pool->name].surplus_since;
            if (state->size <= state->required) {
                since.reset();
            }
            else if (!since) {
                since = snapshot_.now;
            }
        }
    }

    enum class move_result { moved, source_blocked, destination_blocked };

    // Moves one VM. Prefers VMs with few tasks, then those in racks with many movable VMs of the
    // pool, so that the remaining VMs stay spread over the racks.
    move_result move_vm(pool_state& from, pool_state& to)
    {
        std::unordered_map<std::string, int> movable_by_rack;
        for (const auto index : from.movable_vms) {
            ++movable_by_rack[snapshot_.vms[index].rack];
        }
        std::stable_sort(from.movable_vms.begin(), from.movable_vms.end(),
                         [&](std::size_t left, std::size_t right) {
                             const auto& first = snapshot_.vms[left];
                             const auto& second = snapshot_.vms[right];
                             return std::make_pair(first.tasks, -movable_by_rack[first.rack]) <
                                    std::make_pair(second.tasks, -movable_by_rack[second.rack]);
                         });
        const auto found = std::find_if(from.movable_vms.begin(), from.movable_vms.end(),
                                        [&](std::size_t index) { return ledger_.allows(index); });
        if (found == from.movable_vms.end()) {
            from.blocked_by_budgets = true;
            return move_result::source_blocked;
        }
        if (!ledger_.allows(*found, to.pool->name)) {
            return move_result::destination_blocked;
        }
        const auto index = *found;
        from.movable_vms.erase(found);
        ledger_.record_disruption(index, to.pool->name);
        plan_.steps.push_back(
            start_drain(snapshot_, snapshot_.vms[index], "move " + to.pool->name, to.pool->name));
        --from.size;
        ++to.size;
        return move_result::moved;
    }

    pool_state* find_source(const pool_state& destination)
    {
        pool_state* best = nullptr;
        for (auto* state : ordered_states_) {
            if (state == &destination || state->blocked_by_budgets || state->lendable() == 0) {
                continue;
            }
            // A surplus in other pools is used before that of the spare pool, whose VMs cost
            // nothing while they stay there. VMs kept for a coming peak are used last.
            const auto rank = [](const pool_state& item) {
                const int priority = item.surplus() == 0 ? 0 : item.pool->spare ? 1 : 2;
                return std::make_pair(priority, priority == 0 ? item.lendable() : item.surplus());
            };
            if (best == nullptr || rank(*best) < rank(*state)) {
                best = state;
            }
        }
        return best;
    }

    void meet_shortages()
    {
        std::vector<pool_state*> pools_with_shortage;
        for (auto* state : ordered_states_) {
            if (state->shortage() > 0) {
                pools_with_shortage.push_back(state);
            }
        }
        while (!pools_with_shortage.empty()) {
            // Serves the pool that has the smallest share of its required VMs first.
            const auto next = std::min_element(
                pools_with_shortage.begin(), pools_with_shortage.end(),
                [](const pool_state* left, const pool_state* right) {
                    return left->size * right->required < right->size * left->required;
                });
            auto* source = find_source(**next);
            // Within a round the budgets allow fewer and fewer disruptions, so a blocked pool need
            // not be tried again. This keeps the number of attempts linear in the number of pools
            // and moves.
            if (source == nullptr || move_vm(*source, **next) == move_result::destination_blocked ||
                (*next)->shortage() == 0) {
                pools_with_shortage.erase(next);
            }
        }
    }

    // Returns how many surplus VMs are worth holding until another pool needs them, which saves the
    // move to the spare pool. Demand that can be met by VMs freed at the end of current peaks is
    // subtracted. The demand of the spare pool is not counted, because VMs wait there at no cost.
    int count_needed_soon() const
    {
        struct forecast_event {
            milliseconds wait;
            int freed_vms;
            int needed_vms;
            bool operator<(const forecast_event& other) const { return wait < other.wait; }
        };
        std::vector<forecast_event> forecast_events;
        for (const auto* state : ordered_states_) {
            const auto& forecast = state->outlook->forecast;
            const auto duration = forecast.mean_peak_duration();
            if (forecast.in_peak() && duration) {
                const auto end = *forecast.last_peak_start() + *duration;
                forecast_events.push_back(
                    {std::max(milliseconds(0), end - snapshot_.now) + options_.move_lead_time,
                     state->size - state->pool->min_vms, 0});
            }
            const int needed_vms = max_vms_needed_within(*state, max_holding_time_) - state->size;
            if (needed_vms <= 0 || state->pool->spare) {
                continue;
            }
            const auto wait = forecast.time_until(state->size + 1, snapshot_.now);
            forecast_events.push_back({wait.value_or(milliseconds(0)), 0, needed_vms});
        }
        std::sort(forecast_events.begin(), forecast_events.end());
        int freed_vms = 0;
        int result = 0;
        for (const auto& item : forecast_events) {
            freed_vms += item.freed_vms;
            const int served_from_freed = std::min(freed_vms, item.needed_vms);
            freed_vms -= served_from_freed;
            result += item.needed_vms - served_from_freed;
        }
        return result;
    }

    void release_surplus()
    {
        const auto spare = std::find_if(ordered_states_.begin(), ordered_states_.end(),
                                        [](const pool_state* state) { return state->pool->spare; });
        if (spare == ordered_states_.end()) {
            return;
        }
        int needed_soon = count_needed_soon();
        for (auto* state : ordered_states_) {
            const auto since = state->outlook->surplus_since;
            if (state->pool->spare || !since || snapshot_.now - *since < options_.release_delay) {
                continue;
            }
            const int kept = std::min(needed_soon, state->surplus());
            needed_soon -= kept;
            for (int left = state->surplus() - kept;
                 left > 0 && (*spare)->size < (*spare)->pool->max_vms; --left) {
                if (move_vm(*state, **spare) != move_result::moved) {
                    break;
                }
            }
        }
    }

    const fleet_snapshot& snapshot_;
    const planning_limits& limits_;
    const capacity_options& options_;
    std::map<std::string, pool_outlook>& outlooks_;
    budget_ledger& ledger_;
    fleet_plan& plan_;
    milliseconds max_holding_time_{}; // holding a VM for this long costs as much as one move
    std::unordered_map<std::string, pool_state> states_;
    std::vector<pool_state*> ordered_states_;
};

} // namespace

void demand_forecast::observe(milliseconds now, double required_vms)
{
    if (!has_observation_) {
        upper_bound_ = lower_bound_ = required_vms;
        has_observation_ = true;
    }
    required_vms_ = required_vms;
    upper_bound_ = std::max(required_vms, upper_bound_ - (upper_bound_ - lower_bound_) *
                                                             bound_decay_per_observation);
    lower_bound_ = std::min(required_vms, lower_bound_ + (upper_bound_ - lower_bound_) *
                                                             bound_decay_per_observation);
    const bool has_peaks = upper_bound_ >= lower_bound_ * min_peak_factor &&
                           upper_bound_ - lower_bound_ >= min_peak_rise_vms;
    const double peak_threshold = (upper_bound_ + lower_bound_) / 2;
    if (!in_peak_ && has_peaks && required_vms > peak_threshold) {
        in_peak_ = true;
        current_peak_ = required_vms;
        peak_starts_.push_back(now);
        if (peak_starts_.size() > max_recorded_peaks) {
            peak_starts_.pop_front();
        }
    }
    else if (in_peak_ && required_vms < peak_threshold) {
        in_peak_ = false;
        last_completed_peak_ = current_peak_;
        last_peak_end_ = now;
        peak_durations_.push_back(now - peak_starts_.back());
        if (peak_durations_.size() > max_recorded_peaks) {
            peak_durations_.pop_front();
        }
    }
    if (in_peak_) {
        current_peak_ = std::max(current_peak_, required_vms);
    }
}

std::optional<milliseconds> demand_forecast::next_peak_start(milliseconds now) const
{
    if (in_peak_) {
        return std::nullopt;
    }
    if (next_peak_start_override_) {
        return next_peak_start_override_;
    }
    if (peak_starts_.size() < 2) {
        return std::nullopt;
    }
    const auto intervals = static_cast<double>(peak_starts_.size() - 1);
    const double mean =
        static_cast<double>((peak_starts_.back() - peak_starts_.front()).count()) / intervals;
    for (std::size_t index = 1; index < peak_starts_.size(); ++index) {
        const auto interval =
            static_cast<double>((peak_starts_[index] - peak_starts_[index - 1]).count());
        if (std::abs(interval - mean) > mean * max_interval_deviation_share) {
            return std::nullopt;
        }
    }
    const auto next = peak_starts_.back() + milliseconds(static_cast<std::int64_t>(mean));
    if (now > next + milliseconds(static_cast<std::int64_t>(mean * max_overdue_share))) {
        return std::nullopt;
    }
    return next;
}

std::optional<milliseconds> demand_forecast::last_peak_start() const
{
    if (peak_starts_.empty()) {
        return std::nullopt;
    }
    return peak_starts_.back();
}

std::optional<milliseconds> demand_forecast::mean_peak_duration() const
{
    if (peak_durations_.size() < 2) {
        return std::nullopt;
    }
    milliseconds total{0};
    for (const auto item : peak_durations_) {
        total += item;
    }
    return total / static_cast<std::int64_t>(peak_durations_.size());
}

milliseconds demand_forecast::peak_duration_deviation() const
{
    const auto mean = mean_peak_duration();
    if (!mean) {
        return milliseconds(0);
    }
    milliseconds total{0};
    for (const auto item : peak_durations_) {
        total += std::chrono::abs(item - *mean);
    }
    return total / static_cast<std::int64_t>(peak_durations_.size());
}

void link_successive_peaks(std::map<std::string, pool_outlook>& outlooks, milliseconds now,
                           double safety_factor)
{
    for (auto& [pool, outlook] : outlooks) {
        const auto start = outlook.forecast.last_peak_start();
        // Waits before linking, because the end of the predecessor's peak may be observed shortly
        // after this start.
        if (!start || outlook.last_linked_start == start || now - *start < max_succession_gap) {
            continue;
        }
        outlook.last_linked_start = start;
        std::string predecessor;
        auto nearest = max_succession_gap;
        for (const auto& [other, candidate] : outlooks) {
            const auto end = candidate.forecast.last_peak_end();
            if (other != pool && end && std::chrono::abs(*end - *start) < nearest) {
                nearest = std::chrono::abs(*end - *start);
                predecessor = other;
            }
        }
        outlook.predecessor_matches =
            predecessor == outlook.predecessor ? outlook.predecessor_matches + 1 : 1;
        outlook.predecessor = predecessor;
    }
    for (auto& [pool, outlook] : outlooks) {
        std::optional<milliseconds> expected;
        milliseconds wait{0};
        const auto* current = &outlook;
        // Follows the predecessors back to the pool whose peak is in progress and adds up the mean
        // durations of the peaks from that one on.
        for (std::size_t depth = 0; depth < outlooks.size() && !expected; ++depth) {
            if (current->predecessor.empty() || current->predecessor_matches < 2) {
                break;
            }
            current = &outlooks.at(current->predecessor);
            const auto duration = current->forecast.mean_peak_duration();
            if (!duration) {
                break;
            }
            wait += *duration;
            if (current->forecast.in_peak()) {
                const std::chrono::duration<double, std::milli> start_advance =
                    current->forecast.peak_duration_deviation() * safety_factor;
                expected =
                    std::max(now, *current->forecast.last_peak_start() + wait -
                                      std::chrono::duration_cast<milliseconds>(start_advance));
            }
        }
        outlook.forecast.override_next_peak_start(expected);
    }
}

std::optional<milliseconds> demand_forecast::time_until(int level, milliseconds now) const
{
    if (round_up_to_vms(required_vms_) >= level) {
        return milliseconds(0);
    }
    const auto start = next_peak_start(now);
    if (!start || round_up_to_vms(last_completed_peak_) < level) {
        return std::nullopt;
    }
    return std::max(milliseconds(0), *start - now);
}

double estimate_required_vms(const objects::service& service, const service_demand& demand,
                             const objects::policy& policy,
                             std::chrono::duration<double>& service_time)
{
    if (demand.waiting == 0 && demand.arrival_rate > 0 && demand.running > 0) {
        // Little's law gives the service time only while every request that arrives also starts.
        constexpr double observation_weight = 0.2;
        const std::chrono::duration<double> observed(demand.running / demand.arrival_rate);
        service_time = service_time.count() > 0
                           ? service_time + (observed - service_time) * observation_weight
                           : observed;
    }
    const double seconds =
        service_time.count() > 0 ? service_time.count() : default_service_time_seconds;
    const double rate = demand.arrival_rate + demand.waiting / waiting_clearance_seconds +
                        demand.backlog / backlog_clearance_seconds;
    const double busy = std::max<double>(rate * seconds, demand.running);
    const double utilization = policy.flood_service > policy.buffer_cost
                                   ? flood_target_utilization
                                   : normal_target_utilization;
    return busy / utilization / std::max(1, service.slots_per_instance);
}

void plan_moves(const fleet_snapshot& snapshot, const planning_limits& limits,
                const capacity_options& options, std::map<std::string, pool_outlook>& outlooks,
                budget_ledger& ledger, fleet_plan& plan)
{
    if (!may_start_drains(snapshot).allowed) {
        return;
    }
    // VMs that arrive too late degrade service and VMs that arrive too early add buffer cost, so
    // the ratio of these two weights decides how early VMs are moved.
    const auto& policy = snapshot.configuration->policy;
    const double safety_factor = std::min(
        max_safety_factor, policy.flood_service / std::max(policy.buffer_cost, min_policy_weight));
    link_successive_peaks(outlooks, snapshot.now, safety_factor);
    move_planner(snapshot, limits, options, outlooks, ledger, plan).run();
}

} // namespace jl::decisions
