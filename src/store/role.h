#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "base/time.h"
#include "store/key_value_store.h"

namespace jl::store {

// The lease of this process and the roles that it holds below /jl/owners/.
//
//   process_lease lease(store, clock, "entry-1", 5s);
//   lease.renew();                               // every third of the TTL
//   if (auto token = lease.acquire("planner")) { // create-if-absent
//       transaction.compares.push_back(lease.fence("planner", *token));
//   }
//
// The holder stops acting on a role when two thirds of the TTL have passed since the send time of
// its last successful renewal: valid() turns false without any call. Thread-safe.
class process_lease {
public:
    process_lease(key_value_store& store, const clock_source& clock, std::string holder,
                  std::chrono::seconds ttl);

    // Grants the lease or renews it. After expiry all roles are lost and a new lease is granted.
    bool renew();
    // True while the holder may act on its roles.
    bool valid() const;
    // Lease id to attach keys to; 0 before the first renewal.
    std::int64_t id() const;
    // Changes each time a new lease is granted; keys of the former lease are gone.
    std::int64_t epoch() const;

    // Returns the fencing token if this process holds the role, acquiring it if it is free.
    std::optional<std::int64_t> acquire(const std::string& role);
    // Token of a role that is held, without a store call.
    std::optional<std::int64_t> token(const std::string& role) const;
    // Gives up a role.
    void release(const std::string& role);
    // Condition that fails once another process has taken the role.
    static compare fence(const std::string& role, std::int64_t token);

private:
    bool release_is_open(const std::string& role, std::int64_t token) const;
    void send_release(const std::string& role, std::int64_t token);

    key_value_store& store_;
    const clock_source& clock_;
    const std::string holder_;
    const std::chrono::seconds ttl_;
    mutable std::mutex mutex_;
    std::int64_t lease_ = 0;
    std::int64_t epoch_ = 0;
    steady_time renewed_at_;
    std::map<std::string, std::int64_t> tokens_;
    // By role: the token whose release has no answer. It may take effect at any time, so the role
    // is not held with this token again.
    std::map<std::string, std::int64_t> open_releases_;
};

} // namespace jl::store
