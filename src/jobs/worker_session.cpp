#include "jobs/worker_session.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Longest time for which the worker may delay its answer to a hold until a task ends. It bounds the
// time between two renewals of the lease.
constexpr auto max_hold_wait = 1000ms;
constexpr decisions::long_poll::limits hold_wait{max_hold_wait, 100ms, 40ms};
// Limits of the wait for an answer, beyond the wait that a hold asks for.
constexpr auto max_answer_wait = 700ms;
constexpr decisions::retransmission_timer::limits answer_wait{max_answer_wait, 100ms,
                                                              max_answer_wait};
// Delay of the hold after one without an answer. The first repetition follows at once, because a
// single lost answer is no sign that the worker is gone.
constexpr auto first_retry_delay = 10ms;
constexpr auto retry_delay = 250ms;
// Delay of the hold after a reported end, so that one report collects ends in quick succession.
constexpr auto hold_interval = 25ms;
// The interval grows with the tasks that the last report listed, since each report lists all of
// them, up to a limit well below the lease.
constexpr std::size_t tasks_per_hold_interval = 100;
constexpr auto max_hold_interval = 500ms;
// Two readings of a worker's clock may differ by this much from the time between their arrivals, as
// answers take their time. A larger difference is the clock of another incarnation.
constexpr auto max_clock_delay = 1500ms;
// Rate of the slowest worker clock, relative to this process's clock.
constexpr double slowest_clock_rate = 0.98;
// A hold that fails between this time and its timeout was waiting on the worker, whose connection
// then broke. One that fails sooner may have found the worker gone.
constexpr auto min_broken_wait = 50ms;
// A worker that is asked for its presence is taken for absent after this many requests in a row
// without an answer. A single answer may be lost.
constexpr int requests_before_absence = 2;
// Orders on a former port are answered or time out before the address changes so many times.
constexpr std::size_t max_former_ports = 4;
// A worker that was suspended may still act on a lease that has just expired.
constexpr auto expiry_margin = 400ms;

net::boot_clock::duration on_local_clock(milliseconds worker_time)
{
    return std::chrono::duration_cast<net::boot_clock::duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(worker_time.count()) /
                                                  slowest_clock_rate));
}

milliseconds interval_after(const hold_report& report)
{
    const auto rows = static_cast<std::int64_t>(report.running.size() / tasks_per_hold_interval);
    return std::min<milliseconds>(max_hold_interval, hold_interval * (1 + rows));
}

// True if the answer does not name its incarnation, and the worker has restarted since the order
// was sent.
bool may_precede_restart(const order_result& result, std::int64_t incarnation_when_sent,
                         std::int64_t present_incarnation)
{
    const bool reached_worker = result.status != order_status::not_sent;
    return reached_worker && result.started_at_ms == 0 &&
           incarnation_when_sent != present_incarnation;
}

} // namespace

net::boot_clock::duration longest_lease(milliseconds max_lease)
{
    return on_local_clock(max_lease) + expiry_margin;
}

const char* to_string(loss_cause cause)
{
    switch (cause) {
    case loss_cause::restarted:
        return "restarted";
    case loss_cause::replaced:
        return "replaced";
    case loss_cause::powered_off:
        return "powered_off";
    case loss_cause::lease_expired:
        return "lease_expired";
    }
    return "unknown";
}

const char* to_string(incarnation_source source)
{
    switch (source) {
    case incarnation_source::report:
        return "report";
    case incarnation_source::order:
        return "order";
    }
    return "unknown";
}

worker_session::worker_session(net::timer_service& timers, session_listener& listener,
                               std::unique_ptr<worker_port> port, worker_registration info,
                               std::int64_t token, session_settings settings,
                               open_lease_orders open_orders)
    : timers_(timers),
      listener_(listener),
      port_(std::move(port)),
      info_(std::move(info)),
      token_(token),
      settings_(std::move(settings)),
      answer_timer_(answer_wait),
      hold_interval_(hold_interval),
      hold_poll_(hold_wait),
      born_(info_.started_at_ms),
      answered_at_address_(settings_.previous_leader_lease > 0ms),
      lease_bound_(timers.now() + on_local_clock(settings_.previous_leader_lease) + expiry_margin),
      created_at_(timers.now()),
      open_lease_orders_(std::move(open_orders))
{
    if (const auto open_until = open_lease_orders_.open_until(timers.now())) {
        // The worker may be a later incarnation than the one that they were sent to.
        earlier_orders_ = earlier_orders{*open_until, token_};
    }
    check_lease_expiry();
    schedule_hold(0ms);
}

