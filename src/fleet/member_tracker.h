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

// Remembers every entry process that may still have work at a VM. A process without a lease is
// provably silent only after the silence limit. Processes are tracked by standby planners too, so
// that a takeover does not start the wait again; those that left before this planner started are
// known from their keys below /jl/entries/.
//
//   tracker.observe(observer.members(), now);
//   snapshot.entries = tracker.entries(observer.members(), now, acknowledgment, silence);
//
// Not thread-safe; used by the planner's thread.
class member_tracker {
public:
    // Members known to the local entry; each counts as holding its lease now.
    void observe(const std::vector<cluster::member_status>& members, steady_time now);
    // Processes (records::process_name) that hold a lease according to the store, the authority.
    void observe_leases(const std::set<std::string>& processes, steady_time now);
    // All processes with a key below /jl/entries/. One that was not known before may have held its
    // lease until now; one that has no key and is not alive has no work at any target and is
    // forgotten. An alive one without a key has not been able to register yet.
    void observe_processes(const std::set<std::string>& processes,
                           const std::vector<cluster::member_status>& members, steady_time now);

    // Processes that have been without a lease for `silence`, so their keys can be removed.
    std::vector<std::string> silent(steady_time now, std::chrono::milliseconds silence) const;

    std::vector<decisions::entry_view> entries(const std::vector<cluster::member_status>& members,
                                               steady_time now,
                                               std::chrono::milliseconds acknowledgment,
                                               std::chrono::milliseconds silence) const;

private:
    std::map<std::string, steady_time> last_leased_; // by process
};

} // namespace jl::fleet
