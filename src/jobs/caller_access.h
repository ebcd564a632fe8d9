#pragma once

#include <string>
#include <string_view>

#include "jobs/model.h"

namespace jl::jobs {

enum class access_decision {
    granted,
    missing_key,
    unknown_key, // of no team in the configuration
    other_team,  // the job belongs to another team than the key
};
const char* to_string(access_decision decision);

struct caller_access {
    access_decision decision = access_decision::granted;
    std::string team; // of the key; empty: none

    bool granted() const { return decision == access_decision::granted; }
};

// Decides whether a caller with this key (empty: none) may use the queue.
caller_access check_key(const fleet_config& config, const queue_config& queue,
                        std::string_view key);
// Decides whether a caller may query, cancel or submit again a job of `job_team`. A job without a
// team is open to all callers, as is each job of a public queue. `job_queue` is the queue that the
// job was submitted to, whatever path the caller uses; null: it is not configured any more.
access_decision check_job_access(const queue_config* job_queue, const caller_access& caller,
                                 std::string_view job_team);

} // namespace jl::jobs
