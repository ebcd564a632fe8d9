#include "requests/deferred_queue.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "base/log.h"

namespace jl::requests::internal {

namespace {

// Writes of one count of attempts while other entries change the record.
constexpr int max_attempt_writes = 3;

using records::request_state;

constexpr std::int64_t max_page_size = 256;
// Other entries send a notice for the requests that they accept. This period limits the scans that
// notices cause to ten per second for each queue.
constexpr std::chrono::milliseconds requested_scan_period{100};
constexpr std::chrono::milliseconds min_read_backoff{100};
constexpr std::chrono::milliseconds max_read_backoff{2000};
constexpr std::chrono::milliseconds return_to_queue_timeout{1000};
// Bounds of the number of start marks of a queue that may be pending at a time. If the entry dies
// while a marked request waits for a free slot, the outcome is unknown. Therefore the limit grows
// only while marked requests find slots.
constexpr std::size_t min_pending_marks_limit = 8;
constexpr std::size_t max_pending_marks_limit = 128;
// Maximum number of requests held in memory of a team whose requests are refused, and the delay
// after a page from which no request was loaded. With pages of 256 requests, a scan skips up to
// 1024 requests per second.
constexpr std::size_t max_loaded_per_refused_team = 64;
constexpr std::chrono::milliseconds skipped_page_delay{250};

} // namespace

deferred_queue::deferred_queue(queue_context& context, std::string service, std::uint64_t seed)
    : context_(context),
      service_(std::move(service)),
      prefix_(records::deferred_prefix + service_ + "/"),
      pending_marks_limit_(min_pending_marks_limit),
      random_(seed),
      page_size_(max_page_size)
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
    // Requests that this entry has not started are left to the next owner.
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
    more_to_read_ = false;
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

bool deferred_queue::has_pending_marks() const
{
    const std::lock_guard lock(mutex_);
    return pending_marks_ > 0;
}

void deferred_queue::request_scan()
{
    const std::lock_guard lock(mutex_);
    scan_requested_ = true;
}

void deferred_queue::add(stored_request request)
{
    const std::lock_guard lock(mutex_);
    if (!owned_) {
        return;
    }
    ++backlog_;
    if (full()) {
        // A later scan reads the request.
        scan_requested_ = true;
        return;
    }
    insert(std::move(request));
}

void deferred_queue::remove_cancelled(const std::string& id)
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
           (found->second->state != phase::waiting || found->second->marked ||
            may_have_run(found->second->stored.record));
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
    return items_.size() >= context_.options.max_loaded_requests ||
           loaded_bytes_ >= context_.options.max_loaded_bytes;
}

void deferred_queue::insert(stored_request stored)
{
    const auto found = items_.find(stored.record.id);
    if (found != items_.end()) {
        found->second->last_seen_pass = scan_pass_;
        return;
    }
    auto item = std::make_shared<deferred_queue::item>();
    item->body_bytes = stored.record.body.size();
    item->last_seen_pass = scan_pass_;
    item->stored = std::move(stored);
    const auto& team = item->stored.record.team;
    if (refused_limit_reached(team)) {
        pass_skipped_requests_ = true;
        return;
    }
    page_inserted_requests_ = true;
    loaded_bytes_ += item->body_bytes;
    ++loaded_by_team_[team];
    items_[item->stored.record.id] = item;
    ready_by_team_[team].push_back(item);
}

bool deferred_queue::refused_limit_reached(const std::string& team) const
{
    const auto loaded = loaded_by_team_.find(team);
    return refused_teams_.count(team) > 0 && loaded != loaded_by_team_.end() &&
           loaded->second >= max_loaded_per_refused_team;
}

