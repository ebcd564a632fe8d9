#include "requests/durable_requests.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/periodic_task.h"
#include "requests/deferred_queue.h"
#include "requests/execution_pool.h"
#include "requests/request_log.h"

namespace jl::requests {

namespace {

using internal::deferred_queue;
using internal::request_log;
using internal::stored_request;
using records::request_record;
using records::request_state;

constexpr std::chrono::milliseconds step_period{20};
constexpr std::chrono::milliseconds unsaved_retry_period{250};
// A role is released only after another entry has been preferred for this many rounds. Otherwise a
// short disagreement about the member list would move it.
constexpr int rounds_until_release = 3;
constexpr int max_claim_attempts = 4;
constexpr int max_manual_flushes = 16;
// Maximum time that shutdown waits for start marks to be written, and again for outcomes.
constexpr std::chrono::milliseconds stop_wait_limit{1000};
// Maximum number of keys that one transaction may read.
constexpr std::size_t max_read_keys = 128;
// Maximum number of cancellations submitted together. Their writes must fit into the queue of the
// group commit.
constexpr std::size_t max_cancellations = 1024;
constexpr std::size_t max_record_bytes = 1000000;
constexpr std::chrono::milliseconds backlog_retry_after{5000};

call_result make_refusal(int status, std::string code, std::string message, std::string field = "")
{
    call_result result;
    result.result = outcome::not_run;
    result.status = status;
    result.error_code = std::move(code);
    result.error_message = std::move(message);
    result.error_field = std::move(field);
    return result;
}

call_result make_store_refusal(const store::store_error& error)
{
    return make_refusal(503, "store_unavailable",
                        "the request could not be recorded and was not run: " + error.message);
}

call_result make_unknown(int status, std::string code, std::string message)
{
    auto result = make_refusal(status, std::move(code), std::move(message));
    result.result = outcome::unknown;
    return result;
}

// The result of a call that did not run although an earlier call with its key may have run.
call_result make_unknown_repetition(const call_result& refusal)
{
    auto result = refusal;
    result.result = outcome::unknown;
    result.error_message =
        "an earlier call with this key may have run; this one did not: " + refusal.error_message;
    return result;
}

// The state of a claim whose call did not run.
request_state unstarted_state(bool may_have_run)
{
    return may_have_run ? request_state::unknown : request_state::cancelled;
}

call_result make_accepted()
{
    call_result result;
    result.result = outcome::accepted;
    result.status = 202;
    return result;
}

std::optional<stored_request> find_current_record(const store::change_result& result,
                                                  const std::string& key)
{
    for (const auto& item : result.current) {
        if (item.key == key) {
            if (auto record = records::parse_request(item.value)) {
                return stored_request{std::move(*record), item.mod_revision};
            }
        }
    }
    return std::nullopt;
}

class durable_service_impl final : public durable_service {
public:
    durable_service_impl(store::key_value_store& store, store::process_lease& lease,
                         cluster::cluster_state& cluster, call_engine& engine,
                         const clock_source& clock, metrics& metrics,
                         const durable_options& options)
        : options_(options),
          lease_(lease),
          cluster_(cluster),
          engine_(engine),
          clock_(clock),
          random_(options_.seed != 0 ? options_.seed : std::random_device{}()),
          executions_(options_.background ? options_.max_concurrent_executions : 0),
          context_{log_, lease, cluster, engine, executions_, options_, [this] { wake(); }, {}},
          log_(store, cluster, clock, metrics, options_)
    {
        cluster_.set_queue_notice_handler([this](const std::string& service) {
            if (const auto queue = find_queue(service)) {
                queue->request_scan();
            }
        });
        if (options_.background) {
            const std::lock_guard lock(step_task_mutex_);
            step_task_ = std::make_unique<periodic_task>(step_period, step_period / 4,
                                                         [this] { run_step(); });
        }
    }

