#include "decisions/retry_budget.h"

#include <algorithm>

namespace jl::decisions {

namespace {

// The unused budget does not grow beyond this multiple of `base_retries`. Otherwise a long time
// without failures would allow a burst of retries that overloads the remaining targets.
constexpr double max_saved_multiple = 4;

} // namespace

retry_budget::retry_budget(double retries_per_call, double base_retries)
    : retries_per_call_(retries_per_call), base_retries_(base_retries), tokens_(base_retries)
{
}

void retry_budget::count_call()
{
    tokens_ = std::min(tokens_ + retries_per_call_, base_retries_ * max_saved_multiple);
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
