// Maintenance waves across changes of leaders: the list of VMs lags, and orders of the former
// leader may still be in progress.

#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "jobs/testing/test_fleet.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::make_job;
using testing::test_fleet;

const std::string job_id = "00000000000000a1";
const std::string record_key = "jl/wave/1";

// How a leadership ends.
enum class change_of_leaders { planned, killed };

class wave_handover : public ::testing::Test {
protected:
    // Starts a fleet of VMs m0, m1, ... with two nodes.
    void start(int vms, milliseconds list_lag)
    {
        fleet.vms.list_lag = list_lag;
        for (int index = 0; index < vms; ++index) {
            fleet.vms.add("m" + std::to_string(index), "rounds");
        }
        ASSERT_TRUE(fleet.start_leader_and_standby());
        fleet.timers.run_for(2s + list_lag);
    }

    void request_wave(std::int64_t number, std::vector<std::string> vms)
    {
        wave_request wave;
        wave.wave = number;
        wave.vms = std::move(vms);
        wave.duration = 60s;
        wave.max_concurrent = 1;
        fleet.request_wave(wave);
    }

    // Requests a wave of all four VMs while the first one runs a short task, so that the leader
    // begins with another VM than its successor would.
    void request_wave_beside_a_task()
    {
        fleet.workers.default_plan.duration = 300ms;
        ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
        fleet.timers.run_for(50ms);
        const auto task = job_id + ".0.0.0";
        ASSERT_EQ(fleet.documents.workers.at(fleet.workers.worker_of(task)).vm, "m0");
        request_wave(1, {"m0", "m1", "m2", "m3"});
        run_until_first_maintenance();
        ASSERT_TRUE(fleet.workers.is_running(task));
    }

    void run_until_first_maintenance()
    {
        for (int step = 0; step < 2000 && fleet.vms.most_in_maintenance() == 0; ++step) {
            fleet.timers.run_for(5ms);
        }
        ASSERT_EQ(fleet.vms.most_in_maintenance(), 1);
    }

    // Runs until the stored record of the wave names a VM as ordered.
    void run_until_order_is_recorded()
    {
        const auto recorded = [this] {
            const auto* const record = fleet.store.find(record_key);
            return record != nullptr && record->value.find(R"("ordered":["m)") != std::string::npos;
        };
        for (int step = 0; step < 2000 && !recorded(); ++step) {
            fleet.timers.run_for(1ms);
        }
        ASSERT_TRUE(recorded());
    }

    void change_leader(change_of_leaders how)
    {
        const auto name = fleet.leader_name();
        ASSERT_FALSE(name.empty());
        if (how == change_of_leaders::planned) {
            fleet.nodes.at(name)->election().resign();
            fleet.timers.run_for(20ms);
        }
        fleet.kill(name);
        ASSERT_TRUE(fleet.await_leader());
        fleet.add_node("standby-" + std::to_string(++changes));
    }

    void expect_wave_completed(int vms)
    {
        EXPECT_EQ(fleet.vms.completed_maintenances(), vms);
        EXPECT_EQ(fleet.vms.most_in_maintenance(), 1);
        ASSERT_NE(fleet.store.find("status/1"), nullptr);
        EXPECT_EQ(fleet.store.find("status/1")->value, "completed");
        EXPECT_TRUE(fleet.workers.violations().empty());
    }

    test_fleet fleet{0};
    int changes = 0;
};

class wave_handover_moments : public wave_handover,
                              public ::testing::WithParamInterface<
                                  std::tuple<change_of_leaders, milliseconds, milliseconds>> {
protected:
    void change_leader_after_the_first_order()
    {
        const auto [how, list_lag, after_order] = GetParam();
        start(4, list_lag);
        request_wave_beside_a_task();
        fleet.timers.run_for(after_order);
        change_leader(how);
    }
};

// Guards against a new leader that does not count the VM which its predecessor has ordered, while
// the list of VMs does not show it down yet: it ordered a second VM where one is allowed.
TEST_P(wave_handover_moments, next_leader_keeps_the_limit)
{
    change_leader_after_the_first_order();
    fleet.timers.run_for(60s);
    expect_wave_completed(4);
}

// Guards against the same after two changes of leaders within one lag of the list.
TEST_P(wave_handover_moments, leader_after_the_next_keeps_the_limit)
{
    change_leader_after_the_first_order();
    fleet.timers.run_for(100ms);
    change_leader(change_of_leaders::planned);
    fleet.timers.run_for(60s);
    expect_wave_completed(4);
}

