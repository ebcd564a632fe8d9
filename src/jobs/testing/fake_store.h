#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs::testing {

// How the store handles the calls of one process.
enum class store_mode {
    serving,     // calls are executed and answered
    unreachable, // calls are neither executed nor answered
    refusing,    // calls fail at once without being executed
    answer_lost  // calls are executed, but their answers are lost
};

// In-memory fake of the platform's store, shared by several simulated processes. Each process uses
// a port of its own.
class fake_store {
public:
    explicit fake_store(net::timer_service& timers) : timers_(timers) {}

    // Returns a new port for one process. Its mode can be changed at any time. The port lives as
    // long as the store, because pending calls can outlive the process.
    class port;
    port& connect();

    // Writes as an operator or a worker does: immediately and without conditions.
    std::int64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    const store_item* find(const std::string& key) const;
    // Number of transactions executed so far, including those whose conditions failed.
    std::size_t transactions() const { return transactions_; }
    // While paused, no lease expires, as in a store that is down. When the pause ends, each lease
    // has the time left that it had at the start of the pause.
    void pause_leases(bool paused);

private:
    struct lease_state {
        milliseconds ttl{0};
        net::boot_time expires_at{};
    };
    struct event {
        store_item item;     // its revision is 0 if the event is a removal
        std::int64_t at = 0; // store revision of the event
    };
    struct pending_watch {
        std::string prefix;
        std::int64_t after = 0;
        std::function<void(const store_listing&)> answer;
    };

    void expire_leases();
    void record_event(const store_item& item, std::int64_t at);
    void answer_watches();
    store_listing events_after(const std::string& prefix, std::int64_t after) const;
    commit_outcome apply(const store_transaction& transaction, bool& lease_missing);

    net::timer_service& timers_;
    std::vector<std::shared_ptr<port>> ports_;
    std::map<std::string, store_item> items_;
    std::map<std::int64_t, lease_state> leases_;
    std::vector<event> events_;
    std::map<std::int64_t, pending_watch> watches_;
    std::optional<net::boot_time> leases_paused_since_; // empty: leases are not paused
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1;
    std::int64_t next_watch_ = 1;
    std::size_t transactions_ = 0;
};

class fake_store::port final : public store_port {
public:
    explicit port(fake_store& store) : store_(store) {}

    store_mode mode = store_mode::serving;
    milliseconds latency{4};
    milliseconds timeout{300}; // a call without an answer fails after this time
    // Extra delay before the execution of a call in mode `answer_lost`.
    milliseconds lost_answer_delay{0};
    // Commits that write a key with this prefix are neither executed nor answered; empty: none.
    std::string lost_commits;
    std::map<std::string, milliseconds> list_delays; // extra delay of list(), by prefix

    void get(const std::string& key, callback<store_item> done) override;
    void list(const std::string& prefix, callback<store_listing> done) override;
    void watch(const std::string& prefix, std::int64_t after, milliseconds wait,
               callback<store_listing> done) override;
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override;
    void grant_lease(milliseconds ttl, callback<store_lease> done) override;
    void renew_lease(std::int64_t lease, callback<milliseconds> done) override;
    void end_lease(std::int64_t lease, std::function<void()> done) override;

private:
    // Executes `action` on the store and passes the result to `done`, subject to the mode.
    template <typename T>
    void call(std::function<store_result<T>()> action, callback<T> done);
    bool loses(const store_transaction& transaction) const;

    fake_store& store_;
};

} // namespace jl::jobs::testing
