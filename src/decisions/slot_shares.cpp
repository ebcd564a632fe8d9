#include "decisions/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "base/ids.h"

namespace jl::decisions {

namespace {

constexpr double floor_part = 0.5; // of an equal share

// Raises every share to a common level, each at most to its bound, until `rest` is used up.
// Returns what is left.
double fill_to_bounds(std::vector<double>& shares, const std::vector<double>& bounds, double rest)
{
    std::vector<std::size_t> open(shares.size());
    std::iota(open.begin(), open.end(), 0U);
    open.erase(std::remove_if(open.begin(), open.end(),
                              [&](std::size_t i) { return bounds[i] <= shares[i]; }),
               open.end());
    while (!open.empty() && rest > 1e-9) {
        // The lowest share rises to the next share or bound above it.
        const double level = shares[*std::min_element(
            open.begin(), open.end(),
            [&](std::size_t left, std::size_t right) { return shares[left] < shares[right]; })];
        std::vector<std::size_t> lowest;
        double next = std::numeric_limits<double>::infinity();
        for (const auto i : open) {
            if (shares[i] <= level + 1e-12) {
                lowest.push_back(i);
                next = std::min(next, bounds[i]);
            }
            else {
                next = std::min(next, shares[i]);
            }
        }
        const double step = std::min(next - level, rest / static_cast<double>(lowest.size()));
        for (const auto i : lowest) {
            shares[i] += step;
        }
        rest -= step * static_cast<double>(lowest.size());
        open.erase(std::remove_if(open.begin(), open.end(),
                                  [&](std::size_t i) { return shares[i] >= bounds[i] - 1e-12; }),
                   open.end());
    }
    return std::max(rest, 0.0);
}

// Entries in the order of their rendezvous scores, which breaks all ties. An entry that is listed
// more than once keeps its largest demand: slots are placed by name, so a second share under the
// same name could never be placed.
std::vector<entry_demand> sort_by_score(const std::string& key,
                                        const std::vector<entry_demand>& listed)
{
    std::map<std::string, double> by_name;
    for (const auto& entry : listed) {
        auto& slots = by_name.emplace(entry.entry, entry.slots).first->second;
        slots = std::max(slots, entry.slots);
    }
    std::vector<entry_demand> demands;
    demands.reserve(by_name.size());
    for (const auto& [name, slots] : by_name) {
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
    const auto entries = sort_by_score(key, demands);
    const auto count = entries.size();
    const double equal = static_cast<double>(total) / static_cast<double>(count);
    // A floor of whole slots, so that rounding cannot take it away.
    const double lowest = equal < 1 ? 0 : std::max(1.0, std::floor(equal * floor_part));
    std::vector<double> shares(count, lowest);
    std::vector<double> bounds;
    bounds.reserve(count);
    for (const auto& entry : entries) {
        bounds.push_back(std::clamp(entry.slots, 0.0, static_cast<double>(total)));
    }
    double rest = static_cast<double>(total) - lowest * static_cast<double>(count);
    rest = fill_to_bounds(shares, bounds, rest);
    for (auto& share : shares) {
        share += rest / static_cast<double>(count);
    }

    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), 0U);
    std::vector<int> slots;
    int used = 0;
    for (const double share : shares) {
        slots.push_back(static_cast<int>(std::floor(share + 1e-9)));
        used += slots.back();
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return shares[left] - slots[left] > shares[right] - slots[right] + 1e-9;
    });
    for (std::size_t i = 0; used < total; i = (i + 1) % count) {
        ++slots[order[i]];
        ++used;
    }
    for (std::size_t i = 0; i < count; ++i) {
        result[entries[i].entry] = slots[i];
    }
    return result;
}

namespace {

// Places the slots of one entry at a time on the instances. Works on indexes: with 240 instances,
// looking names up for every slot took a fifth of a core on a node that had no load.
class slot_placement {
public:
    slot_placement(const std::vector<instance_slots>& instances,
                   const std::vector<entry_demand>& entries)
    {
        for (const auto& instance : instances) {
            room_.push_back(instance.slots);
        }
        for (const auto& entry : entries) {
            auto& row = scores_.emplace_back();
            row.reserve(instances.size());
            for (const auto& instance : instances) {
                row.push_back(rendezvous_score(instance.vm, entry.entry));
            }
            held_.emplace_back(instances.size(), 0);
        }
    }

