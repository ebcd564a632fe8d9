#include "requests/deferred_queue.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "base/log.h"

namespace jl::requests::internal {

namespace {

using records::request_state;

constexpr std::int64_t max_page = 256;
// Notices arrive for every accepted request; reads are bounded to ten a second for each queue.
constexpr std::chrono::milliseconds notice_period{100};
constexpr std::chrono::milliseconds min_read_backoff{100};
constexpr std::chrono::milliseconds max_read_backoff{2000};
constexpr std::chrono::milliseconds unmark_limit{1000};
// Start marks that one commit may carry for a queue. A mark whose request waits for a slot leaves
// an unknown outcome if the entry dies, so the number grows only while marked requests find slots.
constexpr std::size_t min_marking = 8;
constexpr std::size_t max_marking = 128;
// Requests kept in memory of a team whose requests are refused, and the pause after a page of the
// queue that held only such requests: 1024 of them are passed over in a second.
constexpr std::size_t max_loaded_refused = 64;
constexpr std::chrono::milliseconds skip_pause{250};

} // namespace

deferred_queue::deferred_queue(queue_context& context, std::string service, std::uint64_t seed)
    : context_(context),
      service_(std::move(service)),
      prefix_(records::deferred_prefix + service_ + "/"),
      marking_limit_(min_marking),
      random_(seed),
      page_(max_page)
{
}

std::string deferred_queue::role_of(const std::string& service)
{
    return "queue/" + service;
}

void deferred_queue::set_owned(bool owned)
{
    const std::lock_guard lock(mutex_);
    if (owned == owned_) {
        return;
    }
    owned_ = owned;
    log_event(log_level::info, owned ? "deferred queue taken over" : "deferred queue given up",
              {{"service", service_}});
    // What this entry has not started belongs to the next owner.
    std::vector<item_ptr> dropped;
    for (const auto& [id, item] : items_) {
        if (item->state == phase::waiting && !item->marked) {
            dropped.push_back(item);
        }
    }
    for (const auto& item : dropped) {
        remove(item);
    }
    cursor_.clear();
    reading_ = false;
    refilling_ = true;
    next_pass_ = {};
    next_read_ = {};
    backlog_ = 0;
}

bool deferred_queue::owned() const
{
    const std::lock_guard lock(mutex_);
    return owned_;
}

bool deferred_queue::marking() const
{
    const std::lock_guard lock(mutex_);
    return marking_ > 0;
}

void deferred_queue::notice()
{
    const std::lock_guard lock(mutex_);
    noticed_ = true;
}

void deferred_queue::add(stored_request request)
{
    const std::lock_guard lock(mutex_);
    if (!owned_) {
        return;
    }
    ++backlog_;
    if (full()) {
        // Read later by a scan.
        noticed_ = true;
        return;
    }
    insert(std::move(request));
}

void deferred_queue::forget(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(id);
    if (found != items_.end() && found->second->state == phase::waiting) {
        --backlog_;
        remove(found->second);
    }
}

bool deferred_queue::started(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(id);
    return found != items_.end() &&
           (found->second->state != phase::waiting || found->second->marked);
}

int deferred_queue::backlog() const
{
    const std::lock_guard lock(mutex_);
    if (!owned_) {
        return 0;
    }
    return static_cast<int>(std::max<std::int64_t>(backlog_, 0));
}

bool deferred_queue::full() const
{
    return items_.size() >= context_.options.max_loaded ||
           bytes_ >= context_.options.max_loaded_bytes;
}

void deferred_queue::insert(stored_request stored)
{
    const auto found = items_.find(stored.record.id);
    if (found != items_.end()) {
        found->second->pass = pass_;
        return;
    }
    auto item = std::make_shared<deferred_queue::item>();
    item->bytes = stored.record.body.size();
    item->pass = pass_;
    item->stored = std::move(stored);
    const auto& team = item->stored.record.team;
    if (skips(team)) {
        skipped_ = true;
        return;
    }
    inserted_ = true;
    bytes_ += item->bytes;
    ++loaded_[team];
    items_[item->stored.record.id] = item;
    ready_[team].push_back(item);
}

bool deferred_queue::skips(const std::string& team) const
{
    const auto loaded = loaded_.find(team);
    return refused_.count(team) > 0 && loaded != loaded_.end() &&
           loaded->second >= max_loaded_refused;
}

void deferred_queue::remove(const item_ptr& item)
{
    if (item->state == phase::gone) {
        return;
    }
    item->state = phase::gone;
    bytes_ -= item->bytes;
    const auto loaded = loaded_.find(item->stored.record.team);
    if (--loaded->second == 0) {
        loaded_.erase(loaded);
    }
    items_.erase(item->stored.record.id);
}

std::chrono::milliseconds deferred_queue::jittered(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::int64_t> extra(0, delay.count());
    return delay + std::chrono::milliseconds(extra(random_));
}

bool deferred_queue::expired(const records::request_record& record) const
{
    return record.expires_at <= to_unix(context_.log.clock().wall_now());
}

void deferred_queue::step()
{
    if (!owned() || !context_.lease.token(role_of(service_))) {
        unmark_all();
        return;
    }
    if (scan_due()) {
        scan();
    }
    dispatch();
}

// Scanning

bool deferred_queue::scan_due() const
{
    const auto now = context_.log.clock().steady_now();
    const std::lock_guard lock(mutex_);
    if (now < next_read_ || full()) {
        return false;
    }
    const bool refill = refilling_ || items_.size() <= context_.options.max_loaded / 2;
    return (reading_ && refill) || now >= next_pass_ || (noticed_ && now >= next_notice_);
}

void deferred_queue::scan()
{
    const auto now = context_.log.clock().steady_now();
    const auto period = jittered(context_.options.rescan_period);
    bool from_start = false;
    {
        const std::lock_guard lock(mutex_);
        if (now >= next_pass_ && !(reading_ && skipped_)) {
            ++pass_;
            skipped_ = false;
            cursor_.clear();
            gone_.clear();
            next_pass_ = now + period;
        }
        noticed_ = false;
        inserted_ = false;
        next_notice_ = now + notice_period;
        from_start = cursor_.empty();
    }
    const auto first = from_start ? prefix_ : cursor_ + '\0';
    const auto read = context_.log.scan({first, store::prefix_end(prefix_), page_});
    if (!read) {
        // A page of large requests can exceed the limits of a call.
        page_ = std::max<std::int64_t>(page_ / 2, 1);
        read_backoff_ = std::clamp(read_backoff_ * 2, min_read_backoff, max_read_backoff);
        next_read_ = now + jittered(read_backoff_ / 2);
        const std::lock_guard lock(mutex_);
        reading_ = true;
        return;
    }
    read_backoff_ = {};
    page_ = std::min(page_ * 2, max_page);
    for (const auto& value : read->items) {
        load(value);
        cursor_ = value.key;
    }
    bool ended = false;
    {
        const std::lock_guard lock(mutex_);
        const auto unread = read->count - static_cast<std::int64_t>(read->items.size());
        backlog_ = from_start
                       ? read->count
                       : std::max(backlog_, static_cast<std::int64_t>(items_.size()) + unread);
        reading_ = read->more;
        refilling_ = !full();
        if (skipped_ && !inserted_) {
            next_read_ = now + skip_pause;
        }
        ended = !reading_;
    }
    if (ended) {
        end_pass();
    }
    else {
        context_.wake();
    }
}

void deferred_queue::load(const store::key_value& value)
{
    auto record = records::parse_request(value.value);
    if (!record) {
        context_.log.counters().count("jl_deferred_malformed_total",
                                      "Records of deferred requests that cannot be read");
        return;
    }
    stored_request stored{std::move(*record), value.mod_revision};
    if (stored.record.state != request_state::queued) {
        load_started(value.key, std::move(stored));
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(stored.record.id);
    if (found != items_.end() && found->second->state == phase::waiting &&
        found->second->stored.revision != stored.revision && !found->second->marked) {
        remove(found->second);
    }
    insert(std::move(stored));
}

// A start mark without an answer. The live holder writes the answer itself, even if it does not
// own the queue any more. Without the holder, the outcome cannot be known.
void deferred_queue::load_started(const std::string& key, stored_request stored)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(stored.record.id);
        if (found != items_.end()) {
            found->second->pass = pass_;
            return;
        }
    }
    const auto& holder = stored.record.holder;
    if (holder != context_.log.holder()) {
        const auto [known, added] = gone_.try_emplace(holder, false);
        if (added) {
            known->second = context_.log.holder_gone(holder);
        }
        if (!known->second) {
            return;
        }
    }
    final_write write;
    write.condition = store::unchanged_since(key, stored.revision);
    write.removed_key = key;
    write.record = with_state(std::move(stored.record), request_state::unknown);
    context_.log.save(std::move(write));
}

