#include "decisions/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "base/ids.h"

namespace jl::decisions {

namespace {

// Minimum share of an entry, as a fraction of an equal share.
constexpr double min_share_fraction = 0.5;

// Adds up to `remaining` slots to the shares, always to the lowest ones and to none beyond its
// bound. Returns the slots that are left when all shares have reached their bounds.
double fill_to_bounds(std::vector<double>& shares, const std::vector<double>& bounds,
                      double remaining)
{
    std::vector<std::size_t> unfilled(shares.size());
    std::iota(unfilled.begin(), unfilled.end(), 0U);
    unfilled.erase(std::remove_if(unfilled.begin(), unfilled.end(),
                                  [&](std::size_t i) { return bounds[i] <= shares[i]; }),
                   unfilled.end());
    while (!unfilled.empty() && remaining > 1e-9) {
        // Raises the lowest shares together, up to the next higher share or the nearest bound.
        const double level = shares[*std::min_element(
            unfilled.begin(), unfilled.end(),
            [&](std::size_t left, std::size_t right) { return shares[left] < shares[right]; })];
        std::vector<std::size_t> lowest;
        double next = std::numeric_limits<double>::infinity();
        for (const auto i : unfilled) {
            if (shares[i] <= level + 1e-12) {
                lowest.push_back(i);
                next = std::min(next, bounds[i]);
            }
            else {
                next = std::min(next, shares[i]);
            }
        }
        const double step = std::min(next - level, remaining / static_cast<double>(lowest.size()));
        for (const auto i : lowest) {
            shares[i] += step;
        }
        remaining -= step * static_cast<double>(lowest.size());
        unfilled.erase(
            std::remove_if(unfilled.begin(), unfilled.end(),
                           [&](std::size_t i) { return shares[i] >= bounds[i] - 1e-12; }),
            unfilled.end());
    }
    return std::max(remaining, 0.0);
}

// Returns the entries in the order of their rendezvous scores, which breaks ties. An entry that is
// listed more than once is returned once, with its largest demand. Slots are assigned by entry
// name, so the slots of a second share under the same name could never be assigned.
std::vector<entry_demand> merge_and_sort_by_score(const std::string& key,
                                                  const std::vector<entry_demand>& unsorted)
{
    std::map<std::string, double> demand_by_name;
    for (const auto& entry : unsorted) {
        auto& slots = demand_by_name.emplace(entry.entry, entry.slots).first->second;
        slots = std::max(slots, entry.slots);
    }
    std::vector<entry_demand> demands;
    demands.reserve(demand_by_name.size());
    for (const auto& [name, slots] : demand_by_name) {
        demands.push_back({name, slots});
    }
    std::sort(demands.begin(), demands.end(), [&](const auto& left, const auto& right) {
        const auto left_score = rendezvous_score(left.entry, key);
        const auto right_score = rendezvous_score(right.entry, key);
        return left_score != right_score ? left_score > right_score : left.entry < right.entry;
    });
    return demands;
}

} // namespace

std::map<std::string, int> divide_slots(const std::string& key, int total,
                                        const std::vector<entry_demand>& demands)
{
    std::map<std::string, int> result;
    if (demands.empty() || total <= 0) {
        return result;
    }
    const auto entries = merge_and_sort_by_score(key, demands);
    const auto count = entries.size();
    const double equal_share = static_cast<double>(total) / static_cast<double>(count);
    // Whole slots, so that rounding cannot reduce an entry's share below the minimum.
    const double min_share =
        equal_share < 1 ? 0 : std::max(1.0, std::floor(equal_share * min_share_fraction));
    std::vector<double> shares(count, min_share);
    std::vector<double> bounds;
    bounds.reserve(count);
    for (const auto& entry : entries) {
        bounds.push_back(std::clamp(entry.slots, 0.0, static_cast<double>(total)));
    }
    double remaining = static_cast<double>(total) - min_share * static_cast<double>(count);
    remaining = fill_to_bounds(shares, bounds, remaining);
    for (auto& share : shares) {
        share += remaining / static_cast<double>(count);
    }

    std::vector<std::size_t> by_remainder(count);
    std::iota(by_remainder.begin(), by_remainder.end(), 0U);
    std::vector<int> slots;
    int assigned_total = 0;
    for (const double share : shares) {
        slots.push_back(static_cast<int>(std::floor(share + 1e-9)));
        assigned_total += slots.back();
    }
    std::stable_sort(by_remainder.begin(), by_remainder.end(),
                     [&](std::size_t left, std::size_t right) {
                         return shares[left] - slots[left] > shares[right] - slots[right] + 1e-9;
                     });
    for (std::size_t i = 0; assigned_total < total; i = (i + 1) % count) {
        ++slots[by_remainder[i]];
        ++assigned_total;
    }
    for (std::size_t i = 0; i < count; ++i) {
        result[entries[i].entry] = slots[i];
    }
    return result;
}

namespace {

// Assigns slots of the instances to entries, one slot at a time. Entries and instances are
// identified by their indexes: with 240 instances, looking up names for every slot used 20% of a
// core on a node without load.
class slot_placement {
public:
    slot_placement(const std::vector<instance_slots>& instances,
                   const std::vector<entry_demand>& entries)
    {
        for (const auto& instance : instances) {
            free_slots_.push_back(instance.slots);
        }
        for (const auto& entry : entries) {
            auto& row = scores_.emplace_back();
            row.reserve(instances.size());
            for (const auto& instance : instances) {
                row.push_back(rendezvous_score(instance.vm, entry.entry));
            }
            assigned_.emplace_back(instances.size(), 0);
        }
    }

