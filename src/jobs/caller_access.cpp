#include "jobs/caller_access.h"

namespace jl::jobs {

const char* to_string(access_decision decision)
{
    switch (decision) {
    case access_decision::granted:
        return "granted";
    case access_decision::missing_key:
        return "missing_key";
    case access_decision::unknown_key:
        return "unknown_key";
    case access_decision::other_team:
        return "other_team";
    }
    return "unknown";
}

caller_access check_key(const fleet_config& config, const queue_config& queue, std::string_view key)
{
    caller_access access;
    if (!config.checks_keys) {
        return access;
    }
    if (const auto* const team = config.teams.find_by_key(key)) {
        access.team = team->name;
        return access;
    }
    if (!queue.is_public) {
        access.decision = key.empty() ? access_decision::missing_key : access_decision::unknown_key;
    }
    return access;
}

access_decision check_job_access(const queue_config* job_queue, const caller_access& caller,
                                 std::string_view job_team)
{
    const bool is_public = job_queue != nullptr && job_queue->is_public;
    const bool open = job_team.empty() || job_team == caller.team || is_public;
    return open ? access_decision::granted : access_decision::other_team;
}

} // namespace jl::jobs