worker_session::~worker_session()
{
    *alive_ = false;
    timers_.cancel(hold_timer_);
    timers_.cancel(lease_timer_);
}

void worker_session::update(const worker_registration& info)
{
    const bool same_incarnation =
        info.started_at_ms == 0 || born_ == 0 || info.started_at_ms == born_;
    if (same_incarnation || !proven()) {
        take_over(info);
        return;
    }
    if (hint_ && hint_->info.started_at_ms == info.started_at_ms) {
        hint_->info = info;
    }
    else if (info.started_at_ms > born_) {
        note_hint(info);
    }
}

void worker_session::take_over(const worker_registration& info)
{
    const auto address = info_.address;
    info_ = info;
    info_.address = address;
    if (info.started_at_ms != 0) {
        born_ = info.started_at_ms;
    }
}

// Another writer may have left the registration. If it is the worker's, an order to the known
// incarnation may reach the next one, and the clock that we know is not the present one.
void worker_session::note_hint(const worker_registration& info)
{
    log_event(log_level::info, "worker.restart_registered",
              {{"worker", info_.id},
               {"known_incarnation", std::to_string(born_)},
               {"registered_incarnation", std::to_string(info.started_at_ms)}});
    hint_ = incarnation_hint{info, timers_.now()};
    worker_clock_.reset();
    count_leases_across_restart();
    const auto alive = alive_;
    listener_.on_restart_suspected(*this);
    if (*alive) {
        request_report(); // carries the fencing token, which a new incarnation does not know
    }
}

void worker_session::drop_refuted_hint(const order_result& result, net::boot_time requested_at)
{
    const bool refuted = hint_ && requested_at > hint_->read_at && result.started_at_ms != 0 &&
                         result.started_at_ms < hint_->info.started_at_ms;
    if (!refuted) {
        return;
    }
    log_event(log_level::warning, "worker.restart_refuted",
              {{"worker", info_.id},
               {"incarnation", std::to_string(born_)},
               {"registered_incarnation", std::to_string(hint_->info.started_at_ms)}});
    hint_.reset();
}

void worker_session::check_presence(std::function<void()> absent)
{
    if (dead_) {
        return;
    }
    presence_check_ = presence_check{timers_.now(), 0, std::move(absent)};
    request_report();
}

void worker_session::note_presence(net::boot_time requested_at)
{
    if (presence_check_ && requested_at > presence_check_->begun_at) {
        presence_check_.reset();
    }
}

void worker_session::note_absence(net::boot_time requested_at)
{
    if (!presence_check_ || requested_at <= presence_check_->begun_at) {
        return;
    }
    if (++presence_check_->unanswered >= requests_before_absence) {
        const auto absent = std::move(presence_check_->absent);
        presence_check_.reset();
        absent();
    }
}

void worker_session::reconnect(std::unique_ptr<worker_port> port, const endpoint& address)
{
    former_ports_.push_back(std::exchange(port_, std::move(port)));
    if (former_ports_.size() > max_former_ports) {
        former_ports_.pop_front();
    }
    info_.address = address;
    answered_at_address_ = false;
    request_report();
}

bool worker_session::resolved() const
{
    return all_ends_read() || dead_ || timers_.now() >= lease_bound();
}

void worker_session::request_report()
{
    report_requested_ = true;
    if (!hold_in_flight_ && !dead_) {
        schedule_hold(0ms);
    }
}

void worker_session::schedule_hold(std::chrono::nanoseconds delay)
{
    if (dead_) {
        return;
    }
    timers_.cancel(hold_timer_);
    hold_timer_ = timers_.call_after(delay, [this] {
        hold_timer_ = 0;
        send_hold();
    });
}

