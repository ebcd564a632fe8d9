#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jl::decisions {

struct target_candidate {
    int in_flight = 0;     // calls that this entry has in flight to the target
    int limit = 0;         // bound on `in_flight`; 0: the target must not be used
    bool excluded = false; // failed an earlier attempt of the same call
    bool probing = false;  // gets one call at a time after an ejection, see target_health
};

// Chooses a target with a free slot and returns its index. With `may_probe`, a probing target
// without calls in flight comes first. Otherwise the target with the lowest utilization (calls in
// flight divided by the limit) is chosen. Excluded targets are used only if no other target may be
// used, whether it has a free slot or not. `rotation` (for example, a call counter) breaks ties
// evenly.
std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         bool may_probe, std::uint64_t rotation);

} // namespace jl::decisions
