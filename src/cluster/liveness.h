#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

// Decides from a snapshot and a time whether an entry may send work to targets and which members
// are alive. Pure functions: no I/O, clock or thread.
namespace jl::cluster {

// An entry with an older VM view does not send to targets (promise P6 and the drain rules).
inline constexpr std::chrono::milliseconds max_view_age{2000};
// A member that was not heard for this time is taken as not alive.
inline constexpr std::chrono::milliseconds failure_detection_time{3000};

// What this entry knows of another member. `heard_at` is a time of this entry's clock at or after
// which the member provably stated the rest: the time this entry sent the message that the member
// answered. The time of receipt would not do, since a message can wait in a buffer for long.
struct member_sight {
    std::string member;
    std::optional<steady_time> heard_at;
    bool reaches_platform = true;
    int known_members = 0; // that it knows itself, it included
};

struct cluster_sight {
    bool configuration_known = false;
    // Last confirmation of the VM view; empty until the VM list and the records have been read.
    std::optional<steady_time> view_confirmed_at;
    // The store or the VM list answers this entry itself.
    bool reaches_platform = false;
    // False until another member is known, or the records have been read late enough after the
    // start to hold those that started at the same time.
    bool members_known = false;
    // The last known members without this entry.
    std::vector<member_sight> others;
};

enum class send_decision {
    fresh_view,    // may send
    platform_down, // may send: most members are heard and none reaches the platform
    no_configuration,
    no_view,
    stale_view,
};

send_decision decide_sending(const cluster_sight& sight, steady_time now);

inline bool allows_sending(send_decision decision)
{
    return decision == send_decision::fresh_view || decision == send_decision::platform_down;
}

const char* to_text(send_decision decision);

bool is_alive(const member_sight& sight, steady_time now);

// True if `time` is known and at most `limit` ago.
bool within(const std::optional<steady_time>& time, steady_time now,
            std::chrono::milliseconds limit);

} // namespace jl::cluster
