#include "standins/memory_store.h"

#include <atomic>
#include <thread>

namespace jl::standins {

using store::internal::fail;

namespace {

constexpr std::size_t max_history = 100000;

bool in_range(const std::string& key, const std::string& start, const std::string& end)
{
    return end.empty() ? key == start : key >= start && (end == std::string(1, '\0') || key < end);
}

bool has_write(const std::vector<store::operation>& operations)
{
    for (const auto& operation : operations) {
        if (operation.type != store::operation::kind::range) {
            return true;
        }
    }
    return false;
}

} // namespace

class memory_store::memory_watch final : public store::watch {
public:
    memory_watch(memory_store& owner, std::string key, std::string range_end,
                 std::int64_t start_revision, store::watch_callback callback)
        : owner_(owner),
          key_(std::move(key)),
          range_end_(std::move(range_end)),
          next_revision_(start_revision),
          callback_(std::move(callback)),
          thread_([this] { run(); })
    {
    }

    ~memory_watch() override
    {
        {
            const std::lock_guard lock(owner_.mutex_);
            stopping_ = true;
        }
        owner_.changed_.notify_all();
        thread_.join();
    }
    memory_watch(const memory_watch&) = delete;
    memory_watch& operator=(const memory_watch&) = delete;

    bool active() const override { return active_; }

private:
    void run()
    {
        std::unique_lock lock(owner_.mutex_);
        if (next_revision_ <= 0) {
            next_revision_ = owner_.revision_ + 1;
        }
        ++owner_.counts_.watches_waiting;
        while (!stopping_ && owner_.fault_ != store_fault::unavailable) {
            const auto events = collect();
            const auto revision = owner_.revision_;
            next_revision_ = revision + 1;
            if (!events.empty()) {
                lock.unlock();
                callback_(events, revision);
                lock.lock();
                continue;
            }
            owner_.changed_.wait(lock);
        }
        --owner_.counts_.watches_waiting;
        active_ = false;
    }

    std::vector<store::watch_event> collect() const
    {
        std::vector<store::watch_event> events;
        const auto& history = owner_.history_;
        for (auto at = history.lower_bound(next_revision_); at != history.end(); ++at) {
            for (const auto& event : at->second) {
                if (in_range(event.item.key, key_, range_end_)) {
                    events.push_back(event);
                }
            }
        }
        return events;
    }

    memory_store& owner_;
    const std::string key_;
    const std::string range_end_;
    std::int64_t next_revision_;
    const store::watch_callback callback_;
    bool stopping_ = false;
    std::atomic<bool> active_{true};
    std::thread thread_;
};

memory_store::memory_store(const clock_source& clock) : clock_(clock) {}

memory_store::~memory_store() = default;

store_fault memory_store::take_fault()
{
    if (fault_ == store_fault::none || fault_calls_ == 0) {
        return store_fault::none;
    }
    const auto fault = fault_;
    if (fault_calls_ > 0 && --fault_calls_ == 0) {
        fault_ = store_fault::none;
    }
    return fault;
}

bool memory_store::holds(const store::compare& compare) const
{
    const auto found = items_.find(compare.key);
    if (found == items_.end()) {
        return compare.revision == 0;
    }
    const auto actual = compare.compared == store::compare::field::create_revision
                            ? found->second.create_revision
                            : found->second.mod_revision;
    return actual == compare.revision;
}

store::range_result memory_store::read(const std::string& key, const std::string& range_end,
                                       std::int64_t limit) const
{
    store::range_result result;
    result.revision = revision_;
    for (auto at = items_.lower_bound(key); at != items_.end(); ++at) {
        if (!in_range(at->first, key, range_end)) {
            break;
        }
        ++result.count;
        if (limit > 0 && static_cast<std::int64_t>(result.items.size()) == limit) {
            result.more = true;
            continue;
        }
        result.items.push_back(at->second);
    }
    return result;
}

void memory_store::erase(const std::string& key, std::vector<store::watch_event>& events)
{
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return;
    }
    if (found->second.lease != 0) {
        leases_[found->second.lease].keys.erase(key);
    }
    store::key_value item;
    item.key = key;
    item.mod_revision = revision_ + 1;
    events.push_back({store::watch_event::kind::remove, item});
    items_.erase(found);
}

void memory_store::write(const store::operation& operation, std::vector<store::watch_event>& events)
{
    if (operation.type == store::operation::kind::remove) {
        const auto selected = read(operation.key, operation.range_end, 0);
        for (const auto& item : selected.items) {
            erase(item.key, events);
        }
        return;
    }
    auto& item = items_[operation.key];
    if (item.lease != 0 && item.lease != operation.lease) {
        leases_[item.lease].keys.erase(operation.key);
    }
    item.key = operation.key;
    item.value = operation.value;
    item.mod_revision = revision_ + 1;
    if (item.create_revision == 0) {
        item.create_revision = revision_ + 1;
    }
    item.lease = operation.lease;
    if (operation.lease != 0) {
        leases_[operation.lease].keys.insert(operation.key);
    }
    events.push_back({store::watch_event::kind::put, item});
}

void memory_store::publish(std::vector<store::watch_event> events)
{
    if (events.empty()) {
        return;
    }
    ++revision_;
    history_[revision_] = std::move(events);
    if (history_.size() > max_history) {
        history_.erase(history_.begin());
    }
    changed_.notify_all();
}

