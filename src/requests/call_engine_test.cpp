#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <gtest/gtest.h>

#include "requests/call_engine.h"

namespace jl::requests {
namespace {

using namespace std::chrono_literals;

class fake_state final : public cluster::cluster_state {
public:
    explicit fake_state(int vms)
    {
        objects::object_set set;
        set.generation = 1;
        objects::service service;
        service.name = "matcher";
        service.pool = "matcher";
        set.services.push_back(service);
        objects::team team;
        team.name = "batch";
        set.teams.push_back(team);
        configuration_ = std::make_shared<const objects::object_set>(set);
        cluster::vm_snapshot snapshot;
        for (int i = 0; i < vms; ++i) {
            cluster::vm_state vm;
            vm.vm = "vm" + std::to_string(i);
            vm.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            vm.pool = "matcher";
            vm.listed_live = true;
            snapshot.vms.push_back(vm);
        }
        vms_ = std::make_shared<const cluster::vm_snapshot>(snapshot);
    }

    objects::object_set_ptr configuration() const override { return configuration_; }
    cluster::vm_snapshot_ptr vms() const override
    {
        const std::lock_guard lock(mutex_);
        return vms_;
    }
    std::vector<cluster::member_status> members() const override
    {
        cluster::member_status self;
        self.member.member = "e1";
        self.alive = true;
        return {self};
    }
    bool may_send() const override { return sending; }
    std::string self() const override { return "e1"; }
    void notify_queue(const std::string&) override {}
    void set_in_flight_source(cluster::in_flight_source) override {}
    void set_load_source(cluster::load_source) override {}
    void set_queue_notice_handler(cluster::queue_notice_handler) override {}
    void start() override {}

    void set_phase(std::size_t index, records::vm_phase phase)
    {
        const std::lock_guard lock(mutex_);
        auto changed = *vms_;
        changed.vms[index].phase = phase;
        vms_ = std::make_shared<const cluster::vm_snapshot>(changed);
    }

    std::atomic<bool> sending{true};

private:
    objects::object_set_ptr configuration_;
    mutable std::mutex mutex_;
    cluster::vm_snapshot_ptr vms_;
};

using attempt_result = std::pair<std::optional<targets::target_answer>, targets::target_error_code>;
using target_behavior = std::function<attempt_result(const endpoint&)>;

class fake_targets final : public targets::target_client {
public:
    std::optional<targets::target_answer>
    exchange(const endpoint& target, const targets::target_request&, steady_time) override
    {
        {
            const std::lock_guard lock(mutex_);
            used_.push_back(target.port);
        }
        const auto [answer, code] = behavior(target);
        targets::set_last_error({code, "injected"});
        return answer;
    }
    void close_connections(const endpoint&) override {}

    std::vector<std::uint16_t> taken()
    {
        const std::lock_guard lock(mutex_);
        return used_;
    }

    target_behavior behavior;

private:
    std::mutex mutex_;
    std::vector<std::uint16_t> used_;
};

attempt_result succeed()
{
    return {targets::target_answer{200, "text/plain", "done"}, {}};
}

attempt_result fail(targets::target_error_code code)
{
    return {std::nullopt, code};
}

// The real clock, which a test can move forward.
class shifted_clock final : public clock_source {
public:
    steady_time steady_now() const override
    {
        return std::chrono::steady_clock::now() + shift.load();
    }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }

    std::atomic<std::chrono::milliseconds> shift{0ms};
};

// An engine whose slot shares are usable at once.
struct engine_under_test {
    explicit engine_under_test(int vms) : state(vms)
    {
        call_engine_options options;
        options.report_period = 0ms;
        engine = make_call_engine(state, targets, clock, metrics, options);
    }

    call make_call(bool idempotent = false, std::chrono::milliseconds timeout = 60s)
    {
        call call;
        call.id = "r1";
        call.service = "matcher";
        call.team = "batch";
        call.idempotent = idempotent;
        call.configuration = state.configuration();
        call.deadline = std::chrono::steady_clock::now() + timeout;
        return call;
    }