void deferred_queue::remove(const item_ptr& item)
{
    if (item->state == phase::removed) {
        return;
    }
    item->state = phase::removed;
    loaded_bytes_ -= item->body_bytes;
    const auto loaded = loaded_by_team_.find(item->stored.record.team);
    if (--loaded->second == 0) {
        loaded_by_team_.erase(loaded);
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
        return_marked_to_queue();
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
    const bool refill = refilling_ || items_.size() <= context_.options.max_loaded_requests / 2;
    return (more_to_read_ && refill) || now >= next_pass_ ||
           (scan_requested_ && now >= next_requested_scan_);
}

void deferred_queue::scan()
{
    const auto now = context_.log.clock().steady_now();
    const auto period = jittered(context_.options.rescan_period);
    bool from_start = false;
    {
        const std::lock_guard lock(mutex_);
        if (now >= next_pass_ && !(more_to_read_ && pass_skipped_requests_)) {
            ++scan_pass_;
            pass_skipped_requests_ = false;
            cursor_.clear();
            ended_holders_.clear();
            next_pass_ = now + period;
        }
        scan_requested_ = false;
        page_inserted_requests_ = false;
        next_requested_scan_ = now + requested_scan_period;
        from_start = cursor_.empty();
    }
    const auto first = from_start ? prefix_ : cursor_ + '\0';
    const auto read = context_.log.scan({first, store::prefix_end(prefix_), page_size_});
    if (!read) {
        // A page of large requests can exceed the limits of a call.
        page_size_ = std::max<std::int64_t>(page_size_ / 2, 1);
        read_backoff_ = std::clamp(read_backoff_ * 2, min_read_backoff, max_read_backoff);
        next_read_ = now + jittered(read_backoff_ / 2);
        const std::lock_guard lock(mutex_);
        more_to_read_ = true;
        return;
    }
    read_backoff_ = {};
    page_size_ = std::min(page_size_ * 2, max_page_size);
    for (const auto& value : read->items) {
        load_record(value);
        cursor_ = value.key;
    }
    bool ended = false;
    {
        const std::lock_guard lock(mutex_);
        const auto unread = read->count - static_cast<std::int64_t>(read->items.size());
        backlog_ = from_start
                       ? read->count
                       : std::max(backlog_, static_cast<std::int64_t>(items_.size()) + unread);
        more_to_read_ = read->more;
        refilling_ = !full();
        if (pass_skipped_requests_ && !page_inserted_requests_) {
            next_read_ = now + skipped_page_delay;
        }
        ended = !more_to_read_;
    }
    if (ended) {
        remove_unseen();
    }
    else {
        context_.wake();
    }
}

void deferred_queue::load_record(const store::key_value& value)
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

// Handles a request that has a start mark but no outcome. A live holder writes the outcome itself,
// even if it no longer owns the queue. If the holder has ended, the outcome is set to unknown.
void deferred_queue::load_started(const std::string& key, stored_request stored)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(stored.record.id);
        if (found != items_.end()) {
            found->second->last_seen_pass = scan_pass_;
            return;
        }
    }
    const auto& holder = stored.record.holder;
    if (holder != context_.log.own_holder_id()) {
        const auto [cached, added] = ended_holders_.try_emplace(holder, false);
        if (added) {
            cached->second = context_.log.holder_has_ended(holder);
        }
        if (!cached->second) {
            return;
        }
    }
    outcome_write write;
    write.condition = store::unchanged_since(key, stored.revision);
    write.deferred_key_to_remove = key;
    write.record = with_state(std::move(stored.record), request_state::unknown);
    context_.log.save(std::move(write));
}

void deferred_queue::remove_unseen()
{
    const std::lock_guard lock(mutex_);
    std::vector<item_ptr> unseen;
    for (const auto& [id, item] : items_) {
        if (item->state == phase::waiting && !item->marked && item->last_seen_pass != scan_pass_) {
            unseen.push_back(item);
        }
    }
    for (const auto& item : unseen) {
        remove(item);
    }
}

// Dispatching

