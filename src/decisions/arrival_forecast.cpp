#include "decisions/arrival_forecast.h"

#include <algorithm>

namespace jl::decisions {

namespace {

using namespace std::chrono_literals;

constexpr arrival_forecast::time window = 1000ms;
// Fewer arrivals than this in a window tell nothing of a trend: sizes of jobs differ widely.
constexpr int least_arrivals_for_trend = 3;

double seconds(arrival_forecast::time span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void arrival_forecast::note_arrival(const std::string& pool, time now, double vm_seconds)
{
    auto& arrivals = recent_[pool];
    arrivals.push_back({now, vm_seconds});
    while (arrivals.front().at <= now - 2 * window) {
        arrivals.pop_front();
    }
}

double arrival_forecast::forecast(const std::string& pool, time now, time lead) const
{
    const auto found = recent_.find(pool);
    if (found == recent_.end()) {
        return 0;
    }
    double last = 0;
    double before = 0;
    int last_count = 0;
    for (const auto& arrival : found->second) {
        if (arrival.at > now - window) {
            last += arrival.vm_seconds;
            ++last_count;
        }
        else if (arrival.at > now - 2 * window) {
            before += arrival.vm_seconds;
        }
    }
    const double rate = last / seconds(window);
    const double growth = (last - before) / seconds(window) / seconds(window);
    if (last_count < least_arrivals_for_trend || growth <= 0) {
        return rate;
    }
    // Work that arrives in a clump, as after a change of leaders, is no lasting growth.
    return rate + std::min(growth * seconds(lead), rate);
}

} // namespace jl::decisions
