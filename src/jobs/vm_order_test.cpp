#include <gtest/gtest.h>

#include "jobs/vm_order.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;

class vm_order_test : public ::testing::Test {
protected:
    vm_order::outcome send(vm_order_status answer)
    {
        order.on_sent(now, {"w0", 1});
        return order.on_answered(answer, now);
    }

    vm_order order;
    net::boot_time now{1h};
};

class refused_vm_order : public vm_order_test,
                         public ::testing::WithParamInterface<vm_order_status> {};

// Guards against releasing a VM whose order is carried out later: only a repetition was refused.
TEST_P(refused_vm_order, leaves_the_outcome_of_an_unanswered_attempt_open)
{
    EXPECT_EQ(send(vm_order_status::unanswered), vm_order::outcome::unknown);
    now += 300ms;
    EXPECT_EQ(send(GetParam()), vm_order::outcome::unknown);
    EXPECT_FALSE(order.settled());
    now += 300ms;
    EXPECT_TRUE(order.repeat_due(now));
    EXPECT_EQ(send(vm_order_status::accepted), vm_order::outcome::executed);
    EXPECT_TRUE(order.settled());
}

// Guards against an order that is repeated forever because an early attempt got no answer.
TEST_P(refused_vm_order, settles_the_order_once_earlier_attempts_are_over)
{
    send(vm_order_status::unanswered);
    now += late_execution_limit + 1ms;
    EXPECT_EQ(send(GetParam()), vm_order::outcome::not_executed);
    EXPECT_TRUE(order.settled());
}

TEST_P(refused_vm_order, settles_an_order_whose_attempts_were_all_answered)
{
    EXPECT_EQ(send(GetParam()), vm_order::outcome::not_executed);
    EXPECT_TRUE(order.settled());
}

INSTANTIATE_TEST_SUITE_P(refusals, refused_vm_order,
                         ::testing::Values(vm_order_status::wrong_wave, vm_order_status::rejected));

} // namespace
} // namespace jl::jobs
