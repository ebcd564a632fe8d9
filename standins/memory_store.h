#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "store/key_value_store.h"

namespace jl::standins {

enum class store_fault {
    none,
    unavailable, // calls fail without effect
    lost_answer, // writes take effect, their answers are lost
};

// Counts of calls since the start, for measurements of store traffic.
struct store_counts {
    std::int64_t writes = 0; // transactions with a put or remove, lease grants and renewals
    std::int64_t reads = 0;
    std::int64_t watches_waiting = 0;
};

// In-memory key-value service with transactions, leases and watches: a fake for tests, and the
// content of the platform stand-in. Lease expiry follows the given clock; call expire_leases() or
// any other function to apply it. Thread-safe.
class memory_store final : public store::key_value_store {
public:
    explicit memory_store(const clock_source& clock = system_clock_source());
    ~memory_store() override;

    std::optional<store::range_result> range(const store::range_request& request,
                                             steady_time deadline) override;
    std::optional<store::transaction_result> commit(const store::transaction& transaction,
                                                    steady_time deadline) override;
    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl,
                                            steady_time deadline) override;
    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override;
    bool revoke_lease(std::int64_t lease, steady_time deadline) override;
    std::unique_ptr<store::watch> start_watch(const std::string& key, const std::string& range_end,
                                              std::int64_t start_revision,
                                              store::watch_callback callback) override;

    // Applies `fault` to the next `count` calls (count < 0: until changed).
    void inject(store_fault fault, int count = -1);
    store_counts counts() const;
    void expire_leases();

    static constexpr std::size_t max_value_bytes = 1U << 20U;
    static constexpr std::size_t max_operations = 128;

private:
    struct lease_state {
        std::chrono::seconds ttl{};
        steady_time expires_at;
        std::set<std::string> keys;
    };
    class memory_watch;

    // The following require mutex_.
    store_fault take_fault();
    bool holds(const store::compare& compare) const;
    store::range_result read(const std::string& key, const std::string& range_end,
                             std::int64_t limit) const;
    void write(const store::operation& operation, std::vector<store::watch_event>& events);
    void erase(const std::string& key, std::vector<store::watch_event>& events);
    void end_lease(std::int64_t lease, std::vector<store::watch_event>& events);
    void expire_leases_locked();
    void publish(std::vector<store::watch_event> events);

    const clock_source& clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, store::key_value> items_;
    std::map<std::int64_t, lease_state> leases_;
    // Events by revision, kept for watches that start in the past.
    std::map<std::int64_t, std::vector<store::watch_event>> history_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1000;
    store_fault fault_ = store_fault::none;
    int fault_calls_ = 0;
    store_counts counts_;
};

} // namespace jl::standins
