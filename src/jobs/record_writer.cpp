#include "jobs/record_writer.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Each record takes two entries of a transaction, a condition and a write. One more entry is the
// condition on the leader key.
constexpr std::size_t max_records_per_transaction = (max_transaction_entries - 1) / 2;
constexpr int max_transactions_in_flight = 4;
// Limit while the store is slow: with the normal limit, fewer records per second could be written
// than arrive under peak load.
constexpr int max_transactions_in_flight_when_slow = 16;
constexpr auto slow_commit_latency = 60ms;
// Combines task ends and submissions that arrive close together into one call, because each call to
// the store has a cost.
constexpr auto batch_interval = 12ms;
// Encoding and sending so many bytes takes a quarter of a core some 20 ms. A larger record is a
// pass of its own.
constexpr std::size_t max_bytes_per_pass = 128U << 10U;
// A pass with so many bytes delays the next one by one more batch_interval.
constexpr std::size_t bytes_per_interval = 64U << 10U;
constexpr auto retry_delay = 80ms;
constexpr auto max_retry_delay = 500ms;

} // namespace

record_writer::record_writer(net::timer_service& timers, store_port& store, store_condition leader,
                             callbacks callbacks)
    : timers_(timers),
      store_(store),
      leader_condition_(std::move(leader)),
      callbacks_(std::move(callbacks))
{
}

record_writer::~record_writer()
{
    *alive_ = false;
    timers_.cancel(timer_);
}

void record_writer::set_revision(const std::string& key, std::int64_t revision)
{
    revisions_[key] = revision;
}

void record_writer::mark_dirty(const std::string& key)
{
    add_dirty(key);
    const auto earliest = std::max(last_flush_ + batch_interval, next_flush_);
    const auto now = timers_.now();
    schedule(earliest > now ? earliest - now : std::chrono::nanoseconds(0));
}

void record_writer::add_dirty(const std::string& key)
{
    if (dirty_keys_.insert(key).second) {
        dirty_order_.push_back(key);
    }
}

void record_writer::schedule_next_pass()
{
    const auto now = timers_.now();
    schedule(next_flush_ > now ? next_flush_ - now : std::chrono::nanoseconds(0));
}

std::optional<net::boot_clock::duration> record_writer::unanswered_for() const
{
    return unanswered_since_ ? std::make_optional(timers_.now() - *unanswered_since_)
                             : std::nullopt;
}

void record_writer::schedule(std::chrono::nanoseconds delay)
{
    if (timer_ != 0) {
        return;
    }
    timer_ = timers_.call_after(delay, [this] {
        timer_ = 0;
        flush();
    });
}

void record_writer::flush()
{
    if (timers_.now() < next_flush_) {
        schedule_next_pass();
        return;
    }
    last_flush_ = timers_.now();
    const int limit = last_commit_latency_ >= slow_commit_latency
                          ? max_transactions_in_flight_when_slow
                          : max_transactions_in_flight;
    std::size_t bytes = 0;
    while (transactions_in_flight_ < limit && bytes < max_bytes_per_pass) {
        const auto before = transactions_in_flight_;
        bytes += send_batch(max_bytes_per_pass - bytes);
        if (transactions_in_flight_ == before) {
            break;
        }
    }
    next_flush_ =
        last_flush_ + batch_interval * static_cast<std::int64_t>(bytes / bytes_per_interval);
    if (bytes >= max_bytes_per_pass && !dirty_keys_.empty()) {
        schedule_next_pass();
    }
}

std::size_t record_writer::send_batch(std::size_t max_bytes)
{
    store_transaction transaction;
    transaction.conditions.push_back(leader_condition_);
    std::vector<written_record> batch;
    std::size_t bytes = 0;
    for (auto left = dirty_order_.size();
         left > 0 && batch.size() < max_records_per_transaction && bytes < max_bytes; --left) {
        const auto key = std::move(dirty_order_.front());
        dirty_order_.pop_front();
        if (keys_in_flight_.count(key) != 0) {
            dirty_order_.push_back(key);
            continue;
        }
        dirty_keys_.erase(key);
        auto content = callbacks_.encode(key);
        if (!content) {
            continue;
        }
        const auto known = revisions_.find(key);
        transaction.conditions.push_back({key, known == revisions_.end() ? 0 : known->second});
        if (content->removed) {
            transaction.removals.push_back(key);
        }
        else {
            transaction.writes.push_back({key, content->value, 0});
        }
        bytes += content->value.size();
        batch.push_back({key, std::move(content->value), content->version, content->removed});
        keys_in_flight_.insert(key);
    }
    if (batch.empty()) {
        return 0;
    }
    ++transactions_in_flight_;
    store_.commit(transaction, [this, batch = std::move(batch), sent = timers_.now(),
                                alive = alive_](const store_result<commit_outcome>& result) {
        if (*alive) {
            last_commit_latency_ = timers_.now() - sent;
            on_commit_result(batch, result);
        }
    });
    return bytes;
}

