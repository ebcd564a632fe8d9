#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jl::decisions {

struct target_candidate {
    int in_flight = 0;     // requests of this entry
    int limit = 0;         // 0: not to be used
    bool excluded = false; // failed an earlier attempt of the same call
    bool probe = false;    // was set aside and takes one call at a time to prove itself
};

// Chooses a target with a free slot: a target to be probed first if `may_probe`, then the one with
// the smallest used part of its limit. Excluded targets are used only if no other has a limit above
// zero. `rotation` (for example, a call counter) breaks ties evenly.
std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         bool may_probe, std::uint64_t rotation);

} // namespace jl::decisions