    ~durable_service_impl() override
    {
        cluster_.set_queue_notice_handler({});
        std::unique_ptr<periodic_task> step_task;
        {
            const std::lock_guard lock(step_task_mutex_);
            step_task = std::move(step_task_);
        }
        step_task.reset();
        drain();
    }
    durable_service_impl(const durable_service_impl&) = delete;
    durable_service_impl& operator=(const durable_service_impl&) = delete;

    call_result execute_once(const call& call) override;
    call_result accept_deferred(const call& call) override;
    std::optional<request_record> find(const std::string& id, std::string& reason) override;
    std::vector<std::string> cancel(const std::vector<std::string>& ids) override;
    int backlog(const std::string& service) const override;
    void step() override;

private:
    using queue_ptr = std::shared_ptr<deferred_queue>;
    struct claim_result {
        std::int64_t revision = 0; // of the committed claim; 0 if there is none
        call_result answer;        // returned to the caller if revision is 0
        bool may_have_run = false; // an earlier call with the key ended without an answer
    };
    // What a claim replaces.
    struct claim_basis {
        store::compare expected;
        bool may_have_run = false; // as in claim_result
    };
    struct role_state {
        int rounds_not_preferred = 0;
        // Lease epoch of an acquisition with unknown outcome. This entry may then hold the role
        // without a token, which keeps other entries from acquiring it.
        std::int64_t uncertain_acquire_epoch = 0;
        steady_time next_check;
    };

    claim_result claim(const call& call, const request_record& record);
    claim_result claim_on(const call& call, const request_record& record, claim_basis& basis);
    // Returns the result of a call whose key is in use, or nullopt if the claim may be retried on
    // `basis`.
    std::optional<call_result> resolve_key_in_use(const call& call, const stored_request& found,
                                                  claim_basis& basis);
    void withdraw_late_claim(const request_record& record, bool may_have_run,
                             const store::change_result& result);
    std::optional<request_record> mark_unknown(const stored_request& found);
    std::optional<call_result> check_acceptable(const call& call) const;
    static call_result make_accept_result(const request_record& wanted,
                                          const store::change_result& result);
    // The largest backlog that this entry or a live member reports for the queue of `service`.
    int highest_reported_backlog(const std::string& service) const;
    std::optional<request_record> find_deferred(const stored_request& found);
    void cancel_batch(const std::vector<std::string>& ids, std::vector<std::string>& cancelled);
    queue_ptr find_queue(const std::string& service) const;
    std::vector<queue_ptr> queues() const;
    void run_step();
    void update_roles();
    void update_role(const std::string& service, bool preferred);
    void try_acquire(const std::string& role, bool preferred, role_state& state);
    std::string preferred_member(const std::vector<cluster::member_status>& members,
                                 const std::string& service) const;
    void drain();
    void wait_for(const std::function<bool()>& condition) const;
    void wake();
    std::chrono::milliseconds jittered(std::chrono::milliseconds period);
    steady_time commit_deadline(const call& call) const
    {
        return std::min(call.deadline, clock_.steady_now() + options_.commit_timeout);
    }