INSTANTIATE_TEST_SUITE_P(
    moments, wave_handover_moments,
    ::testing::Combine(::testing::Values(change_of_leaders::planned, change_of_leaders::killed),
                       ::testing::Values(0ms, 800ms, 3000ms),
                       ::testing::Values(0ms, 3ms, 10ms, 100ms, 1000ms, 2500ms, 4000ms)));

class late_wave_orders : public wave_handover,
                         public ::testing::WithParamInterface<milliseconds> {};

// Guards against the same if the former leader's order is carried out only after the change.
TEST_P(late_wave_orders, count_under_the_next_leader)
{
    start(4, 800ms);
    fleet.vms.order_delay = GetParam();
    fleet.vms.order_timeout = 1500ms;
    request_wave(1, {"m0", "m1", "m2", "m3"});
    run_until_order_is_recorded();
    fleet.timers.run_for(50ms);
    change_leader(change_of_leaders::killed);
    fleet.vms.order_delay = 5ms;
    fleet.timers.run_for(80s);
    expect_wave_completed(4);
}

INSTANTIATE_TEST_SUITE_P(delays, late_wave_orders,
                         ::testing::Values(500ms, 2200ms, 6000ms, 12000ms));

// Guards against a wave that stands still because its record names an order that was never sent.
TEST_F(wave_handover, order_that_was_never_sent_does_not_stop_the_wave)
{
    start(3, 800ms);
    fleet.vms.refusal = vm_order_status::throttled;
    request_wave(1, {"m0", "m1", "m2"});
    run_until_order_is_recorded();
    change_leader(change_of_leaders::killed);
    fleet.vms.refusal.reset();
    fleet.timers.run_for(30s);
    expect_wave_completed(3);
}

// Guards against a place of the wave that is taken for good by the order of a former leader, whose
// VM cannot be ordered again.
TEST_F(wave_handover, order_that_can_have_no_effect_any_more_gives_its_place_back)
{
    fleet.workers.default_plan.duration = 600s;
    start(3, 800ms);
    ASSERT_EQ(fleet.submit(make_job(job_id, 1, 1)), submit_outcome::accepted);
    fleet.timers.run_for(1s);
    const auto busy = fleet.documents.workers.at(fleet.workers.worker_of(job_id + ".0.0.0")).vm;
    fleet.store.put(record_key,
                    R"({"wave":1,"finished":[],"ordered":[")" + busy + R"("],"accepted":[]})");
    change_leader(change_of_leaders::killed);
    request_wave(1, {"m0", "m1", "m2"});
    fleet.timers.run_for(20s);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 0);
    fleet.timers.run_for(40s);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 2);
    EXPECT_EQ(fleet.vms.most_in_maintenance(), 1);
    EXPECT_EQ(fleet.vms.interrupted_tasks(), 0);
}

class unknown_wave_orders : public wave_handover,
                            public ::testing::WithParamInterface<const char*> {};

// Guards against a second VM in maintenance if the record does not tell what was ordered, and
// against a wave that stands still then.
TEST_P(unknown_wave_orders, delay_the_wave)
{
    start(3, 3000ms);
    request_wave(1, {"m0", "m1", "m2"});
    run_until_first_maintenance();
    fleet.kill(fleet.leader_name());
    fleet.store.put(record_key, GetParam());
    ASSERT_TRUE(fleet.await_leader());
    fleet.timers.run_for(80s);
    expect_wave_completed(3);
}

// The second one is that of an earlier version.
INSTANTIATE_TEST_SUITE_P(records, unknown_wave_orders,
                         ::testing::Values("no record", R"({"wave":1,"finished":[]})"));

// Guards against a wave that does not count a VM which another wave has ordered.
TEST_F(wave_handover, vm_of_two_waves_counts_for_both)
{
    start(2, 3000ms);
    request_wave(1, {"m0"});
    run_until_first_maintenance();
    request_wave(2, {"m0", "m1"});
    fleet.timers.run_for(40s);
    EXPECT_EQ(fleet.vms.completed_maintenances(), 3);
    EXPECT_EQ(fleet.vms.most_in_maintenance(), 1);
}

} // namespace
} // namespace jl::jobs
