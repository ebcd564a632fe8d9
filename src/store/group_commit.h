#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "store/key_value_store.h"

namespace jl::store {

// Writes of one request that take effect together or not at all. Every written value must be
// unique (it carries a write id), and at least one compare must fail once the writes have taken
// effect, so that sending the change again is harmless.
struct change {
    std::vector<compare> compares;
    std::vector<operation> writes;
    steady_time deadline; // not sent for the first time after this
    // Waits for an unavailable store to return instead of failing at once.
    bool persistent = false;
};

enum class change_outcome {
    committed,
    conflict,    // a compare failed; nothing was written
    not_applied, // nothing was written, see `error`
    unknown,     // may have been written; used only when the caller stops waiting or at shutdown
};

struct change_result {
    change_outcome outcome = change_outcome::unknown;
    std::int64_t revision = 0; // mod revision of the written keys
    // For conflicts: the present values of the compared and written keys that exist.
    std::vector<key_value> current;
    store_error error;
};

using change_callback = std::function<void(const change_result&)>;

struct group_commit_options {
    std::size_t max_operations = 128; // etcd's limit for each list of a transaction
    std::size_t max_bytes = 1U << 20U;
    std::size_t max_waiting = 8192;
    std::size_t max_waiting_bytes = 64U << 20U;
    // Time between transactions of this process for each member. With 10 ms, all members together
    // send at most 100 transactions a second.
    std::chrono::milliseconds window_per_member{10};
    std::function<std::size_t()> members; // number of live members; default 1
    std::chrono::milliseconds call_limit{1000};
    std::chrono::milliseconds min_backoff{100};
    std::chrono::milliseconds max_backoff{2000};
    // False: nothing is sent until flush() is called, and commit() flushes by itself.
    bool background = true;
    std::uint64_t seed = 0; // of the jitter; 0: random
};

// Combines the changes of many requests into few transactions.
//
//   group_commit commits(store, clock, options, metrics);
//   auto result = commits.commit({{key_absent(key)}, {put(key, value, lease)}, deadline});
//   if (result.outcome == change_outcome::committed) ...
//
// A change that conflicts does not fail the other changes of its transaction. A transaction whose
// answer is lost is sent again until its outcome is known: if it took effect the first time, its
// compares fail now and the values read back are our own. Thread-safe; callbacks run without locks
// on the flushing thread and must not block.
class group_commit {
public:
    group_commit(key_value_store& store, const clock_source& clock, group_commit_options options,
                 metrics& metrics);
    // Ends waiting changes: not_applied if they were never sent, otherwise unknown.
    ~group_commit();
    group_commit(const group_commit&) = delete;
    group_commit& operator=(const group_commit&) = delete;

    // Queues a change; `done` is called exactly once. False if the queue is full; then `done` is
    // not called.
    bool submit(change change, change_callback done);
    // Waits for the outcome until the change's deadline. If it is unknown by then, `late` is
    // called once it is known.
    change_result commit(change change, const change_callback& late = {});
    // Sends one transaction now if changes wait. Returns false if nothing was sent, also because
    // another thread is sending.
    bool flush();
    // Like flush(), but sends nothing before the next transaction is due.
    bool flush_if_due();
    std::size_t waiting() const;

private:
    struct entry {
        store::change change;
        change_callback done;
        std::size_t bytes = 0;
        bool sent = false;  // may have taken effect
        bool alone = false; // a transaction with this change was refused
    };
    using entry_ptr = std::shared_ptr<entry>;
    using batch = std::vector<entry_ptr>;
    class batch_limits;

    void run();
    entry_ptr enqueue(change change, change_callback done);
    bool withdraw(const entry_ptr& item);
    batch take_batch();
    // Removes changes that were never sent and meet the condition.
    batch take_if(const std::function<bool(const entry&)>& condition);
    batch take_expired();
    batch take_impatient();
    static transaction combine(const batch& items);
    void send(const batch& items);
    void settle(const batch& items, const transaction_result& result);
    void settle_failed(const batch& items, const store_error& error);
    void retry(const batch& items);
    void finish(const entry_ptr& item, const change_result& result);
    std::chrono::milliseconds window() const;
    void schedule_next(steady_time sent_at);

    key_value_store& store_;
    const clock_source& clock_;
    const group_commit_options options_;
    metrics& metrics_;
    mutable std::mutex mutex_; // rank 6
    std::condition_variable changed_;
    // Changes of a transaction that failed because of others, or whose answer was lost. They are
    // sent before new changes and not together with them, so that a new conflict cannot delay them
    // again.
    std::deque<entry_ptr> retries_;
    std::deque<entry_ptr> queue_;
    std::size_t waiting_ = 0;
    std::size_t waiting_bytes_ = 0;
    std::chrono::milliseconds backoff_{};
    steady_time due_; // of the next transaction
    std::mt19937_64 random_;
    bool stopping_ = false;
    bool flushing_ = false; // one transaction at a time
    std::thread thread_;
};

} // namespace jl::store
