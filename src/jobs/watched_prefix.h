#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Follows the store's items under a prefix and reports their changes. It uses a watch and also
// reads the whole prefix periodically, because a watch can miss events or lose its connection
// without an error.
//
//   watched_prefix workers(timers, store, "servers/", 1000ms, {on_change, on_synced});
//
// Not thread-safe.
class watched_prefix {
public:
    struct callbacks {
        // An item was written (revision > 0) or removed (revision 0).
        std::function<void(const store_item&)> changed;
        // A read of the whole prefix has been applied.
        std::function<void()> synced;
    };

    watched_prefix(net::timer_service& timers, store_port& store, std::string prefix,
                   milliseconds resync_period, callbacks callbacks);
    ~watched_prefix();
    watched_prefix(const watched_prefix&) = delete;
    watched_prefix& operator=(const watched_prefix&) = delete;

    void set_resync_period(milliseconds period) { resync_period_ = period; }
    // When the request of the last successful full read was sent; the epoch if there was none.
    net::boot_time last_sync() const { return last_sync_; }

private:
    void schedule_resync(milliseconds delay);
    void resync();
    void apply_listing(const store_listing& listing);
    void watch();
    void apply_item(const store_item& item);

    net::timer_service& timers_;
    store_port& store_;
    std::string prefix_;
    milliseconds resync_period_;
    callbacks callbacks_;
    std::map<std::string, std::int64_t> revisions_; // by key
    std::int64_t applied_revision_ = 0; // all events up to this store revision have been applied
    net::boot_time last_sync_{};
    bool watching_ = false;
    bool resyncing_ = false;
    net::timer_service::timer_id resync_timer_ = 0;
    net::timer_service::timer_id watch_timer_ = 0; // starts the next watch
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
