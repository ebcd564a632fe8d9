#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "jobs/testing/virtual_timers.h"
#include "jobs/vm_order_log.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

constexpr milliseconds order_interval = 3000ms;
// A new leader may order a VM this long after the previous leader's last order to it.
constexpr milliseconds longest_hold = 3300ms;

// A leader's log with a store that keeps the last record that was written.
class logged_leader {
public:
    logged_leader(virtual_timers& timers, const std::optional<std::string>& previous_record)
        : log_(
              timers, order_interval, [this] { ++writes_requested_; }, [] {})
    {
        if (previous_record) {
            store_item item;
            item.key = vm_order_log::key;
            item.value = *previous_record;
            log_.load(item);
        }
    }

    // Writes the present record, which becomes durable at once.
    void store()
    {
        const auto version = log_.version();
        record_ = log_.encode();
        log_.on_durable(version);
    }
    // Sends an order, after writing the record if the log asks for that.
    void order(const std::string& vm)
    {
        if (!log_.may_order(vm)) {
            store();
            ASSERT_TRUE(log_.may_order(vm));
        }
    }

    vm_order_log& log() { return log_; }
    const vm_order_log& log() const { return log_; }
    const std::optional<std::string>& record() const { return record_; }
    int writes_requested() const { return writes_requested_; }

private:
    int writes_requested_ = 0;
    vm_order_log log_;
    std::optional<std::string> record_;
};

// Guards against a new leader that cannot order any VM for three seconds after a demand peak, in
// which most VMs were moved: with rising demand and restarts of nodes in turn, 22 of 48 VMs stood
// idle for up to six seconds.
TEST(vm_order_log, vm_ordered_long_ago_is_free_for_the_next_leader)
{
    virtual_timers timers;
    logged_leader first(timers, std::nullopt);
    first.order("early");
    timers.run_for(5s);
    first.order("late");
    logged_leader second(timers, first.record());
    EXPECT_FALSE(second.log().held_by_previous_leader("early"));
    EXPECT_TRUE(second.log().held_by_previous_leader("late"));
    timers.run_for(longest_hold);
    EXPECT_FALSE(second.log().held_by_previous_leader("late"));
}

// Guards against two leaders that order one VM in quick succession: the record states an age of
// several seconds from the VM's earlier order when the second one is sent.
TEST(vm_order_log, order_after_an_aged_record_needs_a_new_record)
{
    virtual_timers timers;
    logged_leader first(timers, std::nullopt);
    first.order("vm");
    timers.run_for(4s);
    first.order("other"); // its record states the age of the order to "vm"
    ASSERT_FALSE(first.log().may_order("vm"));
    first.store();
    ASSERT_TRUE(first.log().may_order("vm"));
    logged_leader second(timers, first.record());
    EXPECT_TRUE(second.log().held_by_previous_leader("vm"));
}

// Guards against an age in a record that is written while the order still waits for an earlier
// write: the order is sent once the record is durable, which may be much later.
TEST(vm_order_log, order_that_waits_for_its_record_has_no_age)
{
    virtual_timers timers;
    logged_leader first(timers, std::nullopt);
    ASSERT_FALSE(first.log().may_order("vm"));
    timers.run_for(4s); // the store is slow
    first.store();
    ASSERT_TRUE(first.log().may_order("vm"));
    logged_leader second(timers, first.record());
    EXPECT_TRUE(second.log().held_by_previous_leader("vm"));
}

// Guards against a third leader that does not know of the first one's orders.
TEST(vm_order_log, orders_are_known_over_two_changes_of_leaders)
{
    virtual_timers timers;
    logged_leader first(timers, std::nullopt);
    first.order("vm");
    logged_leader second(timers, first.record());
    timers.run_for(1s);
    second.order("other");
    logged_leader third(timers, second.record());
    EXPECT_TRUE(third.log().held_by_previous_leader("vm"));
    timers.run_for(longest_hold - 1s);
    EXPECT_FALSE(third.log().held_by_previous_leader("vm"));
    EXPECT_TRUE(third.log().held_by_previous_leader("other"));
}

// Guards against a next leader whose orders are undone by a late one of the previous leader.
TEST(vm_order_log, unanswered_order_holds_its_vm_until_nothing_executes_it)
{
    virtual_timers timers;
    logged_leader first(timers, std::nullopt);
    first.order("answered");
    first.order("unanswered");
    first.log().on_unanswered("unanswered");
    timers.run_for(10s);
    first.order("other");
    logged_leader second(timers, first.record());
    second.order("new");
    logged_leader third(timers, second.record());
    for (const auto* const leader : {&second, &third}) {
        EXPECT_FALSE(leader->log().held_by_previous_leader("answered"));
        EXPECT_TRUE(leader->log().held_by_previous_leader("unanswered"));
    }
    timers.run_for(late_execution_limit - 10s - 1ms);
    EXPECT_TRUE(third.log().held_by_previous_leader("unanswered"));
    timers.run_for(longest_hold);
    EXPECT_FALSE(third.log().held_by_previous_leader("unanswered"));
}

// Guards against orders sent too early after an update: releases before 0.3 wrote a list of names.
TEST(vm_order_log, unknown_format_holds_every_vm)
{
    virtual_timers timers;
    logged_leader leader(timers, std::string("[\"vm\"]"));
    EXPECT_TRUE(leader.log().held_by_previous_leader("vm"));
    EXPECT_TRUE(leader.log().held_by_previous_leader("other"));
    timers.run_for(longest_hold);
    EXPECT_FALSE(leader.log().held_by_previous_leader("vm"));
}

// Guards against an age that overflows when it is subtracted from a time, which held the VM for
// ever or not at all. A negative age stands for an order that may be executed late.
TEST(vm_order_log, age_out_of_range_counts_as_the_longest)
{
    virtual_timers timers;
    logged_leader leader(timers, R"({"a":9223372036854775807,"b":-9223372036854775807,
        "c":18446744073709551615,"d":"x"})");
    EXPECT_FALSE(leader.log().held_by_previous_leader("a"));
    for (const auto* vm : {"b", "d"}) {
        EXPECT_TRUE(leader.log().held_by_previous_leader(vm)) << vm;
    }
    timers.run_for(longest_hold);
    for (const auto* vm : {"a", "c", "d"}) {
        EXPECT_FALSE(leader.log().held_by_previous_leader(vm)) << vm;
    }
    timers.run_for(late_execution_limit - 1s);
    EXPECT_TRUE(leader.log().held_by_previous_leader("b"));
    timers.run_for(1s);
    EXPECT_FALSE(leader.log().held_by_previous_leader("b"));
}

} // namespace
} // namespace jl::jobs