    // Gives the entry a slot of the instance where it has fewest so far, then of the one with most
    // room. Requires that an instance has room.
    void place(std::size_t entry)
    {
        auto& held = held_[entry];
        std::size_t best = room_.size();
        for (std::size_t i = 0; i < room_.size(); ++i) {
            if (room_[i] > 0 && (best == room_.size() || is_better(entry, i, best))) {
                best = i;
            }
        }
        ++held[best];
        --room_[best];
    }

    int held(std::size_t entry, std::size_t instance) const { return held_[entry][instance]; }

private:
    bool is_better(std::size_t entry, std::size_t left, std::size_t right) const
    {
        const auto& held = held_[entry];
        if (held[left] != held[right]) {
            return held[left] < held[right];
        }
        if (room_[left] != room_[right]) {
            return room_[left] > room_[right];
        }
        return scores_[entry][left] > scores_[entry][right];
    }

    std::vector<int> room_;                          // by instance
    std::vector<std::vector<int>> held_;             // by entry and instance
    std::vector<std::vector<std::uint64_t>> scores_; // by entry and instance
};

// In the order of names, so that ties are broken in the same way everywhere.
std::vector<instance_slots> sort_by_name(std::vector<instance_slots> instances)
{
    std::sort(instances.begin(), instances.end(),
              [](const auto& left, const auto& right) { return left.vm < right.vm; });
    return instances;
}

} // namespace

slot_table place_slots(const std::string& key, const std::vector<instance_slots>& listed,
                       const std::vector<entry_demand>& demands)
{
    const auto instances = sort_by_name(listed);
    const int total =
        std::accumulate(instances.begin(), instances.end(), 0,
                        [](int sum, const auto& instance) { return sum + instance.slots; });
    const auto shares = divide_slots(key, total, demands);
    const auto entries = sort_by_score(key, demands);
    std::vector<int> left;
    left.reserve(entries.size());
    for (const auto& entry : entries) {
        const auto share = shares.find(entry.entry);
        left.push_back(share == shares.end() ? 0 : share->second);
    }
    slot_placement placement(instances, entries);
    // One slot per entry and round.
    for (bool placed = true; placed;) {
        placed = false;
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            if (left[entry] > 0) {
                --left[entry];
                placement.place(entry);
                placed = true;
            }
        }
    }
    slot_table table;
    for (std::size_t instance = 0; instance < instances.size(); ++instance) {
        auto& row = table[instances[instance].vm];
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            if (const int held = placement.held(entry, instance); held > 0) {
                row[entries[entry].entry] = held;
            }
        }
    }
    return table;
}

slot_ramp::slot_ramp(std::chrono::milliseconds hold) : hold_(hold) {}

void slot_ramp::update(const std::map<std::string, int>& shares, steady_time now)
{
    for (auto state = states_.begin(); state != states_.end();) {
        state = shares.count(state->first) == 0 ? states_.erase(state) : std::next(state);
    }
    for (const auto& [vm, share] : shares) {
        auto& state = states_[vm];
        if (share <= state.current) {
            state.current = share;
            state.increasing = false;
            continue;
        }
        if (!state.increasing) {
            state.increasing = true;
            state.pending = share;
            state.pending_since = now;
        }
        state.pending = std::min(state.pending, share);
        if (now - state.pending_since >= hold_) {
            state.current = state.pending;
            state.increasing = share > state.current;
            state.pending = share;
            state.pending_since = now;
        }
    }
}

bool slot_ramp::is_increasing() const
{
    return std::any_of(states_.begin(), states_.end(),
                       [](const auto& entry) { return entry.second.increasing; });
}

int slot_ramp::slots(const std::string& vm) const
{
    const auto found = states_.find(vm);
    return found == states_.end() ? 0 : found->second.current;
}

} // namespace jl::decisions