    // Assigns the entry one slot, on the instance where it has the fewest slots so far; among
    // several such instances, on the one with the most free slots. Requires a free slot on some
    // instance.
    void assign_slot(std::size_t entry)
    {
        auto& assigned = assigned_[entry];
        std::size_t best = free_slots_.size();
        for (std::size_t i = 0; i < free_slots_.size(); ++i) {
            if (free_slots_[i] > 0 && (best == free_slots_.size() || is_better(entry, i, best))) {
                best = i;
            }
        }
        ++assigned[best];
        --free_slots_[best];
    }

    // Number of slots of the entry on the instance.
    int assigned(std::size_t entry, std::size_t instance) const
    {
        return assigned_[entry][instance];
    }

private:
    // True if the entry's next slot is better assigned on `left` than on `right` (instances).
    bool is_better(std::size_t entry, std::size_t left, std::size_t right) const
    {
        const auto& assigned = assigned_[entry];
        if (assigned[left] != assigned[right]) {
            return assigned[left] < assigned[right];
        }
        if (free_slots_[left] != free_slots_[right]) {
            return free_slots_[left] > free_slots_[right];
        }
        return scores_[entry][left] > scores_[entry][right];
    }

    std::vector<int> free_slots_;                    // by instance
    std::vector<std::vector<int>> assigned_;         // by entry and instance
    std::vector<std::vector<std::uint64_t>> scores_; // by entry and instance
};

// Sorts instances by name, so that all processes break ties in the same way.
std::vector<instance_slots> sort_by_name(std::vector<instance_slots> instances)
{
    std::sort(instances.begin(), instances.end(),
              [](const auto& left, const auto& right) { return left.vm < right.vm; });
    return instances;
}

} // namespace

slot_table place_slots(const std::string& key, const std::vector<instance_slots>& unsorted,
                       const std::vector<entry_demand>& demands)
{
    const auto instances = sort_by_name(unsorted);
    const int total =
        std::accumulate(instances.begin(), instances.end(), 0,
                        [](int sum, const auto& instance) { return sum + instance.slots; });
    const auto shares = divide_slots(key, total, demands);
    const auto entries = merge_and_sort_by_score(key, demands);
    std::vector<int> unassigned;
    unassigned.reserve(entries.size());
    for (const auto& entry : entries) {
        const auto share = shares.find(entry.entry);
        unassigned.push_back(share == shares.end() ? 0 : share->second);
    }
    slot_placement placement(instances, entries);
    // Assigns one slot to each entry in turn, so that no entry takes all slots of an instance
    // before the others get any.
    for (bool assigned_any = true; assigned_any;) {
        assigned_any = false;
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            if (unassigned[entry] > 0) {
                --unassigned[entry];
                placement.assign_slot(entry);
                assigned_any = true;
            }
        }
    }
    slot_table table;
    for (std::size_t instance = 0; instance < instances.size(); ++instance) {
        auto& row = table[instances[instance].vm];
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            if (const int assigned = placement.assigned(entry, instance); assigned > 0) {
                row[entries[entry].entry] = assigned;
            }
        }
    }
    return table;
}

slot_ramp::slot_ramp(std::chrono::milliseconds increase_delay) : increase_delay_(increase_delay) {}

void slot_ramp::update(const std::map<std::string, int>& shares, steady_time now)
{
    for (auto state = states_.begin(); state != states_.end();) {
        state = shares.count(state->first) == 0 ? states_.erase(state) : std::next(state);
    }
    for (const auto& [vm, share] : shares) {
        auto& state = states_[vm];
        if (share <= state.current) {
            state.current = share;
            state.increase_pending = false;
            continue;
        }
        if (!state.increase_pending) {
            state.increase_pending = true;
            state.pending = share;
            state.pending_since = now;
        }
        state.pending = std::min(state.pending, share);
        if (now - state.pending_since >= increase_delay_) {
            state.current = state.pending;
            state.increase_pending = share > state.current;
            state.pending = share;
            state.pending_since = now;
        }
    }
}

bool slot_ramp::has_pending_increase() const
{
    return std::any_of(states_.begin(), states_.end(),
                       [](const auto& entry) { return entry.second.increase_pending; });
}

int slot_ramp::slots(const std::string& vm) const
{
    const auto found = states_.find(vm);
    return found == states_.end() ? 0 : found->second.current;
}

} // namespace jl::decisions
