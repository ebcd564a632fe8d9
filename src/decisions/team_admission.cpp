#include "decisions/team_admission.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace jl::decisions {

namespace {

// Only a change of the configuration can help a job beyond its team's quota.
constexpr std::chrono::seconds beyond_quota_delay{30};
constexpr std::chrono::seconds max_delay{60};

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
    if (!request.within_rate && request.backlog > request.slack) {
        return admission::beyond_rate;
    }
    return admission::accepted;
}

std::chrono::seconds admission_retry_after(const admission_request& request, admission refusal,
                                           double spread)
{
    const std::chrono::duration<double> delay = refusal == admission::beyond_quota
                                                    ? std::chrono::nanoseconds(beyond_quota_delay)
                                                    : std::max(request.rate_delay, request.backlog);
    const std::chrono::seconds spread_delay(
        static_cast<std::int64_t>(std::ceil(delay.count() * (1.0 + spread))));
    return std::clamp(spread_delay, std::chrono::seconds(1), max_delay);
}

} // namespace jl::decisions
