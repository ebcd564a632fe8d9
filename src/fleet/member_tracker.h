#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_state.h"
#include "decisions/drains.h"

namespace jl::fleet {

// Remembers every entry that may still send work to VMs. An entry without a lease is provably
// silent only after the silence limit, so entries are tracked by standby planners too: an active
// planner knows of those whose lease expired before it took the role.
//
//   tracker.observe(observer.members(), now);
//   snapshot.entries = tracker.entries(observer.members(), now, silence_limit);
//
// Not thread-safe; used by the planner's thread.
class member_tracker {
public:
    explicit member_tracker(steady_time started_at);

    // Members known to the local entry; each counts as holding its lease now.
    void observe(const std::vector<cluster::member_status>& members, steady_time now);
    // Members that hold a lease according to the store, the authority.
    void observe_leases(const std::set<std::string>& members, steady_time now);

    // Until the tracker has run for `silence`, the result contains an unknown entry, in place of
    // entries whose lease expired before it started.
    std::vector<decisions::entry_view> entries(const std::vector<cluster::member_status>& members,
                                               steady_time now,
                                               std::chrono::milliseconds acknowledgment,
                                               std::chrono::milliseconds silence) const;

private:
    steady_time started_at_;
    std::map<std::string, steady_time> last_leased_;
};

} // namespace jl::fleet
