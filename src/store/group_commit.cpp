#include "store/group_commit.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/scope_guard.h"

namespace jl::store {

namespace {

constexpr std::size_t operation_overhead_bytes = 64;
// Attempts of commit() without a background thread until the outcome counts as unknown.
constexpr int manual_attempts = 4;

std::size_t size_of(const change& change)
{
    std::size_t bytes = 0;
    for (const auto& write : change.writes) {
        bytes += write.key.size() + write.value.size() + operation_overhead_bytes;
    }
    return bytes;
}

bool same(const compare& left, const compare& right)
{
    return left.compared == right.compared && left.key == right.key &&
           left.revision == right.revision;
}

using value_map = std::map<std::string, key_value>;

value_map collect_values(const transaction_result& result)
{
    value_map values;
    for (const auto& range : result.ranges) {
        for (const auto& item : range.items) {
            values[item.key] = item;
        }
    }
    return values;
}

// Mod revision of the change's writes if they took effect, otherwise 0.
std::int64_t applied_at(const change& change, const value_map& values)
{
    for (const auto& write : change.writes) {
        const auto found = values.find(write.key);
        if (write.type == operation::kind::put && found != values.end() &&
            found->second.value == write.value) {
            return found->second.mod_revision;
        }
    }
    return 0;
}

bool holds(const compare& compare, const value_map& values)
{
    const auto found = values.find(compare.key);
    if (found == values.end()) {
        return compare.revision == 0;
    }
    const auto& item = found->second;
    return compare.revision == (compare.compared == compare::field::create_revision
                                    ? item.create_revision
                                    : item.mod_revision);
}

std::vector<key_value> select_values(const change& change, const value_map& values)
{
    std::set<std::string> keys;
    for (const auto& compare : change.compares) {
        keys.insert(compare.key);
    }
    for (const auto& write : change.writes) {
        keys.insert(write.key);
    }
    std::vector<key_value> selected;
    for (const auto& key : keys) {
        const auto found = values.find(key);
        if (found != values.end()) {
            selected.push_back(found->second);
        }
    }
    return selected;
}

} // namespace

// Decides which changes fit into one transaction.
class group_commit::batch_limits {
public:
    explicit batch_limits(const group_commit_options& options) : options_(options) {}

    // Adds the change to the transaction if it fits. Two changes that touch the same key do not go
    // into one transaction: etcd refuses duplicate keys, and compares see the state before it.
    bool add(const entry& item)
    {
        if (count_ > 0 && (alone_ || item.alone || bytes_ + item.bytes > options_.max_bytes)) {
            return false;
        }
        std::set<std::string> written;
        std::set<std::string> read;
        std::vector<compare> compares;
        for (const auto& write : item.change.writes) {
            if (keys_.count(write.key) > 0) {
                return false;
            }
            written.insert(write.key);
            read.insert(write.key);
        }
        for (const auto& compare : item.change.compares) {
            if (written_.count(compare.key) > 0) {
                return false;
            }
            read.insert(compare.key);
            if (!known(compare)) {
                compares.push_back(compare);
            }
        }
        read.insert(keys_.begin(), keys_.end());
        if (count_ > 0 && (operations_ + item.change.writes.size() > options_.max_operations ||
                           compares_.size() + compares.size() > options_.max_operations ||
                           read.size() > options_.max_operations)) {
            return false;
        }
        ++count_;
        alone_ = item.alone;
        bytes_ += item.bytes;
        operations_ += item.change.writes.size();
        compares_.insert(compares_.end(), compares.begin(), compares.end());
        keys_ = std::move(read);
        written_.merge(written);
        return true;
    }

private:
    bool known(const compare& compare) const
    {
        return std::any_of(compares_.begin(), compares_.end(),
                           [&](const store::compare& other) { return same(compare, other); });
    }

    const group_commit_options& options_;
    std::size_t count_ = 0;
    std::size_t bytes_ = 0;
    std::size_t operations_ = 0;
    bool alone_ = false;
    std::vector<compare> compares_;
    std::set<std::string> keys_; // compared or written
    std::set<std::string> written_;
};

group_commit::group_commit(key_value_store& store, const clock_source& clock,
                           group_commit_options options, metrics& metrics)
    : store_(store),
      clock_(clock),
      options_(std::move(options)),
      metrics_(metrics),
      random_(options_.seed != 0 ? options_.seed : std::random_device{}())
{
    if (options_.background) {
        thread_ = std::thread([this] { run(); });
    }
}

group_commit::~group_commit()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
    batch rest;
    {
        const std::lock_guard lock(mutex_);
        rest.assign(retries_.begin(), retries_.end());
        rest.insert(rest.end(), queue_.begin(), queue_.end());
        retries_.clear();
        queue_.clear();
    }
    for (const auto& item : rest) {
        change_result result;
        result.outcome = item->sent ? change_outcome::unknown : change_outcome::not_applied;
        result.error = {store_error_code::unavailable, "the process is stopping"};
        finish(item, result);
    }
}

