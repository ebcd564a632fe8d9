#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/settings.h"
#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// The elected leader, as its key in the store describes it.
struct leader_record {
    std::string node;
    endpoint address;      // to which other processes forward callers' requests
    std::int64_t term = 0; // number of the election
    // Fencing token: the store's revision at the election. Increases with each election.
    std::int64_t token = 0;

    bool operator==(const leader_record& other) const
    {
        return node == other.node && address == other.address && term == other.term &&
               token == other.token;
    }
};

struct leadership_settings {
    std::string node;
    endpoint address;
    milliseconds lease_ttl{2000};
    // Delay before a campaign; larger on less capable machines, so that more capable ones win.
    milliseconds candidacy_delay{0};
};

// Elects one leader: the process that creates a leased key in the platform's store.
//
// The leader counts its lease from the time at which it sent the renewal, on a clock that keeps
// running while the machine is suspended. It therefore stops acting before the store ends the
// lease. If the store removes the key earlier, the fencing token protects the workers.
//
// A leader whose lease may have ended does not act, but keeps reading its key: during an outage of
// the whole store the lease does not end and no other leader can be elected. The leader is deposed
// once the store reports that the lease has ended or that the key is no longer its own.
//
//   leadership election(timers, store, settings, {on_elected, on_deposed, on_leader_changed});
//   election.start();
//
// Not thread-safe; must outlive the callbacks of the store.
class leadership {
public:
    struct callbacks {
        std::function<void(const leader_record&)> elected;
        std::function<void(const std::string& reason)> deposed;
        std::function<void()> leader_changed;
    };

    leadership(net::timer_service& timers, store_port& store, leadership_settings settings,
               callbacks callbacks);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();
    // Gives up the leadership, if held, and starts no further campaign.
    void resign();
    // Gives up the leadership, if held, for example because a newer leader was seen. May be elected
    // again.
    void step_down(const std::string& reason);

    // True while the lease certainly holds. Must be checked right before each order.
    bool holds_lease() const;
    // True while this process is the last known leader but its lease may have ended.
    bool lease_uncertain() const { return leading_ && !holds_lease(); }
    // The last leader seen, possibly this process.
    const std::optional<leader_record>& leader() const { return leader_; }
    // Reads the leader's key again at once, for example because the leader does not answer.
    void refresh();

    static constexpr const char* leader_key = "jl/election/leader";
    static constexpr const char* term_key = "jl/election/term";
    static constexpr const char* prefix = "jl/election/";

private:
    void read_election();
    void on_read(const store_result<store_listing>& result);
    void watch(std::int64_t after);
    void schedule_read(milliseconds delay);
    void start_campaign();
    void claim_leader_key(const store_lease& lease, net::boot_time requested_at);
    void finish_campaign(const store_result<commit_outcome>& result, const store_lease& lease,
                         net::boot_time requested_at);
    void schedule_renewal(milliseconds delay);
    void renew();
    void verify_key_then_renew();
    void send_renewal();
    void update_lease_expiry();
    void update_known_leader(const std::optional<leader_record>& leader);
    void become_leader(const leader_record& record, const store_lease& lease,
                       net::boot_time requested_at);

    net::timer_service& timers_;
    store_port& store_;
    leadership_settings settings_;
    callbacks callbacks_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    std::optional<leader_record> leader_;
    std::int64_t term_ = 0;
    std::int64_t term_revision_ = 0;
    store_lease lease_;
    net::boot_time lease_valid_until_{};
    bool leading_ = false;
    bool logged_uncertain_ = false;
    bool resigned_ = false;
    bool campaigning_ = false;
    bool reading_ = false;
    bool watching_ = false;
    net::timer_service::timer_id read_timer_ = 0;
    net::timer_service::timer_id renewal_timer_ = 0;
    net::timer_service::timer_id expiry_timer_ = 0;
};

std::string encode_leader(const leader_record& record);
std::optional<leader_record> decode_leader(const store_item& item);

} // namespace jl::jobs
