#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/record_loader.h"
#include "jobs/testing/virtual_timers.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

// Guards against a new leader that decodes all jobs before it renews its lease, loses it, and
// leaves the same work to the next one.
TEST(record_loader, other_work_runs_between_the_parts)
{
    constexpr std::size_t records = 100;
    constexpr std::size_t tasks_per_record = 10000;
    virtual_timers timers;
    std::size_t loaded = 0;
    bool done = false;
    record_loader loader(
        timers, std::vector<store_item>(records),
        [&loaded](const store_item&) {
            ++loaded;
            return tasks_per_record;
        },
        [&done] { done = true; });
    EXPECT_EQ(loaded, 0U);
    std::size_t last = 0;
    std::size_t most_between = 0;
    std::function<void()> other_work = [&] {
        most_between = std::max(most_between, loaded - last);
        last = loaded;
        if (!done) {
            timers.call_after(0ns, other_work);
        }
    };
    timers.call_after(0ns, other_work);
    timers.run_for(1ms);
    EXPECT_TRUE(done);
    EXPECT_EQ(loaded, records);
    EXPECT_LE(most_between, 2U);
}

TEST(record_loader, small_records_are_loaded_together)
{
    virtual_timers timers;
    std::vector<std::string> loaded;
    std::vector<store_item> items;
    items.reserve(100);
    for (int number = 0; number < 100; ++number) {
        items.push_back({std::to_string(number), std::string(500, 'x'), 1, 0});
    }
    int parts = 0;
    std::function<void()> count_parts = [&] {
        if (loaded.size() < items.size()) {
            ++parts;
            timers.call_after(0ns, count_parts);
        }
    };
    record_loader loader(
        timers, items,
        [&loaded](const store_item& item) {
            loaded.push_back(item.key);
            return std::size_t{1};
        },
        [] {});
    timers.call_after(0ns, count_parts);
    timers.run_for(1ms);
    ASSERT_EQ(loaded.size(), items.size());
    EXPECT_EQ(loaded.front(), "0");
    EXPECT_EQ(loaded.back(), "99");
    EXPECT_LE(parts, 1);
}

} // namespace
} // namespace jl::jobs