group_commit::entry_ptr group_commit::enqueue(change change, change_callback done)
{
    auto item = std::make_shared<entry>();
    item->bytes = size_of(change);
    item->change = std::move(change);
    item->done = std::move(done);
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || waiting_ >= options_.max_waiting ||
            waiting_bytes_ + item->bytes > options_.max_waiting_bytes) {
            return nullptr;
        }
        ++waiting_;
        waiting_bytes_ += item->bytes;
        queue_.push_back(item);
    }
    changed_.notify_all();
    return item;
}

bool group_commit::submit(change change, change_callback done)
{
    return enqueue(std::move(change), std::move(done)) != nullptr;
}

change_result group_commit::commit(change change, const change_callback& late)
{
    struct wait_state {
        std::mutex mutex;
        std::condition_variable changed;
        bool abandoned = false;
        bool done = false;
        change_result result;
    };
    const auto state = std::make_shared<wait_state>();
    const auto deadline = change.deadline;
    const auto item = enqueue(std::move(change), [state, late](const change_result& result) {
        bool abandoned = false;
        {
            const std::lock_guard lock(state->mutex);
            state->done = true;
            state->result = result;
            abandoned = state->abandoned;
        }
        state->changed.notify_all();
        if (abandoned && late) {
            late(result);
        }
    });
    if (!item) {
        change_result result;
        result.outcome = change_outcome::not_applied;
        result.error = {store_error_code::unavailable, "too many writes wait for the store"};
        return result;
    }
    const auto is_done = [&] {
        const std::lock_guard lock(state->mutex);
        return state->done;
    };
    for (int attempt = 0; !options_.background && attempt < manual_attempts && !is_done();
         ++attempt) {
        flush();
    }
    if (options_.background) {
        std::unique_lock lock(state->mutex);
        state->changed.wait_until(lock, deadline, [&] { return state->done; });
    }
    if (!is_done() && withdraw(item)) {
        change_result result;
        result.outcome = change_outcome::not_applied;
        result.error = {store_error_code::unavailable, "the write was not sent in time"};
        return result;
    }
    const std::lock_guard lock(state->mutex);
    if (!state->done) {
        state->abandoned = true;
        state->result.error = {store_error_code::outcome_unknown, "no answer arrived in time"};
    }
    return state->result;
}

bool group_commit::withdraw(const entry_ptr& item)
{
    const std::lock_guard lock(mutex_);
    for (auto* list : {&queue_, &retries_}) {
        const auto found = std::find(list->begin(), list->end(), item);
        if (found != list->end() && !item->sent) {
            list->erase(found);
            --waiting_;
            waiting_bytes_ -= item->bytes;
            return true;
        }
    }
    return false;
}

group_commit::batch group_commit::take_if(const std::function<bool(const entry&)>& condition)
{
    batch taken;
    const std::lock_guard lock(mutex_);
    for (auto* list : {&queue_, &retries_}) {
        std::deque<entry_ptr> kept;
        for (auto& item : *list) {
            (!item->sent && condition(*item) ? static_cast<void>(taken.push_back(std::move(item)))
                                             : kept.push_back(std::move(item)));
        }
        *list = std::move(kept);
    }
    return taken;
}

group_commit::batch group_commit::take_expired()
{
    const auto now = clock_.steady_now();
    return take_if([now](const entry& item) { return item.change.deadline <= now; });
}

// While the store is down, new changes are refused at once instead of holding their callers.
group_commit::batch group_commit::take_impatient()
{
    return take_if([](const entry& item) { return !item.change.persistent; });
}

group_commit::batch group_commit::take_batch()
{
    batch items;
    batch_limits limits(options_);
    const std::lock_guard lock(mutex_);
    auto& source = retries_.empty() ? queue_ : retries_;
    // A change that does not fit waits, and later ones may go first: their order does not matter,
    // because each one compares the revisions that it relies on.
    std::deque<entry_ptr> rest;
    while (!source.empty() && rest.size() < options_.max_operations) {
        auto item = std::move(source.front());
        source.pop_front();
        (limits.add(*item) ? static_cast<void>(items.push_back(std::move(item)))
                           : rest.push_back(std::move(item)));
    }
    source.insert(source.begin(), rest.begin(), rest.end());
    return items;
}

transaction group_commit::combine(const batch& items)
{
    transaction combined;
    std::set<std::string> keys;
    for (const auto& item : items) {
        for (const auto& compare : item->change.compares) {
            const bool known =
                std::any_of(combined.compares.begin(), combined.compares.end(),
                            [&](const store::compare& other) { return same(compare, other); });
            if (!known) {
                combined.compares.push_back(compare);
            }
            keys.insert(compare.key);
        }
        for (const auto& write : item->change.writes) {
            combined.on_success.push_back(write);
            keys.insert(write.key);
        }
    }
    for (const auto& key : keys) {
        combined.on_failure.push_back(get(key));
    }
    return combined;
}

bool group_commit::flush()
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(flushing_, true)) {
            return false;
        }
    }
    const scope_guard done([this] {
        const std::lock_guard lock(mutex_);
        flushing_ = false;
    });
    for (const auto& item : take_expired()) {
        change_result result;
        result.outcome = change_outcome::not_applied;
        result.error = {store_error_code::unavailable, "the deadline has passed"};
        finish(item, result);
    }
    const auto items = take_batch();
    if (items.empty()) {
        return false;
    }
    const auto sent_at = clock_.steady_now();
    send(items);
    schedule_next(sent_at);
    return true;
}

