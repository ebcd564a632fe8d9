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

// The process that decides for the fleet.
struct leader_record {
    std::string node;
    endpoint address;       // where other processes send callers' requests
    std::int64_t term = 0;  // counts elections
    std::int64_t token = 0; // fencing token: store revision of the election, rises with each one

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
    // Wait before standing for election; lets the more capable machines go first.
    milliseconds candidacy_delay{0};
};

// Elects one leader through a leased key of the platform's store.
//
// The holder counts its lease from when it sent the renewal, on a clock that goes on during a
// suspension, so it stops before the store ends the lease. The store may take the key away earlier;
// the fencing token protects the workers then.
//
// A leader whose lease may have ended does nothing, but keeps asking for its key: a store that was
// out of reach for all has not ended the lease, and nobody else can have been elected meanwhile. It
// is deposed once the store tells that the lease has ended or the key is another's.
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
    // Gives up the leadership, if held, and stands for no further election.
    void resign();
    // Gives up because a newer leader was seen.
    void step_down(const std::string& reason);

    // True while the lease certainly holds. Asked right before each order.
    bool holds() const;
    // True while this process is the last leader known, but its lease may have ended.
    bool uncertain() const { return leading_ && !holds(); }
    // The last leader seen, possibly this process.
    const std::optional<leader_record>& leader() const { return leader_; }
    // Reads the leader again soon, because it does not answer.
    void refresh();

    static constexpr const char* leader_key = "jl/election/leader";
    static constexpr const char* term_key = "jl/election/term";
    static constexpr const char* prefix = "jl/election/";

private:
    void read();
    void on_read(const store_result<store_listing>& result);
    void watch(std::int64_t after);
    void read_later(milliseconds delay);
    void stand();
    void campaign(const store_lease& lease, net::boot_time granted);
    void finish_campaign(const store_result<commit_outcome>& result, const store_lease& lease,
                         net::boot_time granted);
    void schedule_renewal(milliseconds delay);
    void renew();
    void confirm_key();
    void send_renewal();
    void check_expiry();
    void learn(const std::optional<leader_record>& leader);
    void become_leader(const leader_record& record, const store_lease& lease,
                       net::boot_time granted);

    net::timer_service& timers_;
    store_port& store_;
    leadership_settings settings_;
    callbacks callbacks_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    std::optional<leader_record> leader_;
    std::int64_t term_ = 0;
    std::int64_t term_revision_ = 0;
    store_lease lease_;
    net::boot_time valid_until_{};
    bool leading_ = false;
    bool told_uncertain_ = false;
    bool resigned_ = false;
    bool standing_ = false; // a campaign is under way
    bool reading_ = false;
    bool watching_ = false;
    net::timer_service::timer_id read_timer_ = 0;
    net::timer_service::timer_id renewal_timer_ = 0;
    net::timer_service::timer_id expiry_timer_ = 0;
};

std::string encode_leader(const leader_record& record);
std::optional<leader_record> decode_leader(const store_item& item);

} // namespace jl::jobs
