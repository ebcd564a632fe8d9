#include "decisions/arrival_forecast.h"

#include <algorithm>

namespace jl::decisions {

namespace {

using namespace std::chrono_literals;

// The arrival rate is measured over this time and compared with the same time before it.
constexpr arrival_forecast::time rate_window = 1000ms;
// With fewer arrivals in the window, growth may just be one large job, as job sizes differ widely.
constexpr int min_arrivals_for_trend = 3;

double to_seconds(arrival_forecast::time span)
{
    return std::chrono::duration<double>(span).count();
}

double vm_seconds_within(const arrival_forecast::work& arrived, arrival_forecast::time span)
{
    return arrived.duration <= span
               ? arrived.vm_seconds
               : arrived.vm_seconds * to_seconds(span) / to_seconds(arrived.duration);
}

} // namespace

void arrival_forecast::note_arrival(const std::string& pool, time now, const work& arrived)
{
    auto& arrivals = recent_arrivals_[pool];
    arrivals.push_back({now, arrived});
    while (arrivals.front().at <= now - 2 * rate_window) {
        arrivals.pop_front();
    }
}

double arrival_forecast::forecast(const std::string& pool, time now, time lead_time,
                                  time horizon) const
{
    const auto found = recent_arrivals_.find(pool);
    if (found == recent_arrivals_.end()) {
        return 0;
    }
    double last_window = 0;
    double previous_window = 0;
    int last_window_arrivals = 0;
    for (const auto& arrival : found->second) {
        if (arrival.at > now - rate_window) {
            last_window += vm_seconds_within(arrival.arrived, horizon);
            ++last_window_arrivals;
        }
        else if (arrival.at > now - 2 * rate_window) {
            previous_window += vm_seconds_within(arrival.arrived, horizon);
        }
    }
    const double rate = last_window / to_seconds(rate_window);
    const double growth =
        (last_window - previous_window) / to_seconds(rate_window) / to_seconds(rate_window);
    if (last_window_arrivals < min_arrivals_for_trend || growth <= 0) {
        return rate;
    }
    // Limits the forecast to twice the rate: work that arrives in a burst, for example after a
    // change of leaders, is no lasting growth.
    return rate + std::min(growth * to_seconds(lead_time), rate);
}

} // namespace jl::decisions
