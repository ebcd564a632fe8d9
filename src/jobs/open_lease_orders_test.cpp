#include <gtest/gtest.h>

#include "jobs/open_lease_orders.h"
#include "jobs/ports.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;

const net::boot_time start{1h};

// Guards against an answer to a later order that hides an earlier one without an answer.
TEST(open_lease_orders, answer_closes_one_order_only)
{
    open_lease_orders orders;
    orders.on_sent(start);
    orders.on_sent(start + 1s);
    orders.on_closed(start + 1s);
    EXPECT_EQ(orders.open_until(start + 2s), start + late_execution_limit);
    orders.on_closed(start);
    EXPECT_FALSE(orders.open_until(start + 2s));
}

// Guards against orders that count for good, and against a list that grows while a worker is
// silent.
TEST(open_lease_orders, order_without_an_answer_is_closed_after_the_limit)
{
    open_lease_orders orders;
    orders.on_sent(start);
    EXPECT_TRUE(orders.open_until(start + late_execution_limit - 1ms));
    EXPECT_FALSE(orders.open_until(start + late_execution_limit));
}

} // namespace
} // namespace jl::jobs