void deferred_queue::end_pass()
{
    const std::lock_guard lock(mutex_);
    std::vector<item_ptr> vanished;
    for (const auto& [id, item] : items_) {
        if (item->state == phase::waiting && !item->marked && item->pass != pass_) {
            vanished.push_back(item);
        }
    }
    for (const auto& item : vanished) {
        remove(item);
    }
}

// Dispatching

void deferred_queue::dispatch()
{
    while (context_.log.unsaved() < context_.options.max_unsaved) {
        if (!context_.engine.has_room_for_deferred(service_)) {
            return;
        }
        const auto item = pick();
        if (!item) {
            return;
        }
        if (expired(item->stored.record)) {
            expire(item);
            continue;
        }
        start(item);
    }
}

// Takes the next request, one team after the other, so that the requests of one team do not hold
// up those of another.
deferred_queue::item_ptr deferred_queue::pick()
{
    const auto now = context_.log.clock().steady_now();
    const std::lock_guard lock(mutex_);
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const auto item = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        ready_[item->stored.record.team].push_front(item);
    }
    if (started_ + marking_ >= context_.options.max_executions || marking_ >= marking_limit_) {
        return nullptr;
    }
    while (!ready_.empty()) {
        auto team = ready_.upper_bound(last_team_);
        if (team == ready_.end()) {
            team = ready_.begin();
        }
        last_team_ = team->first;
        auto item = std::move(team->second.front());
        team->second.pop_front();
        if (team->second.empty()) {
            ready_.erase(team);
        }
        if (item->state == phase::waiting) {
            return item;
        }
    }
    return nullptr;
}

