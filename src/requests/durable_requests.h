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
    // Longest wait for the commit of a claim or an accepted request. A claim that is not confirmed
    // by then is not dispatched.
    std::chrono::milliseconds commit_limit{2000};
    // Longest wait of a keyed call for the commit of its answer; the commit goes on afterwards.
    std::chrono::milliseconds answer_limit{1000};
    // A deferred request expires if it has not started by its deadline, or after this time.
    std::chrono::milliseconds longest_wait{std::chrono::hours(24)};
    std::chrono::milliseconds rescan_period{5000}; // plus up to as much at random
    std::chrono::milliseconds role_period{1000};
    std::chrono::milliseconds retry_delay{200}; // after "not run" or an unknown idempotent attempt
    // All entries together send at most 90 group commits a second, which leaves room for lease
    // renewals and role changes below the 100 writes a second that the system may use.
    std::chrono::milliseconds window_per_member{11};
    std::size_t max_executions = 128; // deferred requests executed at a time by this process
    std::size_t max_loaded = 2048;    // deferred requests of one queue held in memory
    std::size_t max_loaded_bytes = 16U << 20U;
    std::size_t max_unsaved = 4096; // outcomes that wait for the store; then nothing more starts
    int max_attempts = 5;           // of an idempotent deferred request with unknown outcomes
    // False: no threads; the owner calls step(). Used by tests to control the order of events.
    bool background = true;
    std::uint64_t seed = 0; // of the jitter; 0: random
};

// Durable requests of one entry, which also owns the deferred queues that rendezvous hashing
// prefers it for. Registers itself for queue notices, so it is made before the cluster's start().
//
//   auto durable = make_durable_requests(store, lease, cluster, engine, clock, metrics, {});
//   auto result = durable->execute_once(call);   // blocks
//
// The process lease is renewed by its owner, not here. Thread-safe.
class durable_service : public durable_requests {
public:
    // Deferred requests not yet finished in a queue that this entry owns; 0 for other queues.
    virtual int backlog(const std::string& service) const = 0;
    // Without background threads: one round of role changes, scans, dispatches and commits.
    virtual void step() = 0;
};

std::unique_ptr<durable_service>
make_durable_requests(store::key_value_store& store, store::process_lease& lease,
                      cluster::cluster_state& cluster, call_engine& engine,
                      const clock_source& clock, metrics& metrics, const durable_options& options);

} // namespace jl::requests