// Returns nothing while the worker's clock is unknown or the worker does not answer. A renewal
// whose arrival is unknown would only delay the recovery of the worker's tasks.
std::optional<milliseconds> worker_session::extend_lease()
{
    if (!worker_clock_ || failed_holds_ > 0) {
        return std::nullopt;
    }
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(timers_.now() - worker_clock_read_at_);
    const auto until = *worker_clock_ + elapsed + settings_.lease;
    open_lease_orders_.on_sent(timers_.now());
    raise_lease_bound(worker_clock_read_at_ + on_local_clock(until - *worker_clock_) +
                      expiry_margin);
    return until;
}

void worker_session::raise_lease_bound(net::boot_time bound)
{
    lease_bound_ = std::max(lease_bound_, bound);
    expiry_reported_ = false;
    check_lease_expiry();
}

net::boot_time worker_session::lease_bound() const
{
    return earlier_orders_
               ? std::max(lease_bound_, earlier_orders_->until + longest_lease(settings_.max_lease))
               : lease_bound_;
}

bool worker_session::may_have_longest_lease() const
{
    return timers_.now() < longest_lease_bound_ ||
           (earlier_orders_ && timers_.now() < lease_bound());
}

bool worker_session::earlier_orders_open() const
{
    return earlier_orders_ && timers_.now() < earlier_orders_->until;
}

void worker_session::expect_longest_lease(bool earlier_orders_open)
{
    const auto end_of_leadership = timers_.now() + settings_.previous_leader_time;
    if (earlier_orders_open) {
        earlier_orders_ = earlier_orders{end_of_leadership + late_execution_limit, token_ - 1};
    }
    raise_longest_lease_bound(end_of_leadership);
}

void worker_session::raise_longest_lease_bound(net::boot_time last_order)
{
    const auto bound = last_order + longest_lease(settings_.max_lease);
    longest_lease_bound_ = std::max(longest_lease_bound_, bound);
    raise_lease_bound(bound);
}

// A lease ends at a time on the worker's clock, which starts anew with each incarnation, so an
// order to the former one grants the longest lease, whenever it is carried out. The new incarnation
// has seen no token, so it refuses none of these orders until it has answered one with a higher
// token.
void worker_session::count_leases_across_restart()
{
    const auto own = open_lease_orders_.open_until(timers_.now());
    const auto previous = last_order_of_previous_leader();
    if (own || previous) {
        const auto until =
            std::max(own.value_or(net::boot_time{}), previous.value_or(net::boot_time{}));
        const auto token = own ? token_ : token_ - 1;
        const auto known = earlier_orders_.value_or(earlier_orders{until, token});
        earlier_orders_ =
            earlier_orders{std::max(known.until, until), std::max(known.token, token)};
    }
    raise_longest_lease_bound(timers_.now());
}

std::optional<net::boot_time> worker_session::last_order_of_previous_leader() const
{
    const auto last = created_at_ + settings_.previous_leader_time + late_execution_limit;
    return settings_.previous_leader_lease > 0ms && timers_.now() < last ? std::make_optional(last)
                                                                         : std::nullopt;
}

void worker_session::raise_token(std::int64_t token)
{
    const bool refuses_open_orders = !earlier_orders_ || token_ > earlier_orders_->token;
    if (dead_ || refuses_open_orders || token <= token_) {
        return;
    }
    log_event(log_level::info, "worker.token_raised",
              {{"worker", info_.id},
               {"incarnation", std::to_string(born_)},
               {"token", std::to_string(token)}});
    token_ = token;
    request_report();
}

void worker_session::settle_earlier_orders(std::int64_t token)
{
    if (earlier_orders_ && token > earlier_orders_->token) {
        earlier_orders_.reset();
        raise_longest_lease_bound(timers_.now()); // one may just have been carried out
    }
}

