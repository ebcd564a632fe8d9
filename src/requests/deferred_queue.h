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

// What the queues of one entry share.
struct queue_context {
    request_log& log;
    store::process_lease& lease;
    cluster::cluster_state& cluster;
    call_engine& engine;
    execution_pool& executions;
    const durable_options& options;
    std::function<void()> wake; // asks for a step soon
    std::atomic<bool> stopping; // nothing more starts
};

// The deferred requests of one service while this entry owns its queue. Holds the head of the
// queue in memory and reads on as requests finish. Thread-safe; step() is called by one thread.
class deferred_queue : public std::enable_shared_from_this<deferred_queue> {
public:
    deferred_queue(queue_context& context, std::string service, std::uint64_t seed);

    static std::string role_of(const std::string& service);

    // Starts or ends work as the owner. Executions in progress go on after the end.
    void set_owned(bool owned);
    bool owned() const;
    // True while start marks wait for the store; the role is kept until they are settled.
    bool marking() const;
    // Requests were added by another entry.
    void notice();
    // Adds a request that this entry has accepted, if there is room.
    void add(stored_request request);
    // Forgets requests that were cancelled.
    void forget(const std::string& id);
    // True if the request has been handed to the engine here.
    bool started(const std::string& id) const;
    int backlog() const;
    // Reads, expires and dispatches what is due.
    void step();
    // Returns requests that are marked as started, but have not been handed to a target, to the
    // queue, for the next owner.
    void unmark_all();

private:
    // waiting: may be picked. marking: its start mark is being written. started: handed to the
    // execution pool or the engine. finishing: its outcome is being written.
    enum class phase { waiting, marking, started, finishing, gone };

    struct item {
        stored_request stored;
        phase state = phase::waiting;
        bool marked = false;    // the record carries this entry's start mark
        std::string body;       // kept for a marked request, whose record has none
        std::int64_t epoch = 0; // of the process lease when marked
        std::uint64_t pass = 0; // last scan that saw it
        int attempts = 0;
        std::size_t bytes = 0;
        steady_time not_before;
    };
    using item_ptr = std::shared_ptr<item>;

    bool scan_due() const;
    void scan();
    void load(const store::key_value& value);
    void load_started(const std::string& key, stored_request stored);
    void end_pass();
    void dispatch();
    item_ptr pick();
    void start(const item_ptr& item);
    void mark(const item_ptr& item);
    void marked(const item_ptr& item, const store::change_result& result);
    void post(const item_ptr& item);
    void execute(const item_ptr& item);
    bool may_execute(const item& item) const;
    call make_call(const item& item) const;
    void finish(const item_ptr& item, records::request_record outcome);
    void try_later(const item_ptr& item, std::chrono::milliseconds delay);
    void unmark(const item_ptr& item);
    void expire(const item_ptr& item);
    bool expired(const records::request_record& record) const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds delay);

    void note_refused(const std::string& team);
    void note_run(const std::string& team);

    // The following require mutex_.
    bool skips(const std::string& team) const;
    void insert(stored_request stored);
    void remove(const item_ptr& item);
    bool full() const;

    queue_context& context_;
    const std::string service_;
    const std::string prefix_;

    mutable std::mutex mutex_; // rank 4
    bool owned_ = false;
    std::map<std::string, item_ptr> items_;
    std::map<std::string, std::deque<item_ptr>> ready_; // by team
    std::string last_team_;
    std::map<std::string, std::size_t> loaded_; // requests in items_ by team
    // Teams whose last request was refused, e.g. by their quota. Few of their requests are kept in
    // memory, so that those of other teams are read.
    std::set<std::string> refused_;
    std::multimap<steady_time, item_ptr> delayed_;
    std::size_t bytes_ = 0;
    std::size_t marking_ = 0;
    std::size_t marking_limit_;
    bool limited_ = false; // marks of the present commit have reached the limit
    std::size_t started_ = 0;
    std::int64_t backlog_ = 0;
    std::mt19937_64 random_;

    // Scan state.
    std::uint64_t pass_ = 1;
    std::string cursor_;   // last key read; empty: the start of the queue
    bool reading_ = false; // keys after the cursor have not been read yet
    bool noticed_ = false;
    bool skipped_ = false;  // this pass has left out requests of refused teams
    bool inserted_ = false; // the present page has added requests
    bool refilling_ = true; // false after the window was full until it is half empty
    std::int64_t page_ = 0;
    steady_time next_pass_;
    steady_time next_notice_;
    steady_time next_read_;
    steady_time next_unmark_;
    std::chrono::milliseconds read_backoff_{};
    std::map<std::string, bool> gone_; // holders looked up during this pass
};

} // namespace jl::requests::internal
