#include "decisions/team_admission.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jl::decisions {

namespace {

// Only a change of the configuration can help a job beyond its team's quota.
constexpr std::chrono::seconds beyond_quota_delay{30};
// Long enough that the spread survives rounding up to whole seconds.
constexpr std::chrono::milliseconds min_delay_before_spread{1000};
constexpr std::chrono::seconds max_delay_before_spread{30};

} // namespace

const char* to_string(admission decision)
{
    switch (decision) {
    case admission::accepted:
        return "accepted";
    case admission::beyond_quota:
        return "beyond_quota";
    case admission::beyond_rate:
        return "beyond_rate";
    }
    return "unknown";
}

admission admit(const admission_request& request)
{
    if (!request.fits_quota) {
        return admission::beyond_quota;
    }
    const auto slack = std::max(request.slack, std::chrono::nanoseconds(0));
    if (!request.within_rate && request.backlog > slack) {
        return admission::beyond_rate;
    }
    return admission::accepted;
}

std::chrono::seconds admission_retry_after(const admission_request& request, admission refusal,
                                           double spread)
{
    const auto expected = refusal == admission::beyond_quota
                              ? std::chrono::nanoseconds(beyond_quota_delay)
                              : std::max(request.rate_delay, request.backlog);
    const std::chrono::duration<double> delay = std::clamp<std::chrono::nanoseconds>(
        expected, min_delay_before_spread, max_delay_before_spread);
    return std::chrono::seconds(
        static_cast<std::int64_t>(std::ceil(delay.count() * (1.0 + spread))));
}

} // namespace jl::decisions
