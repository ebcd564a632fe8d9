#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "records/records.h"
#include "requests/durable_requests.h"
#include "store/group_commit.h"
#include "store/key_value_store.h"
#include "store/retention_lease.h"

// Store traffic shared by keyed calls and deferred queues.
namespace jl::requests::internal {

// A record as it was read, with the revision that later writes compare.
struct stored_request {
    records::request_record record;
    std::int64_t revision = 0;
};

// The last write about a request, or of a claim that is given up.
struct final_write {
    records::request_record record; // written to /jl/requests/<id>
    store::compare condition;
    std::string removed_key; // of the deferred queue; empty: none
    // Called once with true if the record was written, false if the condition failed.
    std::function<void(bool written)> done;
};

std::string request_key(const std::string& id);
std::string deferred_key(const std::string& service, const std::string& id);
// Identifies what a key was used for: service, content type and body.
std::uint64_t request_hash(const call& call);
// Deferred requests always have an expiry, keyed calls never.
bool is_deferred(const records::request_record& record);
records::request_record make_record(const call& call, const clock_source& clock);
// The change of a record's state, with a new write id.
records::request_record with_state(records::request_record record, records::request_state state);
records::request_record with_answer(records::request_record record, const call_result& result);

// Thread-safe.
class request_log {
public:
    request_log(store::key_value_store& store, cluster::cluster_state& cluster,
                const clock_source& clock, metrics& metrics, const durable_options& options);

    // Name and incarnation of this entry as written into records; empty until it is a member.
    std::string holder();
    // True if the holder's incarnation has ended for certain. False if the store cannot be read.
    bool holder_gone(const std::string& holder);

    store::group_commit& commits() { return commits_; }
    // Lease for claims and answers; nothing while the store is unreachable.
    std::optional<std::int64_t> lease() { return lease_.current(); }
    void forget_lease(std::int64_t lease) { lease_.forget(lease); }

    // Reads one key. Nothing: the store is unreachable or the value is malformed. An absent key
    // gives a record with revision 0.
    std::optional<stored_request> read(const std::string& key);
    // Reads up to 128 keys in one call; absent keys are left out of the result.
    std::optional<std::map<std::string, stored_request>> read(const std::vector<std::string>& keys);

    std::optional<store::range_result> scan(const store::range_request& request);

    // Writes the outcome and repeats it until the store has answered. Must not be called from a
    // callback of the group commit.
    void save(final_write write);
    // Queues the outcome for the next retry_unsaved(); may be called from callbacks.
    void save_later(final_write write);
    // Like save(), and waits up to `limit`. Returns true if it was written by then.
    bool save_and_wait(final_write write, std::chrono::milliseconds limit);
    void retry_unsaved();
    // Outcomes that the store has not taken yet.
    std::size_t unsaved() const;

    const clock_source& clock() const { return clock_; }
    jl::metrics& counters() { return metrics_; }

private:
    using write_ptr = std::shared_ptr<final_write>;

    store::group_commit_options commit_options(const durable_options& options);
    // The n of "one n-th of the write rate of all entries is ours".
    std::size_t write_share();
    void send(const write_ptr& write);
    void finish(const write_ptr& write, bool written);
    void keep(const write_ptr& write);

    store::key_value_store& store_;
    cluster::cluster_state& cluster_;
    const clock_source& clock_;
    jl::metrics& metrics_;
    const bool background_;
    store::retention_lease lease_;
    mutable std::mutex mutex_; // rank 4
    std::string holder_;
    steady_time busy_since_; // own queues have been busy since then
    std::vector<write_ptr> kept_;
    std::size_t unsaved_ = 0;
    store::group_commit commits_; // last: its callbacks use the members above
};

} // namespace jl::requests::internal
