#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace jl::store {

enum class store_error_code {
    unavailable,     // the call did not take effect
    outcome_unknown, // no answer arrived; a write may have taken effect
    lease_not_found,
    compacted, // the revision a watch asked for is no longer kept
    refused,   // the store rejected the call, e.g. because it is too large
    malformed, // the answer could not be understood; a write may have taken effect
};

struct store_error {
    store_error_code code = store_error_code::unavailable;
    std::string message;
};

struct key_value {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

struct range_request {
    std::string key;
    std::string range_end;  // empty: only `key`
    std::int64_t limit = 0; // 0: no limit
};

struct range_result {
    std::int64_t revision = 0;
    std::vector<key_value> items;
    bool more = false;
    std::int64_t count = 0; // keys in the range, also beyond the limit
};

// A condition of a transaction: the revision of `key` equals `revision` (0: the key is absent).
struct compare {
    enum class field { create_revision, mod_revision };
    field compared = field::mod_revision;
    std::string key;
    std::int64_t revision = 0;
};

struct operation {
    enum class kind { put, remove, range };
    kind type = kind::put;
    std::string key;
    std::string value;
    std::string range_end;
    std::int64_t lease = 0;
};

compare key_absent(std::string key);
compare unchanged_since(std::string key, std::int64_t mod_revision);
compare created_at(std::string key, std::int64_t create_revision);
operation put(std::string key, std::string value, std::int64_t lease = 0);
operation remove(std::string key);
operation get(std::string key);

struct transaction {
    std::vector<compare> compares;
    std::vector<operation> on_success;
    std::vector<operation> on_failure;
};

struct transaction_result {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<range_result> ranges; // results of the range operations, in order
};

struct watch_event {
    enum class kind { put, remove };
    kind type = kind::put;
    key_value item;
};

// Called with the events of one revision or more in order. Called from the watch's own thread.
using watch_callback =
    std::function<void(const std::vector<watch_event>& events, std::int64_t revision)>;

// A watch in progress; destruction cancels it.
class watch {
public:
    virtual ~watch() = default;
    // False once the watch has ended (connection lost or compacted); the holder reads again and
    // starts a new one.
    virtual bool active() const = 0;
};

// Range end that selects all keys starting with `prefix`.
std::string prefix_end(std::string prefix);

// The platform's key-value service. Every call counts against the platform's rate limits.
//
//   auto result = store.commit({{key_absent(key)}, {put(key, value)}, {get(key)}}, deadline);
//   if (!result) { switch (last_error().code) ... }
//
// Implementations are thread-safe. Functions that return an empty optional or false leave the
// reason in last_error() of the calling thread.
class key_value_store {
public:
    virtual ~key_value_store() = default;

    virtual std::optional<range_result> range(const range_request& request,
                                              steady_time deadline) = 0;
    virtual std::optional<transaction_result> commit(const transaction& transaction,
                                                     steady_time deadline) = 0;
    virtual std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl,
                                                    steady_time deadline) = 0;
    // Returns the remaining time to live; fails with lease_not_found after expiry.
    virtual std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                           steady_time deadline) = 0;
    virtual bool revoke_lease(std::int64_t lease, steady_time deadline) = 0;
    // Watches [key, range_end) from `start_revision` on. Returns null on failure.
    virtual std::unique_ptr<watch> start_watch(const std::string& key, const std::string& range_end,
                                               std::int64_t start_revision,
                                               watch_callback callback) = 0;
};

// Reason of the last failed call of this thread, for implementations and their users.
const store_error& last_error();

namespace internal {
std::nullopt_t fail(store_error_code code, std::string message);
} // namespace internal

} // namespace jl::store
