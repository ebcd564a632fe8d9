#include <algorithm>
#include <functional>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/model.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;

constexpr int steps_per_stage = 3;

// Returns a job in which each step waits for all steps of the stage before. The number of paths
// through it is `steps_per_stage` to the power of `stages`.
job_spec make_job_in_stages(const std::string& id, int stages)
{
    auto spec = make_job(id, stages * steps_per_stage, 1);
    for (int step = 0; step < stages * steps_per_stage; ++step) {
        auto& after = spec.steps[static_cast<std::size_t>(step)].after;
        after.clear();
        const int stage_begin = step - step % steps_per_stage;
        for (int earlier = stage_begin - steps_per_stage; earlier >= 0 && earlier < stage_begin;
             ++earlier) {
            after.push_back(earlier);
        }
    }
    return spec;
}

// Guards against a search that visits each path through the steps: it would take longer than the
// leader's lease, on one leader after the other.
TEST(critical_path, takes_time_by_the_dependencies_and_not_by_the_paths)
{
    const auto spec = make_job_in_stages("a", 300);
    ASSERT_TRUE(is_valid(spec));
    EXPECT_EQ(critical_path_duration(spec), 300 * spec.steps.front().estimate);
}

// Guards against a wrong order of the steps in the search.
RC_GTEST_PROP(critical_path, is_the_longest_of_all_paths, ())
{
    job_spec spec;
    const int steps = *rc::gen::inRange(1, 8);
    for (int step = 0; step < steps; ++step) {
        step_spec next;
        next.count = 1;
        next.estimate = milliseconds(*rc::gen::inRange(0, 1000));
        for (int earlier = 0; earlier < step; ++earlier) {
            if (*rc::gen::arbitrary<bool>()) {
                next.after.push_back(earlier);
            }
        }
        spec.steps.push_back(next);
    }
    const std::function<milliseconds(int)> longest_path_to = [&](int step) {
        const auto& last = spec.steps[static_cast<std::size_t>(step)];
        milliseconds longest{0};
        for (const int earlier : last.after) {
            longest = std::max(longest, longest_path_to(earlier));
        }
        return longest + last.estimate;
    };
    milliseconds longest{0};
    for (int step = 0; step < steps; ++step) {
        longest = std::max(longest, longest_path_to(step));
    }
    RC_ASSERT(critical_path_duration(spec) == longest);
}

// Guards against the same search in a scheduling pass, which stops the leader.
TEST(critical_path, job_in_stages_is_completed)
{
    test_fleet fleet;
    fleet.workers.default_plan.duration = 50ms;
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    ASSERT_EQ(fleet.submit(make_job_in_stages("00000000000000a1", 24)), submit_outcome::accepted);
    EXPECT_TRUE(fleet.await_state("00000000000000a1", job_state::completed, 10s));
}

} // namespace
} // namespace jl::jobs
