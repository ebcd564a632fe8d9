#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "requests/durable_requests.h"
#include "requests/execution_pool.h"
#include "requests/request_log.h"
#include "store/role.h"

namespace jl::requests::internal {

// Objects shared by the deferred queues of one entry.
struct queue_context {
    request_log& log;
    store::process_lease& lease;
    cluster::cluster_state& cluster;
    call_engine& engine;
    execution_pool& executions;
    const durable_options& options;
    std::function<void()> wake; // requests a call of step() without waiting for the next period
    std::atomic<bool> stopping; // if true, no further request starts
};

// The deferred requests of one service while this entry owns their queue. Holds the first requests
// of the queue in memory and reads more as these finish.
//
// Before a non-idempotent request is executed, a start mark is written to the store: its record
// changes to the state `running` and names this entry as the holder. If the holder ends before it
// writes the outcome, the next owner sets the outcome to unknown instead of executing the request
// again.
//
// Thread-safe, but step() must be called by one thread only.
class deferred_queue : public std::enable_shared_from_this<deferred_queue> {
public:
    deferred_queue(queue_context& context, std::string service, std::uint64_t seed);

    // Name of the role whose holder owns the queue of `service`.
    static std::string role_of(const std::string& service);

    // Starts or stops dispatching as the owner. Executions in progress are not stopped.
    void set_owned(bool owned);
    bool owned() const;
    // True while start marks are being written. The role must not be released until their results
    // are known.
    bool has_pending_marks() const;
    // Schedules a scan because another entry has added requests.
    void request_scan();
    // Adds a request that this entry has accepted. If the limits on requests in memory are reached,
    // a later scan reads it instead.
    void add(stored_request request);
    // Removes a cancelled request from memory.
    void remove_cancelled(const std::string& id);
    // True if this entry has begun to start the request, so it can no longer be cancelled.
    bool started(const std::string& id) const;
    // Number of unfinished requests in the queue; 0 if this entry does not own it.
    int backlog() const;
    // Scans the queue if a scan is due, and expires or dispatches requests.
    void step();
    // Returns requests to the queue that have a start mark but are not being executed, so that the
    // next owner can execute them.
    void return_marked_to_queue();

private:
    // waiting: may be dispatched. marking: the start mark is being written. started: passed to the
    // execution pool, or being returned to the queue. finishing: the outcome is being written.
    // removed: no longer in items_.
    enum class phase { waiting, marking, started, finishing, removed };

    struct item {
        stored_request stored;
        phase state = phase::waiting;
        bool marked = false;              // the stored record has this entry's start mark
        std::string body;                 // set for a marked request, whose record has no body
        std::int64_t mark_epoch = 0;      // epoch of the process lease when the mark was written
        std::uint64_t last_seen_pass = 0; // last scan pass that read the request
        std::size_t body_bytes = 0;
        steady_time not_before;
    };
    using item_ptr = std::shared_ptr<item>;

    bool scan_due() const;
    void scan();
    void load_record(const store::key_value& value);
    void load_started(const std::string& key, stored_request stored);
    void remove_unseen();
    void dispatch();
    item_ptr take_next_ready();
    void start(const item_ptr& item);
    void write_start_mark(const item_ptr& item);
    void on_mark_result(const item_ptr& item, const store::change_result& result);
    void post(const item_ptr& item);
    void execute(const item_ptr& item);
    bool may_execute(const item& item) const;
    call make_call(const item& item) const;
    bool count_repetition(const item_ptr& item);
    bool count_attempt(const item_ptr& item);
    bool record_attempt(item& item);
    void finish(const item_ptr& item, records::request_record outcome);
    void retry_after_delay(const item_ptr& item, std::chrono::milliseconds delay);
    void return_to_queue(const item_ptr& item);
    void expire(const item_ptr& item);
    bool expired(const records::request_record& record) const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds delay);

    void on_team_refused(const std::string& team);
    void on_team_ran(const std::string& team);

    // The following require mutex_.
    bool refused_limit_reached(const std::string& team) const;
    void insert(stored_request stored);
    void remove(const item_ptr& item);
    bool full() const;

    queue_context& context_;
    const std::string service_;
    const std::string prefix_;

    mutable std::mutex mutex_; // rank 4
    bool owned_ = false;
    std::map<std::string, item_ptr> items_;
    std::map<std::string, std::deque<item_ptr>> ready_by_team_;
    std::string last_team_;
    std::map<std::string, std::size_t> loaded_by_team_; // number of requests in items_
    // Teams whose last request was not run, for example because of their quota. Only a few of their
    // requests are held in memory, to leave space for the requests of other teams.
    std::set<std::string> refused_teams_;
    std::multimap<steady_time, item_ptr> delayed_;
    std::size_t loaded_bytes_ = 0;
    std::size_t pending_marks_ = 0;
    std::size_t pending_marks_limit_;
    bool limit_reached_ = false; // pending_marks_ has reached the limit since it was last 0
    std::size_t started_count_ = 0;
    std::int64_t backlog_ = 0;
    std::mt19937_64 random_;

    // Scan state. A pass reads the whole queue once, page by page.
    std::uint64_t scan_pass_ = 1;
    std::string cursor_;        // last key read; if empty, the next scan starts at the first key
    bool more_to_read_ = false; // the queue has unread keys after the cursor
    bool scan_requested_ = false;
    bool pass_skipped_requests_ = false;  // this pass did not load some requests of refused teams
    bool page_inserted_requests_ = false; // the current page has added requests
    bool refilling_ = true;               // false from when memory is full until it is half empty
    std::int64_t page_size_ = 0;
    steady_time next_pass_;
    steady_time next_requested_scan_;
    steady_time next_read_;
    steady_time next_return_to_queue_;
    std::chrono::milliseconds read_backoff_{};
    std::map<std::string, bool>
        ended_holders_; // whether each holder looked up in this pass has ended
};

} // namespace jl::requests::internal
