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

// How the store treats the calls of one process.
enum class store_mode {
    serving,
    silent,     // calls get no answer and are not carried out
    refusing,   // calls are refused at once
    answer_lost // calls are carried out and get no answer
};

// The platform's store in memory, shared by the ports of several processes.
class fake_store {
public:
    explicit fake_store(net::timer_service& timers) : timers_(timers) {}

    // The port of one process; its mode can be changed at any time. It lives as long as the store,
    // since calls under way outlive the process.
    class port;
    port& connect();

    // Writes as an operator or a worker does: at once and without condition.
    std::int64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    const store_item* find(const std::string& key) const;
    std::size_t transactions() const { return transactions_; }
    // No lease ends while this holds, as in a store that is down; those left run on afterwards.
    void pause_leases(bool paused);

private:
    struct lease_state {
        milliseconds ttl{0};
        net::boot_time ends{};
    };
    struct event {
        store_item item; // revision 0 in `item` with `at` set: removed
        std::int64_t at = 0;
    };
    struct waiting_watch {
        std::string prefix;
        std::int64_t after = 0;
        std::function<void(const store_listing&)> answer;
    };

    void expire_leases();
    void note(const store_item& item, std::int64_t at);
    void wake_watches();
    store_listing events_after(const std::string& prefix, std::int64_t after) const;
    commit_outcome apply(const store_transaction& transaction, bool& lease_missing);

    net::timer_service& timers_;
    std::vector<std::shared_ptr<port>> ports_;
    std::map<std::string, store_item> items_;
    std::map<std::int64_t, lease_state> leases_;
    std::vector<event> events_;
    std::map<std::int64_t, waiting_watch> watches_;
    std::optional<net::boot_time> paused_since_; // leases run if there is none
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
    milliseconds timeout{300}; // after which a call without an answer is reported
    // Writes whose answers are lost are carried out only after this delay.
    milliseconds late_by{0};

    void get(const std::string& key, callback<store_item> done) override;
    void list(const std::string& prefix, callback<store_listing> done) override;
    void watch(const std::string& prefix, std::int64_t after, milliseconds wait,
               callback<store_listing> done) override;
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override;
    void grant_lease(milliseconds ttl, callback<store_lease> done) override;
    void renew_lease(std::int64_t lease, callback<milliseconds> done) override;
    void end_lease(std::int64_t lease, std::function<void()> done) override;

private:
    // Carries out `action` at the store and passes its result on, as the mode says.
    template <typename T>
    void call(std::function<store_result<T>()> action, callback<T> done);

    fake_store& store_;
};

} // namespace jl::jobs::testing
