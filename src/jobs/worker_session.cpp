#include "jobs/worker_session.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// How long the worker may delay the answer to a hold until a task ends. Also the longest time
// between two renewals of the lease.
constexpr auto hold_wait = 1000ms;
constexpr auto hold_timeout = 700ms; // beyond the wait
constexpr auto retry_delay = 250ms;
// Ends that follow each other within this time are collected by one call.
constexpr auto hold_interval = 25ms;
// A worker's clock may run this much slow.
constexpr double slowest_clock_rate = 0.98;
// A worker that was suspended may act on a lease that has just lapsed.
constexpr auto lapse_slack = 400ms;

net::boot_clock::duration on_our_clock(milliseconds worker_time)
{
    return std::chrono::duration_cast<net::boot_clock::duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(worker_time.count()) /
                                                  slowest_clock_rate));
}

} // namespace

worker_session::worker_session(net::timer_service& timers, session_listener& listener,
                               std::unique_ptr<worker_port> port, worker_registration info,
                               std::int64_t token, session_settings settings)
    : timers_(timers),
      listener_(listener),
      port_(std::move(port)),
      info_(std::move(info)),
      token_(token),
      settings_(std::move(settings)),
      born_(info_.started_at_ms),
      lease_bound_(timers.now() + on_our_clock(settings_.former_lease) + lapse_slack)
{
    check_lapse();
    schedule_hold(0ms);
}

worker_session::~worker_session()
{
    *alive_ = false;
    timers_.cancel(hold_timer_);
    timers_.cancel(lapse_timer_);
}

void worker_session::update(const worker_registration& info)
{
    const auto started_at_ms = born_;
    info_ = info;
    if (info.started_at_ms > started_at_ms && started_at_ms != 0) {
        note_result(order_result{order_status::accepted, std::nullopt, info.started_at_ms});
    }
}

bool worker_session::resolved() const
{
    return contacted_ || dead_ || timers_.now() >= lease_bound_;
}

void worker_session::look()
{
    look_wanted_ = true;
    if (!holding_ && !dead_) {
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
        hold();
    });
}

