#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "decisions/long_poll.h"
#include "decisions/retransmission_timer.h"
#include "jobs/open_lease_orders.h"
#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

struct session_settings {
    milliseconds lease{6000};             // requested with each order; at most the worker's limit
    milliseconds previous_leader_time{0}; // for which a previous leader may still send orders
    // Upper bound on the time for which tasks of a previous leader may still run: the rest of its
    // leadership plus the last lease that it granted to a worker.
    milliseconds previous_leader_lease{0};
    milliseconds max_lease{10000}; // the worker's limit, which a longer lease is cut to
    // Returns true while this process certainly is the leader. Called right before each order is
    // sent, since the process may have been suspended after the order was decided.
    std::function<bool()> may_act;
};

class worker_session;

// Upper bound, on the boot clock of this process, of the time for which a task on a worker runs
// after the last order that has prolonged its lease.
net::boot_clock::duration longest_lease(milliseconds max_lease);

// How the leader learned that no task of a worker runs any more.
enum class loss_cause {
    restarted,     // the worker has restarted under the same id
    replaced,      // another worker runs on its VM or answers at its address
    powered_off,   // we ordered its VM to move or into maintenance
    lease_expired, // the worker may only be unreachable
};
const char* to_string(loss_cause cause);

// Which answer named the incarnation of a worker that has restarted under its id.
enum class incarnation_source { report, order };
const char* to_string(incarnation_source source);

// Receives the events of worker sessions.
class session_listener {
public:
    virtual ~session_listener() = default;
    // The worker reported its running and ended tasks. `requested_at` is when the request was sent.
    virtual void on_report(worker_session& session, const hold_report& report,
                           net::boot_time requested_at) = 0;
    // The worker has ceased to answer. Its tasks may still run.
    virtual void on_unreachable(worker_session& session) = 0;
    // The worker has restarted under the same id; `former` has ended, and what it has reported runs
    // no more. Other orders may have reached the new incarnation, or may still do so.
    virtual void on_restarted(worker_session& session, const worker_incarnation& former,
                              incarnation_source source) = 0;
    // The worker seems to have restarted, by its registration or by a clock that has started anew,
    // and may have the longest lease. Its next report tells more.
    virtual void on_restart_suspected(worker_session& session) = 0;
    // No task that was started on the worker until now runs any more.
    virtual void on_lost(worker_session& session, loss_cause cause) = 0;
    // The worker refused a request because it has seen the fencing token of a newer leader.
    virtual void on_fenced(worker_session& session) = 0;
    // Returns true while tasks are believed to run on the worker, or may just have crashed it. The
    // session asks for reports until it is not in use any more.
    virtual bool in_use(const worker_session& session) const = 0;
};

// The leader's session with one worker. Renews the lease of the worker's tasks and collects its
// reports of running and ended tasks, both with the hold request: a long poll that the worker
// answers when a task ends or the wait is over. Also tracks how long tasks may still run on a
// worker that does not answer.
//
// Lease times are on the worker's clock, which may run 2% slow. All bounds here are on the boot
// clock of this process and are rounded up accordingly: a bound that is too early would let a task
// run twice. Not thread-safe.
class worker_session {
public:
    // `open_orders`: of this leader, from earlier sessions with the worker.
    worker_session(net::timer_service& timers, session_listener& listener,
                   std::unique_ptr<worker_port> port, worker_registration info, std::int64_t token,
                   session_settings settings, open_lease_orders open_orders = {});
    ~worker_session();
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    // The registration of the incarnation that the session is with. Its address is the one that the
    // session uses.
    const worker_registration& info() const { return info_; }
    // Takes over a registration of the worker. One of a later incarnation is a hint only: it counts
    // once an answer names that incarnation.
    void update(const worker_registration& info);

    // Asks the worker for reports and calls `absent` if it leaves two in a row unanswered. An
    // answer to a request that was sent after this call ends the check.
    void check_presence(std::function<void()> absent);
    // True while such a check is going on.
    bool presence_in_question() const { return presence_check_.has_value(); }
    // Sends all requests from now on through this port, which leads to another address.
    void reconnect(std::unique_ptr<worker_port> port, const endpoint& address);

