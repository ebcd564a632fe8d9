#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/worker_roster.h"

namespace jl::jobs {
namespace {

roster_entry entry(int number, std::int64_t born = 1)
{
    return {"worker-" + std::to_string(number), "rounds", {"10.0.0.1", 80}, "vm", born};
}

class worker_roster_test : public ::testing::Test {
protected:
    std::set<std::string> changed_keys;
    worker_roster roster{[this](const std::string& key) { changed_keys.insert(key); }};
};

// A fleet of 3,000 workers served nobody: each arrival rewrote the entries of all workers.
TEST_F(worker_roster_test, an_arrival_writes_a_small_part)
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

// A registration that tells nothing new costs no write.
TEST_F(worker_roster_test, an_unchanged_entry_is_not_written)
{
    roster.set(entry(1));
    changed_keys.clear();
    roster.set(entry(1));
    EXPECT_TRUE(changed_keys.empty());
}

// A task must not start on a worker whose present life is not named in the store: a record that was
// written before the worker changed names the former one.
TEST_F(worker_roster_test, names_only_workers_whose_present_entry_was_written)
{
    roster.set(entry(1));
    const auto key = *changed_keys.begin();
    const auto first = roster.encode(key).version;
    roster.set(entry(1, 2));
    EXPECT_TRUE(roster.on_durable(key, first).empty());
    EXPECT_EQ(roster.on_durable(key, roster.encode(key).version).size(), 1U);
}

TEST_F(worker_roster_test, is_read_back_by_the_next_leader)
{
    for (int number = 0; number < 100; ++number) {
        roster.set(entry(number));
    }
    roster.erase("worker-7");
    std::set<std::string> seen;
    worker_roster next([](const std::string&) {});
    for (const auto& key : changed_keys) {
        ASSERT_TRUE(worker_roster::owns(key));
        for (const auto& loaded : next.load({key, roster.encode(key).value, 9, 0})) {
            seen.insert(loaded.worker);
        }
    }
    EXPECT_EQ(seen.size(), 99U);
    EXPECT_EQ(seen.count("worker-7"), 0U);
    next.erase("worker-8");
    EXPECT_EQ(next.size(), 98U);
}

} // namespace
} // namespace jl::jobs
