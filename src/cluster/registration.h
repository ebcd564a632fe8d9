#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "records/records.h"
#include "store/key_value_store.h"
#include "store/role.h"

namespace jl::cluster {

// Keeps this entry's record below /jl/members/ while its process lease lives. Thread-safe.
class registration {
public:
    registration(store::key_value_store& store, store::process_lease& lease,
                 const clock_source& clock, metrics& metrics, records::member_record member,
                 std::chrono::milliseconds call_limit);

    // Renews the lease and writes the member record if the lease is new. Returns true if the store
    // answered and the record is in place.
    bool renew();

    // True once the member record has been written. Before, the planner does not know this process,
    // so it must not send work to targets.
    bool registered() const { return registered_; }

    // Removes the records at a graceful stop, after the last request has ended.
    void withdraw();

    // True once a process with the same member name and a later start has registered; this process
    // then never registers again.
    bool superseded() const { return superseded_; }

private:
    bool write_record();
    std::string process_key() const;

    store::key_value_store& store_;
    store::process_lease& lease_;
    const clock_source& clock_;
    metrics& metrics_;
    const records::member_record member_;
    const std::chrono::milliseconds call_limit_;
    std::int64_t registered_epoch_ = 0;
    std::atomic<bool> registered_{false};
    std::atomic<bool> superseded_{false};
};

} // namespace jl::cluster