void memory_store::end_lease(std::int64_t lease, std::vector<store::watch_event>& events)
{
    const auto keys = leases_[lease].keys;
    for (const auto& key : keys) {
        erase(key, events);
    }
    leases_.erase(lease);
}

void memory_store::expire_leases_locked()
{
    const auto now = clock_.steady_now();
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expires_at <= now) {
            expired.push_back(id);
        }
    }
    std::vector<store::watch_event> events;
    for (const auto id : expired) {
        end_lease(id, events);
    }
    publish(std::move(events));
}

void memory_store::expire_leases()
{
    const std::lock_guard lock(mutex_);
    expire_leases_locked();
}

std::optional<store::range_result> memory_store::range(const store::range_request& request,
                                                       steady_time /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    ++counts_.reads;
    switch (take_fault()) {
    case store_fault::none:
        break;
    case store_fault::unavailable:
        return fail(store::store_error_code::unavailable, "injected fault");
    case store_fault::lost_answer:
        return fail(store::store_error_code::outcome_unknown, "injected fault");
    }
    expire_leases_locked();
    return read(request.key, request.range_end, request.limit);
}

std::optional<store::transaction_result> memory_store::commit(const store::transaction& transaction,
                                                              steady_time /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    const bool writes = has_write(transaction.on_success) || has_write(transaction.on_failure);
    ++(writes ? counts_.writes : counts_.reads);
    const auto fault = take_fault();
    if (fault == store_fault::unavailable) {
        return fail(store::store_error_code::unavailable, "injected fault");
    }
    if (transaction.on_success.size() > max_operations ||
        transaction.on_failure.size() > max_operations ||
        transaction.compares.size() > max_operations) {
        return fail(store::store_error_code::refused, "too many operations");
    }
    expire_leases_locked();
    store::transaction_result result;
    result.succeeded = true;
    for (const auto& compare : transaction.compares) {
        result.succeeded = result.succeeded && holds(compare);
    }
    const auto& operations = result.succeeded ? transaction.on_success : transaction.on_failure;
    for (const auto& operation : operations) {
        if (operation.value.size() > max_value_bytes) {
            return fail(store::store_error_code::refused, "value too large");
        }
        if (operation.lease != 0 && leases_.count(operation.lease) == 0) {
            return fail(store::store_error_code::lease_not_found, "requested lease not found");
        }
    }
    std::vector<store::watch_event> events;
    for (const auto& operation : operations) {
        if (operation.type == store::operation::kind::range) {
            result.ranges.push_back(read(operation.key, operation.range_end, 0));
        }
        else {
            write(operation, events);
        }
    }
    publish(std::move(events));
    result.revision = revision_;
    if (fault == store_fault::lost_answer) {
        return fail(store::store_error_code::outcome_unknown, "injected fault");
    }
    return result;
}

std::optional<std::int64_t> memory_store::grant_lease(std::chrono::seconds ttl,
                                                      steady_time /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    ++counts_.writes;
    const auto fault = take_fault();
    if (fault == store_fault::unavailable) {
        return fail(store::store_error_code::unavailable, "injected fault");
    }
    const auto id = next_lease_++;
    leases_[id] = {ttl, clock_.steady_now() + ttl, {}};
    if (fault == store_fault::lost_answer) {
        return fail(store::store_error_code::outcome_unknown, "injected fault");
    }
    return id;
}

std::optional<std::chrono::seconds> memory_store::keep_alive(std::int64_t lease,
                                                             steady_time /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    ++counts_.writes;
    const auto fault = take_fault();
    if (fault == store_fault::unavailable) {
        return fail(store::store_error_code::unavailable, "injected fault");
    }
    expire_leases_locked();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return fail(store::store_error_code::lease_not_found, "the lease has expired");
    }
    found->second.expires_at = clock_.steady_now() + found->second.ttl;
    if (fault == store_fault::lost_answer) {
        return fail(store::store_error_code::outcome_unknown, "injected fault");
    }
    return found->second.ttl;
}

bool memory_store::revoke_lease(std::int64_t lease, steady_time /*deadline*/)
{
    const std::lock_guard lock(mutex_);
    ++counts_.writes;
    const auto fault = take_fault();
    if (fault == store_fault::unavailable) {
        fail(store::store_error_code::unavailable, "injected fault");
        return false;
    }
    if (leases_.count(lease) == 0) {
        fail(store::store_error_code::lease_not_found, "the lease has expired");
        return false;
    }
    std::vector<store::watch_event> events;
    end_lease(lease, events);
    publish(std::move(events));
    return fault == store_fault::none;
}

std::unique_ptr<store::watch> memory_store::start_watch(const std::string& key,
                                                        const std::string& range_end,
                                                        std::int64_t start_revision,
                                                        store::watch_callback callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (fault_ == store_fault::unavailable && fault_calls_ != 0) {
            fail(store::store_error_code::unavailable, "injected fault");
            return nullptr;
        }
    }
    return std::make_unique<memory_watch>(*this, key, range_end, start_revision,
                                          std::move(callback));
}

void memory_store::inject(store_fault fault, int count)
{
    {
        const std::lock_guard lock(mutex_);
        fault_ = count == 0 ? store_fault::none : fault;
        fault_calls_ = count;
    }
    // Ends waiting watches if the store becomes unavailable.
    changed_.notify_all();
}

store_counts memory_store::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace jl::standins