void worker_session::send_hold()
{
    if (hold_in_flight_ || dead_) {
        return;
    }
    if (!settings_.may_act()) {
        schedule_hold(retry_delay);
        return;
    }
    hold_in_flight_ = true;
    const bool has_unacknowledged_ends = last_reported_end_ > acknowledged_;
    const bool in_use = listener_.in_use(*this) || has_more_ends_;
    hold_order order;
    order.fencing_token = token_;
    // Behind a new connection may be a new incarnation, which numbers its ends anew.
    order.last_seen_end = port_->has_hold_connection() ? acknowledged_ : 0;
    order.lease_until = in_use ? extend_lease() : std::nullopt;
    const bool answer_at_once =
        report_requested_ || has_unacknowledged_ends || failed_holds_ > 0 || !contacted_;
    if (!answer_at_once) {
        order.wait = std::min<milliseconds>(next_wait_.value_or(max_hold_wait), hold_poll_.wait());
        next_wait_.reset();
    }
    report_requested_ = false;
    last_hold_sent_at_ = timers_.now();
    sent_hold sent;
    sent.at = last_hold_sent_at_;
    sent.timeout = order.wait + answer_timer_.timeout();
    sent.token = token_;
    sent.has_lease = order.lease_until.has_value();
    sent.waits = !answer_at_once;
    port_->hold(order, sent.timeout, [this, sent, alive = alive_](const hold_report& report) {
        if (!*alive) {
            return;
        }
        if (!sent.waits) {
            record_round_trip(report.result, sent.at);
        }
        record_loss(report.result);
        on_hold(report, sent);
    });
}

void worker_session::on_hold(const hold_report& report, const sent_hold& sent)
{
    hold_in_flight_ = false;
    if (sent.has_lease) {
        close_lease_order(report.result, sent.at);
    }
    if (dead_) {
        return; // an answer of an incarnation that has ended
    }
    if (may_be_of_former_incarnation(report.result, sent.at) ||
        refused_for_later_order(report.result, sent.token)) {
        schedule_hold(0ms); // its ends and runs are numbered apart from those of the present one
        return;
    }
    const auto alive = alive_;
    switch (report.result.status) {
    case order_status::accepted:
        break;
    case order_status::fenced:
        listener_.on_fenced(*this);
        return;
    case order_status::other_worker:
        if (!proven() || answered_at_address_) {
            end(loss_cause::replaced);
            return;
        }
        [[fallthrough]]; // the worker is not at an address that only a registration states
    default:
        on_failed_hold(report.result, sent);
        return;
    }
    if (failed_holds_ > 0) {
        log_event(log_level::info, "worker.regained",
                  {{"worker", info_.id}, {"failed_calls", std::to_string(failed_holds_)}});
    }
    failed_holds_ = 0;
    record_result(report.result, incarnation_source::report);
    if (!*alive) {
        return;
    }
    note_presence(sent.at);
    drop_refuted_hint(report.result, sent.at);
    if (report.result.started_at_ms == born_) {
        settle_earlier_orders(sent.token);
    }
    contacted_ = true;
    answered_at_address_ = true;
    has_more_ends_ = report.has_more_ends;
    hold_interval_ = interval_after(report);
    listener_.on_report(*this, report, sent.at);
    if (!*alive || dead_) {
        return;
    }
    const bool has_unacknowledged_ends = last_reported_end_ > acknowledged_;
    if (report_requested_) {
        schedule_hold(hold_interval_);
    }
    else if (has_unacknowledged_ends) {
        schedule_hold(max_hold_wait); // acknowledge() schedules it earlier
    }
    else if (listener_.in_use(*this)) {
        schedule_hold(report.ended.empty() ? 0ms : hold_interval_);
    }
}

void worker_session::on_failed_hold(const order_result& result, const sent_hold& sent)
{
    const auto alive = alive_;
    const auto waited = timers_.now() - sent.at;
    record_broken_connection(sent.at, sent.timeout);
    record_failure(to_string(result.status), waited >= min_broken_wait && waited < sent.timeout);
    if (!*alive) {
        return;
    }
    const bool answered = result.status != order_status::unanswered &&
                          result.status != order_status::not_sent &&
                          result.status != order_status::other_worker;
    if (answered) {
        note_presence(sent.at);
    }
    else {
        note_absence(sent.at);
    }
    if (*alive && !dead_) {
        const bool ask_at_once = failed_holds_ == 1 || presence_check_;
        schedule_hold(ask_at_once ? first_retry_delay : retry_delay);
    }
}

