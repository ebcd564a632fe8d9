#pragma once

#include <cstdint>
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

// Writes the leader's records, many in one transaction, each on the condition that the leader key
// and the record are unchanged. So a write without an answer, which may be carried out seconds
// later, can never replace a newer record or that of a newer leader.
//
//   record_writer writer(timers, store, leader_condition, {...});
//   writer.mark("jl/job/1"); // writes what `encode` returns for the key, soon
//
// Not thread-safe.
class record_writer {
public:
    struct record {
        std::string value;
        std::int64_t version = 0; // reported back by `durable`
        bool removed = false;     // the key is to be deleted
    };
    struct callbacks {
        // The present content of a record; nothing if it need not be written any more.
        std::function<std::optional<record>(const std::string& key)> encode;
        // Version `version` of the record is in the store, with all versions before it.
        std::function<void(const std::string& key, std::int64_t version)> durable;
        // All keys of one transaction have been reported.
        std::function<void()> batch_done;
        std::function<void(store_error)> write_failed;
        // The leader key has changed.
        std::function<void()> fenced;
    };

    record_writer(net::timer_service& timers, store_port& store, store_condition leader,
                  callbacks callbacks);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    // Tells the revision of a record read from the store.
    void set_revision(const std::string& key, std::int64_t revision);
    void mark(const std::string& key);
    bool idle() const { return dirty_.empty() && in_flight_ == 0; }
    // True while writes fail or stay unanswered.
    bool stalled() const { return failures_ > 0; }

private:
    struct written_record {
        std::string key;
        std::int64_t version = 0;
        bool removed = false;
    };

    void schedule(std::chrono::nanoseconds delay);
    void flush();
    void send_batch();
    void on_outcome(const std::vector<written_record>& batch,
                    const store_result<commit_outcome>& result);
    void adopt_revisions(const std::vector<written_record>& batch,
                         const std::vector<store_item>& current);

    net::timer_service& timers_;
    store_port& store_;
    store_condition leader_;
    callbacks callbacks_;
    std::set<std::string> dirty_;
    std::set<std::string> sending_;
    std::map<std::string, std::int64_t> revisions_; // by key; absent: the key does not exist
    int in_flight_ = 0;
    net::boot_clock::duration last_answer_took_{};
    int failures_ = 0;
    net::boot_time last_flush_{};
    net::timer_service::timer_id timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
