#include <algorithm>
#include <queue>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decisions/admission_queue.h"

namespace jl::decisions {
namespace {

using namespace std::chrono_literals;
using milliseconds = std::chrono::milliseconds;

// Calls of one team and class that arrive at fixed intervals.
struct source {
    std::string team;
    work_class priority = work_class::normal;
    milliseconds arrival_interval{};
    milliseconds service_time{};
    milliseconds first_arrival{};
};

struct source_result {
    double slot_seconds = 0; // used after the start of the measurement
    milliseconds longest_wait{};
    int started = 0;
    int rejected = 0;
};

// Runs the calls of several sources through one queue in simulated time.
class simulation {
public:
    explicit simulation(int slots, int max_waiting = 1000) : queue({max_waiting}), slots_(slots)
    {
        queue.set_capacity(slots);
    }

    std::vector<source_result> run(const std::vector<source>& sources, milliseconds run_duration,
                                   milliseconds measurement_start = 0ms)
    {
        std::vector<source_result> results(sources.size());
        const auto is_later_event = [](const auto& left, const auto& right) {
            return left.at > right.at;
        };
        std::priority_queue<event, std::vector<event>, decltype(is_later_event)> events(
            is_later_event);
        for (std::size_t i = 0; i < sources.size(); ++i) {
            events.push({sources[i].first_arrival, i, std::nullopt});
        }
        std::map<call_id, std::pair<std::size_t, milliseconds>> arrivals;
        call_id next_id = 1;
        while (!events.empty() && events.top().at < run_duration) {
            const auto current = events.top();
            events.pop();
            const auto now = to_steady_time(current.at);
            if (current.ended) {
                queue.finish(*current.ended, now);
            }
            else {
                const auto& source = sources[current.source];
                const auto id = next_id++;
                const auto result = queue.enqueue(
                    {id, source.priority, source.team, to_steady_time(run_duration * 2)}, now);
                if (result.accepted) {
                    arrivals[id] = {current.source, current.at};
                }
                else {
                    ++results[current.source].rejected;
                }
                if (result.displaced) {
                    ++results[arrivals[*result.displaced].first].rejected;
                }
                events.push({current.at + source.arrival_interval, current.source, std::nullopt});
            }
            while (queue.running() < slots_) {
                const auto id = queue.start_next(now);
                if (!id) {
                    break;
                }
                const auto [index, at] = arrivals[*id];
                auto& result = results[index];
                const auto end = current.at + sources[index].service_time;
                ++result.started;
                result.longest_wait = std::max(result.longest_wait, current.at - at);
                result.slot_seconds +=
                    std::chrono::duration<double>(
                        std::max(std::min(end, run_duration), measurement_start) -
                        std::max(current.at, measurement_start))
                        .count();
                events.push({end, index, *id});
            }
        }
        return results;
    }

    admission_queue queue;

private:
    struct event {
        milliseconds at;
        std::size_t source;
        std::optional<call_id> ended;
    };
    static steady_time to_steady_time(milliseconds since_start)
    {
        return steady_time(1h) + since_start;
    }

