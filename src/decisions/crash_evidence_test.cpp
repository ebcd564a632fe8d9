#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/crash_evidence.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds now = 1000s;

crash_observation crash(const std::string& vm, crash_link link, bool confirmed = true,
                        milliseconds age = 1s)
{
    return {"worker-" + vm, 1, vm, now - age, link, confirmed};
}

TEST(crash_evidence, task_without_observations_is_started_like_any_other)
{
    EXPECT_EQ(judge_crashes({}, now), crash_verdict::none);
    EXPECT_EQ(judge_crashes({crash("a", crash_link::beside)}, now), crash_verdict::none);
}

TEST(crash_evidence, task_that_had_just_been_started_is_isolated)
{
    EXPECT_EQ(judge_crashes({crash("a", crash_link::shared)}, now), crash_verdict::isolate_start);
    EXPECT_EQ(judge_crashes({crash("a", crash_link::sole)}, now), crash_verdict::isolate_start);
    EXPECT_EQ(judge_crashes({crash("a", crash_link::shared, false)}, now),
              crash_verdict::isolate_start);
}

TEST(crash_evidence, two_sole_crashes_on_different_vms_prove_guilt)
{
    EXPECT_EQ(judge_crashes({crash("a", crash_link::sole), crash("b", crash_link::sole)}, now),
              crash_verdict::give_up);
    EXPECT_EQ(judge_crashes({crash("a", crash_link::sole), crash("a", crash_link::sole)}, now),
              crash_verdict::isolate_start)
        << "the VM may crash by itself";
    EXPECT_EQ(
        judge_crashes({crash("a", crash_link::sole), crash("b", crash_link::sole, false)}, now),
        crash_verdict::isolate_start)
        << "the second worker may only be unreachable";
}

// Load pattern: a task shares workers with others that crash them, again and again.
TEST(crash_evidence, shared_crashes_alone_do_not_prove_guilt)
{
    std::vector<crash_observation> observations;
    for (const auto* const vm : {"a", "b", "c", "d"}) {
        observations.push_back(crash(vm, crash_link::shared));
        EXPECT_NE(judge_crashes(observations, now), crash_verdict::give_up) << vm;
    }
}

TEST(crash_evidence, late_crashes_lead_to_isolated_runs_and_then_to_giving_up)
{
    std::vector<crash_observation> observations{crash("a", crash_link::beside),
                                                crash("b", crash_link::beside)};
    EXPECT_EQ(judge_crashes(observations, now), crash_verdict::none);
    observations.push_back(crash("c", crash_link::unexplained));
    EXPECT_EQ(judge_crashes(observations, now), crash_verdict::isolate_run);
    observations.push_back(crash("d", crash_link::unexplained));
    EXPECT_EQ(judge_crashes(observations, now), crash_verdict::give_up);
    EXPECT_EQ(judge_crashes({crash("a", crash_link::beside), crash("b", crash_link::beside),
                             crash("c", crash_link::beside)},
                            now),
              crash_verdict::isolate_run);
}

// A worker that is silent for a while must not count as crashed, but the task may not be started
// without limit either.
TEST(crash_evidence, task_waits_while_many_of_its_workers_may_have_crashed)
{
    std::vector<crash_observation> observations;
    for (const auto* const vm : {"a", "b", "c", "d"}) {
        observations.push_back(crash(vm, crash_link::sole, false));
    }
    EXPECT_EQ(judge_crashes(observations, now), crash_verdict::hold);
}

TEST(crash_evidence, old_crashes_do_not_count)
{
    std::vector<crash_observation> observations{crash("a", crash_link::sole, true, 11min),
                                                crash("b", crash_link::sole)};
    EXPECT_EQ(judge_crashes(observations, now), crash_verdict::isolate_start);
    drop_old_observations(observations, now);
    ASSERT_EQ(observations.size(), 1U);
    EXPECT_EQ(observations[0].vm, "b");
}

