#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace jl::decisions {

struct entry_demand {
    std::string entry;
    double slots = 0; // calls waiting and running

    bool operator==(const entry_demand& other) const
    {
        return entry == other.entry && slots == other.slots;
    }
};

struct instance_slots {
    std::string vm;
    int slots = 0;
};

// Slots of each entry on each instance: [vm][entry].
using slot_table = std::map<std::string, std::map<std::string, int>>;

// Number of slots of each entry when `total` slots are divided by demand: every entry gets an equal
// floor first (half of an equal share, at least one slot while there are enough), then demands are
// met as far as possible starting with the smallest unmet level, and what is left is divided
// equally. The result sums up to `total` exactly; fractions are rounded by the largest remainder,
// with ties broken by rendezvous hashing on `key`.
//
// Meeting small demands first keeps a flood that reaches the fleet through one entry from taking
// slots that other entries use.
std::map<std::string, int> divide_slots(const std::string& key, int total,
                                        const std::vector<entry_demand>& demands);

// Divides and places the slots of all instances. The same input in any order gives the same table
// in every process. An entry's slots are spread over as many instances as possible, chosen by
// rendezvous hashing, and every slot belongs to exactly one entry.
slot_table place_slots(const std::string& key, const std::vector<instance_slots>& instances,
                       const std::vector<entry_demand>& demands);

// Slots one entry may use while the entries' views differ: a decrease applies at once, an increase
// only after it has been in the table without interruption for `hold`. During that time the entries
// that lose the slots learn of it.
class slot_ramp {
public:
    explicit slot_ramp(std::chrono::milliseconds hold);
    // `shares`: this entry's row of the table. An instance that is missing has no slots at once.
    void update(const std::map<std::string, int>& shares, steady_time now);
    int slots(const std::string& vm) const;
    // True if an increase waits for its hold, so that update() must be called again.
    bool is_increasing() const;

private:
    struct state {
        int current = 0;
        int pending = 0; // smallest share above `current` since `pending_since`
        steady_time pending_since;
        bool increasing = false;
    };
    std::chrono::milliseconds hold_;
    std::map<std::string, state> states_;
};

} // namespace jl::decisions