    int slots_;
};

// Guards against a team that floods the queue and takes slots from the other teams of its class.
TEST(admission_queue, keeps_fair_shares_of_other_teams_during_a_flood)
{
    simulation test(12);
    // The demands of `a` (3 slots) and `b` (2 slots) are below a third of the 12 slots; the flood
    // has a demand of 100 slots.
    const auto results = test.run({{"flood", work_class::normal, 1ms, 100ms},
                                   {"a", work_class::normal, 10ms, 30ms},
                                   {"b", work_class::normal, 20ms, 40ms}},
                                  20s, 2s);
    EXPECT_GE(results[1].slot_seconds, 0.98 * 3 * 18);
    EXPECT_GE(results[2].slot_seconds, 0.98 * 2 * 18);
    // The flood gets the 7 slots that the others do not use, so that no slot is idle.
    EXPECT_GE(results[0].slot_seconds, 0.98 * 7 * 18);
    EXPECT_EQ(results[1].rejected + results[2].rejected, 0);
}

// Guards against shares that ignore the weights of teams that all have more work than their share.
TEST(admission_queue, divides_slots_by_weight_when_all_teams_are_backlogged)
{
    simulation test(8);
    test.queue.set_team("heavy", {3, std::nullopt});
    const auto results = test.run(
        {{"heavy", work_class::normal, 5ms, 100ms}, {"light", work_class::normal, 5ms, 50ms}}, 30s,
        5s);
    EXPECT_NEAR(results[0].slot_seconds / results[1].slot_seconds, 3, 0.15);
}

// Guards against one class that starves another.
TEST(admission_queue, guarantees_every_class_its_share)
{
    simulation test(10);
    const auto results = test.run({{"t", work_class::urgent, 5ms, 100ms},
                                   {"t", work_class::normal, 5ms, 100ms},
                                   {"t", work_class::deferred, 5ms, 100ms}},
                                  30s, 5s);
    EXPECT_NEAR(results[0].slot_seconds, 6 * 25, 6);
    EXPECT_NEAR(results[1].slot_seconds, 3 * 25, 4);
    EXPECT_NEAR(results[2].slot_seconds, 1 * 25, 3);
}

// Guards against slots that stay idle because they are kept for classes without work.
TEST(admission_queue, gives_unused_shares_to_other_classes)
{
    simulation test(10);
    const auto results = test.run({{"t", work_class::deferred, 5ms, 100ms}}, 20s, 2s);
    EXPECT_GE(results[0].slot_seconds, 0.98 * 10 * 18);
}

// Guards against short work that waits behind a flood of long calls (head-of-line blocking).
TEST(admission_queue, keeps_slots_free_of_long_running_work)
{
    simulation test(8);
    const auto results = test.run({{"batch", work_class::normal, 200ms, 30s},
                                   {"quick", work_class::normal, 100ms, 50ms, 20s}},
                                  60s);
    EXPECT_LE(results[1].longest_wait, 1s);
    EXPECT_EQ(results[1].rejected, 0);
}

// Guards against an urgent call of a team within its quota that starts later than 4.4 s after its
// arrival, during a flood of any class with short or long calls.
TEST(admission_queue, starts_urgent_calls_within_the_limit_during_any_flood)
{
    for (const auto flood_class : {work_class::urgent, work_class::normal, work_class::deferred}) {
        for (const auto flood_call_duration : {20ms, 500ms, 5000ms, 30000ms}) {
            simulation test(9, 300);
            test.queue.set_team("crew", {1, 4});
            const auto results = test.run({{"flood", flood_class, 2ms, flood_call_duration},
                                           {"crew", work_class::urgent, 100ms, 200ms, 31s}},
                                          120s);
            EXPECT_LE(results[1].longest_wait, 4400ms)
                << "class " << static_cast<int>(flood_class) << ", calls of "
                << flood_call_duration.count() << " ms";
            EXPECT_EQ(results[1].rejected, 0);
        }
    }
}

// Guards against a team that exceeds its quota.
TEST(admission_queue, limits_teams_to_their_quota)
{
    admission_queue queue;
    queue.set_capacity(10);
    queue.set_team("t", {1, 3});
    const steady_time now(1h);
    for (call_id id = 1; id <= 10; ++id) {
        queue.enqueue({id, id % 2 == 0 ? work_class::urgent : work_class::normal, "t", now + 1h},
                      now);
    }
    int started = 0;
    while (queue.start_next(now)) {
        ++started;
    }
    EXPECT_LE(started, 3);
}

// Guards against a full queue that rejects calls of teams that have hardly any calls waiting.
TEST(admission_queue, displaces_the_newest_call_of_the_longest_queue)
{
    admission_queue queue({4});
    const steady_time now(1h);
    for (call_id id = 1; id <= 4; ++id) {
        EXPECT_TRUE(queue.enqueue({id, work_class::normal, "flood", now + 1h}, now).accepted);
    }
    EXPECT_FALSE(queue.enqueue({5, work_class::normal, "flood", now + 1h}, now).accepted);
    const auto result = queue.enqueue({6, work_class::normal, "quiet", now + 1h}, now);
    EXPECT_TRUE(result.accepted);
    EXPECT_EQ(result.displaced, 4U);
    EXPECT_EQ(queue.waiting(), 4);
}

// Guards against starting a call after its deadline, when its caller no longer waits for it.
TEST(admission_queue, starts_no_call_after_its_deadline)
{
    admission_queue queue;
    queue.set_capacity(4);
    const steady_time now(1h);
    queue.enqueue({1, work_class::normal, "t", now + 10ms}, now);
    queue.enqueue({2, work_class::normal, "t", now + 10s}, now);
    EXPECT_EQ(queue.start_next(now + 10ms), 2U);
    EXPECT_EQ(queue.start_next(now + 10ms), std::nullopt);
    EXPECT_TRUE(queue.remove(1));
    EXPECT_FALSE(queue.remove(1));
    EXPECT_EQ(queue.waiting(), 0);
}

// Guards against slots used for calls that are then aborted at their deadline, and against a team
// whose calls are never started again after they took longer for a while.
TEST(admission_queue, starts_no_call_that_cannot_meet_its_deadline)
{
    admission_queue queue;
    queue.set_capacity(4);
    steady_time now(1h);
    for (call_id id = 1; id <= 20; ++id) {
        queue.enqueue({id, work_class::normal, "t", now + 10s}, now);
        EXPECT_EQ(queue.start_next(now), id);
        now += 300ms;
        queue.finish(id, now);
    }
    queue.enqueue({21, work_class::normal, "t", now + 100ms}, now);
    queue.enqueue({22, work_class::normal, "t", now + 1s}, now);
    EXPECT_EQ(queue.start_next(now), 22U);
    EXPECT_TRUE(queue.remove(21));
    now += 1min;
    queue.enqueue({23, work_class::normal, "t", now + 100ms}, now);
    EXPECT_EQ(queue.start_next(now), 23U); // the duration estimate has expired
    queue.finish(22, now);
    queue.finish(23, now + 100ms, false);
}

// Guards against a duration estimate that adapts too slowly to long calls: calls were marked as
// long-running before their end, and the mean then approached the real duration in small steps
// while calls were aborted at their deadlines.
TEST(admission_queue, estimates_a_long_duration_from_the_first_completed_call)
{
    admission_queue queue;
    queue.set_capacity(8);
    const steady_time now(1h);
    queue.enqueue({1, work_class::normal, "t", now + 10s}, now);
    EXPECT_EQ(queue.start_next(now), 1U);
    queue.enqueue({2, work_class::normal, "t", now + 4900ms}, now);
    queue.enqueue({3, work_class::normal, "t", now + 10s}, now);
    EXPECT_EQ(queue.start_next(now + 2100ms), 2U); // marks the first call as long-running
    queue.finish(1, now + 2500ms);
    queue.finish(2, now + 4600ms, true);
    queue.enqueue({4, work_class::normal, "t", now + 7s}, now + 4600ms);
    EXPECT_EQ(queue.start_next(now + 4600ms), 3U);
    EXPECT_EQ(queue.start_next(now + 4600ms), std::nullopt); // 2.4 s left, 2.5 s needed
}

// Guards against deferred work that gets no slot while another class floods the queue, and against
// deferred work that gets more than its share meanwhile.
TEST(admission_queue, has_room_for_deferred_calls_up_to_their_share)
{
    admission_queue queue;
    queue.set_capacity(10);
    const steady_time now(1h);
    EXPECT_TRUE(queue.has_room_for_deferred(true));
    for (call_id id = 1; id <= 20; ++id) {
        queue.enqueue({id, work_class::normal, "flood", now + 1h}, now);
    }
    EXPECT_TRUE(queue.has_room_for_deferred(false));
    queue.enqueue({21, work_class::deferred, "t", now + 1h}, now);
    EXPECT_FALSE(queue.has_room_for_deferred(false));
}

// Guards against lost or duplicated calls and against wrong counts, for any order of operations.
RC_GTEST_PROP(admission_queue, counts_every_call_exactly_once, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    admission_queue queue({20});
    queue.set_capacity(5);
    queue.set_team("team0", {2, 2});
    steady_time now(1h);
    std::vector<call_id> waiting;
    std::vector<call_id> running;
    call_id next_id = 1;
    const auto remove_from = [](std::vector<call_id>& list, call_id id) {
        const auto found = std::find(list.begin(), list.end(), id);
        RC_ASSERT(found != list.end());
        list.erase(found);
    };
    for (const int step : steps) {
        now += milliseconds(step);
        if (step % 4 < 2) {
            const auto id = next_id++;
            const auto result = queue.enqueue({id, static_cast<work_class>(step % 3),
                                               "team" + std::to_string(step % 5),
                                               now + milliseconds(step * 5), step % 7 == 0},
                                              now);
            if (result.accepted) {
                waiting.push_back(id);
            }
            if (result.displaced) {
                remove_from(waiting, *result.displaced);
            }
        }
        else if (step % 4 == 2) {
            if (const auto id = queue.start_next(now)) {
                remove_from(waiting, *id);
                running.push_back(*id);
            }
        }
        else if (!running.empty()) {
            const auto id = running[static_cast<std::size_t>(step) % running.size()];
            queue.finish(id, now);
            remove_from(running, id);
        }
        else if (!waiting.empty()) {
            RC_ASSERT(queue.remove(waiting.front()));
            waiting.erase(waiting.begin());
        }
        RC_ASSERT(queue.waiting() == static_cast<int>(waiting.size()));
        RC_ASSERT(queue.waiting() <= 20);
        RC_ASSERT(queue.running() == static_cast<int>(running.size()));
        RC_ASSERT(queue.running("team0") <= 2);
    }
}

} // namespace
} // namespace jl::decisions
