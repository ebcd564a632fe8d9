#pragma once

#include <string>
#include <unordered_map>

#include "net/boot_clock.h"

namespace jl::teams {

// Token buckets that tell which submissions of a team lie within its rate of jobs a second.
//
//   job_rates rates;
//   const bool within_rate = rates.take(team.name, team.weight, now);
//
// Not thread-safe.
class job_rates {
public:
    // Counts a submission. Returns false if the team has used up its rate, in jobs a second.
    bool take(const std::string& team, double rate, net::boot_time now);
    // Time until the team may submit the next job within its rate.
    std::chrono::nanoseconds delay(const std::string& team, double rate, net::boot_time now) const;

private:
    struct bucket {
        double tokens = 0;
        net::boot_time updated_at{};
    };
    static double tokens_at(const bucket& state, double rate, net::boot_time now);

    std::unordered_map<std::string, bucket> buckets_; // by team
};

} // namespace jl::teams
