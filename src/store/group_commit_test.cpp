#include <algorithm>
#include <atomic>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "standins/memory_store.h"
#include "store/group_commit.h"
#include "store/retention_lease.h"

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

milliseconds options_default_backoff()
{
    return group_commit_options{}.max_backoff;
}

struct manual_commits {
    explicit manual_commits(group_commit_options options = {})
        : commits(store, clock, configure(std::move(options)), counters)
    {
    }
    static group_commit_options configure(group_commit_options options)
    {
        options.background = false;
        options.seed = 1;
        return options;
    }
    change make_claim(const std::string& key, const std::string& value, bool persistent = false)
    {
        return {{key_absent(key)}, {put(key, value)}, clock.steady_now() + seconds(1), persistent};
    }
    // Submits a claim and records its result below `key`.
    void submit(const std::string& key, const std::string& value, bool persistent = false)
    {
        commits.submit(make_claim(key, value, persistent),
                       [this, key](const change_result& result) { results[key] = result; });
    }
    std::string value_of(const std::string& key)
    {
        const auto found = store.range({key, "", 0}, {});
        return found && !found->items.empty() ? found->items[0].value : "";
    }
    change_outcome outcome_of(const std::string& key) { return results.at(key).outcome; }
    std::int64_t writes() const { return store.counts().writes; }

    test_clock clock;
    memory_store store{clock};
    metrics counters;
    std::map<std::string, change_result> results;
    group_commit commits;
};

// Guards against one transaction for each request, which exceeds the platform's write rate.
TEST(group_commit, many_changes_share_a_transaction)
{
    manual_commits test;
    for (int i = 0; i < 128; ++i) {
        test.submit("/k" + std::to_string(i), "v");
    }
    while (test.commits.flush()) {
    }
    EXPECT_EQ(test.writes(), 1);
    for (const auto& [key, result] : test.results) {
        EXPECT_EQ(result.outcome, change_outcome::committed) << key;
    }
    EXPECT_EQ(test.results.size(), 128U);
}

// Guards against transactions that etcd refuses because of their size.
TEST(group_commit, transactions_stay_within_operation_and_byte_limits)
{
    group_commit_options options;
    options.max_bytes = 1000;
    manual_commits test(options);
    for (int i = 0; i < 10; ++i) {
        test.submit("/large" + std::to_string(i), std::string(400, 'x'));
    }
    for (int i = 0; i < 200; ++i) {
        change two = test.make_claim("/two" + std::to_string(i), "v");
        two.writes.push_back(put("/other" + std::to_string(i), "v"));
        test.commits.submit(std::move(two), {});
    }
    while (test.commits.flush()) {
    }
    EXPECT_EQ(test.commits.waiting(), 0U);
    for (const auto& [key, result] : test.results) {
        EXPECT_EQ(result.outcome, change_outcome::committed) << key;
    }
}

// Guards against a key that exists failing the other requests of its transaction.
TEST(group_commit, conflict_does_not_fail_the_other_changes)
{
    manual_commits test;
    test.store.commit({{}, {put("/b", "taken")}, {}}, {});
    for (const auto* key : {"/a", "/b", "/c"}) {
        test.submit(key, std::string("new") + key);
    }
    while (test.commits.flush()) {
    }
    EXPECT_EQ(test.outcome_of("/a"), change_outcome::committed);
    EXPECT_EQ(test.outcome_of("/b"), change_outcome::conflict);
    EXPECT_EQ(test.outcome_of("/c"), change_outcome::committed);
    ASSERT_EQ(test.results.at("/b").current.size(), 1U);
    EXPECT_EQ(test.results.at("/b").current[0].value, "taken");
    EXPECT_EQ(test.results.at("/a").revision,
              test.store.range({"/a", "", 0}, {})->items[0].mod_revision);
}

// Guards against two changes of one key in one transaction, of which both would seem to succeed.
TEST(group_commit, two_changes_of_a_key_do_not_share_a_transaction)
{
    manual_commits test;
    std::vector<change_outcome> outcomes;
    for (const auto* value : {"first", "second"}) {
        test.commits.submit(test.make_claim("/a", value), [&](const change_result& result) {
            outcomes.push_back(result.outcome);
        });
    }
    while (test.commits.flush()) {
    }
    EXPECT_THAT(outcomes,
                ::testing::ElementsAre(change_outcome::committed, change_outcome::conflict));
    EXPECT_EQ(test.value_of("/a"), "first");
}