TEST(crash_evidence, crash_is_linked_to_the_tasks_that_had_just_been_started)
{
    const auto last_alive = 100s;
    const worker_loss crash{last_alive, last_alive + 10ms};
    const task_on_lost_worker old_task{90s, false};
    const task_on_lost_worker new_task{last_alive - 10ms, false};
    const task_on_lost_worker new_sibling{last_alive - 10ms, true};
    EXPECT_EQ(link_to_crash(last_alive - 5ms, crash, {old_task}), crash_link::sole);
    EXPECT_EQ(link_to_crash(last_alive - 5ms, crash, {old_task, new_sibling}), crash_link::sole);
    EXPECT_EQ(link_to_crash(last_alive - 5ms, crash, {new_task}), crash_link::shared);
    EXPECT_EQ(link_to_crash(last_alive - 1s, crash, {new_task}), crash_link::beside);
    EXPECT_EQ(link_to_crash(last_alive - 1s, crash, {old_task}), crash_link::unexplained);
    EXPECT_EQ(link_to_crash(last_alive - 6s, crash, {}), std::nullopt);
    EXPECT_EQ(link_to_crash(last_alive + 5ms, crash, {}), crash_link::sole)
        << "started while the worker was silent";
}

// Guards against giving up a task whose workers lost their answers after its start and crashed by
// themselves some time later.
TEST(crash_evidence, silence_after_a_start_does_not_tell_when_the_worker_ended)
{
    const auto start = 100s;
    const task_on_lost_worker new_task{start + 5ms, false};
    const worker_loss silence{start - 5ms, std::nullopt};
    EXPECT_EQ(link_to_crash(start, silence, {}), crash_link::silent);
    EXPECT_EQ(link_to_crash(start, silence, {new_task}), crash_link::shared);
    const worker_loss late_crash{start - 5ms, start + 1s};
    EXPECT_EQ(link_to_crash(start, late_crash, {}), crash_link::silent);
}

TEST(crash_evidence, two_silent_losses_do_not_prove_guilt)
{
    const std::vector<crash_observation> two{crash("a", crash_link::silent),
                                             crash("b", crash_link::silent)};
    EXPECT_EQ(judge_crashes(two, now), crash_verdict::isolate_start);
    auto three = two;
    three.push_back(crash("c", crash_link::sole));
    EXPECT_EQ(judge_crashes(three, now), crash_verdict::give_up);
}

// Follows the verdicts as the scheduler does. A task that crashes its workers, at once or later,
// among any number of other starts, crashes five at the most; a task that is only lost with its
// workers because of others is never given up.
RC_GTEST_PROP(crash_evidence, crashes_of_a_guilty_task_are_bounded_and_others_are_spared, ())
{
    const auto crashes_late = *rc::gen::arbitrary<bool>();
    const auto guilty = *rc::gen::arbitrary<bool>();
    const auto other_starts =
        *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
    const auto unlucky = *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
    std::vector<crash_observation> observations;
    for (std::size_t start = 0; start < other_starts.size(); ++start) {
        const auto verdict = judge_crashes(observations, now);
        if (verdict == crash_verdict::give_up) {
            RC_ASSERT(guilty);
            break;
        }
        const bool alone = verdict == crash_verdict::isolate_run ||
                           (verdict == crash_verdict::isolate_start && !crashes_late);
        const auto vm = "vm-" + std::to_string(start);
        if (guilty) {
            const bool explained = !alone && other_starts[start];
            const auto link = crashes_late
                                  ? (explained ? crash_link::beside : crash_link::unexplained)
                                  : (explained ? crash_link::shared : crash_link::sole);
            observations.push_back(crash(vm, link));
        }
        else if (unlucky[start] && verdict != crash_verdict::isolate_run) {
            // A start of another task crashes the worker, shortly after this start or later.
            const bool shared = !alone && other_starts[start];
            observations.push_back(crash(vm, shared ? crash_link::shared : crash_link::beside));
        }
    }
    RC_ASSERT(!guilty || observations.size() <= 5U);
}

} // namespace
} // namespace jl::decisions
