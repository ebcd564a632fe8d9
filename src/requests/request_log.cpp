#include "requests/request_log.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/ids.h"

namespace jl::requests::internal {

namespace {

constexpr std::chrono::milliseconds read_timeout{1000};
constexpr std::chrono::hours save_timeout{24};
// Room for the JSON form and the other fields within the store's limit of 1 MB for a value.
constexpr std::size_t max_record_bytes = 1000000;
constexpr int max_manual_flushes = 4;

// An entry that owns a queue with at least this many unfinished requests gets a larger share of the
// write rate.
constexpr int min_busy_backlog = 32;
// Time for the report of a backlog to reach the other entries. They reduce their shares of the
// write rate on that report, so an entry uses its larger share only after this time; otherwise all
// entries together would exceed the rate.
constexpr std::chrono::seconds backlog_report_delay{2};

int busy_queues(const cluster::member_status& status)
{
    return static_cast<int>(
        std::count_if(status.loads.begin(), status.loads.end(),
                      [](const auto& load) { return load.backlog >= min_busy_backlog; }));
}

std::string holder_id(const records::member_record& member)
{
    return member.member + "@" + std::to_string(member.incarnation);
}

} // namespace

std::string request_key(const std::string& id)
{
    return records::requests_prefix + id;
}

std::string deferred_key(const std::string& service, const std::string& id)
{
    return records::deferred_prefix + service + "/" + id;
}

std::uint64_t request_hash(const call& call)
{
    return stable_hash(call.body, stable_hash(call.service + "\n" + call.content_type));
}

bool is_deferred(const records::request_record& record)
{
    return record.expires_at.count() != 0;
}

bool may_have_run(const records::request_record& record)
{
    return record.unanswered_attempts > 0;
}

records::request_record make_record(const call& call, const clock_source& clock)
{
    records::request_record record;
    record.id = call.idempotency_key.empty() ? call.id : call.idempotency_key;
    record.service = call.service;
    record.team = call.team;
    record.request_class = to_text(call.priority);
    record.idempotent = call.idempotent;
    record.body_hash = request_hash(call);
    record.accepted_at = to_unix(clock.wall_now());
    record.content_type = call.content_type;
    record.write_id = new_id();
    return record;
}

records::request_record with_state(records::request_record record, records::request_state state)
{
    record.state = state;
    record.body.clear();
    record.write_id = new_id();
    return record;
}

records::request_record with_answer(records::request_record record, const call_result& result)
{
    record = with_state(std::move(record), records::request_state::answered);
    record.answer_status = result.status;
    record.answer_content_type = result.content_type;
    record.answer = result.body;
    if (records::to_json(record).size() > max_record_bytes) {
        // The caller could not tell a truncated answer from a complete one.
        record.answer_status = 507;
        record.answer_content_type = "application/json";
        record.answer = R"({"error": {"code": "answer_too_large", )"
                        R"("message": "the request ran, but its answer was too large to keep"}})";
    }
    return record;
}

request_log::request_log(store::key_value_store& store, cluster::cluster_state& cluster,
                         const clock_source& clock, jl::metrics& metrics,
                         const durable_options& options)
    : store_(store),
      cluster_(cluster),
      clock_(clock),
      metrics_(metrics),
      background_(options.background),
      lease_(store, clock),
      commits_(store, clock, commit_options(options), metrics)
{
}

store::group_commit_options request_log::commit_options(const durable_options& options)
{
    store::group_commit_options result;
    result.members = [this] { return write_rate_divisor(); };
    result.window_per_member = options.window_per_member;
    result.background = options.background;
    result.seed = options.seed;
    return result;
}

// The owner of a busy queue writes twice as much as the entries that accept the queue's requests.
// Therefore half of the write rate is divided among the busy queues and the other half among the
// members. Members whose mesh link is down count too, because they still write to the store.
std::size_t request_log::write_rate_divisor()
{
    const auto members = cluster_.members();
    const auto self = cluster_.self();
    int all = 0;
    int own = 0;
    for (const auto& status : members) {
        all += busy_queues(status);
        own += status.member.member == self ? busy_queues(status) : 0;
    }
    const auto now = clock_.steady_now();
    const std::lock_guard lock(mutex_);
    busy_since_ = own == 0 ? now : busy_since_;
    const auto count = static_cast<double>(std::max<std::size_t>(members.size(), 1));
    if (all == 0 || (all == own && now < busy_since_ + backlog_report_delay)) {
        return members.size();
    }
    const double boost = own > 0 && now >= busy_since_ + backlog_report_delay ? 0.5 * own / all : 0;
    return static_cast<std::size_t>(std::ceil(1 / (0.5 / count + boost)));
}

std::string request_log::own_holder_id()
{
    {
        const std::lock_guard lock(mutex_);
        if (!own_holder_id_.empty()) {
            return own_holder_id_;
        }
    }
    const auto self = cluster_.self();
    for (const auto& status : cluster_.members()) {
        if (status.member.member == self && status.member.incarnation != 0) {
            const std::lock_guard lock(mutex_);
            own_holder_id_ = holder_id(status.member);
            return own_holder_id_;
        }
    }
    return "";
}

bool request_log::holder_has_ended(const std::string& holder)
{
    if (holder == this->own_holder_id()) {
        return false;
    }
    for (const auto& status : cluster_.members()) {
        if (status.alive && holder_id(status.member) == holder) {
            return false;
        }
    }
    // After an outage, the member record of a live holder can be absent from the store for a short
    // time. The holder has ended only if both the member list and the store say so.
    const auto name = holder.substr(0, holder.rfind('@'));
    const auto found =
        store_.range({records::members_prefix + name, "", 0}, clock_.steady_now() + read_timeout);
    if (!found) {
        return false;
    }
    if (found->items.empty()) {
        return true;
    }
    const auto member = records::parse_member(found->items[0].value);
    return member && holder_id(*member) != holder;
}

std::optional<stored_request> request_log::read(const std::string& key)
{
    const auto found = store_.range({key, "", 0}, clock_.steady_now() + read_timeout);
    if (!found) {
        return std::nullopt;
    }
    if (found->items.empty()) {
        return stored_request{};
    }
    auto record = records::parse_request(found->items[0].value);
    if (!record) {
        return std::nullopt;
    }
    return stored_request{std::move(*record), found->items[0].mod_revision};
}

std::optional<std::map<std::string, stored_request>>
request_log::read(const std::vector<std::string>& keys)
{
    store::transaction reads;
    for (const auto& key : keys) {
        reads.on_success.push_back(store::get(key));
    }
    const auto result = store_.commit(reads, clock_.steady_now() + read_timeout);
    if (!result) {
        return std::nullopt;
    }
    std::map<std::string, stored_request> found;
    for (const auto& range : result->ranges) {
        for (const auto& item : range.items) {
            if (auto record = records::parse_request(item.value)) {
                found[item.key] = {std::move(*record), item.mod_revision};
            }
        }
    }
    return found;
}

std::optional<store::range_result> request_log::scan(const store::range_request& request)
{
    return store_.range(request, clock_.steady_now() + read_timeout);
}

void request_log::save(outcome_write write)
{
    {
        const std::lock_guard lock(mutex_);
        ++unsaved_count_;
    }
    send(std::make_shared<outcome_write>(std::move(write)));
}

void request_log::save_later(outcome_write write)
{
    const std::lock_guard lock(mutex_);
    ++unsaved_count_;
    writes_to_retry_.push_back(std::make_shared<outcome_write>(std::move(write)));
}

bool request_log::save_and_wait(outcome_write write, std::chrono::milliseconds limit)
{
    struct wait_state {
        std::mutex mutex;
        std::condition_variable changed;
        bool done = false;
        bool written = false;
    };
    const auto state = std::make_shared<wait_state>();
    write.done = [state, next = std::move(write.done)](bool written) {
        {
            const std::lock_guard lock(state->mutex);
            state->done = true;
            state->written = written;
        }
        state->changed.notify_all();
        if (next) {
            next(written);
        }
    };
    save(std::move(write));
    for (int flushes = 0; !background_ && flushes < max_manual_flushes && commits_.flush();
         ++flushes) {
    }
    std::unique_lock lock(state->mutex);
    if (background_) {
        state->changed.wait_for(lock, limit, [&] { return state->done; });
    }
    return state->written;
}

void request_log::send(const write_ptr& write)
{
    const auto lease = lease_.current();
    if (!lease) {
        queue_for_retry(write);
        return;
    }
    store::change change;
    change.compares = {write->condition};
    change.writes = {
        store::put(request_key(write->record.id), records::to_json(write->record), *lease)};
    if (!write->deferred_key_to_remove.empty()) {
        change.writes.push_back(store::remove(write->deferred_key_to_remove));
    }
    change.deadline = clock_.steady_now() + save_timeout;
    change.persistent = true;
    const bool queued = commits_.submit(
        std::move(change), [this, write, lease = *lease](const store::change_result& result) {
            switch (result.outcome) {
            case store::change_outcome::committed:
                finish(write, true);
                return;
            case store::change_outcome::conflict:
                finish(write, false);
                return;
            case store::change_outcome::not_applied:
                if (result.error.code == store::store_error_code::lease_not_found) {
                    lease_.forget(lease);
                }
                queue_for_retry(write);
                return;
            case store::change_outcome::unknown:
                return; // the process is stopping
            }
        });
    if (!queued) {
        queue_for_retry(write);
    }
}

void request_log::queue_for_retry(const write_ptr& write)
{
    const std::lock_guard lock(mutex_);
    writes_to_retry_.push_back(write);
}

void request_log::finish(const write_ptr& write, bool written)
{
    {
        const std::lock_guard lock(mutex_);
        --unsaved_count_;
    }
    metrics_.count("jl_request_outcomes_total", "Outcomes of durable requests written to the store",
                   {{"state", written ? records::to_text(write->record.state) : "superseded"}});
    if (write->done) {
        write->done(written);
    }
}

void request_log::retry_unsaved()
{
    std::vector<write_ptr> writes;
    {
        const std::lock_guard lock(mutex_);
        writes.swap(writes_to_retry_);
    }
    for (const auto& write : writes) {
        send(write);
    }
}

std::size_t request_log::unsaved() const
{
    const std::lock_guard lock(mutex_);
    return unsaved_count_;
}

} // namespace jl::requests::internal
