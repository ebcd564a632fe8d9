#include "decisions/retry_after.h"

#include <algorithm>

namespace jl::decisions {

namespace {

using std::chrono::duration;
using std::chrono::seconds;

constexpr seconds shortest_wait{1};
constexpr seconds longest_wait{30};

} // namespace

seconds retry_after(std::chrono::nanoseconds refusing_for, double spread)
{
    const auto expected = std::clamp<duration<double>>(refusing_for, shortest_wait, longest_wait);
    const auto wait = expected * (1.0 + std::clamp(spread, 0.0, 1.0));
    return std::clamp(std::chrono::round<seconds>(wait), shortest_wait, longest_wait);
}

} // namespace jl::decisions