    const durable_options options_;
    store::process_lease& lease_;
    cluster::cluster_state& cluster_;
    call_engine& engine_;
    const clock_source& clock_;
    std::mt19937_64 random_;          // used by the step thread only
    mutable std::mutex queues_mutex_; // rank 4
    std::map<std::string, queue_ptr> queues_;
    std::set<std::string> pending_notices_; // services whose queue owner must be notified
    std::map<std::string, role_state> roles_;
    steady_time next_role_check_;
    steady_time next_unsaved_retry_;
    internal::execution_pool executions_;
    internal::queue_context context_;
    request_log log_; // declared after the members that its callbacks use
    std::mutex step_task_mutex_;
    std::unique_ptr<periodic_task> step_task_;
};

// Keyed calls

call_result durable_service_impl::execute_once(const call& call)
{
    if (log_.unsaved() >= options_.max_unsaved_outcomes) {
        return make_refusal(503, "overloaded", "too many outcomes wait for the store");
    }
    auto record = internal::make_record(call, clock_);
    record.state = request_state::running;
    record.holder = log_.own_holder_id();
    if (record.holder.empty()) {
        return make_refusal(503, "not_ready", "this entry is not a member yet");
    }
    auto claimed = claim(call, record);
    if (claimed.revision == 0) {
        return claimed.answer;
    }
    auto result = engine_.execute(call);
    internal::outcome_write write;
    write.condition = store::unchanged_since(internal::request_key(record.id), claimed.revision);
    switch (result.result) {
    case outcome::answered:
        write.record = internal::with_answer(std::move(record), result);
        break;
    case outcome::not_run:
        // The next call with this key may replace the cancelled claim. The record is not removed:
        // a delayed duplicate of the claim's write must still conflict with it.
        write.record =
            internal::with_state(std::move(record), unstarted_state(claimed.may_have_run));
        if (claimed.may_have_run) {
            result = make_unknown_repetition(result);
        }
        break;
    case outcome::accepted:
    case outcome::unknown:
        write.record = internal::with_state(std::move(record), request_state::unknown);
        break;
    }
    log_.save_and_wait(std::move(write), std::min(options_.answer_commit_timeout,
                                                  time_left(call.deadline, clock_.steady_now())));
    return result;
}

durable_service_impl::claim_result durable_service_impl::claim(const call& call,
                                                               const request_record& record)
{
    claim_basis basis{store::key_absent(internal::request_key(record.id))};
    auto claimed = claim_on(call, record, basis);
    claimed.may_have_run = basis.may_have_run;
    if (basis.may_have_run && claimed.answer.result == outcome::not_run) {
        claimed.answer = make_unknown_repetition(claimed.answer);
    }
    return claimed;
}

durable_service_impl::claim_result
durable_service_impl::claim_on(const call& call, const request_record& record, claim_basis& basis)
{
    const auto key = internal::request_key(record.id);
    for (int attempt = 0; attempt < max_claim_attempts; ++attempt) {
        const auto lease = log_.lease();
        if (!lease) {
            return {0, make_store_refusal(store::last_error())};
        }
        store::change change;
        change.compares = {basis.expected};
        change.writes = {store::put(key, records::to_json(record), *lease)};
        change.deadline = commit_deadline(call);
        const auto result = log_.commits().commit(
            std::move(change),
            [this, record, may_have_run = basis.may_have_run](const store::change_result& late) {
                withdraw_late_claim(record, may_have_run, late);
            });
        switch (result.outcome) {
        case store::change_outcome::committed:
            return {result.revision, {}};
        case store::change_outcome::unknown:
            return {0, make_store_refusal(result.error)};
        case store::change_outcome::not_applied:
            if (result.error.code != store::store_error_code::lease_not_found) {
                return {0, make_store_refusal(result.error)};
            }
            log_.forget_lease(*lease);
            continue;
        case store::change_outcome::conflict:
            break;
        }
        basis.expected = store::key_absent(key);
        if (const auto found = find_current_record(result, key)) {
            if (auto answer = resolve_key_in_use(call, *found, basis)) {
                return {0, std::move(*answer)};
            }
        }
    }
    return {0, make_refusal(503, "key_contended", "the key is in use by other calls")};
}

// Withdraws a claim that was committed after its caller had received its answer. Otherwise the key
// would stay in use for as long as this entry lives.
void durable_service_impl::withdraw_late_claim(const request_record& record, bool may_have_run,
                                               const store::change_result& result)
{
    if (result.outcome != store::change_outcome::committed) {
        return;
    }
    internal::outcome_write write;
    write.condition = store::unchanged_since(internal::request_key(record.id), result.revision);
    write.record = internal::with_state(record, unstarted_state(may_have_run));
    log_.save_later(std::move(write));
}

std::optional<call_result> durable_service_impl::resolve_key_in_use(const call& call,
                                                                    const stored_request& found,
                                                                    claim_basis& basis)
{
    auto record = found.record;
    if (record.body_hash != internal::request_hash(call) || record.service != call.service ||
        internal::is_deferred(record)) {
        return make_refusal(422, "key_reused", "the idempotency key was used for another request",
                            "Idempotency-Key");
    }
    if (record.state == request_state::running && log_.holder_has_ended(record.holder)) {
        if (const auto updated = mark_unknown(found)) {
            record = *updated;
        }
    }
    const bool repeatable =
        record.state == request_state::unknown && record.idempotent && call.idempotent;
    if (record.state == request_state::cancelled || repeatable) {
        basis.expected =
            store::unchanged_since(internal::request_key(found.record.id), found.revision);
        basis.may_have_run = repeatable;
        return std::nullopt;
    }
    if (record.state == request_state::answered) {
        call_result result;
        result.result = outcome::answered;
        result.status = record.answer_status;
        result.content_type = record.answer_content_type;
        result.body = record.answer;
        return result;
    }
    if (record.state == request_state::running) {
        return make_unknown(409, "running", "a request with this key is running");
    }
    return make_unknown(504, "unknown", "a request with this key may have run; it is not repeated");
}

// Sets the state of a claim to unknown because its holder has ended. Returns the new record, or
// nullopt if the write was not committed in time.
std::optional<request_record> durable_service_impl::mark_unknown(const stored_request& found)
{
    internal::outcome_write write;
    write.condition =
        store::unchanged_since(internal::request_key(found.record.id), found.revision);
    write.record = internal::with_state(found.record, request_state::unknown);
    const auto updated = write.record;
    if (!log_.save_and_wait(std::move(write), options_.answer_commit_timeout)) {
        return std::nullopt;
    }
    return updated;
}

// Deferred requests

std::optional<call_result> durable_service_impl::check_acceptable(const call& call) const
{
    const auto* service =
        call.configuration ? call.configuration->find_service(call.service) : nullptr;
    if (service == nullptr) {
        return make_refusal(404, "unknown_service", "no service named " + call.service, "service");
    }
    if (highest_reported_backlog(call.service) >= service->max_backlog) {
        auto result =
            make_refusal(503, "backlog_full", "the deferred queue of the service is full");
        result.retry_after = backlog_retry_after;
        return result;
    }
    return std::nullopt;
}

int durable_service_impl::highest_reported_backlog(const std::string& service) const
{
    int known = backlog(service);
    for (const auto& status : cluster_.members()) {
        for (const auto& load : status.loads) {
            if (status.alive && load.service == service) {
                known = std::max(known, load.backlog);
            }
        }
    }
    return known;
}

call_result durable_service_impl::accept_deferred(const call& call)
{
    if (auto refusal = check_acceptable(call)) {
        return *refusal;
    }
    auto queued_record = internal::make_record(call, clock_);
    queued_record.state = request_state::queued;
    queued_record.expires_at =
        queued_record.accepted_at +
        std::min(time_left(call.deadline, clock_.steady_now()), options_.max_queue_time);
    const auto state_record = queued_record;
    queued_record.body = call.body;
    auto text = records::to_json(queued_record);
    if (text.size() > max_record_bytes) {
        return make_refusal(413, "too_large", "the body is too large for a deferred request",
                            "body");
    }
    const auto key = internal::request_key(queued_record.id);
    store::change change;
    change.compares = {store::key_absent(key)};
    // The keys are written without a lease, so that an accepted request is kept until its outcome
    // is written.
    change.writes = {
        store::put(internal::deferred_key(call.service, queued_record.id), std::move(text)),
        store::put(key, records::to_json(state_record))};
    change.deadline = commit_deadline(call);
    const auto notify = [this, queued_record](const store::change_result& result) {
        if (result.outcome != store::change_outcome::committed) {
            return;
        }
        const auto queue = find_queue(queued_record.service);
        if (queue && queue->owned()) {
            queue->add({queued_record, result.revision});
            wake();
            return;
        }
        const std::lock_guard lock(queues_mutex_);
        pending_notices_.insert(queued_record.service);
    };
    const auto result = log_.commits().commit(std::move(change), notify);
    notify(result);
    return make_accept_result(queued_record, result);
}

call_result durable_service_impl::make_accept_result(const request_record& wanted,
                                                     const store::change_result& result)
{
    switch (result.outcome) {
    case store::change_outcome::committed:
        return make_accepted();
    case store::change_outcome::not_applied:
        return make_store_refusal(result.error);
    case store::change_outcome::unknown:
        return make_unknown(
            504, "unknown",
            "the request may have been accepted; query its id before sending it again");
    case store::change_outcome::conflict:
        break;
    }
    const auto found = find_current_record(result, internal::request_key(wanted.id));
    if (!found) {
        return make_unknown(504, "unknown", "the record of this key cannot be read");
    }
    if (found->record.body_hash != wanted.body_hash || found->record.service != wanted.service ||
        !internal::is_deferred(found->record)) {
        return make_refusal(422, "key_reused", "the idempotency key was used for another request",
                            "Idempotency-Key");
    }
    if (found->record.state == request_state::cancelled ||
        found->record.state == request_state::expired) {
        return make_refusal(409, records::to_text(found->record.state),
                            "the request with this key has ended without running");
    }
    return make_accepted();
}

// Queries

std::optional<request_record> durable_service_impl::find(const std::string& id, std::string& reason)
{
    const auto found = log_.read(internal::request_key(id));
    if (!found) {
        reason = "unavailable";
        return std::nullopt;
    }
    if (found->revision == 0) {
        reason = "not_found";
        return std::nullopt;
    }
    if (found->record.state == request_state::queued) {
        auto record = find_deferred(*found);
        if (!record) {
            reason = "unavailable";
        }
        return record;
    }
    if (found->record.state == request_state::running &&
        log_.holder_has_ended(found->record.holder)) {
        if (auto updated = mark_unknown(*found)) {
            return updated;
        }
    }
    return found->record;
}

std::optional<request_record> durable_service_impl::find_deferred(const stored_request& found)
{
    const auto queue = find_queue(found.record.service);
    if (queue && queue->started(found.record.id)) {
        auto record = found.record;
        record.state = request_state::running;
        return record;
    }
    auto queued = log_.read(internal::deferred_key(found.record.service, found.record.id));
    if (!queued) {
        return std::nullopt;
    }
    if (queued->revision != 0) {
        queued->record.body.clear();
        return queued->record;
    }
    // The outcome was written between the two reads.
    const auto reread = log_.read(internal::request_key(found.record.id));
    return reread ? std::optional(reread->record) : std::nullopt;
}

// Cancellation

std::vector<std::string> durable_service_impl::cancel(const std::vector<std::string>& ids)
{
    std::vector<std::string> cancelled;
    for (std::size_t start = 0; start < ids.size(); start += max_cancellations) {
        const auto end = std::min(start + max_cancellations, ids.size());
        std::set<std::string> distinct(ids.begin() + static_cast<std::ptrdiff_t>(start),
                                       ids.begin() + static_cast<std::ptrdiff_t>(end));
        cancel_batch({distinct.begin(), distinct.end()}, cancelled);
    }
    return cancelled;
}

void durable_service_impl::cancel_batch(const std::vector<std::string>& ids,
                                        std::vector<std::string>& cancelled)
{
    struct progress {
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t pending = 0;
        std::vector<std::string> cancelled;
    };
    const auto lease = log_.lease();
    if (!lease) {
        return;
    }
    const auto state = std::make_shared<progress>();
    const auto deadline = clock_.steady_now() + options_.commit_timeout;
    for (std::size_t start = 0; start < ids.size(); start += max_read_keys) {
        std::vector<std::string> keys;
        for (std::size_t at = start; at < std::min(start + max_read_keys, ids.size()); ++at) {
            keys.push_back(internal::request_key(ids[at]));
        }
        const auto found = log_.read(keys);
        std::vector<std::string> queued;
        for (const auto& [key, stored] : found.value_or(std::map<std::string, stored_request>{})) {
            const auto& record = stored.record;
            const auto queue = find_queue(record.service);
            if (record.state == request_state::cancelled && internal::is_deferred(record)) {
                cancelled.push_back(record.id);
            }
            else if (record.state == request_state::queued &&
                     !(queue && queue->started(record.id))) {
                queued.push_back(internal::deferred_key(record.service, record.id));
            }
        }
        const auto entries =
            queued.empty() ? std::map<std::string, stored_request>{}
                           : log_.read(queued).value_or(std::map<std::string, stored_request>{});
        for (const auto& [key, stored] : entries) {
            if (stored.record.state != request_state::queued ||
                internal::may_have_run(stored.record)) {
                continue;
            }
            const auto record = internal::with_state(stored.record, request_state::cancelled);
            store::change change;
            change.compares = {store::unchanged_since(key, stored.revision)};
            change.writes = {
                store::put(internal::request_key(record.id), records::to_json(record), *lease),
                store::remove(key)};
            change.deadline = deadline;
            {
                const std::lock_guard lock(state->mutex);
                ++state->pending;
            }
            const auto queue = find_queue(record.service);
            const auto done = [state, queue, id = record.id](const store::change_result& result) {
                const bool written = result.outcome == store::change_outcome::committed;
                if (written && queue) {
                    queue->remove_cancelled(id);
                }
                const std::lock_guard lock(state->mutex);
                if (written) {
                    state->cancelled.push_back(id);
                }
                --state->pending;
                state->changed.notify_all();
            };
            if (!log_.commits().submit(std::move(change), done)) {
                const std::lock_guard lock(state->mutex);
                --state->pending;
            }
        }
    }
    for (int flush_count = 0; !options_.background && flush_count < max_manual_flushes;
         ++flush_count) {
        log_.commits().flush();
    }
    std::unique_lock lock(state->mutex);
    if (options_.background) {
        state->changed.wait_until(lock, deadline, [&] { return state->pending == 0; });
    }
    cancelled.insert(cancelled.end(), state->cancelled.begin(), state->cancelled.end());
}

// Queues and roles

int durable_service_impl::backlog(const std::string& service) const
{
    const auto queue = find_queue(service);
    return queue ? queue->backlog() : 0;
}

durable_service_impl::queue_ptr durable_service_impl::find_queue(const std::string& service) const
{
    const std::lock_guard lock(queues_mutex_);
    const auto found = queues_.find(service);
    return found == queues_.end() ? nullptr : found->second;
}

std::vector<durable_service_impl::queue_ptr> durable_service_impl::queues() const
{
    std::vector<queue_ptr> all;
    const std::lock_guard lock(queues_mutex_);
    for (const auto& [service, queue] : queues_) {
        all.push_back(queue);
    }
    return all;
}

// Finishes the executions in progress and returns requests that only have a start mark to their
// queues. A planned stop thus causes no unknown outcomes.
void durable_service_impl::drain()
{
    context_.stopping = true;
    const auto all = queues();
    wait_for([&] {
        return std::none_of(all.begin(), all.end(),
                            [](const queue_ptr& queue) { return queue->has_pending_marks(); });
    });
    executions_.stop();
    for (const auto& queue : all) {
        queue->return_marked_to_queue();
    }
    wait_for([this] { return log_.unsaved() == 0; });
}

void durable_service_impl::wait_for(const std::function<bool()>& condition) const
{
    const auto until = clock_.steady_now() + stop_wait_limit;
    while (options_.background && !condition() && clock_.steady_now() < until) {
        std::this_thread::sleep_for(step_period / 4);
    }
}

void durable_service_impl::wake()
{
    const std::lock_guard lock(step_task_mutex_);
    if (step_task_) {
        step_task_->wake();
    }
}

std::chrono::milliseconds durable_service_impl::jittered(std::chrono::milliseconds period)
{
    std::uniform_int_distribution<std::int64_t> extra(0, period.count());
    return period + std::chrono::milliseconds(extra(random_));
}

void durable_service_impl::step()
{
    run_step();
    log_.commits().flush_if_due();
    executions_.run_posted_tasks();
}

void durable_service_impl::run_step()
{
    const auto now = clock_.steady_now();
    if (now >= next_role_check_) {
        next_role_check_ = now + jittered(options_.role_check_period / 2);
        update_roles();
    }
    std::set<std::string> notices;
    {
        const std::lock_guard lock(queues_mutex_);
        notices.swap(pending_notices_);
    }
    for (const auto& service : notices) {
        cluster_.notify_queue(service);
    }
    if (now >= next_unsaved_retry_) {
        next_unsaved_retry_ = now + jittered(unsaved_retry_period);
        log_.retry_unsaved();
    }
    for (const auto& queue : queues()) {
        queue->step();
    }
}

void durable_service_impl::update_roles()
{
    const auto configuration = cluster_.configuration();
    if (!configuration) {
        return;
    }
    if (lease_.valid()) {
        // Obtains the lease before a request needs it. A lease granted before a store outage can be
        // used during the outage.
        log_.lease();
    }
    const auto members = cluster_.members();
    for (const auto& service : configuration->services) {
        update_role(service.name, preferred_member(members, service.name) == cluster_.self());
    }
}

std::string
durable_service_impl::preferred_member(const std::vector<cluster::member_status>& members,
                                       const std::string& service) const
{
    const auto self = cluster_.self();
    const auto role = deferred_queue::role_of(service);
    std::string preferred;
    std::uint64_t best = 0;
    for (const auto& status : members) {
        const auto& name = status.member.member;
        const bool eligible =
            name == self ? lease_.valid() : status.alive && status.store_reachable;
        const auto score = rendezvous_score(name, role);
        if (eligible && (preferred.empty() || score > best)) {
            preferred = name;
            best = score;
        }
    }
    return preferred;
}

// Reads the role first and tries to acquire it only if it is free or already held by this entry,
// because a read costs less than a write.
void durable_service_impl::try_acquire(const std::string& role, bool preferred, role_state& state)
{
    const auto found = log_.scan({records::owners_prefix + role, "", 0});
    if (!found) {
        return;
    }
    const bool ours = !found->items.empty() && found->items[0].lease == lease_.id();
    if (ours || (preferred && found->items.empty())) {
        state.uncertain_acquire_epoch = lease_.acquire(role) ? 0 : lease_.epoch();
    }
}

void durable_service_impl::update_role(const std::string& service, bool preferred)
{
    const auto role = deferred_queue::role_of(service);
    auto queue = find_queue(service);
    if (!queue) {
        queue = std::make_shared<deferred_queue>(context_, service, random_());
        const std::lock_guard lock(queues_mutex_);
        queues_[service] = queue;
    }
    auto& state = roles_[service];
    state.rounds_not_preferred = preferred ? 0 : state.rounds_not_preferred + 1;
    const auto now = clock_.steady_now();
    const bool may_hold_role =
        state.uncertain_acquire_epoch == lease_.epoch() && now >= state.next_check;
    if (!lease_.token(role) && lease_.valid() && (preferred || may_hold_role)) {
        state.next_check = now + jittered(options_.rescan_period);
        try_acquire(role, preferred, state);
    }
    const auto token = lease_.token(role);
    const bool releasing = state.rounds_not_preferred >= rounds_until_release;
    queue->set_owned(token && !releasing);
    if (token && releasing && !queue->has_pending_marks()) {
        lease_.release(role);
    }
}

} // namespace

std::unique_ptr<durable_service>
make_durable_requests(store::key_value_store& store, store::process_lease& lease,
                      cluster::cluster_state& cluster, call_engine& engine,
                      const clock_source& clock, metrics& metrics, const durable_options& options)
{
    return std::make_unique<durable_service_impl>(store, lease, cluster, engine, clock, metrics,
                                                  options);
}

} // namespace jl::requests