    fake_state state;
    fake_targets targets;
    jl::metrics metrics;
    shifted_clock clock;
    std::unique_ptr<routing_call_engine> engine;
};

TEST(call_engine, returns_the_whole_answer)
{
    engine_under_test test(1);
    test.targets.behavior = [](const endpoint&) { return succeed(); };
    const auto result = test.engine->execute(test.make_call());
    EXPECT_EQ(result.result, outcome::answered);
    EXPECT_EQ(result.body, "done");
    EXPECT_EQ(test.engine->in_flight("vm0"), 0);
}

// Guards against losing a call to a target that cannot be reached although nothing was sent.
TEST(call_engine, tries_another_target_if_nothing_was_sent)
{
    engine_under_test test(2);
    test.targets.behavior = [&](const endpoint&) {
        return test.targets.taken().size() == 1 ? fail(targets::target_error_code::not_sent)
                                                : succeed();
    };
    EXPECT_EQ(test.engine->execute(test.make_call()).result, outcome::answered);
    const auto used = test.targets.taken();
    ASSERT_EQ(used.size(), 2U);
    EXPECT_NE(used[0], used[1]);
}

// Guards against a non-idempotent request that runs twice, and against a false "not run".
TEST(call_engine, never_retries_a_non_idempotent_call_after_the_first_byte)
{
    for (const auto code :
         {targets::target_error_code::timed_out, targets::target_error_code::disconnected,
          targets::target_error_code::invalid_answer}) {
        engine_under_test test(3);
        test.targets.behavior = [&](const endpoint&) { return fail(code); };
        EXPECT_EQ(test.engine->execute(test.make_call()).result, outcome::unknown);
        EXPECT_EQ(test.targets.taken().size(), 1U);
    }
}

// Guards against a request that stays counted as in flight, so that its VM can never be drained,
// and against a VM that is stopped while a request runs whose answer is no longer awaited.
TEST(call_engine, counts_an_abandoned_request_for_the_longest_timeout)
{
    const std::vector<target_behavior> behaviors = {
        [](const endpoint&) -> attempt_result { throw std::runtime_error("injected"); },
        [](const endpoint&) { return fail(targets::target_error_code::timed_out); }};
    for (const auto& behavior : behaviors) {
        engine_under_test test(1);
        test.targets.behavior = behavior;
        EXPECT_EQ(test.engine->execute(test.make_call()).result, outcome::unknown);
        EXPECT_EQ(test.engine->in_flight("vm0"), 1);
        test.clock.shift = objects::service().max_timeout + 1ms;
        EXPECT_EQ(test.engine->in_flight("vm0"), 0);
    }
}

// Guards against "not run" for an idempotent call whose first attempt may have run.
TEST(call_engine, stays_unknown_once_an_attempt_may_have_run)
{
    engine_under_test test(3);
    test.targets.behavior = [&](const endpoint&) {
        return fail(test.targets.taken().size() == 1 ? targets::target_error_code::timed_out
                                                     : targets::target_error_code::not_sent);
    };
    EXPECT_EQ(test.engine->execute(test.make_call(true)).result, outcome::unknown);
    EXPECT_GT(test.targets.taken().size(), 1U);
}

// Guards against a service that keeps failing because its only target was unreachable once, and
// against a waiting call that is lost when the only free target is one that it excludes.
TEST(call_engine, uses_a_target_again_if_there_is_no_other)
{
    engine_under_test test(1);
    test.targets.behavior = [&](const endpoint&) {
        return test.targets.taken().size() == 1 ? fail(targets::target_error_code::not_sent)
                                                : succeed();
    };
    EXPECT_EQ(test.engine->execute(test.make_call()).result, outcome::answered);
}

// Guards against slots used twice, lost calls and wrong counts when many threads call at once.
TEST(call_engine, never_exceeds_the_slots_of_a_target)
{
    engine_under_test test(2);
    std::array<std::atomic<int>, 2> current{};
    std::atomic<bool> exceeded{false};
    test.targets.behavior = [&](const endpoint& target) {
        auto& count = current.at(target.port - 1000U);
        if (++count > 8) {
            exceeded = true;
        }
        std::this_thread::yield();
        --count;
        return succeed();
    };
    std::atomic<int> answers{0};
    std::vector<std::thread> threads;
    threads.reserve(40);
    for (int i = 0; i < 40; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < 50; ++j) {
                if (test.engine->execute(test.make_call()).result == outcome::answered) {
                    ++answers;
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_FALSE(exceeded);
    EXPECT_EQ(answers, 40 * 50);
    EXPECT_EQ(test.engine->in_flight("vm0") + test.engine->in_flight("vm1"), 0);
}

// Guards against calls sent on the basis of an old VM view.
TEST(call_engine, sends_nothing_while_the_vm_view_is_old)
{
    engine_under_test test(1);
    test.state.sending = false;
    const auto result = test.engine->execute(test.make_call());
    EXPECT_EQ(result.result, outcome::not_run);
    EXPECT_EQ(result.error_code, "vm_view_old");
    EXPECT_TRUE(test.targets.taken().empty());
}

// Guards against a call that waits past its deadline or is started after it.
TEST(call_engine, reports_not_run_when_no_slot_becomes_free_in_time)
{
    engine_under_test test(1);
    test.state.set_phase(0, records::vm_phase::leaving);
    const auto result = test.engine->execute(test.make_call(false, 20ms));
    EXPECT_EQ(result.result, outcome::not_run);
    EXPECT_EQ(result.error_code, "deadline_passed");
    EXPECT_TRUE(test.targets.taken().empty());
}

// Guards against a drain acknowledged while a request is outstanding, and against new requests to
// a VM that is being drained.
TEST(call_engine, counts_requests_in_flight_and_leaves_unusable_vms_alone)
{
    engine_under_test test(2);
    std::promise<std::uint16_t> started;
    std::promise<void> finish;
    auto finished = finish.get_future().share();
    std::atomic<bool> first{true};
    test.targets.behavior = [&](const endpoint& target) {
        if (first.exchange(false)) {
            started.set_value(target.port);
            finished.wait();
        }
        return succeed();
    };
    auto running = std::async(std::launch::async,
                              [&] { return test.engine->execute(test.make_call()).result; });
    const auto port = started.get_future().get();
    const auto vm = "vm" + std::to_string(port - 1000);
    test.state.set_phase(port - 1000U, records::vm_phase::preparing);
    EXPECT_EQ(test.engine->in_flight(vm), 1);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(test.engine->execute(test.make_call()).result, outcome::answered);
    }
    finish.set_value();
    EXPECT_EQ(running.get(), outcome::answered);
    EXPECT_EQ(test.engine->in_flight(vm), 0);
    const auto used = test.targets.taken();
    EXPECT_EQ(std::count(used.begin(), used.end(), port), 1);
}

} // namespace
} // namespace jl::requests