void deferred_queue::dispatch()
{
    while (context_.log.unsaved() < context_.options.max_unsaved_outcomes) {
        if (!context_.engine.has_room_for_deferred(service_)) {
            return;
        }
        const auto item = take_next_ready();
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

// Takes the next request, round-robin over the teams, so that the requests of one team do not delay
// those of another.
deferred_queue::item_ptr deferred_queue::take_next_ready()
{
    const auto now = context_.log.clock().steady_now();
    const std::lock_guard lock(mutex_);
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const auto item = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        ready_by_team_[item->stored.record.team].push_front(item);
    }
    if (started_count_ + pending_marks_ >= context_.options.max_concurrent_executions ||
        pending_marks_ >= pending_marks_limit_) {
        return nullptr;
    }
    while (!ready_by_team_.empty()) {
        auto team = ready_by_team_.upper_bound(last_team_);
        if (team == ready_by_team_.end()) {
            team = ready_by_team_.begin();
        }
        last_team_ = team->first;
        auto item = std::move(team->second.front());
        team->second.pop_front();
        if (team->second.empty()) {
            ready_by_team_.erase(team);
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
        ++(item->state == phase::started ? started_count_ : pending_marks_);
        return item->state == phase::started;
    }();
    if (marked) {
        post(item);
        return;
    }
    write_start_mark(item);
}

void deferred_queue::write_start_mark(const item_ptr& item)
{
    const auto token = context_.lease.token(role_of(service_));
    const auto holder = context_.log.own_holder_id();
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
        change.deadline = context_.log.clock().steady_now() + context_.options.commit_timeout;
        item->mark_epoch = context_.lease.epoch();
        const auto self = shared_from_this();
        queued = context_.log.commits().submit(std::move(change),
                                               [self, item](const store::change_result& result) {
                                                   self->on_mark_result(item, result);
                                               });
    }
    if (!queued) {
        on_mark_result(item, {store::change_outcome::not_applied, 0, {}, {}});
    }
}

void deferred_queue::on_mark_result(const item_ptr& item, const store::change_result& result)
{
    {
        const std::lock_guard lock(mutex_);
        limit_reached_ = limit_reached_ || pending_marks_ == pending_marks_limit_;
        --pending_marks_;
        if (pending_marks_ == 0 && std::exchange(limit_reached_, false)) {
            pending_marks_limit_ = std::min(pending_marks_limit_ * 2, max_pending_marks_limit);
        }
        switch (result.outcome) {
        case store::change_outcome::committed:
            item->state = phase::started;
            item->marked = true;
            item->body = std::move(item->stored.record.body);
            item->stored.revision = result.revision;
            item->stored.record.state = request_state::running;
            ++started_count_;
            break;
        case store::change_outcome::conflict:
            // The request was cancelled, or this entry no longer owns the queue.
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

// If this process was paused for long, the next owner may have set the outcome of a marked request
// to unknown. Therefore a request is executed only while the process lease has the same epoch as
// when the mark was written.
bool deferred_queue::may_execute(const item& item) const
{
    return !context_.stopping && context_.lease.valid() &&
           (!item.marked || context_.lease.epoch() == item.mark_epoch);
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
    call.repeat_unanswered = false; // each attempt is counted
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
        return_to_queue(item);
        return;
    }
    if (!count_repetition(item)) {
        return;
    }
    const auto result = context_.engine.execute(make_call(*item));
    const auto& record = item->stored.record;
    if (result.result == outcome::not_run) {
        on_team_refused(record.team);
    }
    else {
        on_team_ran(record.team);
    }
    switch (result.result) {
    case outcome::answered:
        finish(item, with_answer(record, result));
        return;
    case outcome::unknown:
    case outcome::accepted:
        if (may_have_run(record) || count_attempt(item)) {
            retry_after_delay(item, context_.options.retry_delay);
        }
        return;
    case outcome::not_run:
        retry_after_delay(item, std::max(context_.options.retry_delay, result.retry_after));
        return;
    }
}

// A request may crash each target that it is sent to. Its attempts are therefore counted in its
// record, where the next owner of the queue finds them: the first one once it had no answer, each
// further one before it is sent. Returns false if the request must not be sent.
bool deferred_queue::count_repetition(const item_ptr& item)
{
    auto& record = item->stored.record;
    if (!record.idempotent || !may_have_run(record)) {
        return true;
    }
    return count_attempt(item);
}

// Returns false if the request has used all attempts or is no longer queued.
bool deferred_queue::count_attempt(const item_ptr& item)
{
    auto& record = item->stored.record;
    if (!record.idempotent || record.unanswered_attempts >= context_.options.max_attempts) {
        finish(item, with_state(record, request_state::unknown));
        return false;
    }
    ++record.unanswered_attempts;
    if (record_attempt(*item)) {
        return true;
    }
    // The request was cancelled or has ended. If not, a later scan reads it again.
    const std::lock_guard lock(mutex_);
    --started_count_;
    remove(item);
    return false;
}

// Writes the number of attempts to the record, also if another entry has changed it meanwhile.
// Returns false if the request is no longer queued.
bool deferred_queue::record_attempt(item& item)
{
    auto& stored = item.stored;
    const auto key = deferred_key(service_, stored.record.id);
    for (int attempt = 0; attempt < max_attempt_writes; ++attempt) {
        store::change change;
        change.compares = {store::unchanged_since(key, stored.revision)};
        change.writes = {store::put(key, records::to_json(stored.record))};
        change.deadline = context_.log.clock().steady_now() + context_.options.commit_timeout;
        const auto result = context_.log.commits().commit(std::move(change));
        if (result.outcome == store::change_outcome::committed) {
            stored.revision = result.revision;
            return true;
        }
        if (result.outcome != store::change_outcome::conflict) {
            log_event(log_level::warning, "attempt of a deferred request not recorded",
                      {{"request", stored.record.id},
                       {"attempts", std::to_string(stored.record.unanswered_attempts)},
                       {"reason", result.error.message}});
            return true; // it counts for this owner only
        }
        const auto current = result.current.empty()
                                 ? std::nullopt
                                 : records::parse_request(result.current.front().value);
        if (!current || current->state != request_state::queued) {
            return false;
        }
        stored.record = *current;
        stored.revision = result.current.front().mod_revision;
        ++stored.record.unanswered_attempts;
    }
    return false;
}

void deferred_queue::on_team_refused(const std::string& team)
{
    const std::lock_guard lock(mutex_);
    refused_teams_.insert(team);
    pending_marks_limit_ = std::max(pending_marks_limit_ / 2, min_pending_marks_limit);
    const auto ready = ready_by_team_.find(team);
    if (ready == ready_by_team_.end()) {
        return;
    }
    // A later scan reads the requests again that are removed here.
    auto& items = ready->second;
    while (refused_limit_reached(team) && items.size() > 1) {
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

void deferred_queue::on_team_ran(const std::string& team)
{
    const std::lock_guard lock(mutex_);
    if (refused_teams_.erase(team) > 0) {
        pass_skipped_requests_ = false;
        next_pass_ = {};
    }
}

void deferred_queue::retry_after_delay(const item_ptr& item, std::chrono::milliseconds delay)
{
    const auto wait = jittered(delay);
    {
        const std::lock_guard lock(mutex_);
        --started_count_;
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
        ++started_count_;
    }
    const auto& record = item->stored.record;
    finish(item, with_state(record, may_have_run(record) ? request_state::unknown
                                                         : request_state::expired));
}

void deferred_queue::finish(const item_ptr& item, records::request_record outcome)
{
    {
        const std::lock_guard lock(mutex_);
        --started_count_;
        item->state = phase::finishing;
    }
    const auto key = deferred_key(service_, outcome.id);
    outcome_write write;
    write.condition = store::unchanged_since(key, item->stored.revision);
    write.deferred_key_to_remove = key;
    write.record = std::move(outcome);
    write.done = [self = shared_from_this(), item](bool) {
        const std::lock_guard lock(self->mutex_);
        --self->backlog_;
        self->remove(item);
    };
    context_.log.save(std::move(write));
    context_.wake();
}

// Removes the start mark of a request that has not run, so that it can be executed again.
void deferred_queue::return_to_queue(const item_ptr& item)
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
        change.deadline = context_.log.clock().steady_now() + return_to_queue_timeout;
        outcome = context_.log.commits().commit(std::move(change)).outcome;
    }
    const std::lock_guard lock(mutex_);
    --started_count_;
    if (outcome == store::change_outcome::committed || outcome == store::change_outcome::conflict) {
        remove(item);
        next_return_to_queue_ = {};
        return;
    }
    // No other entry may change the record while this entry lives, so the write is retried. If this
    // attempt took effect although its outcome is unknown, the retry ends with a conflict.
    item->state = phase::waiting;
    next_return_to_queue_ = context_.log.clock().steady_now() + context_.options.retry_delay;
    delayed_.emplace(next_return_to_queue_, item);
}

void deferred_queue::return_marked_to_queue()
{
    std::vector<item_ptr> waiting;
    {
        const std::lock_guard lock(mutex_);
        if (context_.log.clock().steady_now() < next_return_to_queue_) {
            return;
        }
        for (const auto& [id, item] : items_) {
            if (item->state == phase::waiting && item->marked) {
                item->state = phase::started;
                ++started_count_;
                waiting.push_back(item);
            }
        }
    }
    for (const auto& item : waiting) {
        return_to_queue(item);
    }
}

} // namespace jl::requests::internal
