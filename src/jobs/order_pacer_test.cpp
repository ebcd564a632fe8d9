#include <algorithm>
#include <functional>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/order_pacer.h"
#include "jobs/testing/virtual_timers.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

// Guards against an event loop that stands still while the orders for all tasks of a large job are
// sent: the leader loses its lease meanwhile.
TEST(order_pacer, other_work_runs_between_the_orders_of_a_burst)
{
    constexpr int burst = 10000;
    virtual_timers timers;
    int sent = 0;
    int drained = 0;
    order_pacer orders(timers, [&drained] { ++drained; });
    int most_between = 0;
    int last = 0;
    std::function<void()> other_work = [&] {
        most_between = std::max(most_between, sent - last);
        last = sent;
        if (sent < burst) {
            timers.call_after(0ns, other_work);
        }
    };
    timers.call_after(0ns, other_work);
    for (int order = 0; order < burst; ++order) {
        orders.send([&sent] { ++sent; });
    }
    EXPECT_FALSE(orders.accepts_more());
    most_between = sent;
    timers.run_for(1ms);
    EXPECT_EQ(sent, burst);
    EXPECT_LE(most_between, 128);
    EXPECT_EQ(drained, 1);
    EXPECT_TRUE(orders.accepts_more());
}

TEST(order_pacer, orders_keep_their_sequence)
{
    virtual_timers timers;
    std::vector<int> sent;
    order_pacer orders(timers, [] {});
    for (int order = 0; order < 200; ++order) {
        orders.send([&sent, order] { sent.push_back(order); });
    }
    timers.run_for(1ms);
    ASSERT_EQ(sent.size(), 200U);
    for (int order = 0; order < 200; ++order) {
        EXPECT_EQ(sent[static_cast<std::size_t>(order)], order);
    }
}

TEST(order_pacer, few_orders_are_sent_at_once)
{
    virtual_timers timers;
    int sent = 0;
    order_pacer orders(timers, [] {});
    for (int order = 0; order < 10; ++order) {
        orders.send([&sent] { ++sent; });
    }
    EXPECT_EQ(sent, 10);
}

} // namespace
} // namespace jl::jobs
