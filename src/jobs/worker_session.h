#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

struct session_settings {
    milliseconds lease{6000}; // asked for with each order; the worker's limit or less
    // Longest time that a former leader may still believe to lead, with its last lease to a worker.
    milliseconds previous_leader_lease{0};
    // Whether the leadership certainly holds. Asked right before each order, since the process may
    // have been suspended since the order was decided.
    std::function<bool()> may_act;
};

class worker_session;

// What the owner of the sessions learns from them.
class session_listener {
public:
    virtual ~session_listener() = default;
    // The worker's lists. `asked` is when the request for them was sent.
    virtual void on_report(worker_session& session, const hold_report& report,
                           net::boot_time asked) = 0;
    // The worker has a new life under the same id. Nothing that was started before runs there any
    // more, but orders whose answer is still open may reach the new life.
    virtual void on_restarted(worker_session& session) = 0;
    // Nothing that was started before this runs there any more.
    virtual void on_lost(worker_session& session, const char* reason) = 0;
    virtual void on_fenced(worker_session& session) = 0;
    // True while something is believed to run there.
    virtual bool in_use(const worker_session& session) const = 0;
};

// The leader's contact with one worker: renews the lease of what runs there, collects its lists,
// and knows until when something may run there although the worker does not answer.
//
// Lease times are on the worker's clock, which may run 2% slow. All bounds here are on the boot
// clock of this process and err on the long side. Not thread-safe.
class worker_session {
public:
    worker_session(net::timer_service& timers, session_listener& listener,
                   std::unique_ptr<worker_port> port, listed_worker info, std::int64_t token,
                   session_settings settings);
    ~worker_session();
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    const listed_worker& info() const { return info_; }
    // Takes over what the worker registered, at the same address.
    void update(const listed_worker& info);

    // Asks for the lists now; sent as soon as the last request for them has been answered.
    void request_report();

    void start(start_order order, milliseconds timeout,
               std::function<void(const order_result&)> done);
    void stop(stop_order order, milliseconds timeout,
              std::function<void(const order_result&)> done);
    void pace(pace_order order, milliseconds timeout,
              std::function<void(const order_result&)> done);

    // True once the worker has answered this leader, and so refuses orders of former ones.
    bool contacted() const { return contacted_; }
    bool reachable() const { return failed_holds_ == 0; }
    // True if nothing of a former leader can run there any more, or all of it is known.
    bool resolved() const;
    // No later than this the lease of everything on the worker has ended.
    net::boot_time lease_bound() const { return lease_bound_; }

    // Ends up to `number` need not be listed again. Called in order.
    void acknowledge(std::int64_t number);
    std::int64_t acknowledged() const { return acknowledged_; }
    // Number of the last end that was handed to the listener.
    std::int64_t last_reported_end() const { return last_reported_end_; }
    void set_last_reported_end(std::int64_t number) { last_reported_end_ = number; }

    // The worker's life has ended for certain: nothing runs there and nothing is asked any more.
    void end(const char* reason);
    // When the worker's life began, by its own account; 0 if it has not been told.
    std::int64_t born() const { return born_; }

    std::int64_t token() const { return token_; }
    bool dead() const { return dead_; }

private:
    void send_hold();
    void on_hold(const hold_report& report, net::boot_time asked);
    void schedule_hold(std::chrono::nanoseconds delay);
    void record_result(const order_result& result);
    std::function<void(const order_result&)>
    with_result_recorded(std::function<void(const order_result&)> done);
    void record_failure(const char* reason);
    void check_lease_expiry();
    std::optional<milliseconds> extend_lease();
    // Reports an order that was not sent.
    void report_not_sent(std::function<void(const order_result&)> done);

    net::timer_service& timers_;
    session_listener& listener_;
    std::unique_ptr<worker_port> port_;
    listed_worker info_;
    std::int64_t token_;
    session_settings settings_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    std::int64_t born_ = 0;
    std::optional<milliseconds> worker_clock_; // of the worker, when `worker_clock_read_at_` was
    net::boot_time worker_clock_read_at_{};
    net::boot_time lease_bound_;
    bool expiry_reported_ = false;
    bool contacted_ = false;
    bool dead_ = false;
    int failed_holds_ = 0; // of holds in a row
    std::int64_t acknowledged_ = 0;
    std::int64_t last_reported_end_ = 0;
    bool hold_in_flight_ = false;
    bool report_requested_ = false;
    net::boot_time last_hold_sent_at_{};
    net::timer_service::timer_id hold_timer_ = 0;
    net::timer_service::timer_id lease_timer_ = 0;
};

} // namespace jl::jobs
