#include "teams/job_rates.h"

#include <algorithm>

namespace jl::teams {

namespace {

// A bucket holds the jobs of this time, and one job at least.
constexpr std::chrono::duration<double> burst{1.0};

// In jobs a second; bounds the delay of a team without a rate.
constexpr double min_rate = 1e-3;

double capacity(double rate)
{
    return std::max(1.0, rate * burst.count());
}

} // namespace

double job_rates::tokens_at(const bucket& state, double rate, net::boot_time now)
{
    const std::chrono::duration<double> elapsed = now - state.updated_at;
    return std::min(capacity(rate), state.tokens + rate * elapsed.count());
}

bool job_rates::take(const std::string& team, double rate, net::boot_time now)
{
    const auto [found, is_new] = buckets_.try_emplace(team, bucket{capacity(rate), now});
    auto& state = found->second;
    state.tokens = tokens_at(state, rate, now);
    state.updated_at = now;
    if (state.tokens < 1.0) {
        return false;
    }
    state.tokens -= 1.0;
    return true;
}

std::chrono::nanoseconds job_rates::delay(const std::string& team, double rate,
                                          net::boot_time now) const
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end()) {
        return {};
    }
    const double missing = std::max(0.0, 1.0 - tokens_at(found->second, rate, now));
    const std::chrono::duration<double> delay{missing / std::max(rate, min_rate)};
    return std::chrono::duration_cast<std::chrono::nanoseconds>(delay);
}

} // namespace jl::teams