void group_commit::send(const batch& items)
{
    const auto started = clock_.steady_now();
    const auto combined = combine(items);
    auto result = store_.commit(combined, started + options_.call_limit);
    auto error = result ? store_error{} : last_error();
    if (result && !result->succeeded && result->ranges.size() != combined.on_failure.size()) {
        // Without all values read back, a change that took effect could pass for a conflict.
        result.reset();
        error = {store_error_code::malformed, "the answer lacks values that were asked for"};
    }
    metrics_.observe("jl_store_commit_seconds", "Duration of group commits", {},
                     clock_.steady_now() - started);
    metrics_.count("jl_store_commits_total", "Transactions of group commits",
                   {{"result", result ? "answered" : "failed"}});
    metrics_.count("jl_store_changes_total", "Changes sent in group commits", {},
                   static_cast<double>(items.size()));
    if (result) {
        {
            const std::lock_guard lock(mutex_);
            backoff_ = {};
        }
        settle(items, *result);
        return;
    }
    settle_failed(items, error);
}

void group_commit::settle(const batch& items, const transaction_result& result)
{
    if (result.succeeded) {
        for (const auto& item : items) {
            finish(item, {change_outcome::committed, result.revision, {}, {}});
        }
        return;
    }
    const auto values = collect_values(result);
    batch others;
    for (const auto& item : items) {
        const auto& change = item->change;
        if (const auto revision = applied_at(change, values); revision != 0) {
            finish(item, {change_outcome::committed, revision, {}, {}});
            continue;
        }
        const bool valid = std::all_of(change.compares.begin(), change.compares.end(),
                                       [&](const compare& one) { return holds(one, values); });
        if (valid) {
            others.push_back(item);
            continue;
        }
        finish(item, {change_outcome::conflict, 0, select_values(change, values), {}});
    }
    retry(others);
}

void group_commit::settle_failed(const batch& items, const store_error& error)
{
    batch again;
    for (const auto& item : items) {
        switch (error.code) {
        case store_error_code::outcome_unknown:
        case store_error_code::malformed:
            item->sent = true;
            again.push_back(item);
            continue;
        case store_error_code::refused:
        case store_error_code::lease_not_found:
            // Only one change may be at fault; each is sent alone to find it.
            if (items.size() > 1) {
                item->alone = true;
                again.push_back(item);
                continue;
            }
            break;
        case store_error_code::unavailable:
        case store_error_code::compacted:
            if (item->sent || item->change.persistent) {
                again.push_back(item);
                continue;
            }
            break;
        }
        finish(item, {change_outcome::not_applied, 0, {}, error});
    }
    if (error.code == store_error_code::unavailable) {
        for (const auto& item : take_impatient()) {
            finish(item, {change_outcome::not_applied, 0, {}, error});
        }
    }
    {
        const std::lock_guard lock(mutex_);
        const bool refused = error.code == store_error_code::refused ||
                             error.code == store_error_code::lease_not_found;
        backoff_ = refused ? std::chrono::milliseconds{}
                           : std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
    }
    retry(again);
}

void group_commit::retry(const batch& items)
{
    const std::lock_guard lock(mutex_);
    retries_.insert(retries_.end(), items.begin(), items.end());
}

void group_commit::finish(const entry_ptr& item, const change_result& result)
{
    {
        const std::lock_guard lock(mutex_);
        --waiting_;
        waiting_bytes_ -= item->bytes;
    }
    if (result.outcome == change_outcome::conflict) {
        metrics_.count("jl_store_conflicts_total", "Changes whose compares failed");
    }
    if (item->done) {
        item->done(result);
    }
}

std::size_t group_commit::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiting_;
}

std::chrono::milliseconds group_commit::window() const
{
    const std::size_t members = options_.members ? options_.members() : 1;
    return options_.window_per_member * std::max<std::size_t>(members, 1);
}

// Sets the time of the next transaction. Half of the delay after a failure is random, so that
// entries that lost the store together do not return together.
void group_commit::schedule_next(steady_time sent_at)
{
    const auto pause = window();
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::int64_t> extra(0, backoff_.count() / 2);
    const auto delay = backoff_ / 2 + std::chrono::milliseconds(extra(random_));
    due_ = sent_at + std::max(pause, delay);
}

bool group_commit::flush_if_due()
{
    {
        const std::lock_guard lock(mutex_);
        if (clock_.steady_now() < due_) {
            return false;
        }
    }
    return flush();
}

void group_commit::run()
{
    for (;;) {
        flush_if_due();
        std::unique_lock lock(mutex_);
        const auto wait = due_ - clock_.steady_now();
        changed_.wait_for(lock, wait, [this] { return stopping_; });
        changed_.wait(lock, [this] { return stopping_ || !queue_.empty() || !retries_.empty(); });
        if (stopping_) {
            return;
        }
    }
}

} // namespace jl::store
