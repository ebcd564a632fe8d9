#include "jobs/testing/fake_store.h"

#include <algorithm>
#include <utility>

namespace jl::jobs::testing {

namespace {

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

fake_store::port& fake_store::connect()
{
    ports_.push_back(std::make_shared<port>(*this));
    return *ports_.back();
}

std::int64_t fake_store::put(const std::string& key, const std::string& value)
{
    auto& item = items_[key];
    item.key = key;
    item.value = value;
    item.revision = ++revision_;
    item.lease = 0;
    record_event(item, revision_);
    answer_watches();
    return revision_;
}

void fake_store::remove(const std::string& key)
{
    if (items_.erase(key) != 0) {
        store_item removed;
        removed.key = key;
        record_event(removed, ++revision_);
        answer_watches();
    }
}

const store_item* fake_store::find(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

void fake_store::record_event(const store_item& item, std::int64_t at)
{
    events_.push_back({item, at});
}

store_listing fake_store::events_after(const std::string& prefix, std::int64_t after) const
{
    store_listing listing;
    listing.at = revision_;
    for (const auto& event : events_) {
        if (event.at > after && starts_with(event.item.key, prefix)) {
            listing.items.push_back(event.item);
        }
    }
    return listing;
}

void fake_store::answer_watches()
{
    std::vector<std::function<void()>> pending_answers;
    for (auto next = watches_.begin(); next != watches_.end();) {
        auto listing = events_after(next->second.prefix, next->second.after);
        if (listing.items.empty()) {
            ++next;
            continue;
        }
        pending_answers.emplace_back([answer = next->second.answer, listing] { answer(listing); });
        next = watches_.erase(next);
    }
    for (const auto& answer : pending_answers) {
        answer();
    }
}

void fake_store::pause_leases(bool paused)
{
    if (paused) {
        leases_paused_since_ = timers_.now();
        return;
    }
    const auto pause = timers_.now() - leases_paused_since_.value_or(timers_.now());
    leases_paused_since_.reset();
    for (auto& [id, lease] : leases_) {
        lease.expires_at += pause;
    }
}

void fake_store::expire_leases()
{
    if (leases_paused_since_) {
        return;
    }
    const auto now = timers_.now();
    for (auto next = leases_.begin(); next != leases_.end();) {
        if (next->second.expires_at > now) {
            ++next;
            continue;
        }
        const auto lease = next->first;
        next = leases_.erase(next);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
    }
}

commit_outcome fake_store::apply(const store_transaction& transaction, bool& lease_missing)
{
    ++transactions_;
    commit_outcome outcome;
    for (const auto& condition : transaction.conditions) {
        const auto* const item = find(condition.key);
        if ((item == nullptr ? 0 : item->revision) != condition.revision) {
            for (const auto& other : transaction.conditions) {
                if (const auto* const present = find(other.key)) {
                    outcome.current.push_back(*present);
                }
            }
            return outcome;
        }
    }
    for (const auto& write : transaction.writes) {
        if (write.lease != 0 && leases_.count(write.lease) == 0) {
            lease_missing = true;
            return outcome;
        }
    }
    outcome.committed = true;
    outcome.revision = ++revision_;
    for (const auto& write : transaction.writes) {
        auto& item = items_[write.key];
        item = {write.key, write.value, revision_, write.lease};
        record_event(item, revision_);
    }
    for (const auto& key : transaction.removals) {
        if (items_.erase(key) != 0) {
            store_item removed;
            removed.key = key;
            record_event(removed, revision_);
        }
    }
    timers_.defer([this] { answer_watches(); });
    return outcome;
}

template <typename T>
void fake_store::port::call(std::function<store_result<T>()> action, callback<T> done)
{
    auto& timers = store_.timers_;
    const auto report = [done](store_error error) {
        store_result<T> result;
        result.error = error;
        done(result);
    };
    switch (mode) {
    case store_mode::unreachable:
        timers.call_after(timeout, [report] { report(store_error::outcome_unknown); });
        return;
    case store_mode::refusing:
        timers.call_after(latency, [report] { report(store_error::unavailable); });
        return;
    case store_mode::answer_lost:
        timers.call_after(latency / 2 + lost_answer_delay, [this, action] {
            store_.expire_leases();
            action();
        });
        timers.call_after(timeout, [report] { report(store_error::outcome_unknown); });
        return;
    case store_mode::serving:
        timers.call_after(latency / 2, [this, action, done, &timers] {
            store_.expire_leases();
            const auto result = action();
            timers.call_after(latency / 2, [done, result] { done(result); });
        });
        return;
    }
}

void fake_store::port::get(const std::string& key, callback<store_item> done)
{
    call<store_item>(
        [this, key] {
            store_result<store_item> result;
            const auto* const item = store_.find(key);
            result.value = item == nullptr ? store_item{key, "", 0, 0} : *item;
            return result;
        },
        std::move(done));
}

void fake_store::port::list(const std::string& prefix, callback<store_listing> done)
{
    const auto delay = list_delays.find(prefix);
    if (delay != list_delays.end()) {
        done = [&timers = store_.timers_, wait = delay->second,
                done = std::move(done)](const store_result<store_listing>& result) {
            timers.call_after(wait, [done, result] { done(result); });
        };
    }
    call<store_listing>(
        [this, prefix] {
            store_result<store_listing> result;
            result.value.emplace();
            result.value->at = store_.revision_;
            for (const auto& [key, item] : store_.items_) {
                if (starts_with(key, prefix)) {
                    result.value->items.push_back(item);
                }
            }
            return result;
        },
        std::move(done));
}

void fake_store::port::watch(const std::string& prefix, std::int64_t after, milliseconds wait,
                             callback<store_listing> done)
{
    auto& timers = store_.timers_;
    if (mode != store_mode::serving) {
        timers.call_after(mode == store_mode::refusing ? latency : wait + timeout, [done] {
            store_result<store_listing> result;
            result.error = store_error::unavailable;
            done(result);
        });
        return;
    }
    const auto id = store_.next_watch_++;
    const auto answer = [this, done, &timers](const store_listing& listing) {
        timers.call_after(latency / 2, [this, done, listing] {
            store_result<store_listing> result;
            if (mode == store_mode::serving) {
                result.value = listing;
            }
            else {
                result.error = store_error::unavailable;
            }
            done(result);
        });
    };
    store_.watches_[id] = {prefix, after, answer};
    timers.call_after(wait, [this, id] {
        store_.expire_leases();
        const auto found = store_.watches_.find(id);
        if (found != store_.watches_.end()) {
            const auto respond = found->second.answer;
            store_.watches_.erase(found);
            store_listing nothing;
            nothing.at = store_.revision_;
            respond(nothing);
        }
    });
    timers.defer([this] { store_.answer_watches(); });
}

bool fake_store::port::loses(const store_transaction& transaction) const
{
    return !lost_commits.empty() &&
           std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [this](const auto& write) { return starts_with(write.key, lost_commits); });
}

void fake_store::port::commit(const store_transaction& transaction, callback<commit_outcome> done)
{
    if (loses(transaction)) {
        store_.timers_.call_after(timeout, [done = std::move(done)] {
            store_result<commit_outcome> result;
            result.error = store_error::outcome_unknown;
            done(result);
        });
        return;
    }
    call<commit_outcome>(
        [this, transaction] {
            store_result<commit_outcome> result;
            bool lease_missing = false;
            auto outcome = store_.apply(transaction, lease_missing);
            if (lease_missing) {
                result.error = store_error::lease_ended;
            }
            else {
                result.value = std::move(outcome);
            }
            return result;
        },
        std::move(done));
}

void fake_store::port::grant_lease(milliseconds ttl, callback<store_lease> done)
{
    call<store_lease>(
        [this, ttl] {
            store_result<store_lease> result;
            const auto id = store_.next_lease_++;
            store_.leases_[id] = {ttl, store_.timers_.now() + ttl};
            store_.timers_.call_after(ttl, [this] { store_.expire_leases(); });
            result.value = store_lease{id, ttl};
            return result;
        },
        std::move(done));
}

void fake_store::port::renew_lease(std::int64_t lease, callback<milliseconds> done)
{
    call<milliseconds>(
        [this, lease] {
            store_result<milliseconds> result;
            const auto found = store_.leases_.find(lease);
            if (found == store_.leases_.end()) {
                result.error = store_error::lease_ended;
                return result;
            }
            found->second.expires_at = store_.timers_.now() + found->second.ttl;
            store_.timers_.call_after(found->second.ttl, [this] { store_.expire_leases(); });
            result.value = found->second.ttl;
            return result;
        },
        std::move(done));
}

void fake_store::port::end_lease(std::int64_t lease, std::function<void()> done)
{
    call<milliseconds>(
        [this, lease] {
            const auto found = store_.leases_.find(lease);
            if (found != store_.leases_.end()) {
                found->second.expires_at = store_.timers_.now();
                store_.expire_leases();
            }
            store_result<milliseconds> result;
            result.value = milliseconds(0);
            return result;
        },
        [done = std::move(done)](const store_result<milliseconds>&) { done(); });
}

} // namespace jl::jobs::testing