// Guards against a claim that took effect being taken for one of another process.
TEST(group_commit, lost_answer_is_resolved_by_reading_back)
{
    manual_commits test;
    test.submit("/a", "mine");
    test.store.inject(store_fault::lost_answer, 1);
    EXPECT_TRUE(test.commits.flush());
    EXPECT_TRUE(test.results.empty());
    EXPECT_TRUE(test.commits.flush());
    EXPECT_EQ(test.outcome_of("/a"), change_outcome::committed);
}

// Guards against a lost answer that is reported as "not applied" once the deadline has passed.
TEST(group_commit, outcome_stays_unknown_until_the_store_answers)
{
    manual_commits test;
    test.store.inject(store_fault::lost_answer, 1);
    test.submit("/a", "mine");
    test.commits.flush();
    test.store.inject(store_fault::unavailable);
    test.clock.now += seconds(5);
    for (int i = 0; i < 5; ++i) {
        test.commits.flush();
    }
    EXPECT_TRUE(test.results.empty());
    test.store.inject(store_fault::none);
    test.commits.flush();
    EXPECT_EQ(test.outcome_of("/a"), change_outcome::committed);
}

// Guards against callers held for the length of an outage, and against outcomes lost in it.
TEST(group_commit, unavailable_store_fails_new_changes_and_keeps_persistent_ones)
{
    manual_commits test;
    test.store.inject(store_fault::unavailable);
    test.submit("/claim", "a");
    test.submit("/answer", "b", true);
    test.commits.flush();
    EXPECT_EQ(test.outcome_of("/claim"), change_outcome::not_applied);
    EXPECT_EQ(test.results.count("/answer"), 0U);
    test.store.inject(store_fault::none);
    test.commits.flush();
    EXPECT_EQ(test.outcome_of("/answer"), change_outcome::committed);
    EXPECT_EQ(test.value_of("/claim"), "");
}

// Guards against one bad change that fails a whole transaction again and again.
TEST(group_commit, refused_change_is_found_and_the_others_commit)
{
    manual_commits test;
    test.submit("/a", "a");
    test.commits.submit({{key_absent("/bad")},
                         {put("/bad", "b", 4711)},
                         test.clock.steady_now() + seconds(1),
                         false},
                        [&](const change_result& result) { test.results["/bad"] = result; });
    test.submit("/c", "c");
    while (test.commits.flush()) {
    }
    EXPECT_EQ(test.outcome_of("/a"), change_outcome::committed);
    EXPECT_EQ(test.outcome_of("/c"), change_outcome::committed);
    EXPECT_EQ(test.outcome_of("/bad"), change_outcome::not_applied);
    EXPECT_EQ(test.results.at("/bad").error.code, store_error_code::lease_not_found);
}

// Guards against memory that grows without bound while the store is slow.
TEST(group_commit, full_queue_refuses_changes)
{
    group_commit_options options;
    options.max_waiting = 2;
    options.max_waiting_bytes = 1000;
    manual_commits test(options);
    EXPECT_FALSE(test.commits.submit(test.make_claim("/a", std::string(2000, 'x')), {}));
    EXPECT_TRUE(test.commits.submit(test.make_claim("/a", "a"), {}));
    EXPECT_TRUE(test.commits.submit(test.make_claim("/b", "b"), {}));
    EXPECT_FALSE(test.commits.submit(test.make_claim("/c", "c"), {}));
    while (test.commits.flush()) {
    }
    EXPECT_TRUE(test.commits.submit(test.make_claim("/c", "c"), {}));
}

// Guards against a write that is sent after its caller has stopped waiting for it.
TEST(group_commit, change_past_its_deadline_is_not_sent)
{
    manual_commits test;
    test.submit("/a", "a");
    test.clock.now += seconds(2);
    EXPECT_FALSE(test.commits.flush());
    EXPECT_EQ(test.outcome_of("/a"), change_outcome::not_applied);
    EXPECT_EQ(test.writes(), 0);
}

// Guards against more than the declared 100 transactions a second from all members together.
TEST(group_commit, transactions_are_paced_by_the_number_of_members)
{
    constexpr int members = 7;
    group_commit_options options;
    options.members = [] { return members; };
    manual_commits test(options);
    for (int i = 0; i < 1000; ++i) {
        test.submit("/k" + std::to_string(i), "v", true);
        test.commits.flush_if_due();
        test.clock.now += milliseconds(1);
    }
    EXPECT_LE(test.writes() * members, 100 + members);
    EXPECT_GT(test.results.size(), 800U);
}

