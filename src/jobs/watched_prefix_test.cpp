#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/testing/virtual_timers.h"
#include "jobs/watched_prefix.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

// A store that keeps its calls pending until the test answers them, in any order.
class scripted_store final : public store_port {
public:
    std::deque<callback<store_listing>> lists;
    std::deque<callback<store_listing>> watches;
    std::vector<std::int64_t> watched_after;

    void get(const std::string&, callback<store_item>) override {}
    void list(const std::string&, callback<store_listing> done) override
    {
        lists.push_back(std::move(done));
    }
    void watch(const std::string&, std::int64_t after, milliseconds,
               callback<store_listing> done) override
    {
        watched_after.push_back(after);
        watches.push_back(std::move(done));
    }
    void commit(const store_transaction&, callback<commit_outcome>) override {}
    void grant_lease(milliseconds, callback<store_lease>) override {}
    void renew_lease(std::int64_t, callback<milliseconds>) override {}
    void end_lease(std::int64_t, std::function<void()>) override {}

    static void answer(std::deque<callback<store_listing>>& calls, std::int64_t at,
                       std::vector<store_item> items)
    {
        store_result<store_listing> result;
        result.value.emplace();
        result.value->at = at;
        result.value->items = std::move(items);
        take_first(calls)(result);
    }
    static void fail(std::deque<callback<store_listing>>& calls)
    {
        store_result<store_listing> result;
        result.error = store_error::unavailable;
        take_first(calls)(result);
    }

private:
    static callback<store_listing> take_first(std::deque<callback<store_listing>>& calls)
    {
        auto done = std::move(calls.front());
        calls.pop_front();
        return done;
    }
};

store_item make_item(const std::string& key, std::int64_t revision)
{
    return {key, "", revision, 0};
}

class watched_prefix_test : public ::testing::Test {
protected:
    watched_prefix_test()
        : prefix(timers, store, "servers/", 1000ms,
                 {[this](const store_item& changed) {
                      changes.push_back(changed.key + (changed.revision == 0 ? "-" : "+"));
                  },
                  [] {}})
    {
    }

    virtual_timers timers;
    scripted_store store;
    std::vector<std::string> changes;
    watched_prefix prefix;
};

// A full read that began before the removal of an item is answered after the removal event. It must
// not restore the item; otherwise a worker that has left would be used again.
TEST_F(watched_prefix_test, outdated_listing_does_not_restore_removed_item)
{
    scripted_store::answer(store.lists, 10, {make_item("servers/a", 5), make_item("servers/b", 6)});
    timers.run_for(1000ms); // the second read is pending
    store_item removed;
    removed.key = "servers/a";
    scripted_store::answer(store.watches, 20, {removed});
    scripted_store::answer(store.lists, 15, {make_item("servers/a", 5), make_item("servers/b", 6)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/b+", "servers/a-"}));
}

// An item that was written again after its removal is taken from an outdated listing as well,
// because its revision is newer than the removal.
TEST_F(watched_prefix_test, listing_reports_item_written_again_after_removal)
{
    scripted_store::answer(store.lists, 10, {make_item("servers/a", 5)});
    timers.run_for(1000ms);
    store_item removed;
    removed.key = "servers/a";
    scripted_store::answer(store.watches, 20, {removed});
    scripted_store::answer(store.lists, 15, {make_item("servers/a", 21)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/a-", "servers/a+"}));
}

// A key that was written after the listing was made is missing from it, but has not been removed.
TEST_F(watched_prefix_test, outdated_listing_does_not_remove_newer_item)
{
    scripted_store::answer(store.lists, 10, {make_item("servers/a", 5)});
    timers.run_for(1000ms);
    scripted_store::answer(store.watches, 20, {make_item("servers/b", 18)});
    scripted_store::answer(store.lists, 15, {make_item("servers/a", 5)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/b+"}));
}

// A prefix with many items is rarely read in full. If a failed watch did not trigger a read,
// changes would go unnoticed until the next periodic one.
TEST_F(watched_prefix_test, failed_watch_triggers_full_read)
{
    std::vector<store_item> items;
    items.reserve(3000);
    for (int number = 0; number < 3000; ++number) {
        items.push_back(make_item("servers/" + std::to_string(number), 5));
    }
    scripted_store::answer(store.lists, 10, items);
    scripted_store::fail(store.watches);
    timers.run_for(500ms);
    EXPECT_EQ(store.lists.size(), 1U);
}

// Thousands of workers renew their registrations every second or two. A pause between watch calls
// lets each call return many events, and the next call continues at the last revision, so that no
// event between two calls is missed.
TEST_F(watched_prefix_test, events_in_quick_succession_are_returned_by_one_call)
{
    scripted_store::answer(store.lists, 10, {});
    scripted_store::answer(store.watches, 11, {make_item("servers/a", 11)});
    timers.run_for(10ms);
    EXPECT_TRUE(store.watches.empty());
    timers.run_for(100ms);
    EXPECT_EQ(store.watches.size(), 1U);
    EXPECT_EQ(store.watched_after, (std::vector<std::int64_t>{10, 11}));
}

// Guards against an item without a key of the prefix, which its receiver cannot take apart.
TEST_F(watched_prefix_test, ignores_items_with_foreign_keys)
{
    scripted_store::answer(store.lists, 10,
                           {make_item("", 5), make_item("servers", 6), make_item("servers/a", 7)});
    scripted_store::answer(store.watches, 12, {make_item("", 11), make_item("servers/b", 12)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/b+"}));
}

} // namespace
} // namespace jl::jobs
