#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Writes the leader's records to the store, many per transaction. Each write is conditional on the
// leader key and the record being unchanged. A write without an answer may be executed seconds
// later; the conditions ensure that it never replaces a newer record or a record of a newer leader.
// Records are written in the order in which they were marked. One pass encodes a limited number of
// bytes, and the next pass comes later the more there were.
//
//   record_writer writer(timers, store, leader_condition, {...});
//   writer.mark_dirty("jl/job/1"); // soon writes the value that `encode` returns for the key
//
// Not thread-safe.
class record_writer {
public:
    struct record {
        std::string value;
        std::int64_t version = 0; // reported back by `durable`
        bool removed = false;     // delete the key
    };
    struct callbacks {
        // Returns the current content of a record, or nothing if it no longer needs to be written.
        std::function<std::optional<record>(const std::string& key)> encode;
        // The store contains this version of the record; earlier versions need no write any more.
        std::function<void(const std::string& key, std::int64_t version)> durable;
        // `durable` has been called for all records of one transaction.
        std::function<void()> batch_done;
        std::function<void(store_error)> write_failed;
        // The leader key has changed, so this process is not the leader any more.
        std::function<void()> fenced;
    };

    record_writer(net::timer_service& timers, store_port& store, store_condition leader,
                  callbacks callbacks);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    // Sets the revision of a record that was read from the store; the next write is conditional on
    // it.
    void set_revision(const std::string& key, std::int64_t revision);
    // Schedules a write of the record.
    void mark_dirty(const std::string& key);
    bool all_written() const { return dirty_keys_.empty() && transactions_in_flight_ == 0; }
    // The store's revision of the last commit; 0 if there was none. It is lower than the token of
    // any later leader, because each commit depends on the leader key.
    std::int64_t newest_revision() const { return newest_revision_; }
    // True if the last transaction to finish failed or got no answer.
    bool writes_failing() const { return consecutive_failures_ > 0; }
    // How long transactions have got no answer; nothing if the last one to finish was answered.
    std::optional<net::boot_clock::duration> unanswered_for() const;

private:
    struct written_record {
        std::string key;
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    void add_dirty(const std::string& key);
    void schedule(std::chrono::nanoseconds delay);
    // Schedules the next pass as soon as the bytes of the last one allow.
    void schedule_next_pass();
    void flush();
    // Sends one transaction, with records until they have `max_bytes`. Returns their size.
    std::size_t send_batch(std::size_t max_bytes);
    void on_commit_result(const std::vector<written_record>& batch,
                          const store_result<commit_outcome>& result);
    // A condition of a transaction failed; `current` are the items that its conditions name.
    void on_conditions_unmet(const std::vector<written_record>& batch,
                             const std::vector<store_item>& current);
    // Takes over the present state of a record whose write was refused. Returns false if this
    // object was destroyed.
    bool adopt_current(const written_record& refused, const store_item* current);

    net::timer_service& timers_;
    store_port& store_;
    store_condition leader_condition_;
    callbacks callbacks_;
    std::set<std::string> dirty_keys_;
    std::deque<std::string> dirty_order_; // of the dirty keys, the first to be written in front
    std::set<std::string> keys_in_flight_;
    std::map<std::string, std::int64_t> revisions_; // by key; absent: the key does not exist
    // The last write of a record that got no answer, by key.
    std::map<std::string, written_record> unconfirmed_;
    std::int64_t newest_revision_ = 0;
    int transactions_in_flight_ = 0;
    net::boot_clock::duration last_commit_latency_{};
    int consecutive_failures_ = 0;
    std::optional<net::boot_time> unanswered_since_;
    net::boot_time last_flush_{};
    net::boot_time next_flush_{}; // the earliest time of the next pass
    net::timer_service::timer_id timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
