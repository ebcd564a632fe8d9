#include "decisions/target_choice.h"

#include <algorithm>

namespace jl::decisions {

namespace {

bool is_eligible(const target_candidate& candidate, bool may_probe)
{
    return candidate.limit > 0 && (may_probe || !candidate.probing);
}

bool has_lower_utilization(const target_candidate& left, const target_candidate& right)
{
    return static_cast<std::int64_t>(left.in_flight) * right.limit <
           static_cast<std::int64_t>(right.in_flight) * left.limit;
}

} // namespace

std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         bool may_probe, std::uint64_t rotation)
{
    const bool all_excluded =
        std::none_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
            return is_eligible(candidate, may_probe) && !candidate.excluded;
        });
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto index =
            (i + static_cast<std::size_t>(rotation % candidates.size())) % candidates.size();
        const auto& candidate = candidates[index];
        if (!is_eligible(candidate, may_probe) || (candidate.excluded && !all_excluded)) {
            continue;
        }
        if (candidate.probing) {
            if (candidate.in_flight == 0) {
                return index;
            }
            continue;
        }
        if (candidate.in_flight < candidate.limit &&
            (!best || has_lower_utilization(candidate, candidates[*best]))) {
            best = index;
        }
    }
    return best;
}

} // namespace jl::decisions
