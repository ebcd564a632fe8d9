#include <gtest/gtest.h>

#include "jobs/open_starts.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;

const task_name task{"00000000000000a1", 0, 0, 0};
const net::boot_time start{1h};

// Guards against a refused repetition that hides an earlier attempt without an answer.
TEST(open_starts, answer_settles_one_attempt_only)
{
    open_starts starts;
    starts.on_sent(task, 1, start);
    starts.on_answered(task, 1, order_status::unanswered);
    starts.on_sent(task, 1, start + 1s);
    EXPECT_EQ(starts.attempts(task, 1), 2);
    starts.on_answered(task, 1, order_status::no_room);
    EXPECT_EQ(starts.attempts(task, 1), 1);
}

TEST(open_starts, answered_attempts_are_not_open)
{
    open_starts starts;
    for (const auto status : {order_status::accepted, order_status::no_room, order_status::not_sent,
                              order_status::other_worker}) {
        starts.on_sent(task, 1, start);
        starts.on_answered(task, 1, status);
        EXPECT_TRUE(starts.empty()) << to_string(status);
    }
}

// Guards against a repetition of a start whose run has ended and that counts as work that may still
// begin, for as long as late starts are possible.
TEST(open_starts, closed_run_stays_open_for_later_incarnations_only)
{
    open_starts starts;
    starts.on_sent(task, 1, start);
    starts.on_sent(task, 2, start);
    starts.on_run_closed(task, 1);
    EXPECT_EQ(starts.runs().size(), 2U);
    ASSERT_EQ(starts.startable_runs().size(), 1U);
    EXPECT_EQ(starts.startable_runs().front().run, 2);
}

TEST(open_starts, runs_are_kept_apart)
{
    open_starts starts;
    starts.on_sent(task, 1, start);
    starts.on_sent(task, 2, start);
    starts.on_answered(task, 2, order_status::accepted);
    EXPECT_EQ(starts.attempts(task, 1), 1);
    EXPECT_EQ(starts.attempts(task, 2), 0);
    ASSERT_EQ(starts.runs().size(), 1U);
    EXPECT_EQ(starts.runs().front().run, 1);
}

// Guards against a list that grows with each lost answer.
TEST(open_starts, old_attempts_expire)
{
    open_starts starts;
    starts.on_sent(task, 1, start);
    starts.expire(start);
    EXPECT_FALSE(starts.empty());
    starts.expire(start + 1ms);
    EXPECT_TRUE(starts.empty());
}

} // namespace
} // namespace jl::jobs