void deferred_queue::start(const item_ptr& item)
{
    const bool marked = [&] {
        const std::lock_guard lock(mutex_);
        item->state =
            item->stored.record.idempotent || item->marked ? phase::started : phase::marking;
        ++(item->state == phase::started ? started_ : marking_);
        return item->state == phase::started;
    }();
    if (marked) {
        post(item);
        return;
    }
    mark(item);
}

void deferred_queue::mark(const item_ptr& item)
{
    const auto token = context_.lease.token(role_of(service_));
    const auto holder = context_.log.holder();
    const auto& stored = item->stored;
    const auto key = deferred_key(service_, stored.record.id);
    bool queued = false;
    if (token && !holder.empty()) {
        auto record = with_state(stored.record, request_state::running);
        record.holder = holder;
        store::change change;
        change.compares = {store::unchanged_since(key, stored.revision),
                           store::process_lease::fence(role_of(service_), *token)};
        change.writes = {store::put(key, records::to_json(record))};
        change.deadline = context_.log.clock().steady_now() + context_.options.commit_limit;
        item->epoch = context_.lease.epoch();
        const auto self = shared_from_this();
        queued = context_.log.commits().submit(
            std::move(change),
            [self, item](const store::change_result& result) { self->marked(item, result); });
    }
    if (!queued) {
        marked(item, {store::change_outcome::not_applied, 0, {}, {}});
    }
}

void deferred_queue::marked(const item_ptr& item, const store::change_result& result)
{
    {
        const std::lock_guard lock(mutex_);
        limited_ = limited_ || marking_ == marking_limit_;
        --marking_;
        if (marking_ == 0 && std::exchange(limited_, false)) {
            marking_limit_ = std::min(marking_limit_ * 2, max_marking);
        }
        switch (result.outcome) {
        case store::change_outcome::committed:
            item->state = phase::started;
            item->marked = true;
            item->body = std::move(item->stored.record.body);
            item->stored.revision = result.revision;
            item->stored.record.state = request_state::running;
            ++started_;
            break;
        case store::change_outcome::conflict:
            // Cancelled, or this entry does not own the queue any more.
            --backlog_;
            remove(item);
            return;
        case store::change_outcome::not_applied:
            item->state = phase::waiting;
            delayed_.emplace(context_.log.clock().steady_now() + context_.options.retry_delay,
                             item);
            return;
        case store::change_outcome::unknown:
            return; // the process is stopping
        }
    }
    post(item);
}

void deferred_queue::post(const item_ptr& item)
{
    context_.executions.post([self = shared_from_this(), item] { self->execute(item); });
}

// A start mark that was written before a long pause may have been settled by the next owner, so
// work starts only under the lease of the mark.
bool deferred_queue::may_execute(const item& item) const
{
    return !context_.stopping && context_.lease.valid() &&
           (!item.marked || context_.lease.epoch() == item.epoch);
}

call deferred_queue::make_call(const item& item) const
{
    const auto& record = item.stored.record;
    call call;
    call.id = record.id;
    call.service = record.service;
    call.team = record.team;
    call.priority = parse_request_class(record.request_class).value_or(request_class::deferred);
    call.idempotent = record.idempotent;
    call.content_type = record.content_type;
    call.body = item.marked ? item.body : record.body;
    call.configuration = context_.cluster.configuration();
    const auto* service = call.configuration ? call.configuration->find_service(service_) : nullptr;
    const auto limit = service != nullptr ? service->max_timeout : objects::service{}.max_timeout;
    call.deadline = context_.log.clock().steady_now() + limit;
    return call;
}

