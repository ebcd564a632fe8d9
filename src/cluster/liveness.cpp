#include "cluster/liveness.h"

#include <algorithm>

namespace jl::cluster {

namespace {

// True if this entry and the members it hears are more than half of the last known members and
// none of them reaches the platform. Then no planner can start a drain: that takes
// acknowledgments of more than half of the members within 2 s.
bool platform_is_down(const cluster_sight& sight, steady_time now)
{
    if (!sight.members_known || sight.reaches_platform) {
        return false;
    }
    int heard = 1;
    // A restarted entry may know fewer members than those it hears.
    int members = static_cast<int>(sight.others.size()) + 1;
    for (const auto& other : sight.others) {
        if (!within(other.heard_at, now, max_view_age)) {
            continue;
        }
        if (other.reaches_platform) {
            return false;
        }
        ++heard;
        members = std::max(members, other.known_members);
    }
    return heard * 2 > members;
}

} // namespace

bool within(const std::optional<steady_time>& time, steady_time now,
            std::chrono::milliseconds limit)
{
    return time && now - *time <= limit;
}

send_decision decide_sending(const cluster_sight& sight, steady_time now)
{
    if (!sight.configuration_known) {
        return send_decision::no_configuration;
    }
    if (!sight.view_confirmed_at) {
        return send_decision::no_view;
    }
    if (within(sight.view_confirmed_at, now, max_view_age)) {
        return send_decision::fresh_view;
    }
    return platform_is_down(sight, now) ? send_decision::platform_down : send_decision::stale_view;
}

const char* to_text(send_decision decision)
{
    switch (decision) {
    case send_decision::fresh_view:
        return "fresh_view";
    case send_decision::platform_down:
        return "platform_down";
    case send_decision::no_configuration:
        return "no_configuration";
    case send_decision::no_view:
        return "no_view";
    case send_decision::stale_view:
        return "stale_view";
    }
    return "unknown";
}

bool is_alive(const member_sight& sight, steady_time now)
{
    return within(sight.heard_at, now, failure_detection_time);
}

} // namespace jl::cluster