void worker_session::acknowledge(std::int64_t number)
{
    acknowledged_ = std::max(acknowledged_, number);
    if (!hold_in_flight_ && !dead_ && (last_reported_end_ <= acknowledged_ || has_more_ends_)) {
        const auto earliest = last_hold_sent_at_ + hold_interval_;
        const auto now = timers_.now();
        schedule_hold(earliest > now ? earliest - now : std::chrono::nanoseconds(0));
    }
}

void worker_session::close_lease_order(const order_result& result, net::boot_time sent_at)
{
    if (result.status != order_status::unanswered) {
        open_lease_orders_.on_closed(sent_at);
    }
}

bool worker_session::refused_for_later_order(const order_result& result, std::int64_t token) const
{
    return result.status == order_status::fenced && token < token_;
}

bool worker_session::of_former_incarnation(const order_result& result) const
{
    return result.status != order_status::other_worker && result.started_at_ms != 0 &&
           result.started_at_ms < born_ && incarnation_answered_;
}

bool worker_session::may_be_of_former_incarnation(const order_result& result,
                                                  net::boot_time sent_at) const
{
    const bool reached_worker =
        result.status != order_status::not_sent && result.status != order_status::unanswered;
    const bool may_precede_hint = hint_ && reached_worker && sent_at <= hint_->read_at &&
                                  result.started_at_ms < hint_->info.started_at_ms;
    return of_former_incarnation(result) || may_precede_hint;
}

void worker_session::record_result(const order_result& result, incarnation_source source)
{
    if (result.status == order_status::other_worker || of_former_incarnation(result)) {
        return;
    }
    const auto alive = alive_;
    if (result.started_at_ms > born_ && born_ != 0) {
        on_new_incarnation(result.started_at_ms, source);
        if (!*alive) {
            return;
        }
    }
    if (result.started_at_ms != 0) {
        born_ = result.started_at_ms; // lower than a time that only a registration has stated
        incarnation_answered_ = true;
    }
    if (result.status != order_status::unanswered && result.status != order_status::not_sent &&
        result.status != order_status::other_worker) {
        last_alive_ = timers_.now();
        ended_by_.reset();
    }
    if (is_new_clock(result)) {
        log_event(log_level::info, "worker.new_clock",
                  {{"worker", info_.id}, {"known_incarnation", std::to_string(born_)}});
        worker_clock_.reset();
        count_leases_across_restart();
        request_report();
        listener_.on_restart_suspected(*this);
        if (!*alive) {
            return;
        }
    }
    if (result.worker_clock && (!worker_clock_ || timers_.now() > worker_clock_read_at_)) {
        worker_clock_ = result.worker_clock;
        worker_clock_read_at_ = timers_.now();
    }
}

void worker_session::on_new_incarnation(std::int64_t started_at_ms, incarnation_source source)
{
    const worker_incarnation former{info_.id, born_};
    born_ = started_at_ms;
    incarnation_answered_ = true;
    worker_clock_.reset();
    acknowledged_ = 0;
    last_reported_end_ = 0;
    has_more_ends_ = false;
    if (hint_ && hint_->info.started_at_ms <= born_) {
        const auto registered = std::move(hint_->info);
        hint_.reset();
        if (registered.started_at_ms == born_) {
            take_over(registered);
        }
    }
    count_leases_across_restart();
    listener_.on_restarted(*this, former, source);
}

bool worker_session::is_new_clock(const order_result& result) const
{
    if (!result.worker_clock || !worker_clock_ || result.started_at_ms != 0) {
        return false;
    }
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(timers_.now() - worker_clock_read_at_);
    const auto least = std::chrono::duration_cast<milliseconds>(elapsed * slowest_clock_rate);
    const auto advance = *result.worker_clock - *worker_clock_;
    return advance < least - max_clock_delay || advance > elapsed + max_clock_delay;
}

void worker_session::record_failure(const char* reason, bool connection_lost_during_wait)
{
    if (failed_holds_++ == 0) {
        if (connection_lost_during_wait) {
            last_alive_ = timers_.now();
        }
        log_event(log_level::warning, "worker.unreachable",
                  {{"worker", info_.id}, {"reason", reason}});
        listener_.on_unreachable(*this);
    }
}

void worker_session::record_broken_connection(net::boot_time sent_at, milliseconds timeout)
{
    const auto now = timers_.now();
    if (!ended_by_ && now < sent_at + timeout) {
        ended_by_ = now;
    }
}

