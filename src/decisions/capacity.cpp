#include "decisions/capacity.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace jl::decisions {

namespace {

using records::vm_phase;
using std::chrono::milliseconds;

// A peak is a rise of the need by at least this factor and this many VMs; smaller changes are
// noise.
constexpr double peak_factor = 1.5;
constexpr double peak_rise = 1;
constexpr std::size_t max_peaks = 8;
// Intervals between peaks that differ more than this from their mean give no forecast.
constexpr double max_deviation = 0.35;
// The bounds of the need move towards it by this share each observation.
constexpr double bound_decay = 0.002;
// A forecast peak that is overdue by more than this share of its interval is given up.
constexpr double max_overdue = 0.35;

// A peak follows another one if it starts within this time of its end.
constexpr milliseconds succession_gap{4000};

// With the bound, a start is forecast early enough for nearly all durations seen so far.
constexpr double max_caution = 2;

constexpr double min_weight = 0.01;
// Share of the slots that a pool should have busy. Weight on service during floods keeps more
// slots free.
constexpr double cheap_utilization = 0.9;
constexpr double careful_utilization = 0.8;
// A queue of waiting calls is to be worked off in this time, a deferred backlog in the other.
constexpr double waiting_seconds = 4;
constexpr double backlog_seconds = 60;
constexpr double default_service_seconds = 0.1;

int whole_vms(double need)
{
    // A need just above a whole number comes from rounding.
    return static_cast<int>(std::ceil(need - 0.01));
}

struct pool_state {
    const objects::pool* pool = nullptr;
    const pool_outlook* outlook = nullptr;
    int size = 0;     // VMs that are in the pool or on their way into it
    int required = 0; // needed now or within the lead time
    int held = 0;     // worth holding for the pool's own next peak
    std::vector<std::size_t> movable;
    bool blocked = false; // the budgets let no further VM leave it

    int shortage() const { return std::max(0, required - size); }
    int surplus() const { return std::max(0, size - std::max(required, held)); }
    // VMs that a pool with a present need may take, held ones included.
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
        const double moves = std::max(policy.moves, min_weight);
        const double buffer = std::max(policy.buffer_cost, min_weight);
        move_value_ = std::chrono::duration_cast<milliseconds>(options.move_cost * moves / buffer);
    }

