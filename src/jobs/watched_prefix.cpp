#include "jobs/watched_prefix.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// The store answers a watch without events after this time. A lost connection that reports no error
// is therefore detected after this time plus the transport's timeout margin.
constexpr auto watch_timeout = 3000ms;
constexpr auto retry_delay = 250ms;
// Pause between two watch calls, so that one call returns all events of this time.
constexpr auto watch_batch_interval = 60ms;
// A prefix with many items is read in full less often; its watch reports changes in the meantime.
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

void watched_prefix::schedule_resync(milliseconds delay)
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
        schedule_resync(result.value ? period : milliseconds(retry_delay));
    });
}

void watched_prefix::apply_listing(const store_listing& listing)
{
    // Events newer than this listing may have been applied already. The pages of a listing are not
    // a consistent snapshot either, so a missing key counts as removed only if its known revision
    // is not newer than the listing.
    const auto alive = alive_;
    const bool listing_outdated = listing.at < applied_revision_;
    std::set<std::string> present;
    for (const auto& item : listing.items) {
        present.insert(item.key);
        const bool removed_since_listing = listing_outdated && item.revision <= applied_revision_ &&
                                           revisions_.count(item.key) == 0;
        if (!removed_since_listing) {
            apply_item(item);
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
        apply_item(removed);
        if (!*alive) {
            return;
        }
    }
    applied_revision_ = std::max(applied_revision_, listing.at);
    callbacks_.synced();
    if (*alive) {
        watch();
    }
}

void watched_prefix::apply_item(const store_item& item)
{
    if (item.key.compare(0, prefix_.size(), prefix_) != 0) {
        return;
    }
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
    store_.watch(prefix_, applied_revision_, watch_timeout,
                 [this, alive = alive_](const store_result<store_listing>& result) {
                     if (!*alive) {
                         return;
                     }
                     watching_ = false;
                     if (!result.value) {
                         if (!resyncing_) {
                             schedule_resync(retry_delay); // apply_listing() restarts the watch
                         }
                         return;
                     }
                     const bool no_events = result.value->items.empty();
                     if (result.value->at >= applied_revision_) {
                         applied_revision_ = result.value->at;
                         for (const auto& item : result.value->items) {
                             apply_item(item);
                             if (!*alive) {
                                 return;
                             }
                         }
                     }
                     if (no_events) {
                         watch();
                         return;
                     }
                     watch_timer_ = timers_.call_after(watch_batch_interval, [this] { watch(); });
                 });
}

} // namespace jl::jobs
