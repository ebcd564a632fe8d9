// Random delays, refusals and changes of leaders, in virtual time.

#include <algorithm>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;
using testing::worker_mode;

constexpr int worker_count = 4;
constexpr int rounds = 3000;
constexpr auto round_time = 10ms;

class lost_answers : public ::testing::TestWithParam<int> {
protected:
    bool chance(int one_in) { return random() % static_cast<unsigned>(one_in) == 0; }

    template <typename Range>
    auto pick(const Range& range)
    {
        return range[random() % std::size(range)];
    }

    std::string any_worker() { return "w" + std::to_string(random() % worker_count); }

    static std::string job_id(int number)
    {
        const auto digits = std::to_string(number);
        return std::string(16 - digits.size(), '0') + digits;
    }

    void submit_or_cancel_jobs()
    {
        auto* const leader = fleet.leader();
        if (leader == nullptr) {
            return;
        }
        if (chance(15)) {
            const auto id = job_id(submitted++);
            fleet.workers.plans_by_job[id].duration = milliseconds(100 + random() % 2000);
            auto spec = make_job(id, 1, 3);
            spec.steps[0].gang = chance(4);
            leader->submit(spec, [](const submit_answer&) {});
        }
        if (chance(60)) {
            const auto recent = static_cast<int>(random() % 8);
            leader->cancel(job_id(std::max(0, submitted - recent)), [](cancel_outcome) {});
        }
    }

    void change_links()
    {
        constexpr worker_mode modes[] = {worker_mode::answer_lost, worker_mode::delayed,
                                         worker_mode::late_orders, worker_mode::unreachable};
        constexpr order_status reasons[] = {order_status::no_room, order_status::unhealthy,
                                            order_status::rejected};
        if (chance(60)) {
            fleet.workers.late_order_delay = milliseconds(200 + random() % 12000);
            fleet.workers.set_mode(any_worker(), pick(modes));
        }
        if (chance(40)) {
            fleet.workers.set_mode(any_worker(), worker_mode::answering);
        }
        if (chance(60)) {
            fleet.workers.refuse_starts(any_worker(), pick(reasons));
        }
        if (chance(40)) {
            fleet.workers.refuse_starts(any_worker(), order_status::accepted);
        }
        if (chance(120)) {
            fleet.workers.refuse_stops(any_worker(), chance(2) ? order_status::rejected
                                                               : order_status::unhealthy);
        }
        if (chance(60)) {
            fleet.workers.refuse_stops(any_worker(), order_status::accepted);
        }
    }

    void change_leader()
    {
        const auto name = fleet.leader_name();
        if (!name.empty() && chance(900)) {
            fleet.kill(name);
            fleet.add_node(name);
        }
    }

    std::mt19937 random{static_cast<unsigned>(GetParam())}; // NOLINT: the same faults in each run
    test_fleet fleet{worker_count};
    int submitted = 0;
};

// Guards against a task that runs twice at the same time, or again after its end.
TEST_P(lost_answers, no_task_runs_twice)
{
    ASSERT_TRUE(fleet.start_leader_and_standby());
    for (int round = 0; round < rounds; ++round) {
        submit_or_cancel_jobs();
        change_links();
        change_leader();
        fleet.timers.run_for(round_time);
    }
    EXPECT_GT(fleet.workers.started_runs(), 100U);
    for (const auto& violation : fleet.workers.violations()) {
        ADD_FAILURE() << violation;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, lost_answers, ::testing::Range(0, 40));

} // namespace
} // namespace jl::jobs
