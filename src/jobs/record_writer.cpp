#include "jobs/record_writer.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// A record takes two entries of a transaction, its condition and its write; the leader's condition
// takes one.
constexpr std::size_t max_records_per_transaction = (max_transaction_entries - 1) / 2;
constexpr int max_transactions_in_flight = 4;
// While the store is slow, so that as many records a second are written as arrive in a flood.
constexpr int max_slow_transactions_in_flight = 16;
constexpr auto slow_answer = 60ms;
// Collects ends and submissions that arrive together into one priced call.
constexpr auto batch_interval = 12ms;
constexpr auto retry_delay = 80ms;
constexpr auto max_retry_delay = 500ms;

} // namespace

record_writer::record_writer(net::timer_service& timers, store_port& store, store_condition leader,
                             callbacks callbacks)
    : timers_(timers), store_(store), leader_(std::move(leader)), callbacks_(std::move(callbacks))
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

void record_writer::mark(const std::string& key)
{
    dirty_.insert(key);
    const auto earliest = last_flush_ + batch_interval;
    const auto now = timers_.now();
    schedule(earliest > now ? earliest - now : std::chrono::nanoseconds(0));
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
    last_flush_ = timers_.now();
    const int limit = last_answer_took_ >= slow_answer ? max_slow_transactions_in_flight
                                                       : max_transactions_in_flight;
    while (in_flight_ < limit) {
        const auto before = in_flight_;
        send_batch();
        if (in_flight_ == before) {
            return;
        }
    }
}

void record_writer::send_batch()
{
    store_transaction transaction;
    transaction.conditions.push_back(leader_);
    std::vector<written_record> batch;
    for (auto next = dirty_.begin();
         next != dirty_.end() && batch.size() < max_records_per_transaction;) {
        if (sending_.count(*next) != 0) {
            ++next;
            continue;
        }
        const auto key = *next;
        next = dirty_.erase(next);
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
            transaction.writes.push_back({key, std::move(content->value), 0});
        }
        batch.push_back({key, content->version, content->removed});
        sending_.insert(key);
    }
    if (batch.empty()) {
        return;
    }
    ++in_flight_;
    store_.commit(transaction, [this, batch = std::move(batch), sent = timers_.now(),
                                alive = alive_](const store_result<commit_outcome>& result) {
        if (*alive) {
            last_answer_took_ = timers_.now() - sent;
            on_outcome(batch, result);
        }
    });
}

void record_writer::on_outcome(const std::vector<written_record>& batch,
                               const store_result<commit_outcome>& result)
{
    --in_flight_;
    for (const auto& record : batch) {
        sending_.erase(record.key);
    }
    if (!result.value) {
        callbacks_.write_failed(result.error);
        if (failures_++ == 0) {
            log_event(
                log_level::warning, "store.write_failed",
                {{"reason", to_string(result.error)}, {"records", std::to_string(batch.size())}});
        }
        for (const auto& record : batch) {
            dirty_.insert(record.key);
        }
        schedule(std::min<std::chrono::nanoseconds>(retry_delay * failures_, max_retry_delay));
        return;
    }
    if (failures_ > 0) {
        log_event(log_level::info, "store.write_recovered",
                  {{"failed_attempts", std::to_string(failures_)}});
        failures_ = 0;
    }
    const auto alive = alive_;
    if (!result.value->committed) {
        for (const auto& record : batch) {
            dirty_.insert(record.key);
        }
        adopt_revisions(batch, result.value->current);
        if (*alive) {
            schedule(0ms);
        }
        return;
    }
    for (const auto& record : batch) {
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
    if (*alive && !dirty_.empty()) {
        schedule(0ms);
    }
}

// A condition failed. Either there is a new leader, or an earlier write of ours without an answer
// took effect after all.
void record_writer::adopt_revisions(const std::vector<written_record>& batch,
                                    const std::vector<store_item>& current)
{
    std::map<std::string, std::int64_t> found; // keys that do not exist may be left out
    for (const auto& item : current) {
        found[item.key] = item.revision;
    }
    if (found[leader_.key] != leader_.revision) {
        callbacks_.fenced();
        return;
    }
    for (const auto& record : batch) {
        const auto revision = found[record.key];
        if (revision == 0) {
            revisions_.erase(record.key);
        }
        else {
            revisions_[record.key] = revision;
        }
    }
}

} // namespace jl::jobs
