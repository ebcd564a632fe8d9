#include "jobs/leadership.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto watch_timeout = 5000ms;
constexpr auto read_retry_delay = 200ms;
constexpr auto renewal_retry_delay = 120ms;
constexpr int renewals_per_ttl = 4;

} // namespace

std::string encode_leader(const leader_record& record)
{
    return nlohmann::json{
        {"node", record.node}, {"address", record.address.to_string()}, {"term", record.term}}
        .dump();
}

std::optional<leader_record> decode_leader(const store_item& item)
{
    const auto document = parse_json_object(item.value);
    if (!document) {
        return std::nullopt;
    }
    try {
        const auto address = parse_endpoint(document->at("address").get<std::string>());
        if (!address) {
            return std::nullopt;
        }
        return leader_record{document->at("node").get<std::string>(), *address,
                             document->at("term").get<std::int64_t>(), item.revision};
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

leadership::leadership(net::timer_service& timers, store_port& store, leadership_settings settings,
                       callbacks callbacks)
    : timers_(timers),
      store_(store),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks))
{
}

leadership::~leadership()
{
    *alive_ = false;
    timers_.cancel(read_timer_);
    timers_.cancel(renewal_timer_);
    timers_.cancel(expiry_timer_);
}

void leadership::start()
{
    read_election();
}

bool leadership::holds_lease() const
{
    return leading_ && timers_.now() < lease_valid_until_;
}

void leadership::refresh()
{
    schedule_read(0ms);
}

void leadership::schedule_read(milliseconds delay)
{
    if (read_timer_ != 0) {
        if (delay > 0ms) {
            return;
        }
        timers_.cancel(read_timer_);
    }
    read_timer_ = timers_.call_after(delay, [this] {
        read_timer_ = 0;
        read_election();
    });
}

void leadership::read_election()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    store_.list(prefix, [this, alive = alive_](const store_result<store_listing>& result) {
        if (!*alive) {
            return;
        }
        reading_ = false;
        on_read(result);
    });
}

void leadership::on_read(const store_result<store_listing>& result)
{
    if (!result.value) {
        schedule_read(read_retry_delay);
        return;
    }
    if (leading_ && result.value->at < leader_->token) {
        // The store read this listing before it elected this process.
        schedule_read(read_retry_delay);
        return;
    }
    std::optional<leader_record> seen;
    term_ = 0;
    term_revision_ = 0;
    for (const auto& item : result.value->items) {
        if (item.key == leader_key) {
            seen = decode_leader(item);
        }
        else if (item.key == term_key) {
            term_ = std::strtoll(item.value.c_str(), nullptr, 10);
            term_revision_ = item.revision;
        }
    }
    if (leading_ && (!seen || seen->token != leader_->token)) {
        step_down("the leader key is no longer ours");
    }
    update_known_leader(seen);
    if (!seen && !resigned_ && !campaigning_) {
        campaigning_ = true;
        timers_.call_after(settings_.candidacy_delay, [this, alive = alive_] {
            if (*alive) {
                start_campaign();
            }
        });
    }
    watch(result.value->at);
}

void leadership::watch(std::int64_t after)
{
    if (watching_) {
        return;
    }
    watching_ = true;
    store_.watch(prefix, after, watch_timeout,
                 [this, after, alive = alive_](const store_result<store_listing>& result) {
                     if (!*alive) {
                         return;
                     }
                     watching_ = false;
                     if (!result.value) {
                         schedule_read(read_retry_delay);
                         return;
                     }
                     if (result.value->items.empty()) {
                         watch(std::max(after, result.value->at));
                         return;
                     }
                     read_election();
                 });
}

void leadership::update_known_leader(const std::optional<leader_record>& leader)
{
    if (leader_ == leader) {
        return;
    }
    leader_ = leader;
    log_event(log_level::info, "leader.seen",
              {{"leader", leader ? leader->node : "none"},
               {"term", std::to_string(leader ? leader->term : term_)}});
    callbacks_.leader_changed();
}

void leadership::start_campaign()
{
    if (resigned_ || leading_ || leader_) {
        campaigning_ = false;
        return;
    }
    const auto requested_at = timers_.now();
    store_.grant_lease(settings_.lease_ttl, [this, requested_at, alive = alive_](
                                                const store_result<store_lease>& result) {
        if (!*alive) {
            return;
        }
        if (!result.value) {
            campaigning_ = false;
            schedule_read(read_retry_delay);
            return;
        }
        claim_leader_key(*result.value, requested_at);
    });
}