void deferred_queue::execute(const item_ptr& item)
{
    if (!may_execute(*item)) {
        unmark(item);
        return;
    }
    const auto result = context_.engine.execute(make_call(*item));
    const auto& record = item->stored.record;
    if (result.result == outcome::not_run) {
        note_refused(record.team);
    }
    else {
        note_run(record.team);
    }
    switch (result.result) {
    case outcome::answered:
        finish(item, with_answer(record, result));
        return;
    case outcome::unknown:
    case outcome::accepted:
        ++item->attempts;
        if (record.idempotent && item->attempts < context_.options.max_attempts) {
            try_later(item, context_.options.retry_delay);
            return;
        }
        finish(item, with_state(record, request_state::unknown));
        return;
    case outcome::not_run:
        try_later(item, std::max(context_.options.retry_delay, result.retry_after));
        return;
    }
}

void deferred_queue::note_refused(const std::string& team)
{
    const std::lock_guard lock(mutex_);
    refused_.insert(team);
    marking_limit_ = std::max(marking_limit_ / 2, min_marking);
    const auto ready = ready_.find(team);
    if (ready == ready_.end()) {
        return;
    }
    // What is dropped here is read again by a later scan.
    auto& items = ready->second;
    while (skips(team) && items.size() > 1) {
        const auto item = items.back();
        if (item->marked) {
            return;
        }
        items.pop_back();
        if (item->state == phase::waiting) {
            remove(item);
        }
    }
}

void deferred_queue::note_run(const std::string& team)
{
    const std::lock_guard lock(mutex_);
    if (refused_.erase(team) > 0) {
        skipped_ = false;
        next_pass_ = {};
    }
}

void deferred_queue::try_later(const item_ptr& item, std::chrono::milliseconds delay)
{
    const auto wait = jittered(delay);
    {
        const std::lock_guard lock(mutex_);
        --started_;
        item->state = phase::waiting;
        if (!owned_ && !item->marked) {
            remove(item);
            return;
        }
        delayed_.emplace(context_.log.clock().steady_now() + wait, item);
    }
    context_.wake();
}

void deferred_queue::expire(const item_ptr& item)
{
    {
        const std::lock_guard lock(mutex_);
        ++started_;
    }
    finish(item, with_state(item->stored.record, request_state::expired));
}

void deferred_queue::finish(const item_ptr& item, records::request_record outcome)
{
    {
        const std::lock_guard lock(mutex_);
        --started_;
        item->state = phase::finishing;
    }
    const auto key = deferred_key(service_, outcome.id);
    final_write write;
    write.condition = store::unchanged_since(key, item->stored.revision);
    write.removed_key = key;
    write.record = std::move(outcome);
    write.done = [self = shared_from_this(), item](bool) {
        const std::lock_guard lock(self->mutex_);
        --self->backlog_;
        self->remove(item);
    };
    context_.log.save(std::move(write));
    context_.wake();
}

// Puts a request back into the queue that was marked as started but has not run.
void deferred_queue::unmark(const item_ptr& item)
{
    auto outcome = store::change_outcome::conflict;
    if (item->marked) {
        auto record = with_state(item->stored.record, request_state::queued);
        record.holder.clear();
        record.body = item->body;
        const auto key = deferred_key(service_, record.id);
        store::change change;
        change.compares = {store::unchanged_since(key, item->stored.revision)};
        change.writes = {store::put(key, records::to_json(record))};
        change.deadline = context_.log.clock().steady_now() + unmark_limit;
        outcome = context_.log.commits().commit(std::move(change)).outcome;
    }
    const std::lock_guard lock(mutex_);
    --started_;
    if (outcome == store::change_outcome::committed || outcome == store::change_outcome::conflict) {
        remove(item);
        next_unmark_ = {};
        return;
    }
    // Nobody else may settle it while this entry lives, so it is tried again. If the present
    // attempt took effect after all, the next one conflicts.
    item->state = phase::waiting;
    next_unmark_ = context_.log.clock().steady_now() + context_.options.retry_delay;
    delayed_.emplace(next_unmark_, item);
}

void deferred_queue::unmark_all()
{
    std::vector<item_ptr> waiting;
    {
        const std::lock_guard lock(mutex_);
        if (context_.log.clock().steady_now() < next_unmark_) {
            return;
        }
        for (const auto& [id, item] : items_) {
            if (item->state == phase::waiting && item->marked) {
                item->state = phase::started;
                ++started_;
                waiting.push_back(item);
            }
        }
    }
    for (const auto& item : waiting) {
        unmark(item);
    }
}

} // namespace jl::requests::internal
