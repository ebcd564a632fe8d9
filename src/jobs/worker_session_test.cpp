#include <memory>
#include <optional>
#include <utility>

#include <gtest/gtest.h>

#include "jobs/testing/virtual_timers.h"
#include "jobs/worker_session.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

constexpr auto answer_delay = 10ms;

struct order_counts {
    int holds = 0;
    int starts = 0;
    int stops = 0;
    int paces = 0;
    milliseconds hold_wait{0};    // of the last hold
    milliseconds hold_margin{0};  // by which the last hold's time-out exceeds its wait
    std::int64_t hold_token = 0;  // of the last hold
    int holds_to_lose = 0;        // that get no answer
    std::int64_t incarnation = 1; // that answers
    bool orders_name_incarnation = true;
};

// Counts the orders that are sent to the worker and accepts them.
class counting_port final : public worker_port {
public:
    counting_port(net::timer_service& timers, order_counts& received)
        : timers_(timers), received_(received)
    {
    }

    void start(const start_order&, milliseconds,
               std::function<void(const order_result&)> done) override
    {
        ++received_.starts;
        accept(std::move(done));
    }
    void stop(const stop_order&, milliseconds,
              std::function<void(const order_result&)> done) override
    {
        ++received_.stops;
        accept(std::move(done));
    }
    void pace(const pace_order&, milliseconds,
              std::function<void(const order_result&)> done) override
    {
        ++received_.paces;
        accept(std::move(done));
    }
    void hold(const hold_order& order, milliseconds timeout,
              std::function<void(const hold_report&)> done) override
    {
        ++received_.holds;
        received_.hold_wait = order.wait;
        received_.hold_token = order.fencing_token;
        received_.hold_margin = timeout - order.wait;
        if (received_.holds_to_lose > 0) {
            --received_.holds_to_lose;
            timers_.call_after(timeout, [done = std::move(done)] { done(hold_report{}); });
            return;
        }
        timers_.call_after(answer_delay, [done = std::move(done), result = accepted()] {
            hold_report report;
            report.result = result;
            done(report);
        });
    }
    bool has_hold_connection() const override { return true; }

private:
    void accept(std::function<void(const order_result&)> done)
    {
        auto result = accepted();
        if (!received_.orders_name_incarnation) {
            result.started_at_ms = 0;
        }
        timers_.call_after(answer_delay, [done = std::move(done), result] { done(result); });
    }

    order_result accepted() const
    {
        order_result result;
        result.status = order_status::accepted;
        result.worker_clock = 1000ms;
        result.started_at_ms = received_.incarnation;
        return result;
    }

    net::timer_service& timers_;
    order_counts& received_;
};

class listener_with_tasks final : public session_listener {
public:
    void on_report(worker_session&, const hold_report& report, net::boot_time) override
    {
        last_reporting_incarnation = report.result.started_at_ms;
    }
    void on_unreachable(worker_session&) override {}
    void on_restarted(worker_session&, const worker_incarnation&, incarnation_source) override {}
    void on_restart_suspected(worker_session&) override {}
    void on_lost(worker_session&, loss_cause) override {}
    void on_fenced(worker_session&) override {}
    bool in_use(const worker_session&) const override { return true; }

    std::int64_t last_reporting_incarnation = 0;
};

class worker_session_test : public ::testing::Test {
protected:
    worker_session_test()
    {
        session_settings settings;
        settings.may_act = [this] { return leading; };
        info.id = "w0";
        info.started_at_ms = 1;
        session.emplace(timers, listener, std::make_unique<counting_port>(timers, received), info,
                        7, settings);
        timers.run_for(20ms);
    }

    virtual_timers timers;
    order_counts received;
    listener_with_tasks listener;
    worker_registration info;
    bool leading = true;
    std::optional<worker_session> session;
};