void worker_session::check_lease_expiry()
{
    timers_.cancel(lease_timer_);
    lease_timer_ = 0;
    const auto left = lease_bound() - timers_.now();
    if (left > 0ms) {
        lease_timer_ = timers_.call_after(left, [this] {
            lease_timer_ = 0;
            check_lease_expiry();
        });
        return;
    }
    if (!expiry_reported_) {
        expiry_reported_ = true;
        listener_.on_lost(*this, loss_cause::lease_expired);
    }
}

void worker_session::end(loss_cause cause)
{
    dead_ = true;
    timers_.cancel(hold_timer_);
    timers_.cancel(lease_timer_);
    hold_timer_ = 0;
    lease_timer_ = 0;
    listener_.on_lost(*this, cause);
}

// Returns a callback that records the worker's clock and incarnation from an answer before it calls
// `done`. An answer that an earlier incarnation has given or may have given is passed on as none.
std::function<void(const order_result&)>
worker_session::with_result_recorded(bool has_lease, std::function<void(const order_result&)> done)
{
    return [this, has_lease, alive = alive_, sent_at = timers_.now(),
            timeout = answer_timer_.timeout(), incarnation_when_sent = born_, token = token_,
            done = std::move(done)](const order_result& result) {
        if (!*alive) {
            return;
        }
        if (has_lease) {
            close_lease_order(result, sent_at);
        }
        record_round_trip(result, sent_at);
        record_loss(result);
        if (result.status == order_status::unanswered) {
            record_broken_connection(sent_at, timeout);
        }
        if (may_be_of_former_incarnation(result, sent_at) ||
            may_precede_restart(result, incarnation_when_sent, born_) ||
            refused_for_later_order(result, token)) {
            done(order_result{}); // it says nothing about the present incarnation
            return;
        }
        record_result(result, incarnation_source::order);
        if (*alive) {
            done(result);
        }
    };
}

void worker_session::record_round_trip(const order_result& result, net::boot_time sent_at)
{
    const auto sent = sent_at.time_since_epoch();
    const auto now = timers_.now().time_since_epoch();
    if (result.status == order_status::unanswered) {
        answer_timer_.add_unanswered(sent, now);
    }
    else if (result.status != order_status::not_sent) {
        answer_timer_.add_round_trip(sent, now);
    }
}

void worker_session::record_loss(const order_result& result)
{
    if (result.status == order_status::unanswered) {
        hold_poll_.add_loss();
    }
    else if (result.status != order_status::not_sent) {
        hold_poll_.add_answer();
    }
}

void worker_session::report_not_sent(std::function<void(const order_result&)> done)
{
    order_result refused;
    refused.status = order_status::not_sent;
    timers_.defer([alive = alive_, refused, done = std::move(done)] {
        if (*alive) {
            done(refused);
        }
    });
}

void worker_session::start(start_order order, std::function<void(const order_result&)> done)
{
    const auto until = settings_.may_act() ? extend_lease() : std::nullopt;
    if (!until || dead_) {
        report_not_sent(std::move(done));
        return;
    }
    order.lease_until = *until;
    order.fencing_token = token_;
    port_->start(order, answer_timer_.timeout(), with_result_recorded(true, std::move(done)));
    if (!hold_in_flight_ && hold_timer_ == 0) {
        schedule_hold(hold_interval_);
    }
}

void worker_session::stop(stop_order order, std::function<void(const order_result&)> done)
{
    if (!settings_.may_act()) {
        report_not_sent(std::move(done));
        return;
    }
    order.fencing_token = token_;
    port_->stop(order, answer_timer_.timeout(), with_result_recorded(false, std::move(done)));
}

void worker_session::pace(pace_order order, std::function<void(const order_result&)> done)
{
    if (!settings_.may_act()) {
        report_not_sent(std::move(done));
        return;
    }
    order.fencing_token = token_;
    port_->pace(order, answer_timer_.timeout(),
                [alive = alive_, done = std::move(done)](const order_result& result) {
                    if (*alive) {
                        done(result);
                    }
                });
}

} // namespace jl::jobs
