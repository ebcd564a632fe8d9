#include "decisions/retry_budget.h"

#include <algorithm>

namespace jl::decisions {

namespace {

// Unused budget does not grow beyond this multiple of the constant; otherwise a quiet day would
// allow a burst of retries large enough to overload the remaining targets.
constexpr double max_saved = 4;

} // namespace

retry_budget::retry_budget(double part, double constant)
    : part_(part), constant_(constant), tokens_(constant)
{
}

void retry_budget::count_call()
{
    tokens_ = std::min(tokens_ + part_, constant_ * max_saved);
}

bool retry_budget::try_retry()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace jl::decisions