// Guards against orders of a process that was suspended and lost the leadership meanwhile. After it
// resumed, it sent the orders that it had decided before, repeated them, and renewed leases.
TEST_F(worker_session_test, sends_nothing_once_the_leadership_may_have_ended)
{
    const auto before = received;
    ASSERT_GT(before.holds, 0);
    leading = false;
    std::optional<order_status> outcome;
    const auto record_outcome = [&outcome](const order_result& result) { outcome = result.status; };

    session->start({}, record_outcome);
    timers.run_for(20ms);
    EXPECT_EQ(outcome, order_status::not_sent);
    outcome.reset();
    session->stop({}, record_outcome);
    timers.run_for(20ms);
    EXPECT_EQ(outcome, order_status::not_sent);
    outcome.reset();
    session->pace({}, record_outcome);
    timers.run_for(3s); // three intervals between renewals of the lease
    EXPECT_EQ(outcome, order_status::not_sent);

    EXPECT_EQ(received.starts, 0);
    EXPECT_EQ(received.stops, 0);
    EXPECT_EQ(received.paces, 0);
    EXPECT_EQ(received.holds, before.holds);
}

TEST_F(worker_session_test, sends_orders_again_once_the_leadership_is_certain)
{
    leading = false;
    timers.run_for(1s);
    const auto before = received;
    leading = true;
    timers.run_for(1s);
    EXPECT_GT(received.holds, before.holds);
    session->start({}, [](const order_result&) {});
    EXPECT_EQ(received.starts, 1);
}

// Load pattern: a worker leaves one order in five without an answer. Guards against a lost answer
// to a hold that hides all ends of the worker's tasks for most of a second after its wait.
TEST_F(worker_session_test, lost_answer_to_a_hold_is_noticed_after_a_few_round_trips)
{
    timers.run_for(2s);
    EXPECT_GT(received.hold_margin, 5 * answer_delay);
    EXPECT_LE(received.hold_margin, 20 * answer_delay);
}

// Guards against ends that stay unknown for more than a second each time a hold is lost.
TEST_F(worker_session_test, holds_wait_less_while_answers_are_lost)
{
    timers.run_for(200ms);
    ASSERT_EQ(received.hold_wait, 1000ms);
    received.holds_to_lose = 2;
    milliseconds first_wait_after_losses{0};
    for (int step = 0; step < 400 && first_wait_after_losses == 0ms; ++step) {
        timers.run_for(answer_delay);
        first_wait_after_losses = received.holds_to_lose == 0 ? received.hold_wait : 0ms;
    }
    EXPECT_GT(first_wait_after_losses, 0ms);
    EXPECT_LE(first_wait_after_losses, 500ms);
    timers.run_for(5s);
    EXPECT_EQ(received.hold_wait, 1000ms);
}

// Guards against a stop that counts as confirmed although the present incarnation of the worker has
// not received it: a start without an answer could still run there.
TEST_F(worker_session_test, answer_of_a_former_incarnation_does_not_settle_an_order)
{
    std::optional<order_status> outcome;
    session->stop({}, [&outcome](const order_result& result) { outcome = result.status; });
    info.started_at_ms = 2;
    received.incarnation = 2;
    session->update(info);
    timers.run_for(answer_delay);
    EXPECT_EQ(outcome, order_status::unanswered);
}

// Guards against the same if the answer does not say which incarnation has sent it. Orders count
// again once a report has confirmed the restart.
TEST_F(worker_session_test, answer_without_an_incarnation_settles_no_order_sent_before_a_restart)
{
    received.orders_name_incarnation = false;
    std::optional<order_status> outcome;
    const auto record_outcome = [&outcome](const order_result& result) { outcome = result.status; };
    session->stop({}, record_outcome);
    info.started_at_ms = 2;
    received.incarnation = 2;
    session->update(info);
    timers.run_for(answer_delay);
    EXPECT_EQ(outcome, order_status::unanswered);
    timers.run_for(10 * answer_delay);
    ASSERT_EQ(listener.last_reporting_incarnation, 2);
    session->stop({}, record_outcome);
    timers.run_for(answer_delay);
    EXPECT_EQ(outcome, order_status::accepted);
}

