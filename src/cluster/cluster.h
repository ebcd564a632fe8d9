#pragma once

#include <chrono>
#include <memory>

#include "base/metrics.h"
#include "base/settings.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "platform/platform.h"
#include "records/records.h"
#include "store/key_value_store.h"
#include "store/role.h"

namespace jl::cluster {

struct cluster_options {
    // Written to /jl/members/. Other entries connect to `peer_address`.
    records::member_record member;
    // A third of the lease's TTL.
    std::chrono::milliseconds lease_renewal{1666};
    std::chrono::milliseconds vm_list_poll{500};
    std::chrono::milliseconds vm_records_poll{500};
    std::chrono::milliseconds members_poll{1000};
    std::chrono::milliseconds configuration_poll{1000};
    // Limit of each call to the store or the VM list.
    std::chrono::milliseconds call_limit{1000};
};

// Makes the cluster state of an entry. The arguments must outlive the result. start() begins to
// renew `lease`, which no one else may renew. Destruction ends all threads.
std::unique_ptr<cluster_state> make_cluster(store::key_value_store& store,
                                            store::process_lease& lease, platform::vm_list& list,
                                            const clock_source& clock, metrics& metrics,
                                            cluster_options options);

} // namespace jl::cluster