// The end of the next lease on the worker's clock; nothing while the worker's clock is unknown or
// the worker does not answer: a renewal that may arrive unseen would only delay the recovery.
std::optional<milliseconds> worker_session::next_lease()
{
    if (!clock_ || failures_ > 0) {
        return std::nullopt;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(timers_.now() - clock_read_);
    const auto until = *clock_ + elapsed + settings_.lease;
    lease_bound_ =
        std::max(lease_bound_, clock_read_ + on_our_clock(until - *clock_) + lapse_slack);
    lapse_reported_ = false;
    check_lapse();
    return until;
}

void worker_session::hold()
{
    if (holding_ || dead_) {
        return;
    }
    if (!settings_.may_act()) {
        schedule_hold(retry_delay);
        return;
    }
    holding_ = true;
    const bool pending_ends = last_reported_end_ > acknowledged_;
    const bool used = listener_.in_use(*this);
    hold_order order;
    order.fencing_token = token_;
    // On a new connection the worker may have a new life, whose ends have other numbers.
    order.last_seen_end = port_->has_hold_connection() ? acknowledged_ : 0;
    order.lease_until = used ? next_lease() : std::nullopt;
    const bool quick = look_wanted_ || pending_ends || failures_ > 0 || !contacted_;
    order.wait = quick ? 0ms : hold_wait;
    look_wanted_ = false;
    last_hold_ = timers_.now();
    const auto asked = last_hold_;
    port_->hold(order, order.wait + hold_timeout,
                [this, asked, alive = alive_](const hold_report& report) {
                    if (*alive) {
                        on_hold(report, asked);
                    }
                });
}

void worker_session::on_hold(const hold_report& report, net::boot_time asked)
{
    holding_ = false;
    if (dead_) {
        return; // an answer of a life that has ended
    }
    const auto alive = alive_;
    switch (report.result.status) {
    case order_status::accepted:
        break;
    case order_status::fenced:
        listener_.on_fenced(*this);
        return;
    case order_status::other_worker:
        end("another worker answers at its address");
        return;
    default:
        note_failure(to_string(report.result.status));
        schedule_hold(retry_delay);
        return;
    }
    if (failures_ > 0) {
        log_event(log_level::info, "worker.regained",
                  {{"worker", info_.id}, {"failed_calls", std::to_string(failures_)}});
    }
    failures_ = 0;
    contacted_ = true;
    note_result(report.result);
    if (!*alive) {
        return;
    }
    listener_.on_report(*this, report, asked);
    if (!*alive || dead_) {
        return;
    }
    const bool pending_ends = last_reported_end_ > acknowledged_;
    if (look_wanted_) {
        schedule_hold(hold_interval);
    }
    else if (pending_ends) {
        schedule_hold(hold_wait); // brought forward by acknowledge()
    }
    else if (listener_.in_use(*this)) {
        schedule_hold(report.ended.empty() ? 0ms : hold_interval);
    }
}

void worker_session::acknowledge(std::int64_t number)
{
    acknowledged_ = std::max(acknowledged_, number);
    if (!holding_ && !dead_ && last_reported_end_ <= acknowledged_) {
        const auto earliest = last_hold_ + hold_interval;
        const auto now = timers_.now();
        schedule_hold(earliest > now ? earliest - now : std::chrono::nanoseconds(0));
    }
}

void worker_session::note_result(const order_result& result)
{
    if (result.started_at_ms != 0 && born_ != 0 && result.started_at_ms != born_) {
        if (result.started_at_ms < born_) {
            return; // an answer of an earlier life, overtaken on another connection
        }
        born_ = result.started_at_ms;
        clock_.reset();
        acknowledged_ = 0;
        last_reported_end_ = 0;
        const auto alive = alive_;
        listener_.on_restarted(*this);
        if (!*alive) {
            return;
        }
    }
    if (result.started_at_ms != 0) {
        born_ = result.started_at_ms;
    }
    if (result.worker_clock && (!clock_ || timers_.now() > clock_read_)) {
        clock_ = result.worker_clock;
        clock_read_ = timers_.now();
    }
}

void worker_session::note_failure(const char* reason)
{
    if (failures_++ == 0) {
        log_event(log_level::warning, "worker.unreachable",
                  {{"worker", info_.id}, {"reason", reason}});
    }
}

void worker_session::check_lapse()
{
    timers_.cancel(lapse_timer_);
    lapse_timer_ = 0;
    const auto left = lease_bound_ - timers_.now();
    if (left > 0ms) {
        lapse_timer_ = timers_.call_after(left, [this] {
            lapse_timer_ = 0;
            check_lapse();
        });
        return;
    }
    if (!lapse_reported_) {
        lapse_reported_ = true;
        listener_.on_lost(*this, "the lease has lapsed");
    }
}

void worker_session::end(const char* reason)
{
    dead_ = true;
    timers_.cancel(hold_timer_);
    timers_.cancel(lapse_timer_);
    hold_timer_ = 0;
    lapse_timer_ = 0;
    listener_.on_lost(*this, reason);
}

// Takes what an answer tells about the worker before it is passed on.
std::function<void(const order_result&)>
worker_session::noting(std::function<void(const order_result&)> done)
{
    return [this, alive = alive_, done = std::move(done)](const order_result& result) {
        if (!*alive) {
            return;
        }
        note_result(result);
        if (*alive) {
            done(result);
        }
    };
}

void worker_session::refuse(std::function<void(const order_result&)> done)
{
    order_result refused;
    refused.status = order_status::not_sent;
    timers_.defer([alive = alive_, refused, done = std::move(done)] {
        if (*alive) {
            done(refused);
        }
    });
}

void worker_session::start(start_order order, milliseconds timeout,
                           std::function<void(const order_result&)> done)
{
    const auto until = settings_.may_act() ? next_lease() : std::nullopt;
    if (!until || dead_) {
        refuse(std::move(done));
        return;
    }
    order.lease_until = *until;
    order.fencing_token = token_;
    port_->start(order, timeout, noting(std::move(done)));
    if (!holding_ && hold_timer_ == 0) {
        schedule_hold(hold_interval);
    }
}

void worker_session::stop(stop_order order, milliseconds timeout,
                          std::function<void(const order_result&)> done)
{
    if (!settings_.may_act()) {
        refuse(std::move(done));
        return;
    }
    order.fencing_token = token_;
    port_->stop(order, timeout, noting(std::move(done)));
}

void worker_session::pace(pace_order order, milliseconds timeout,
                          std::function<void(const order_result&)> done)
{
    if (!settings_.may_act()) {
        refuse(std::move(done));
        return;
    }
    order.fencing_token = token_;
    port_->pace(order, timeout,
                [alive = alive_, done = std::move(done)](const order_result& result) {
                    if (*alive) {
                        done(result);
                    }
                });
}

} // namespace jl::jobs
