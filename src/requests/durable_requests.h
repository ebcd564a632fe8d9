#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "requests/types.h"
#include "store/key_value_store.h"
#include "store/role.h"

namespace jl::requests {

struct durable_options {
    // Maximum wait for the commit of a claim or of an accepted request. If a claim is not known to
    // be committed by then, its request is not executed.
    std::chrono::milliseconds commit_timeout{2000};
    // Maximum time that a keyed call waits for the commit of its answer before it returns. The
    // write of the answer is still retried after that.
    std::chrono::milliseconds answer_commit_timeout{1000};
    // A deferred request expires if it has not started by its deadline or within this time after
    // its acceptance, whichever is earlier.
    std::chrono::milliseconds max_queue_time{std::chrono::hours(24)};
    std::chrono::milliseconds rescan_period{5000}; // plus a random delay of up to the same length
    std::chrono::milliseconds role_check_period{1000}; // maximum; the minimum is half of it
    // Delay before a deferred request is executed again after "not run", or after an unknown
    // outcome if it is idempotent.
    std::chrono::milliseconds retry_delay{200};
    // Minimum time between two group commits of this entry, per member. All entries together thus
    // send at most 90 group commits per second. The system may send 100 writes per second to the
    // store; the rest is for lease renewals and role changes.
    std::chrono::milliseconds window_per_member{11};
    std::size_t max_concurrent_executions = 128; // of deferred requests in this process
    std::size_t max_loaded_requests = 2048;      // deferred requests held in memory, per queue
    std::size_t max_loaded_bytes = 16U << 20U;   // bodies held in memory, per queue
    // While this many outcomes wait to be written to the store, no further request starts.
    std::size_t max_unsaved_outcomes = 4096;
    int max_attempts = 5; // of an idempotent deferred request while outcomes are unknown
    // If false, no threads are created and the caller drives all work with step(). Used by tests
    // to control the order of events.
    bool background = true;
    std::uint64_t seed = 0; // seed for jitter; 0 selects a random seed
};

// Implements durable requests for one entry. The entry also owns the deferred queues that
// rendezvous hashing assigns to it. The constructor registers a queue notice handler, so the object
// must be created before cluster_state::start() is called.
//
//   auto durable = make_durable_requests(store, lease, cluster, engine, clock, metrics, {});
//   auto result = durable->execute_once(call);   // blocks
//
// Does not renew the process lease; the caller must do that. Thread-safe.
class durable_service : public durable_requests {
public:
    // Returns the number of unfinished deferred requests in the queue of `service`, or 0 if this
    // entry does not own the queue.
    virtual int backlog(const std::string& service) const = 0;
    // Runs one round of role changes, scans, dispatches and commits. Only called if
    // durable_options::background is false.
    virtual void step() = 0;
};

std::unique_ptr<durable_service>
make_durable_requests(store::key_value_store& store, store::process_lease& lease,
                      cluster::cluster_state& cluster, call_engine& engine,
                      const clock_source& clock, metrics& metrics, const durable_options& options);

} // namespace jl::requests