    // Requests a report without a wait. Sent once the hold in flight, if any, has been answered.
    void request_report();
    // Lets the next hold wait for this time at the most.
    void limit_next_wait(milliseconds wait) { next_wait_ = wait; }

    // Send an order. The wait for the answer follows the worker's measured round trips.
    void start(start_order order, std::function<void(const order_result&)> done);
    void stop(stop_order order, std::function<void(const order_result&)> done);
    void pace(pace_order order, std::function<void(const order_result&)> done);

    // True once the worker has answered this leader, after which it refuses orders of previous
    // ones.
    bool contacted() const { return contacted_; }
    // True if the worker has answered this leader or a previous one. A registration alone may come
    // from another writer.
    bool proven() const { return contacted_ || settings_.previous_leader_lease > milliseconds(0); }
    // True once the worker has listed all ends that it keeps. Until then, a task that it does not
    // report may have ended there.
    bool all_ends_read() const { return contacted_ && !has_more_ends_; }
    bool reachable() const { return failed_holds_ == 0; }
    // The last time at which the worker is known to have been alive.
    net::boot_time last_alive() const { return last_alive_; }
    // When a connection to the worker broke since it was last alive; nothing if none did, so that
    // the worker is only silent.
    std::optional<net::boot_time> ended_by() const { return ended_by_; }
    // True if all tasks of previous leaders that may still run on the worker are known.
    bool resolved() const;
    // Upper bound on the time at which the lease of all tasks on the worker ends.
    net::boot_time lease_bound() const;
    // True while an order to a former incarnation may have granted the longest lease, or may do so
    // yet.
    bool may_have_longest_lease() const;
    // True while such an order may still be carried out: the present incarnation has not answered
    // an order with a higher token.
    bool earlier_orders_open() const;
    // A previous leader has found may_have_longest_lease() to be true, and earlier_orders_open() as
    // stated.
    void expect_longest_lease(bool earlier_orders_open);
    // Sends all orders from now on with this token if the worker has restarted while orders of this
    // leader were open: once the present incarnation has answered one, it refuses the earlier ones.
    // The token must be lower than that of any later leader.
    void raise_token(std::int64_t token);

    // Tells the worker, with the next hold, not to report ends up to `number` again. Called in
    // ascending order.
    void acknowledge(std::int64_t number);
    std::int64_t acknowledged() const { return acknowledged_; }
    // Number of the last end that the listener has processed.
    std::int64_t last_reported_end() const { return last_reported_end_; }
    void set_last_reported_end(std::int64_t number) { last_reported_end_ = number; }

    // The worker's incarnation has ended for certain: no task runs on it and no request is sent any
    // more.
    void end(loss_cause cause);
    // Start time of the worker's incarnation as the worker stated it; 0 if unknown.
    std::int64_t started_at_ms() const { return born_; }

    std::int64_t token() const { return token_; }
    const open_lease_orders& open_orders() const { return open_lease_orders_; }
    bool dead() const { return dead_; }

private:
    // A registration of a later incarnation, which has not answered itself.
    struct incarnation_hint {
        worker_registration info;
        net::boot_time read_at{};
    };
    struct sent_hold {
        net::boot_time at{};
        milliseconds timeout{0};
        std::int64_t token = 0;
        bool has_lease = false;
        bool waits = false; // for an end of a task
    };
    struct presence_check {
        net::boot_time begun_at{};
        int unanswered = 0; // requests since then
        std::function<void()> absent;
    };