// Guards against entries that call a failed store often, and that return to it all at once.
TEST(group_commit, retries_of_an_outage_are_few_and_spread)
{
    std::vector<milliseconds> returns;
    for (std::uint64_t seed = 1; seed <= 7; ++seed) {
        test_clock clock;
        memory_store store(clock);
        metrics counters;
        group_commit_options options;
        options.background = false;
        options.seed = seed;
        group_commit commits(store, clock, options, counters);
        store.inject(store_fault::unavailable);
        commits.submit({{key_absent("/a")}, {put("/a", "a")}, steady_time::max(), true},
                       [&](const change_result&) { returns.push_back(clock.now); });
        const auto end = clock.now + seconds(60);
        for (; clock.now < end; clock.now += milliseconds(1)) {
            commits.flush_if_due();
        }
        // One call in max_backoff / 2 at most, and some at first while the delay grows.
        EXPECT_LE(store.counts().writes, 70);
        store.inject(store_fault::none);
        for (; commits.waiting() > 0; clock.now += milliseconds(1)) {
            commits.flush_if_due();
        }
    }
    std::sort(returns.begin(), returns.end());
    EXPECT_EQ(std::unique(returns.begin(), returns.end()), returns.end());
    EXPECT_LE(returns.back() - returns.front(), options_default_backoff());
}

// Guards against data races between callers and the flushing thread, and against lost callbacks.
TEST(group_commit, concurrent_callers_each_get_their_outcome)
{
    memory_store store;
    metrics counters;
    group_commit_options options;
    options.window_per_member = milliseconds(1);
    group_commit commits(store, system_clock_source(), options, counters);
    constexpr int callers = 8;
    constexpr int keys = 50;
    std::atomic<int> committed{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int i = 0; i < keys; ++i) {
                const auto key = "/k" + std::to_string(i);
                const auto result = commits.commit({{key_absent(key)},
                                                    {put(key, std::to_string(caller))},
                                                    std::chrono::steady_clock::now() + seconds(60),
                                                    false});
                committed += result.outcome == change_outcome::committed ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(committed, keys);
}

// Guards against an outcome that contradicts the store under any order of conflicts and faults.
RC_GTEST_PROP(group_commit, outcomes_agree_with_the_store, ())
{
    manual_commits test;
    constexpr int steps = 60;
    int next = 0;
    std::map<std::string, change_result> results;
    std::map<std::string, std::string> keys;
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1: {
            const auto key = "/k" + std::to_string(*rc::gen::inRange(0, 12));
            const auto value = "v" + std::to_string(next++);
            keys[value] = key;
            test.commits.submit(test.make_claim(key, value, *rc::gen::arbitrary<bool>()),
                                [&results, value](const change_result& result) {
                                    RC_ASSERT(results.count(value) == 0);
                                    results[value] = result;
                                });
            break;
        }
        case 2:
            test.commits.flush();
            break;
        case 3:
            test.store.inject(*rc::gen::element(store_fault::unavailable, store_fault::lost_answer),
                              *rc::gen::inRange(1, 3));
            break;
        default:
            test.clock.now += milliseconds(*rc::gen::inRange(0, 400));
            break;
        }
    }
    test.store.inject(store_fault::none);
    while (test.commits.flush()) {
    }
    RC_ASSERT(results.size() == keys.size());
    for (const auto& [value, result] : results) {
        const bool stored = test.value_of(keys[value]) == value;
        RC_ASSERT(stored == (result.outcome == change_outcome::committed));
        RC_ASSERT(result.outcome != change_outcome::unknown);
    }
}

// Guards against one lease for each key, and against keys that end before the retention.
TEST(retention_lease, is_shared_and_lasts_for_the_retention)
{
    test_clock clock;
    memory_store store(clock);
    retention_lease lease(store, clock, seconds(100), seconds(10));
    const auto first = lease.current();
    ASSERT_TRUE(first);
    clock.now += seconds(9);
    EXPECT_EQ(lease.current(), first);
    store.commit({{}, {put("/a", "a", *first)}, {}}, {});
    clock.now += seconds(2);
    EXPECT_NE(lease.current(), first);
    EXPECT_EQ(store.counts().writes, 3);
    clock.now += seconds(98);
    EXPECT_EQ(store.range({"/a", "", 0}, {})->items.size(), 1U);
    clock.now += seconds(10);
    EXPECT_TRUE(store.range({"/a", "", 0}, {})->items.empty());
}

// Guards against every caller waiting for an unavailable store in turn.
TEST(retention_lease, failed_grant_is_not_repeated_at_once)
{
    test_clock clock;
    memory_store store(clock);
    retention_lease lease(store, clock);
    store.inject(store_fault::unavailable);
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(lease.current());
    }
    EXPECT_EQ(store.counts().writes, 1);
    store.inject(store_fault::none);
    clock.now += seconds(1);
    EXPECT_TRUE(lease.current());
}

} // namespace
} // namespace jl::store
