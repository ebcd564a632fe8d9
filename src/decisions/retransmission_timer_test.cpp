#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/retransmission_timer.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr retransmission_timer::limits bounds{700ms, 100ms, 1000ms};

TEST(retransmission_timer, waits_the_initial_time_until_a_round_trip_is_known)
{
    retransmission_timer timer(bounds);
    EXPECT_EQ(timer.timeout(), 700ms);
    timer.add_unanswered(0ms, 700ms);
    EXPECT_EQ(timer.timeout(), 1000ms);
}

// Guards against a fixed wait of 700 ms for a peer that answers within milliseconds and loses one
// answer in five.
TEST(retransmission_timer, wait_for_a_fast_peer_is_the_minimum)
{
    retransmission_timer timer(bounds);
    for (int call = 0; call < 10; ++call) {
        timer.add_round_trip(0ms, call % 2 == 0 ? 3ms : 8ms);
    }
    EXPECT_EQ(timer.timeout(), 100ms);
    timer.add_unanswered(10ms, 110ms);
    EXPECT_EQ(timer.timeout(), 200ms);
    timer.add_round_trip(110ms, 113ms);
    EXPECT_EQ(timer.timeout(), 100ms);
}

// Guards against a lost answer that lengthens the wait like a slow one: with three writes in ten
// unanswered, the wait for the store stayed near its limit of a second.
TEST(retransmission_timer, lost_answers_do_not_raise_the_estimate)
{
    retransmission_timer timer(bounds);
    for (int call = 0; call < 100; ++call) {
        const auto sent_at = milliseconds(1000 * call);
        if (call % 3 == 0) {
            timer.add_unanswered(sent_at, sent_at + timer.timeout());
        }
        else {
            timer.add_round_trip(sent_at, sent_at + 5ms);
        }
    }
    EXPECT_LE(timer.timeout(), 200ms);
}

TEST(retransmission_timer, calls_lost_at_the_same_time_double_the_wait_once)
{
    retransmission_timer timer(bounds);
    timer.add_round_trip(0ms, 5ms);
    for (int call = 0; call < 8; ++call) {
        timer.add_unanswered(10ms, 110ms);
    }
    EXPECT_EQ(timer.timeout(), 200ms);
}

// Guards against repeating every order to a worker that turns five times slower.
TEST(retransmission_timer, wait_follows_a_peer_that_turns_slow)
{
    retransmission_timer timer(bounds);
    for (int call = 0; call < 50; ++call) {
        timer.add_round_trip(0ms, 60ms);
    }
    int repeated = 0;
    for (int call = 0; call < 50; ++call) {
        const auto sent_at = milliseconds(1000 * call);
        if (timer.timeout() < 300ms) {
            ++repeated;
            timer.add_unanswered(sent_at, sent_at + timer.timeout());
        }
        else {
            timer.add_round_trip(sent_at, sent_at + 300ms);
        }
    }
    EXPECT_LE(repeated, 3);
}

RC_GTEST_PROP(retransmission_timer, wait_keeps_its_limits_and_covers_a_steady_peer, ())
{
    retransmission_timer timer(bounds);
    const auto steady = milliseconds(*rc::gen::inRange(0, 900));
    const auto noise = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-10, 3000));
    for (const int round_trip : noise) {
        if (round_trip % 4 == 0) {
            timer.add_unanswered(0ms, milliseconds(round_trip));
        }
        else {
            timer.add_round_trip(0ms, milliseconds(round_trip));
        }
        RC_ASSERT(timer.timeout() >= bounds.min);
        RC_ASSERT(timer.timeout() <= bounds.max);
    }
    for (int call = 0; call < 200; ++call) {
        timer.add_round_trip(0ms, steady);
    }
    RC_ASSERT(timer.timeout() >= steady);
}

} // namespace
} // namespace jl::decisions