    void run()
    {
        gather();
        meet_shortages();
        release_surplus();
    }

private:
    // Highest number of VMs that the forecast needs within `window`, within the pool's bounds.
    int needed_within(const pool_state& state, milliseconds window) const
    {
        const auto& forecast = state.outlook->forecast;
        int level = whole_vms(forecast.need());
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

    void gather()
    {
        for (const auto& pool : snapshot_.configuration->pools) {
            auto& state = states_[pool.name];
            state.pool = &pool;
            state.outlook = &outlooks_[pool.name];
            order_.push_back(&state);
        }
        for (std::size_t index = 0; index < snapshot_.vms.size(); ++index) {
            const auto& vm = snapshot_.vms[index];
            const auto& record = vm.record;
            const auto found =
                states_.find(record.move_to_pool.empty() ? record.pool : record.move_to_pool);
            if (found == states_.end() || vm.record_revision == 0) {
                continue;
            }
            // VMs in maintenance return; those lost may not.
            const bool counts = vm.live() || record.phase != vm_phase::in_service;
            found->second.size += counts ? 1 : 0;
            if (vm.available() && !recently_withdrawn(snapshot_, limits_, vm) &&
                snapshot_.operator_drains.count(record.vm) == 0) {
                found->second.movable.push_back(index);
            }
        }
        for (auto* state : order_) {
            state->required = needed_within(*state, options_.lead);
            // A VM that leaves can serve other peaks meanwhile, at one move for each, so holding
            // it for longer than one move is worth does not pay.
            state->held = needed_within(*state, move_value_);
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

    // Moves one VM. Prefers a VM whose rack holds many VMs of its pool, so that the rest of the
    // pool stays spread over racks.
    move_result move_one(pool_state& from, pool_state& to)
    {
        std::unordered_map<std::string, int> in_rack;
        for (const auto index : from.movable) {
            ++in_rack[snapshot_.vms[index].rack];
        }
        std::stable_sort(from.movable.begin(), from.movable.end(),
                         [&](std::size_t left, std::size_t right) {
                             const auto& first = snapshot_.vms[left];
                             const auto& second = snapshot_.vms[right];
                             return std::make_pair(first.tasks, -in_rack[first.rack]) <
                                    std::make_pair(second.tasks, -in_rack[second.rack]);
                         });
        const auto found = std::find_if(from.movable.begin(), from.movable.end(),
                                        [&](std::size_t index) { return ledger_.allows(index); });
        if (found == from.movable.end()) {
            from.blocked = true;
            return move_result::source_blocked;
        }
        if (!ledger_.allows(*found, to.pool->name)) {
            return move_result::destination_blocked;
        }
        const auto index = *found;
        from.movable.erase(found);
        ledger_.take(index, to.pool->name);
        plan_.steps.push_back(
            start_drain(snapshot_, snapshot_.vms[index], "move " + to.pool->name, to.pool->name));
        --from.size;
        ++to.size;
        return move_result::moved;
    }

    pool_state* find_source(const pool_state& destination)
    {
        pool_state* best = nullptr;
        for (auto* state : order_) {
            if (state == &destination || state->blocked || state->lendable() == 0) {
                continue;
            }
            // VMs of the spare pool cost nothing where they are, so a surplus elsewhere comes
            // first; VMs held for a coming peak are last.
            const auto rank = [](const pool_state& item) {
                const int group = item.surplus() == 0 ? 0 : item.pool->spare ? 1 : 2;
                return std::make_pair(group, group == 0 ? item.lendable() : item.surplus());
            };
            if (best == nullptr || rank(*best) < rank(*state)) {
                best = state;
            }
        }
        return best;
    }

    void meet_shortages()
    {
        std::vector<pool_state*> unmet;
        for (auto* state : order_) {
            if (state->shortage() > 0) {
                unmet.push_back(state);
            }
        }
        while (!unmet.empty()) {
            // The pool that has the least share of what it needs comes first.
            const auto next = std::min_element(
                unmet.begin(), unmet.end(), [](const pool_state* left, const pool_state* right) {
                    return left->size * right->required < right->size * left->required;
                });
            auto* source = find_source(**next);
            // Budgets only get fuller within a round, so a blocked pool is not tried again, and
            // the number of attempts stays linear in the number of pools and moves.
            if (source == nullptr ||
                move_one(*source, **next) == move_result::destination_blocked ||
                (*next)->shortage() == 0) {
                unmet.erase(next);
            }
        }
    }

    // VMs that are worth holding until another pool needs them, which saves the move to the spare
    // pool. VMs that present peaks free before then are used first. The spare pool's own need is
    // not counted: waiting there costs nothing.
    int count_wanted_soon() const
    {
        struct event {
            milliseconds wait;
            int freed;
            int wanted;
            bool operator<(const event& other) const { return wait < other.wait; }
        };
        std::vector<event> events;
        for (const auto* state : order_) {
            const auto& forecast = state->outlook->forecast;
            const auto duration = forecast.duration();
            if (forecast.in_peak() && duration) {
                const auto end = *forecast.last_start() + *duration;
                events.push_back({std::max(milliseconds(0), end - snapshot_.now) + options_.lead,
                                  state->size - state->pool->min_vms, 0});
            }
            const int wanted = needed_within(*state, move_value_) - state->size;
            if (wanted <= 0 || state->pool->spare) {
                continue;
            }
            const auto wait = forecast.time_until(state->size + 1, snapshot_.now);
            events.push_back({wait.value_or(milliseconds(0)), 0, wanted});
        }
        std::sort(events.begin(), events.end());
        int freed = 0;
        int result = 0;
        for (const auto& item : events) {
            freed += item.freed;
            const int served = std::min(freed, item.wanted);
            freed -= served;
            result += item.wanted - served;
        }
        return result;
    }

    void release_surplus()
    {
        const auto spare = std::find_if(order_.begin(), order_.end(),
                                        [](const pool_state* state) { return state->pool->spare; });
        if (spare == order_.end()) {
            return;
        }
        int wanted_soon = count_wanted_soon();
        for (auto* state : order_) {
            const auto since = state->outlook->surplus_since;
            if (state->pool->spare || !since || snapshot_.now - *since < options_.release_delay) {
                continue;
            }
            const int waiting = std::min(wanted_soon, state->surplus());
            wanted_soon -= waiting;
            for (int left = state->surplus() - waiting;
                 left > 0 && (*spare)->size < (*spare)->pool->max_vms; --left) {
                if (move_one(*state, **spare) != move_result::moved) {
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
    milliseconds move_value_{}; // holding a VM this long costs as much as one move
    std::unordered_map<std::string, pool_state> states_;
    std::vector<pool_state*> order_;
};

} // namespace

void demand_forecast::observe(milliseconds now, double need)
{
    if (!observed_) {
        high_ = low_ = need;
        observed_ = true;
    }
    need_ = need;
    high_ = std::max(need, high_ - (high_ - low_) * bound_decay);
    low_ = std::min(need, low_ + (high_ - low_) * bound_decay);
    const bool varies = high_ >= low_ * peak_factor && high_ - low_ >= peak_rise;
    const double middle = (high_ + low_) / 2;
    if (!in_peak_ && varies && need > middle) {
        in_peak_ = true;
        peak_ = need;
        starts_.push_back(now);
        if (starts_.size() > max_peaks) {
            starts_.pop_front();
        }
    }
    else if (in_peak_ && need < middle) {
        in_peak_ = false;
        last_peak_ = peak_;
        last_end_ = now;
        durations_.push_back(now - starts_.back());
        if (durations_.size() > max_peaks) {
            durations_.pop_front();
        }
    }
    if (in_peak_) {
        peak_ = std::max(peak_, need);
    }
}

std::optional<milliseconds> demand_forecast::next_start(milliseconds now) const
{
    if (in_peak_) {
        return std::nullopt;
    }
    if (expected_start_) {
        return expected_start_;
    }
    if (starts_.size() < 2) {
        return std::nullopt;
    }
    const auto intervals = static_cast<double>(starts_.size() - 1);
    const double mean = static_cast<double>((starts_.back() - starts_.front()).count()) / intervals;
    for (std::size_t index = 1; index < starts_.size(); ++index) {
        const auto interval = static_cast<double>((starts_[index] - starts_[index - 1]).count());
        if (std::abs(interval - mean) > mean * max_deviation) {
            return std::nullopt;
        }
    }
    const auto next = starts_.back() + milliseconds(static_cast<std::int64_t>(mean));
    if (now > next + milliseconds(static_cast<std::int64_t>(mean * max_overdue))) {
        return std::nullopt;
    }
    return next;
}

std::optional<milliseconds> demand_forecast::last_start() const
{
    if (starts_.empty()) {
        return std::nullopt;
    }
    return starts_.back();
}

std::optional<milliseconds> demand_forecast::duration() const
{
    if (durations_.size() < 2) {
        return std::nullopt;
    }
    milliseconds total{0};
    for (const auto item : durations_) {
        total += item;
    }
    return total / static_cast<std::int64_t>(durations_.size());
}

milliseconds demand_forecast::duration_spread() const
{
    const auto mean = duration();
    if (!mean) {
        return milliseconds(0);
    }
    milliseconds total{0};
    for (const auto item : durations_) {
        total += std::chrono::abs(item - *mean);
    }
    return total / static_cast<std::int64_t>(durations_.size());
}

void link_peaks(std::map<std::string, pool_outlook>& outlooks, milliseconds now, double caution)
{
    for (auto& [pool, outlook] : outlooks) {
        const auto start = outlook.forecast.last_start();
        // The predecessor's end may be observed a little later than this start.
        if (!start || outlook.counted_start == start || now - *start < succession_gap) {
            continue;
        }
        outlook.counted_start = start;
        std::string predecessor;
        auto nearest = succession_gap;
        for (const auto& [other, candidate] : outlooks) {
            const auto end = candidate.forecast.last_end();
            if (other != pool && end && std::chrono::abs(*end - *start) < nearest) {
                nearest = std::chrono::abs(*end - *start);
                predecessor = other;
            }
        }
        outlook.sequences = predecessor == outlook.predecessor ? outlook.sequences + 1 : 1;
        outlook.predecessor = predecessor;
    }
    for (auto& [pool, outlook] : outlooks) {
        std::optional<milliseconds> expected;
        milliseconds wait{0};
        const auto* at = &outlook;
        // Walks back to the pool that peaks now.
        for (std::size_t depth = 0; depth < outlooks.size() && !expected; ++depth) {
            if (at->predecessor.empty() || at->sequences < 2) {
                break;
            }
            at = &outlooks.at(at->predecessor);
            const auto duration = at->forecast.duration();
            if (!duration) {
                break;
            }
            wait += *duration;
            if (at->forecast.in_peak()) {
                const std::chrono::duration<double, std::milli> early =
                    at->forecast.duration_spread() * caution;
                expected = std::max(now, *at->forecast.last_start() + wait -
                                             std::chrono::duration_cast<milliseconds>(early));
            }
        }
        outlook.forecast.expect_start(expected);
    }
}

std::optional<milliseconds> demand_forecast::time_until(int level, milliseconds now) const
{
    if (whole_vms(need_) >= level) {
        return milliseconds(0);
    }
    const auto start = next_start(now);
    if (!start || whole_vms(last_peak_) < level) {
        return std::nullopt;
    }
    return std::max(milliseconds(0), *start - now);
}

double estimate_need(const objects::service& service, const service_demand& demand,
                     const objects::policy& policy, std::chrono::duration<double>& service_time)
{
    if (demand.waiting == 0 && demand.arrival_rate > 0 && demand.running > 0) {
        // Little's law, while every request that arrives also starts.
        constexpr double share = 0.2;
        const std::chrono::duration<double> observed(demand.running / demand.arrival_rate);
        service_time =
            service_time.count() > 0 ? service_time + (observed - service_time) * share : observed;
    }
    const double seconds =
        service_time.count() > 0 ? service_time.count() : default_service_seconds;
    const double rate =
        demand.arrival_rate + demand.waiting / waiting_seconds + demand.backlog / backlog_seconds;
    const double busy = std::max<double>(rate * seconds, demand.running);
    const double utilization =
        policy.flood_service > policy.buffer_cost ? careful_utilization : cheap_utilization;
    return busy / utilization / std::max(1, service.slots_per_instance);
}

void plan_moves(const fleet_snapshot& snapshot, const planning_limits& limits,
                const capacity_options& options, std::map<std::string, pool_outlook>& outlooks,
                budget_ledger& ledger, fleet_plan& plan)
{
    if (!may_start_drains(snapshot).allowed) {
        return;
    }
    // VMs that come too late cost service, those that come too early are buffer.
    const auto& policy = snapshot.configuration->policy;
    const double caution =
        std::min(max_caution, policy.flood_service / std::max(policy.buffer_cost, min_weight));
    link_peaks(outlooks, snapshot.now, caution);
    move_planner(snapshot, limits, options, outlooks, ledger, plan).run();
}

} // namespace jl::decisions
