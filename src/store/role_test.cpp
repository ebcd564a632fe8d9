#include <gtest/gtest.h>

#include "standins/memory_store.h"
#include "store/role.h"

namespace jl::store {
namespace {

using standins::memory_store;
using standins::store_fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

class test_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time(now); }
    wall_time wall_now() const override { return wall_time(now); }
    milliseconds now{1000000};
};

struct two_processes {
    test_clock clock;
    memory_store store{clock};
    process_lease first{store, clock, "first", seconds(6)};
    process_lease second{store, clock, "second", seconds(6)};

    two_processes()
    {
        first.renew();
        second.renew();
    }
    // Whether a write fenced with the token takes effect.
    bool writes_with(std::int64_t token)
    {
        const auto result =
            store.commit({{process_lease::fence("planner", token)}, {put("/a", "a")}, {}}, {});
        return result && result->succeeded;
    }
};

// Guards against two owners of one role.
TEST(process_lease, role_has_one_holder)
{
    two_processes test;
    const auto token = test.first.acquire("planner");
    ASSERT_TRUE(token);
    EXPECT_FALSE(test.second.acquire("planner"));
    EXPECT_EQ(test.first.acquire("planner"), token);
    EXPECT_EQ(test.first.token("planner"), token);
    EXPECT_FALSE(test.second.token("planner"));
}

// Guards against a holder that acts on its role when the lease may have expired.
TEST(process_lease, holder_stops_at_two_thirds_of_the_ttl)
{
    two_processes test;
    test.first.acquire("planner");
    test.clock.now += milliseconds(3999);
    EXPECT_TRUE(test.first.valid());
    test.clock.now += milliseconds(1);
    EXPECT_FALSE(test.first.valid());
    EXPECT_FALSE(test.first.token("planner"));
    EXPECT_FALSE(test.first.acquire("other"));
    EXPECT_TRUE(test.first.renew());
    EXPECT_TRUE(test.first.token("planner"));
}

// Guards against writes of a holder that was paused while its role passed to another process.
TEST(process_lease, paused_holder_is_fenced)
{
    two_processes test;
    const auto old_token = test.first.acquire("planner");
    const auto old_epoch = test.first.epoch();
    ASSERT_TRUE(old_token);
    for (int i = 0; i < 4; ++i) {
        test.clock.now += seconds(2);
        test.second.renew();
    }
    const auto new_token = test.second.acquire("planner");
    ASSERT_TRUE(new_token);
    EXPECT_FALSE(test.writes_with(*old_token));
    EXPECT_TRUE(test.writes_with(*new_token));
    EXPECT_TRUE(test.first.renew());
    EXPECT_FALSE(test.first.token("planner"));
    EXPECT_FALSE(test.first.acquire("planner"));
    EXPECT_GT(test.first.epoch(), old_epoch);
}

// Guards against a role that nobody acts on because its holder does not know that it holds it.
TEST(process_lease, lost_answer_of_an_acquisition_is_resolved)
{
    two_processes test;
    test.store.inject(store_fault::lost_answer, 1);
    EXPECT_FALSE(test.first.acquire("planner"));
    EXPECT_FALSE(test.second.acquire("planner"));
    EXPECT_TRUE(test.first.acquire("planner"));
}

// Guards against a renewal counted as successful although its answer is lost.
TEST(process_lease, failed_renewal_does_not_extend_validity)
{
    two_processes test;
    for (const auto fault : {store_fault::unavailable, store_fault::lost_answer}) {
        EXPECT_TRUE(test.first.renew());
        test.clock.now += seconds(3);
        test.store.inject(fault, 1);
        EXPECT_FALSE(test.first.renew());
        test.clock.now += seconds(2);
        EXPECT_FALSE(test.first.valid());
    }
}

// Guards against a holder that goes on with a role although its release may take effect later.
TEST(process_lease, role_whose_release_has_no_answer_is_not_held_again)
{
    two_processes test;
    const auto token = test.first.acquire("planner");
    ASSERT_TRUE(token);
    test.store.inject(store_fault::unavailable, 1);
    test.first.release("planner");
    const auto again = test.first.acquire("planner");
    EXPECT_NE(again, token);
    // The release takes effect now.
    test.store.commit(
        {{process_lease::fence("planner", *token)}, {remove("/jl/owners/planner")}, {}}, {});
    const auto next = test.first.acquire("planner");
    ASSERT_TRUE(next);
    EXPECT_TRUE(test.writes_with(*next));
}

// Guards against a released role that its next holder has to wait for.
TEST(process_lease, released_role_is_free_at_once)
{
    two_processes test;
    test.first.acquire("planner");
    test.first.release("planner");
    EXPECT_FALSE(test.first.token("planner"));
    EXPECT_TRUE(test.second.acquire("planner"));
    // A second release must not remove the role of the new holder.
    test.first.release("planner");
    EXPECT_TRUE(test.second.token("planner"));
    EXPECT_FALSE(test.first.acquire("planner"));
}

} // namespace
} // namespace jl::store
