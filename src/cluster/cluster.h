#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "base/settings.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "peers/peer_transport.h"
#include "platform/platform.h"
#include "records/records.h"
#include "store/key_value_store.h"
#include "store/role.h"

namespace jl::cluster {

struct cluster_options {
    // Written to /jl/members/. Other entries connect to `peer_address`.
    records::member_record member;
    // Address for links of other entries and of attached processes. Without it the entry has no
    // links and works from the store and the VM list alone.
    std::optional<endpoint> peer_listen;
    // A third of the lease's TTL.
    std::chrono::milliseconds lease_renewal{1666};
    // Polling by the two members that poll the VM list.
    std::chrono::milliseconds vm_list_poll{500};
    std::chrono::milliseconds members_poll{4000};
    // Polls of configuration and VM records, a backup for watches and links on every entry.
    std::chrono::milliseconds min_backup_poll{8000};
    std::chrono::milliseconds max_backup_poll{12000};
    // Limit of each call to the store or the VM list.
    std::chrono::milliseconds call_limit{1000};
    double budget_bytes_per_second = 3000;
};

// Makes the cluster state of an entry. The arguments must outlive the result. start() begins to
// renew `lease`, which no one else may renew, and throws std::runtime_error if the address for
// links cannot be bound. Destruction ends all threads.
//
// Sources and handlers are called from the cluster's threads. Setting an empty one waits for calls
// in progress, so that their objects may be destroyed before the cluster state.
//
// A drain is acknowledged from vms() and the in-flight source. The caller of vms() must therefore
// count a request as in flight before it checks vms() for the last time before sending.
std::unique_ptr<cluster_state> make_cluster(store::key_value_store& store,
                                            store::process_lease& lease, platform::vm_list& list,
                                            const clock_source& clock, metrics& metrics,
                                            cluster_options options);

// Attaches a jl-planner or jl-admin to the jl-entry of its VM. `name` is unique among the
// processes attached to that entry. The view is empty until the entry has answered once; after the
// link is lost, it stays and its members turn not alive.
std::unique_ptr<cluster_observer> make_attached_observer(const endpoint& entry,
                                                         const std::string& name,
                                                         const clock_source& clock,
                                                         metrics& metrics);

} // namespace jl::cluster
