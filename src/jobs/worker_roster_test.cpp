#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/worker_roster.h"

namespace jl::jobs {
namespace {

roster_entry entry(int number, std::int64_t started_at_ms = 1)
{
    return {"worker-" + std::to_string(number), "rounds", {"10.0.0.1", 80}, "vm", started_at_ms};
}

class worker_roster_test : public ::testing::Test {
protected:
    std::set<std::string> changed_keys;
    worker_roster roster{[this](const std::string& key) { changed_keys.insert(key); }};
};

// Guards against a record that holds all workers: with 3,000 workers, each new one rewrote the
// entries of all others, and the fleet ran no tasks.
TEST_F(worker_roster_test, adding_a_worker_writes_a_small_part_of_the_roster)
{
    std::size_t total = 0;
    for (int number = 0; number < 3000; ++number) {
        roster.set(entry(number));
    }
    for (const auto& key : changed_keys) {
        total += roster.encode(key).value.size();
    }
    changed_keys.clear();
    roster.set(entry(3000));
    ASSERT_EQ(changed_keys.size(), 1U);
    EXPECT_LT(roster.encode(*changed_keys.begin()).value.size(), total / 8);
}

TEST_F(worker_roster_test, an_unchanged_entry_causes_no_write)
{
    roster.set(entry(1));
    changed_keys.clear();
    EXPECT_FALSE(roster.set(entry(1)));
    EXPECT_TRUE(changed_keys.empty());
}

// A task must not start on a worker whose current incarnation is not in the store. A version of the
// record from before the worker's restart contains only the former incarnation.
TEST_F(worker_roster_test, durable_version_covers_only_entries_that_it_contains)
{
    roster.set(entry(1));
    const auto key = *changed_keys.begin();
    const auto first_version = roster.encode(key).version;
    roster.set(entry(1, 2));
    EXPECT_TRUE(roster.on_durable(key, first_version).empty());
    EXPECT_EQ(roster.on_durable(key, roster.encode(key).version).size(), 1U);
}

// Guards against a next leader that does not hear of a lease which may be longer than usual.
TEST_F(worker_roster_test, next_leader_learns_of_a_longest_lease)
{
    auto restarted = entry(1);
    restarted.longest_lease = true;
    roster.set(restarted);
    const auto key = *changed_keys.begin();
    worker_roster next{[](const std::string&) {}};
    const auto loaded = next.load({key, roster.encode(key).value, 1, 0});
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_TRUE(loaded[0].longest_lease);
}

TEST_F(worker_roster_test, next_leader_loads_all_entries)
{
    for (int number = 0; number < 100; ++number) {
        roster.set(entry(number));
    }
    roster.erase("worker-7");
    std::set<std::string> loaded_workers;
    worker_roster next([](const std::string&) {});
    for (const auto& key : changed_keys) {
        ASSERT_TRUE(worker_roster::owns(key));
        for (const auto& loaded : next.load({key, roster.encode(key).value, 9, 0})) {
            loaded_workers.insert(loaded.worker);
        }
    }
    EXPECT_EQ(loaded_workers.size(), 99U);
    EXPECT_EQ(loaded_workers.count("worker-7"), 0U);
    next.erase("worker-8");
    EXPECT_EQ(next.size(), 98U);
}

// Guards against a deeply nested record that overflows the stack of each leader that loads it.
TEST_F(worker_roster_test, deeply_nested_record_is_rejected)
{
    store_item item;
    item.key = std::string(worker_roster::prefix) + "0";
    item.value = std::string(1000000, '\x81') + '\x01';
    EXPECT_TRUE(roster.load(item).empty());
}

} // namespace
} // namespace jl::jobs