void record_writer::on_commit_result(const std::vector<written_record>& batch,
                                     const store_result<commit_outcome>& result)
{
    --transactions_in_flight_;
    for (const auto& record : batch) {
        keys_in_flight_.erase(record.key);
    }
    if (!result.value) {
        callbacks_.write_failed(result.error);
        if (consecutive_failures_++ == 0) {
            log_event(
                log_level::warning, "store.write_failed",
                {{"reason", to_string(result.error)}, {"records", std::to_string(batch.size())}});
        }
        const bool may_be_executed = result.error == store_error::outcome_unknown;
        if (!may_be_executed) {
            unanswered_since_.reset();
        }
        else if (!unanswered_since_) {
            unanswered_since_ = timers_.now();
        }
        for (const auto& record : batch) {
            add_dirty(record.key);
            if (may_be_executed) {
                unconfirmed_[record.key] = record;
            }
        }
        // The wait for the answer was delay enough.
        schedule(may_be_executed ? std::chrono::nanoseconds(batch_interval)
                                 : std::min<std::chrono::nanoseconds>(
                                       retry_delay * consecutive_failures_, max_retry_delay));
        return;
    }
    unanswered_since_.reset();
    if (consecutive_failures_ > 0) {
        log_event(log_level::info, "store.write_recovered",
                  {{"failed_attempts", std::to_string(consecutive_failures_)}});
        consecutive_failures_ = 0;
    }
    const auto alive = alive_;
    if (!result.value->committed) {
        on_conditions_unmet(batch, result.value->current);
        if (*alive) {
            schedule_next_pass();
        }
        return;
    }
    newest_revision_ = std::max(newest_revision_, result.value->revision);
    for (const auto& record : batch) {
        unconfirmed_.erase(record.key);
        if (record.removed) {
            revisions_.erase(record.key);
        }
        else {
            revisions_[record.key] = result.value->revision;
        }
        callbacks_.durable(record.key, record.version);
        if (!*alive) {
            return;
        }
    }
    callbacks_.batch_done();
    if (*alive && !dirty_keys_.empty()) {
        schedule_next_pass();
    }
}

// Either there is a new leader, or an earlier write of this process that got no answer was executed
// after all.
void record_writer::on_conditions_unmet(const std::vector<written_record>& batch,
                                        const std::vector<store_item>& current)
{
    std::map<std::string, const store_item*> found; // keys that do not exist may be left out
    for (const auto& item : current) {
        found[item.key] = &item;
    }
    const auto* const leader = found[leader_condition_.key];
    if (leader == nullptr || leader->revision != leader_condition_.revision) {
        callbacks_.fenced();
        return;
    }
    for (const auto& record : batch) {
        if (!adopt_current(record, found[record.key])) {
            return;
        }
    }
    callbacks_.batch_done();
}

// If the record has changed and the store holds just what an unanswered write contained, that
// version is durable. A later one is still to be written. While the record is unchanged, each
// unanswered write of it may still be executed.
bool record_writer::adopt_current(const written_record& refused, const store_item* current)
{
    const auto& key = refused.key;
    if (current == nullptr || current->revision == 0) {
        revisions_.erase(key);
        add_dirty(key);
        return true;
    }
    const bool written_since =
        std::exchange(revisions_[key], current->revision) != current->revision;
    const auto found = unconfirmed_.find(key);
    if (!written_since || found == unconfirmed_.end() || found->second.removed ||
        found->second.value != current->value) {
        add_dirty(key);
        return true;
    }
    const auto version = found->second.version;
    unconfirmed_.erase(found);
    if (version != refused.version) {
        add_dirty(key);
    }
    const auto alive = alive_;
    callbacks_.durable(key, version);
    return *alive;
}

} // namespace jl::jobs