void leadership::claim_leader_key(const store_lease& lease, net::boot_time requested_at)
{
    leader_record record;
    record.node = settings_.node;
    record.address = settings_.address;
    record.term = term_ + 1;
    store_transaction transaction;
    transaction.conditions = {{leader_key, 0}, {term_key, term_revision_}};
    transaction.writes = {{leader_key, encode_leader(record), lease.id},
                          {term_key, std::to_string(record.term), 0}};
    store_.commit(transaction, [this, record, lease, requested_at,
                                alive = alive_](const store_result<commit_outcome>& result) {
        if (*alive) {
            campaigning_ = false;
            term_ = record.term - 1;
            finish_campaign(result, lease, requested_at);
        }
    });
}

void leadership::finish_campaign(const store_result<commit_outcome>& result,
                                 const store_lease& lease, net::boot_time requested_at)
{
    if (result.value && result.value->committed && !resigned_) {
        leader_record record;
        record.node = settings_.node;
        record.address = settings_.address;
        record.term = term_ + 1;
        record.token = result.value->revision;
        become_leader(record, lease, requested_at);
        return;
    }
    // Ending the lease also removes the key if a commit without an answer took effect.
    store_.end_lease(lease.id, [] {});
    schedule_read(result.value ? 0ms : read_retry_delay);
}

void leadership::become_leader(const leader_record& record, const store_lease& lease,
                               net::boot_time requested_at)
{
    leading_ = true;
    logged_uncertain_ = false;
    lease_ = lease;
    lease_valid_until_ = requested_at + lease.ttl;
    leader_ = record;
    log_event(log_level::info, "leader.elected",
              {{"term", std::to_string(record.term)}, {"token", std::to_string(record.token)}});
    // The lease may already have ended if the election took longer than its time to live.
    schedule_renewal(holds_lease() ? lease.ttl / renewals_per_ttl : milliseconds(0));
    update_lease_expiry();
    callbacks_.leader_changed();
    callbacks_.elected(record);
}

void leadership::schedule_renewal(milliseconds delay)
{
    timers_.cancel(renewal_timer_);
    renewal_timer_ = timers_.call_after(delay, [this] {
        renewal_timer_ = 0;
        renew();
    });
}

void leadership::renew()
{
    if (!leading_) {
        return;
    }
    if (lease_uncertain()) {
        verify_key_then_renew();
        return;
    }
    send_renewal();
}

// A leader that is cut off from the store's answers would prolong its lease with renewals that it
// cannot use, and so prevent the election of another leader. It therefore renews the lease only
// after it has read its key, which it may have lost meanwhile.
void leadership::verify_key_then_renew()
{
    store_.get(leader_key, [this, token = leader_->token,
                            alive = alive_](const store_result<store_item>& result) {
        if (!*alive || !leading_ || leader_->token != token) {
            return;
        }
        if (!result.value) {
            schedule_renewal(renewal_retry_delay);
            return;
        }
        if (result.value->revision != token) {
            step_down("the leader key is no longer ours");
            return;
        }
        send_renewal();
    });
}

void leadership::send_renewal()
{
    const auto requested_at = timers_.now();
    const auto lease = lease_.id;
    store_.renew_lease(lease, [this, requested_at, lease,
                               alive = alive_](const store_result<milliseconds>& result) {
        if (!*alive || !leading_ || lease_.id != lease) {
            return;
        }
        if (result.value) {
            lease_valid_until_ = std::max(lease_valid_until_, requested_at + *result.value);
            schedule_renewal(lease_.ttl / renewals_per_ttl);
            update_lease_expiry();
            return;
        }
        if (result.error == store_error::lease_ended) {
            step_down("the lease has ended");
            return;
        }
        schedule_renewal(renewal_retry_delay);
    });
}

void leadership::update_lease_expiry()
{
    timers_.cancel(expiry_timer_);
    expiry_timer_ = 0;
    if (!leading_) {
        return;
    }
    const auto left = lease_valid_until_ - timers_.now();
    if (logged_uncertain_ != (left <= 0ms)) {
        logged_uncertain_ = left <= 0ms;
        log_event(logged_uncertain_ ? log_level::warning : log_level::info,
                  logged_uncertain_ ? "leader.uncertain" : "leader.certain",
                  {{"term", std::to_string(leader_->term)}});
    }
    if (left <= 0ms) {
        return; // called again after the next renewal
    }
    expiry_timer_ = timers_.call_after(left, [this] { update_lease_expiry(); });
}

void leadership::step_down(const std::string& reason)
{
    if (!leading_) {
        return;
    }
    leading_ = false;
    timers_.cancel(renewal_timer_);
    timers_.cancel(expiry_timer_);
    renewal_timer_ = 0;
    expiry_timer_ = 0;
    log_event(log_level::warning, "leader.deposed",
              {{"reason", reason}, {"term", std::to_string(leader_ ? leader_->term : 0)}});
    store_.end_lease(lease_.id, [] {});
    leader_.reset();
    callbacks_.deposed(reason);
    schedule_read(read_retry_delay);
}

void leadership::resign()
{
    resigned_ = true;
    step_down("the process is shutting down");
}

} // namespace jl::jobs
