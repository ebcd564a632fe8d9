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

// Reads and writes of request records, shared by keyed calls and deferred queues.
namespace jl::requests::internal {

// A record as it was read from the store, with its revision. Later writes of the record are
// conditional on this revision.
struct stored_request {
    records::request_record record;
    std::int64_t revision = 0;
};

// The write that records the final state of a request, or cancels a claim. If the request was
// deferred, the same transaction removes it from its queue.
struct outcome_write {
    records::request_record record; // written to /jl/requests/<id>
    store::compare condition;
    std::string deferred_key_to_remove; // in the deferred queue; empty if there is none
    // Called once the store has answered: true if the record was written, false if the condition
    // did not hold.
    std::function<void(bool written)> done;
};

std::string request_key(const std::string& id);
std::string deferred_key(const std::string& service, const std::string& id);
// Hash of the service, content type and body of a call. Detects an idempotency key that is reused
// for another request.
std::uint64_t request_hash(const call& call);
// True for the record of a deferred request, false for that of a keyed call. Only deferred requests
// have an expiry time.
bool is_deferred(const records::request_record& record);
// True if an attempt of a queued request ended without an answer, so a target may have executed it.
bool may_have_run(const records::request_record& record);
records::request_record make_record(const call& call, const clock_source& clock);
// Returns the record with the given state, an empty body and a new write id.
records::request_record with_state(records::request_record record, records::request_state state);
// Returns the record in the state `answered` with the answer from `result`. An answer that is too
// large to store is replaced by an error answer.
records::request_record with_answer(records::request_record record, const call_result& result);

// Thread-safe.
class request_log {
public:
    request_log(store::key_value_store& store, cluster::cluster_state& cluster,
                const clock_source& clock, metrics& metrics, const durable_options& options);

    // Name and incarnation of this entry in the form of the `holder` field of records; empty until
    // this entry is a member.
    std::string own_holder_id();
    // True if that incarnation of the holder is certain to have ended. False if the store cannot be
    // read.
    bool holder_has_ended(const std::string& holder);

    store::group_commit& commits() { return commits_; }
    // Store lease that claims and answers are written under; nullopt while the store is
    // unreachable.
    std::optional<std::int64_t> lease() { return lease_.current(); }
    void forget_lease(std::int64_t lease) { lease_.forget(lease); }

    // Reads one key. Returns nullopt if the store is unreachable or the value is malformed, and a
    // record with revision 0 if the key is absent.
    std::optional<stored_request> read(const std::string& key);
    // Reads up to 128 keys in one call. Absent keys and malformed values are left out of the
    // result. Returns nullopt if the store is unreachable.
    std::optional<std::map<std::string, stored_request>> read(const std::vector<std::string>& keys);

    std::optional<store::range_result> scan(const store::range_request& request);

    // Starts the write of the outcome. If the store does not accept it, retry_unsaved() sends it
    // again. Must not be called from a callback of the group commit.
    void save(outcome_write write);
    // Queues the outcome for the next retry_unsaved(). May be called from a callback of the group
    // commit.
    void save_later(outcome_write write);
    // Like save(), but waits up to `limit` for the write. Returns true if it was committed by then.
    bool save_and_wait(outcome_write write, std::chrono::milliseconds limit);
    // Sends the outcomes again that could not be written.
    void retry_unsaved();
    // Number of outcomes that are not yet written to the store.
    std::size_t unsaved() const;

    const clock_source& clock() const { return clock_; }
    jl::metrics& counters() { return metrics_; }

private:
    using write_ptr = std::shared_ptr<outcome_write>;

    store::group_commit_options commit_options(const durable_options& options);
    // This entry may use one n-th of the write rate of all entries; returns n.
    std::size_t write_rate_divisor();
    void send(const write_ptr& write);
    void finish(const write_ptr& write, bool written);
    void queue_for_retry(const write_ptr& write);

    store::key_value_store& store_;
    cluster::cluster_state& cluster_;
    const clock_source& clock_;
    jl::metrics& metrics_;
    const bool background_;
    store::retention_lease lease_;
    mutable std::mutex mutex_; // rank 4
    std::string own_holder_id_;
    steady_time busy_since_; // time since which queues of this entry have been busy
    std::vector<write_ptr> writes_to_retry_;
    std::size_t unsaved_count_ = 0;
    store::group_commit commits_; // declared last because its callbacks use the members above
};

} // namespace jl::requests::internal
