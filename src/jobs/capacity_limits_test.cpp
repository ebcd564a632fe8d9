// Workers that start whatever they are told, with a capacity that shrinks and grows.

#include <algorithm>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "jobs/engine.h"
#include "jobs/job_record.h"
#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::store_mode;
using testing::test_fleet;
using testing::worker_mode;

constexpr task_resources full_capacity{16000, 32768, 0};
constexpr int worker_count = 3;
constexpr milliseconds renewal_interval = 1500ms;

class capacity_limits : public ::testing::Test {
protected:
    capacity_limits()
    {
        fleet.documents.config.services = {{"rounds", false, false}};
        fleet.workers.request_of_each_task = {4000, 4096, 0}; // as in make_job()
        for (int index = 0; index < worker_count; ++index) {
            resize("w" + std::to_string(index), full_capacity);
        }
        fleet.timers.run_for(fleet.workers.capacity_grace);
        fleet.renew_registrations(renewal_interval);
    }

    void resize(const std::string& worker, task_resources capacity)
    {
        fleet.list_worker(fleet.workers.resize(worker, capacity));
    }

    void set_store_mode(store_mode mode)
    {
        fleet.store.pause_leases(mode != store_mode::serving);
        fleet.renewals_paused = mode != store_mode::serving;
        for (auto& [name, node] : fleet.nodes) {
            node->store().mode = mode;
        }
    }

    void expect_no_violation()
    {
        for (const auto& violation : fleet.workers.violations()) {
            ADD_FAILURE() << violation;
        }
    }

    static std::string job_id(int number) { return "000000000000" + std::to_string(1000 + number); }

    test_fleet fleet{worker_count};
};

TEST_F(capacity_limits, worker_that_has_shrunk_gets_only_what_fits)
{
    fleet.add_node("a");
    ASSERT_TRUE(fleet.await_leader());
    for (int worker = 0; worker < worker_count; ++worker) {
        resize("w" + std::to_string(worker), {4000, 32768, 0});
    }
    fleet.timers.run_for(5s);
    for (int number = 0; number < 20; ++number) {
        fleet.leader()->submit(make_job(job_id(number), 1, 2), [](const submit_answer&) {});
    }
    fleet.timers.run_for(2s);
    EXPECT_GT(fleet.workers.started_runs(), 0U);
    for (int worker = 0; worker < worker_count; ++worker) {
        EXPECT_LE(fleet.workers.running("w" + std::to_string(worker)), 1);
        resize("w" + std::to_string(worker), full_capacity);
    }
    fleet.timers.run_for(1500ms);
    EXPECT_GT(fleet.workers.running("w0"), 1) << "the capacity that has grown is not used";
    expect_no_violation();
}

// A run that the leader does not know any more is stopped, and occupies its worker until it has
// ended.
TEST_F(capacity_limits, run_of_a_forgotten_job_counts_until_it_has_stopped)
{
    fleet.workers.default_plan.duration = 60s;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    fleet.timers.run_for(renewal_interval);
    for (int number = 0; number < 10; ++number) {
        ASSERT_EQ(fleet.submit(make_job(job_id(number), 1, 2)), submit_outcome::accepted);
    }
    fleet.timers.run_for(500ms);
    ASSERT_EQ(fleet.workers.running("w0"), 4); // full
    fleet.kill("a");
    for (int number = 0; number < 10; ++number) {
        if (fleet.workers.is_running(task_name{job_id(number), 0, 0, 0}.to_string())) {
            fleet.store.remove(std::string(job_prefix) + job_id(number));
        }
    }
    ASSERT_TRUE(fleet.await_leader(20s));
    fleet.timers.run_for(10s);
    EXPECT_GT(fleet.workers.started_runs(), 12U) << "the waiting jobs were not started";
    expect_no_violation();
}

// The workers shrink while the store is down. After its return, the leader reads what they had
// registered before the outage; they register their new capacity up to a renewal later.
class capacity_after_outage : public capacity_limits, public ::testing::WithParamInterface<int> {};

TEST_P(capacity_after_outage, registration_from_before_it_is_not_used)
{
    fleet.workers.default_plan.duration = 3s;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    fleet.timers.run_for(renewal_interval);
    for (int number = 0; number < 20; ++number) {
        ASSERT_EQ(fleet.submit(make_job(job_id(number), 1, 2)), submit_outcome::accepted);
    }
    set_store_mode(store_mode::unreachable);
    for (int worker = 0; worker < worker_count; ++worker) {
        fleet.workers.resize("w" + std::to_string(worker), {4000, 32768, 0});
    }
    fleet.timers.run_for(6s + milliseconds(GetParam()));
    set_store_mode(store_mode::serving);
    fleet.timers.run_for(15s);
    EXPECT_GT(fleet.workers.started_runs(), 12U) << "no task was started after the outage";
    expect_no_violation();
}

INSTANTIATE_TEST_SUITE_P(phases, capacity_after_outage, ::testing::Values(0, 300, 600, 900, 1200));

// Capacities change, jobs come and are cancelled, workers restart or do not answer, and leaders are
// killed.
TEST_F(capacity_limits, no_start_exceeds_a_capacity_that_changes)
{
    constexpr int rounds = 8000;
    int submitted = 0;
    std::mt19937 random(7); // NOLINT: the same faults in each run
    const auto chance = [&](int one_in) { return random() % static_cast<unsigned>(one_in) == 0; };
    const auto any_worker = [&] { return "w" + std::to_string(random() % worker_count); };
    fleet.workers.default_plan.duration = 400ms;
    ASSERT_TRUE(fleet.start_leader_and_standby());
    for (int round = 0; round < rounds; ++round) {
        auto* const leader = fleet.leader();
        if (leader != nullptr && chance(8)) {
            const auto id = job_id(submitted++);
            fleet.workers.plans_by_job[id] = {milliseconds(100 + random() % 900), 0};
            leader->submit(make_job(id, 1, 3), [](const submit_answer&) {});
        }
        if (leader != nullptr && chance(20)) {
            const auto recent = static_cast<int>(random() % 8);
            leader->cancel(job_id(std::max(0, submitted - recent)), [](cancel_outcome) {});
        }
        if (chance(150)) {
            resize(any_worker(), {static_cast<std::int64_t>(4000 * (random() % 5)), 32768, 0});
        }
        if (chance(400)) {
            fleet.workers.set_mode(any_worker(),
                                   chance(2) ? worker_mode::answer_lost : worker_mode::delayed);
        }
        if (chance(120)) {
            fleet.workers.set_mode(any_worker(), worker_mode::answering);
        }
        const auto name = fleet.leader_name();
        if (!name.empty() && chance(900)) {
            fleet.kill(name);
            fleet.add_node(name);
        }
        fleet.timers.run_for(10ms);
    }
    EXPECT_GT(fleet.workers.started_runs(), 500U);
    expect_no_violation();
}

} // namespace
} // namespace jl::jobs
