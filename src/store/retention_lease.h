#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

#include "base/time.h"
#include "store/key_value_store.h"

namespace jl::store {

// Lease that ends the retention of keys, shared by all keys written within one rotation period.
// A key attached to it lives for `retention` to `retention + rotation`, without a delete.
// Thread-safe.
class retention_lease {
public:
    retention_lease(key_value_store& store, const clock_source& clock,
                    std::chrono::seconds retention = std::chrono::hours(24),
                    std::chrono::seconds rotation = std::chrono::hours(1));

    // Lease to attach keys to; grants one at the first use and once per rotation. Nothing if the
    // store cannot be reached and there is no lease that lasts long enough.
    std::optional<std::int64_t> current();
    // Forgets a lease that the store does not know any more.
    void forget(std::int64_t lease);

private:
    key_value_store& store_;
    const clock_source& clock_;
    const std::chrono::seconds retention_;
    const std::chrono::seconds rotation_;
    // Records the result of a grant; requires mutex_.
    void keep(const std::optional<std::int64_t>& granted, steady_time sent_at);

    std::mutex mutex_;
    std::condition_variable granted_;
    bool granting_ = false; // one grant at a time
    steady_time retry_at_;
    std::chrono::milliseconds retry_delay_{};
    std::mt19937_64 random_;
    std::int64_t lease_ = 0;
    steady_time granted_at_;
};

} // namespace jl::store
