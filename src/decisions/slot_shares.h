#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace jl::decisions {

// Demand of one entry (a node that accepts calls) for slots of a service.
struct entry_demand {
    std::string entry; // name
    double slots = 0;  // number of calls waiting and running

    bool operator==(const entry_demand& other) const
    {
        return entry == other.entry && slots == other.slots;
    }
};

// Slots of one instance of a service, which runs on one VM.
struct instance_slots {
    std::string vm;
    int slots = 0;
};

// Number of slots of each entry on each instance: [vm][entry].
using slot_table = std::map<std::string, std::map<std::string, int>>;

// Divides `total` slots among the entries by max-min fairness and returns the number of slots of
// each entry:
// 1. Every entry gets the same minimum: half of an equal share, and at least one slot if there are
//    as many slots as entries.
// 2. The smallest shares are raised first, each up to the entry's demand, until all demands are met
//    or all slots are used. A flood that arrives through one entry thus takes no slots that other
//    entries use.
// 3. The slots that are left are divided equally.
// The numbers add up to `total`. Fractions are rounded by the largest remainder method, with ties
// broken by rendezvous hashing on `key`.
std::map<std::string, int> divide_slots(const std::string& key, int total,
                                        const std::vector<entry_demand>& demands);

// Divides the slots of all instances among the entries as divide_slots() does, and assigns every
// slot to exactly one entry. The slots of an entry are spread over as many instances as possible,
// chosen by rendezvous hashing. All processes compute the same table from the same input, whatever
// its order, so that entries agree on the table without coordination.
slot_table place_slots(const std::string& key, const std::vector<instance_slots>& instances,
                       const std::vector<entry_demand>& demands);

// Slots that one entry may use while entries may have computed different tables. A decrease takes
// effect at once. An increase takes effect only after the table has contained it without
// interruption for `increase_delay`; meanwhile the entries that lose those slots compute the same
// table and stop using them. Otherwise two entries could use the same slot and overload an
// instance.
class slot_ramp {
public:
    explicit slot_ramp(std::chrono::milliseconds increase_delay);
    // `shares`: this entry's slots by VM. An instance that is missing loses its slots at once.
    void update(const std::map<std::string, int>& shares, steady_time now);
    int slots(const std::string& vm) const;
    // True if an increase has not taken effect yet, so that update() must be called again.
    bool has_pending_increase() const;

private:
    struct state {
        int current = 0;
        int pending = 0; // smallest share above `current` since `pending_since`
        steady_time pending_since;
        bool increase_pending = false;
    };
    std::chrono::milliseconds increase_delay_;
    std::map<std::string, state> states_;
};

} // namespace jl::decisions