    void take_over(const worker_registration& info);
    void note_hint(const worker_registration& info);
    // The worker has answered a request that was sent at this time.
    void note_presence(net::boot_time requested_at);
    void note_absence(net::boot_time requested_at);
    // The worker has reported, as requested at this time: which incarnation it is decides.
    void drop_refuted_hint(const order_result& result, net::boot_time requested_at);
    // The worker has restarted, as its answer tells.
    void on_new_incarnation(std::int64_t started_at_ms, incarnation_source source);
    void send_hold();
    void on_hold(const hold_report& report, const sent_hold& sent);
    void on_failed_hold(const order_result& result, const sent_hold& sent);
    void schedule_hold(std::chrono::nanoseconds delay);
    void record_result(const order_result& result, incarnation_source source);
    // True if an earlier incarnation of the worker has sent the answer, or may have sent it.
    bool of_former_incarnation(const order_result& result) const;
    bool may_be_of_former_incarnation(const order_result& result, net::boot_time sent_at) const;
    std::function<void(const order_result&)>
    with_result_recorded(bool has_lease, std::function<void(const order_result&)> done);
    // Notes whether an order that asked for a lease may still be carried out.
    void close_lease_order(const order_result& result, net::boot_time sent_at);
    // True if the worker refused an order of ours because it has answered one with a later token of
    // ours.
    bool refused_for_later_order(const order_result& result, std::int64_t token) const;
    // Adds the outcome of a call that the worker answers at once.
    void record_round_trip(const order_result& result, net::boot_time sent_at);
    void record_loss(const order_result& result);
    // Compares the clock in an answer that does not name its incarnation with the known one.
    bool is_new_clock(const order_result& result) const;
    void record_failure(const char* reason, bool connection_lost_during_wait);
    // Notes a call without an answer that failed before its timeout.
    void record_broken_connection(net::boot_time sent_at, milliseconds timeout);
    void check_lease_expiry();
    void raise_lease_bound(net::boot_time bound);
    void raise_longest_lease_bound(net::boot_time last_order);
    // The worker has restarted; an order to its former incarnation may reach the present one.
    void count_leases_across_restart();
    // The present incarnation has reported, as asked with this token, and refuses lower ones.
    void settle_earlier_orders(std::int64_t token);
    // When the last order that a former incarnation may have got is carried out at the latest.
    std::optional<net::boot_time> last_order_of_previous_leader() const;
    // Extends `lease_bound_` by the next lease and returns that lease's end on the worker's clock.
    std::optional<milliseconds> extend_lease();
    // Calls `done` with order_status::not_sent, after this call has returned.
    void report_not_sent(std::function<void(const order_result&)> done);

    net::timer_service& timers_;
    session_listener& listener_;
    std::unique_ptr<worker_port> port_;
    worker_registration info_;
    std::int64_t token_;
    session_settings settings_;
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    decisions::retransmission_timer answer_timer_;
    milliseconds hold_interval_; // between a report with ends and the next hold
    decisions::long_poll hold_poll_;
    // Start time of the present incarnation: from the registration or the roster until an answer
    // has named it.
    std::int64_t born_ = 0;
    bool incarnation_answered_ = false;
    bool answered_at_address_ = false; // since the session uses the present address
    std::optional<incarnation_hint> hint_;
    std::optional<presence_check> presence_check_;
    std::deque<std::unique_ptr<worker_port>> former_ports_; // with orders in flight
    std::optional<milliseconds> worker_clock_; // the worker's clock at `worker_clock_read_at_`
    net::boot_time worker_clock_read_at_{};
    net::boot_time lease_bound_;
    net::boot_time longest_lease_bound_{};
    net::boot_time created_at_;
    open_lease_orders open_lease_orders_;
    // Set while an order that was meant for a former incarnation may still be carried out by the
    // present one: when it is at the latest, and the highest token that it may carry.
    struct earlier_orders {
        net::boot_time until{};
        std::int64_t token = 0;
    };
    std::optional<earlier_orders> earlier_orders_;
    bool expiry_reported_ = false;
    bool contacted_ = false;
    bool has_more_ends_ = false; // the last report did not list all ends
    bool dead_ = false;
    int failed_holds_ = 0; // consecutive ones
    net::boot_time last_alive_{};
    std::optional<net::boot_time> ended_by_;
    std::int64_t acknowledged_ = 0;
    std::int64_t last_reported_end_ = 0;
    bool hold_in_flight_ = false;
    bool report_requested_ = false;
    std::optional<milliseconds> next_wait_;
    net::boot_time last_hold_sent_at_{};
    net::timer_service::timer_id hold_timer_ = 0;
    net::timer_service::timer_id lease_timer_ = 0;
};

} // namespace jl::jobs