// Guards against a worker that is taken for lost because a single answer was lost, or because of a
// request that was sent before the question came up.
TEST_F(worker_session_test, worker_is_absent_after_two_requests_without_an_answer)
{
    timers.run_for(100ms);
    for (const int lost : {1, 2}) {
        bool absent = false;
        received.holds_to_lose = lost;
        timers.run_for(1ms);
        session->check_presence([&absent] { absent = true; });
        EXPECT_TRUE(session->presence_in_question());
        timers.run_for(3s);
        EXPECT_EQ(absent, lost == 2) << lost;
        EXPECT_FALSE(session->presence_in_question());
    }
}

// Guards against a check that a later silence decides: the worker has answered meanwhile.
TEST_F(worker_session_test, answer_ends_the_check_of_presence)
{
    bool absent = false;
    session->check_presence([&absent] { absent = true; });
    timers.run_for(100ms);
    received.holds_to_lose = 1000;
    timers.run_for(5s);
    EXPECT_FALSE(absent);
}

// Guards against ends of the present incarnation that are taken for known, because a late report of
// the former one had higher numbers.
TEST_F(worker_session_test, report_of_a_former_incarnation_is_not_used)
{
    session->request_report();
    timers.run_for(answer_delay / 2);
    info.started_at_ms = 2;
    received.incarnation = 2;
    session->update(info);
    listener.last_reporting_incarnation = 0;
    timers.run_for(answer_delay / 2);
    EXPECT_EQ(listener.last_reporting_incarnation, 0);
    timers.run_for(1s);
    EXPECT_EQ(listener.last_reporting_incarnation, 2);
}

// Guards against a lease that a late order to a former incarnation prolongs unseen: it counts until
// the present incarnation has answered an order with a higher token, as which it refuses that one.
TEST_F(worker_session_test, open_order_to_a_former_incarnation_counts_until_it_is_refused)
{
    timers.run_for(100ms);
    received.holds_to_lose = 1;
    timers.run_for(2s);
    received.incarnation = 2;
    timers.run_for(2s);
    ASSERT_EQ(listener.last_reporting_incarnation, 2);
    EXPECT_TRUE(session->earlier_orders_open());
    EXPECT_GT(session->lease_bound(), timers.now() + late_execution_limit);
    session->raise_token(8);
    timers.run_for(100ms);
    EXPECT_EQ(received.hold_token, 8);
    EXPECT_FALSE(session->earlier_orders_open());
    EXPECT_TRUE(session->may_have_longest_lease());
    EXPECT_LT(session->lease_bound(), timers.now() + 11s);
}

// Guards against open orders that are forgotten with the session that has sent them: the worker
// may be back under its id as another incarnation, which a new session is with.
TEST_F(worker_session_test, open_orders_of_an_earlier_session_count)
{
    timers.run_for(100ms);
    received.holds_to_lose = 1;
    timers.run_for(2s);
    const auto open = session->open_orders();
    received.incarnation = 2;
    info.started_at_ms = 2;
    session_settings settings;
    settings.may_act = [] { return true; };
    session.emplace(timers, listener, std::make_unique<counting_port>(timers, received), info, 7,
                    settings, open);
    timers.run_for(100ms);
    EXPECT_TRUE(session->earlier_orders_open());
    EXPECT_GT(session->lease_bound(), timers.now() + late_execution_limit);
    session->raise_token(8);
    timers.run_for(100ms);
    EXPECT_FALSE(session->earlier_orders_open());
}

// Guards against a token that rises although no order is open, and so for each commit.
TEST_F(worker_session_test, token_is_raised_only_while_orders_to_a_former_incarnation_are_open)
{
    timers.run_for(100ms);
    session->raise_token(8);
    timers.run_for(1s);
    EXPECT_EQ(received.hold_token, 7);
}

} // namespace
} // namespace jl::jobs
