#include <gtest/gtest.h>

#include "operators/control_service.h"
#include "operators/test_support.h"

namespace jl::operators {
namespace {

using records::wave_state;
using testing::fast_control;
using testing::losing_store;
using testing::manual_clock;

class control : public ::testing::Test {
protected:
    manual_clock clock;
    losing_store store{clock};
    control_service service{store, clock, fast_control()};
};

// Guards against a change without a record of who made it.
TEST_F(control, records_who_did_what)
{
    ASSERT_TRUE(service.set_wave("monthly", wave_state::paused, "ann", "w1"));
    clock.advance(std::chrono::milliseconds(5));
    ASSERT_TRUE(service.request_drain("vm-1", "bob", "w2"));
    clock.advance(std::chrono::milliseconds(5));
    ASSERT_TRUE(service.withdraw_drain("vm-1", "ann", "w3"));
    const auto waves = service.waves();
    ASSERT_TRUE(waves);
    ASSERT_EQ(waves->size(), 1U);
    EXPECT_EQ(waves->front().state, wave_state::paused);
    EXPECT_TRUE(service.drains()->empty());
    const auto actions = service.actions(10);
    ASSERT_TRUE(actions);
    ASSERT_EQ(actions->size(), 3U);
    EXPECT_EQ((*actions)[0].action, "withdraw drain");
    EXPECT_EQ((*actions)[1].operator_name, "bob");
    EXPECT_EQ((*actions)[2].subject, "wave monthly");
}

// Guards against doubled entries when a client repeats a request whose answer it lost.
TEST_F(control, repeated_requests_take_effect_once)
{
    store.lose_answers(1);
    ASSERT_TRUE(service.set_wave("monthly", wave_state::paused, "ann", "w1"));
    clock.advance(std::chrono::milliseconds(5));
    ASSERT_TRUE(service.set_wave("monthly", wave_state::paused, "ann", "w1"));
    ASSERT_TRUE(service.withdraw_drain("vm-1", "ann", "w2"));
    EXPECT_EQ(service.actions(10)->size(), 1U);
}

// Guards against one operator silently undoing another's simultaneous change.
TEST_F(control, reports_a_simultaneous_change)
{
    store.before_commit = [&] {
        control_service other(store.memory(), clock, fast_control());
        EXPECT_TRUE(other.set_wave("monthly", wave_state::cancelled, "bob", "w2"));
    };
    EXPECT_FALSE(service.set_wave("monthly", wave_state::running, "ann", "w1"));
    EXPECT_EQ(control_service::last_error().code, control_error_code::conflict);
    EXPECT_EQ(service.waves()->front().changed_by, "bob");
}

// Guards against reporting a pause as done or as failed when nobody knows.
TEST_F(control, reports_failures_of_the_store)
{
    store.drop_requests(100);
    EXPECT_FALSE(service.set_wave("monthly", wave_state::paused, "ann", "w1"));
    EXPECT_EQ(control_service::last_error().code, control_error_code::outcome_unknown);
    store.drop_requests(0);
    store.memory().inject(standins::store_fault::unavailable);
    EXPECT_FALSE(service.set_wave("monthly", wave_state::paused, "ann", "w2"));
    EXPECT_EQ(control_service::last_error().code, control_error_code::unavailable);
}

// Guards against an action log that grows without bound.
TEST_F(control, actions_expire_after_the_retention)
{
    ASSERT_TRUE(service.request_drain("vm-1", "bob", "w1"));
    clock.advance(std::chrono::hours(24 * 35));
    EXPECT_EQ(service.actions(10)->size(), 1U);
    clock.advance(std::chrono::hours(24 * 2));
    EXPECT_TRUE(service.actions(10)->empty());
    EXPECT_EQ(service.drains()->size(), 1U) << "the drain itself stays";
}

} // namespace
} // namespace jl::operators
