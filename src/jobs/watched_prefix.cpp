#include "jobs/watched_prefix.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A watch that was cut without a sign is noticed after this time and the slack of its exchange.
constexpr auto watch_wait = 3000ms;
constexpr auto retry_delay = 250ms;
// Events that follow each other within this time are collected by one call.
constexpr auto watch_interval = 60ms;
// A long prefix is read in full less often: its watch tells the changes meanwhile.
constexpr auto resync_period_per_item = 2ms;

} // namespace

watched_prefix::watched_prefix(net::timer_service& timers, store_port& store, std::string prefix,
                               milliseconds resync_period, callbacks callbacks)
    : timers_(timers),
      store_(store),
      prefix_(std::move(prefix)),
      resync_period_(resync_period),
      callbacks_(std::move(callbacks))
{
    resync();
}

watched_prefix::~watched_prefix()
{
    *alive_ = false;
    timers_.cancel(resync_timer_);
    timers_.cancel(watch_timer_);
}

void watched_prefix::resync_after(milliseconds delay)
{
    timers_.cancel(resync_timer_);
    resync_timer_ = timers_.call_after(delay, [this] { resync(); });
}

void watched_prefix::resync()
{
    const auto sent = timers_.now();
    resyncing_ = true;
    store_.list(prefix_, [this, sent, alive = alive_](const store_result<store_listing>& result) {
        if (!*alive) {
            return;
        }
        resyncing_ = false;
        if (result.value) {
            last_sync_ = sent;
            apply_listing(*result.value);
        }
        if (!*alive) {
            return;
        }
        const auto period = std::max<milliseconds>(
            resync_period_, resync_period_per_item * static_cast<int>(revisions_.size()));
        resync_after(result.value ? period : milliseconds(retry_delay));
    });
}

void watched_prefix::apply_listing(const store_listing& listing)
{
    // Events newer than this listing may have been applied already; pages are no snapshot, so a
    // key is taken for removed only if nothing newer is known of it.
    const auto alive = alive_;
    const bool overtaken = listing.at < at_;
    std::set<std::string> present;
    for (const auto& item : listing.items) {
        present.insert(item.key);
        const bool removed_since =
            overtaken && item.revision <= at_ && revisions_.count(item.key) == 0;
        if (!removed_since) {
            apply(item);
        }
        if (!*alive) {
            return;
        }
    }
    std::vector<std::string> absent;
    for (const auto& [key, revision] : revisions_) {
        if (present.count(key) == 0 && revision <= listing.at) {
            absent.push_back(key);
        }
    }
    for (const auto& key : absent) {
        store_item removed;
        removed.key = key;
        apply(removed);
        if (!*alive) {
            return;
        }
    }
    at_ = std::max(at_, listing.at);
    callbacks_.synced();
    if (*alive) {
        watch();
    }
}

void watched_prefix::apply(const store_item& item)
{
    const auto known = revisions_.find(item.key);
    if (item.revision == 0) {
        if (known != revisions_.end()) {
            revisions_.erase(known);
            callbacks_.changed(item);
        }
        return;
    }
    if (known != revisions_.end() && known->second >= item.revision) {
        return;
    }
    revisions_[item.key] = item.revision;
    callbacks_.changed(item);
}

void watched_prefix::watch()
{
    if (watching_) {
        return;
    }
    watching_ = true;
    timers_.cancel(watch_timer_);
    store_.watch(prefix_, at_, watch_wait,
                 [this, alive = alive_](const store_result<store_listing>& result) {
                     if (!*alive) {
                         return;
                     }
                     watching_ = false;
                     if (!result.value) {
                         if (!resyncing_) {
                             resync_after(retry_delay); // which starts a new watch
                         }
                         return;
                     }
                     const bool quiet = result.value->items.empty();
                     if (result.value->at >= at_) {
                         at_ = result.value->at;
                         for (const auto& item : result.value->items) {
                             apply(item);
                             if (!*alive) {
                                 return;
                             }
                         }
                     }
                     if (quiet) {
                         watch();
                         return;
                     }
                     watch_timer_ = timers_.call_after(watch_interval, [this] { watch(); });
                 });
}

} // namespace jl::jobs
