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

// A store whose answers the test gives, in any order.
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
        take(calls)(result);
    }
    static void fail(std::deque<callback<store_listing>>& calls)
    {
        store_result<store_listing> result;
        result.error = store_error::unavailable;
        take(calls)(result);
    }

private:
    static callback<store_listing> take(std::deque<callback<store_listing>>& calls)
    {
        auto done = std::move(calls.front());
        calls.pop_front();
        return done;
    }
};

store_item item(const std::string& key, std::int64_t revision)
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

// A worker that had left was in use again: a full read that began before its removal arrived after
// the event that told the removal.
TEST_F(watched_prefix_test, an_older_read_brings_no_removed_item_back)
{
    scripted_store::answer(store.lists, 10, {item("servers/a", 5), item("servers/b", 6)});
    timers.run_for(1000ms); // the second read is under way
    store_item removed;
    removed.key = "servers/a";
    scripted_store::answer(store.watches, 20, {removed});
    scripted_store::answer(store.lists, 15, {item("servers/a", 5), item("servers/b", 6)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/b+", "servers/a-"}));
}

// A later registration under the same key is taken from a read as well.
TEST_F(watched_prefix_test, a_read_brings_back_what_was_written_again)
{
    scripted_store::answer(store.lists, 10, {item("servers/a", 5)});
    timers.run_for(1000ms);
    store_item removed;
    removed.key = "servers/a";
    scripted_store::answer(store.watches, 20, {removed});
    scripted_store::answer(store.lists, 15, {item("servers/a", 21)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/a-", "servers/a+"}));
}

// A key written after the listing began is no key that was removed.
TEST_F(watched_prefix_test, an_older_read_removes_nothing_newer)
{
    scripted_store::answer(store.lists, 10, {item("servers/a", 5)});
    timers.run_for(1000ms);
    scripted_store::answer(store.watches, 20, {item("servers/b", 18)});
    scripted_store::answer(store.lists, 15, {item("servers/a", 5)});
    EXPECT_EQ(changes, (std::vector<std::string>{"servers/a+", "servers/b+"}));
}

// Without this a long prefix, which is read in full seldom, heard of no change until then.
TEST_F(watched_prefix_test, a_watch_that_fails_leads_to_a_read_at_once)
{
    std::vector<store_item> items;
    items.reserve(3000);
    for (int number = 0; number < 3000; ++number) {
        items.push_back(item("servers/" + std::to_string(number), 5));
    }
    scripted_store::answer(store.lists, 10, items);
    scripted_store::fail(store.watches);
    timers.run_for(500ms);
    EXPECT_EQ(store.lists.size(), 1U);
}

// Thousands of workers register themselves every second or two: each call collects what came
// meanwhile, and no event between two calls is missed.
TEST_F(watched_prefix_test, events_in_quick_succession_are_collected_by_one_call)
{
    scripted_store::answer(store.lists, 10, {});
    scripted_store::answer(store.watches, 11, {item("servers/a", 11)});
    timers.run_for(10ms);
    EXPECT_TRUE(store.watches.empty());
    timers.run_for(100ms);
    EXPECT_EQ(store.watches.size(), 1U);
    EXPECT_EQ(store.watched_after, (std::vector<std::int64_t>{10, 11}));
}

} // namespace
} // namespace jl::jobs
