#include <array>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/ids.h"
#include "requests/durable_test_support.h"

namespace jl::requests::testing {
namespace {

using records::request_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Store calls of one scenario are fewer than this; the tests place a fault at each of them.
constexpr int max_calls = 40;
// More than the lease TTL, the rescan period and the retry delays together.
constexpr seconds recovery_time{40};

// Applies `fault` to the call with the given number of the entry, counted from now on.
void fault_at(test_entry& entry, int number, call_fault fault)
{
    entry.connection.decide = [left = number, fault]() mutable {
        return left-- == 0 ? fault : call_fault::none;
    };
}

// Lets the other entries work for a while at the given call of the entry, as if it were paused.
void pause_at(test_world& world, const std::string& name, int number,
              const std::function<void()>& meanwhile)
{
    auto& entry = *world.entries.at(name);
    entry.connection.decide = [&world, name, left = number, meanwhile]() mutable {
        if (left-- == 0) {
            world.paused.insert(name);
            meanwhile();
            world.paused.erase(name);
        }
        return call_fault::none;
    };
}

// What must hold for a non-idempotent request after everything has recovered.
void expect_consistent(test_world& world, const std::string& id, const std::string& context)
{
    const auto record = world.stored(id);
    const int runs = world.ledger.runs[id];
    EXPECT_LE(runs, 1) << context;
    EXPECT_EQ(world.queued(), 0U) << context;
    if (record.state == request_state::answered) {
        EXPECT_EQ(runs, 1) << context;
        EXPECT_EQ(record.answer, "answer to body of " + id) << context;
    }
    if (record.state == request_state::cancelled || record.state == request_state::expired) {
        EXPECT_EQ(runs, 0) << context;
    }
}

std::string describe(call_fault fault, int number)
{
    return "fault " + std::to_string(static_cast<int>(fault)) + " at call " +
           std::to_string(number);
}

constexpr std::array<call_fault, 6> all_faults = {call_fault::unavailable, call_fault::lost_answer,
                                                  call_fault::lost_call,   call_fault::delayed_call,
                                                  call_fault::kill_before, call_fault::kill_after};

// Guards against a second run, a lost answer or a key that stays in use when a claim or an answer
// is interrupted at any store call.
TEST(durable_failures, keyed_call_survives_a_fault_at_every_store_call)
{
    for (const auto fault : all_faults) {
        for (int number = 0; number < max_calls; ++number) {
            const auto context = describe(fault, number);
            test_world world;
            world.start("a");
            world.start("b");
            world.run(seconds(3));
            const auto call = world.make_call("k1");
            auto& entry = *world.entries.at("a");
            fault_at(entry, number, fault);
            call_result result;
            result.result = outcome::unknown;
            bool alive = entry.survives([&] { result = entry.durable->execute_once(call); });
            if (alive && result.result == outcome::not_run) {
                EXPECT_EQ(world.ledger.runs["k1"], 0) << context;
            }
            if (!alive) {
                world.kill("a");
            }
            world.run(recovery_time);
            // The fault may lie in the rounds of work after the call.
            alive = world.entries.count("a") > 0;
            if (alive) {
                world.entries.at("a")->connection.release_delayed();
            }
            auto again = world.entries.at("b")->durable->execute_once(world.make_call("k1"));
            world.run(recovery_time);
            if (alive) {
                // Nobody has died, so the key must not be left in doubt.
                EXPECT_EQ(again.result, outcome::answered) << context;
            }
            EXPECT_NE(again.error_code, "running") << context;
            expect_consistent(world, "k1", context);
        }
    }
}

// Guards against accepted requests that are lost or run twice when any store call on the way from
// acceptance to the answer is interrupted.
TEST(durable_failures, deferred_request_survives_a_fault_at_every_store_call)
{
    for (const auto fault : all_faults) {
        for (int number = 0; number < max_calls; ++number) {
            const auto context = describe(fault, number);
            test_world world;
            world.start("a");
            world.run(seconds(3));
            auto& entry = *world.entries.at("a");
            fault_at(entry, number, fault);
            call_result result;
            result.result = outcome::unknown;
            bool alive = entry.survives(
                [&] { result = entry.durable->accept_deferred(world.make_call("d1")); });
            for (int step = 0; alive && step < 20; ++step) {
                world.clock.advance(milliseconds(250));
                alive = entry.survives([&] { entry.step(); });
            }
            if (!alive) {
                world.kill("a");
            }
            else {
                entry.connection.release_delayed();
            }
            world.start("b");
            world.run(recovery_time);
            expect_consistent(world, "d1", context);
            const auto state = world.stored("d1").state;
            if (result.result == outcome::accepted) {
                EXPECT_TRUE(state == request_state::answered ||
                            (!alive && state == request_state::unknown))
                    << context << " " << records::to_text(state);
            }
            if (result.result == outcome::not_run) {
                EXPECT_EQ(world.ledger.runs["d1"], 0) << context;
            }
        }
    }
}

// Guards against a second run by an owner that was paused while another entry took its role.
TEST(durable_failures, paused_owner_that_resumes_runs_nothing_twice)
{
    for (int number = 0; number < max_calls; ++number) {
        const auto context = "paused at call " + std::to_string(number);
        test_world world;
        world.start("a");
        world.run(seconds(3));
        auto& owner = *world.entries.at("a");
        for (const auto* id : {"d1", "d2"}) {
            EXPECT_EQ(owner.durable->accept_deferred(world.make_call(id)).result,
                      outcome::accepted);
        }
        pause_at(world, "a", number, [&] {
            world.start("b");
            world.run(seconds(20));
        });
        world.run(recovery_time);
        for (const auto* id : {"d1", "d2"}) {
            expect_consistent(world, id, context);
            const auto state = world.stored(id).state;
            EXPECT_TRUE(state == request_state::answered || state == request_state::unknown)
                << context << " " << records::to_text(state);
        }
    }
}

// Guards against a run that is repeated because its holder is silent for longer than its lease.
TEST(durable_failures, owner_paused_during_a_run_leaves_it_unknown)
{
    test_world world;
    auto& owner = world.start("a");
    world.run(seconds(3));
    owner.durable->accept_deferred(world.make_call("d1"));
    owner.engine.decide = [&](const call&) {
        world.paused.insert("a");
        world.start("b");
        world.run(seconds(30));
        world.paused.erase("a");
        return outcome::answered;
    };
    world.run(recovery_time);
    EXPECT_EQ(world.ledger.runs["d1"], 1);
    EXPECT_EQ(world.stored("d1").state, request_state::unknown);
    EXPECT_EQ(world.queued(), 0U);
}

// Guards against a planned stop that leaves a request in doubt which has not run.
TEST(durable_failures, planned_stop_returns_marked_requests_to_the_queue)
{
    test_world world;
    auto& owner = world.start("a");
    owner.engine.decide = [](const call&) { return outcome::not_run; };
    world.run(seconds(3));
    owner.durable->accept_deferred(world.make_call("d1"));
    world.run(seconds(3));
    ASSERT_TRUE(owner.durable->cancel({"d1"}).empty()) << "it carries no start mark";
    world.entries.erase("a");
    world.start("b");
    world.run(recovery_time);
    EXPECT_EQ(world.stored("d1").state, request_state::answered);
    EXPECT_EQ(world.ledger.runs["d1"], 1);
}

// Guards against a moved role that leaves the requests in progress in doubt.
TEST(durable_failures, role_moves_between_live_entries_without_unknown_outcomes)
{
    test_world world;
    world.start("a");
    world.run(seconds(3));
    for (int i = 0; i < 20; ++i) {
        world.entries.begin()->second->durable->accept_deferred(
            world.make_call("d" + std::to_string(i)));
        world.start("e" + std::to_string(i));
        world.run(seconds(2));
    }
    world.run(recovery_time);
    for (int i = 0; i < 20; ++i) {
        const auto id = "d" + std::to_string(i);
        EXPECT_EQ(world.stored(id).state, request_state::answered) << id;
        EXPECT_EQ(world.ledger.runs[id], 1) << id;
    }
}

// Guards against a role that nobody acts on: taken by a write whose answer was lost, while another
// entry has become the preferred one.
TEST(durable_failures, role_taken_without_an_answer_is_found_again)
{
    constexpr const char* role = "queue/rounds";
    const std::string first = "a";
    std::string later = "b";
    while (rendezvous_score(later, role) < rendezvous_score(first, role)) {
        later += "b";
    }
    for (const auto fault : {call_fault::lost_answer, call_fault::delayed_call}) {
        for (int number = 0; number < max_calls; ++number) {
            test_world world;
            world.entries[first] = std::make_unique<test_entry>(world, first, 100);
            auto& entry = *world.entries.at(first);
            fault_at(entry, number, fault);
            // The first round of work contains the acquisition.
            entry.step();
            auto& preferred = world.start(later);
            ASSERT_EQ(preferred.durable->accept_deferred(world.make_call("d1")).result,
                      outcome::accepted);
            world.run(seconds(2));
            entry.connection.release_delayed();
            world.run(recovery_time);
            EXPECT_EQ(world.stored("d1").state, request_state::answered) << describe(fault, number);
        }
    }
}

// Guards against a claim that was committed after its caller had been told "not run" and then
// stays in use for as long as its holder lives.
TEST(durable_failures, claim_committed_late_is_given_up)
{
    test_world world;
    auto& entry = world.start("a");
    world.run(seconds(3));
    int calls = 0;
    entry.connection.decide = [&] {
        return calls++ == 0 ? call_fault::lost_answer : call_fault::unavailable;
    };
    EXPECT_EQ(entry.durable->execute_once(world.make_call("k1")).result, outcome::not_run);
    EXPECT_EQ(world.stored("k1").state, request_state::running);
    entry.connection.decide = [] { return call_fault::none; };
    world.run(recovery_time);
    EXPECT_EQ(world.stored("k1").state, request_state::cancelled);
    EXPECT_EQ(entry.durable->execute_once(world.make_call("k1")).result, outcome::answered);
    EXPECT_EQ(world.ledger.runs["k1"], 1);
}

// Guards against two runs when both entries claim the same key between any two store calls.
TEST(durable_failures, same_key_through_two_entries_at_once_runs_once)
{
    for (int number = 0; number < max_calls; ++number) {
        test_world world;
        world.start("a");
        world.start("b");
        world.run(seconds(3));
        const auto call = world.make_call("k1");
        auto& first = *world.entries.at("a");
        auto& second = *world.entries.at("b");
        call_result other;
        pause_at(world, "a", number, [&] { other = second.durable->execute_once(call); });
        const auto result = first.durable->execute_once(call);
        EXPECT_EQ(world.ledger.runs["k1"], 1) << number;
        EXPECT_TRUE(result.result == outcome::answered || other.result == outcome::answered)
            << number;
    }
}

// Guards against work that runs although its claim or its acceptance could not be recorded.
TEST(durable_failures, unavailable_store_refuses_durable_requests_before_dispatch)
{
    test_world world;
    auto& entry = world.start("a");
    world.run(seconds(3));
    world.store.inject(standins::store_fault::unavailable);
    const auto keyed = entry.durable->execute_once(world.make_call("k1"));
    EXPECT_EQ(keyed.result, outcome::not_run);
    EXPECT_EQ(keyed.error_code, "store_unavailable");
    EXPECT_EQ(entry.durable->accept_deferred(world.make_call("d1")).result, outcome::not_run);
    std::string reason;
    EXPECT_FALSE(entry.durable->find("k1", reason));
    EXPECT_EQ(reason, "unavailable");
    EXPECT_TRUE(entry.durable->cancel({"k1"}).empty());
    world.run(seconds(60));
    world.store.inject(standins::store_fault::none);
    world.run(recovery_time);
    EXPECT_EQ(world.ledger.runs["k1"] + world.ledger.runs["d1"], 0);
    EXPECT_FALSE(entry.durable->find("k1", reason));
    EXPECT_EQ(reason, "not_found");
}

// Guards against answers lost in an outage, and against a burst of calls during and after it.
TEST(durable_failures, answers_are_kept_through_an_outage_with_few_calls)
{
    constexpr int count = 100;
    test_world world;
    auto& owner = world.start("a");
    owner.engine.room = false;
    world.run(seconds(3));
    for (int i = 0; i < count; ++i) {
        owner.durable->accept_deferred(world.make_call("d" + std::to_string(i)));
    }
    owner.engine.room = true;
    owner.engine.decide = [&](const call&) {
        world.store.inject(standins::store_fault::unavailable);
        return outcome::answered;
    };
    int calls = 0;
    owner.connection.decide = [&] {
        ++calls;
        return call_fault::none;
    };
    world.run(seconds(3600));
    // The process lease (renewed here every 250 ms) and at most one other call a second.
    EXPECT_LE(calls, 3600 * 4 + 3600);
    world.store.inject(standins::store_fault::none);
    owner.engine.decide = [](const call&) { return outcome::answered; };
    calls = 0;
    world.clock.advance(seconds(1));
    world.step_all();
    EXPECT_LE(calls, 10);
    world.run(recovery_time);
    for (int i = 0; i < count; ++i) {
        const auto id = "d" + std::to_string(i);
        EXPECT_EQ(world.stored(id).state, request_state::answered) << id;
        EXPECT_EQ(world.ledger.runs[id], 1) << id;
    }
}

// Guards against entries that each send the whole rate of all entries while their links are down.
TEST(durable_failures, transactions_are_paced_by_members_whose_links_are_down)
{
    constexpr int members = 10;
    test_world world;
    auto& entry = world.start("a");
    entry.cluster.list_members = [&] {
        auto list = world.members();
        for (int i = 1; i < members; ++i) {
            list.emplace_back().member.member = "m" + std::to_string(i);
        }
        return list;
    };
    // 110 ms after a transaction the next one is due.
    entry.durable->accept_deferred(world.make_call("d1"));
    EXPECT_EQ(world.queued(), 1U);
    const auto writes = world.store.counts().writes;
    for (int i = 0; i < 10; ++i) {
        world.clock.advance(milliseconds(10));
        entry.durable->step();
        EXPECT_EQ(world.store.counts().writes, writes) << i;
    }
    world.clock.advance(milliseconds(10));
    entry.durable->step();
    EXPECT_EQ(world.store.counts().writes, writes + 1);
}

// Guards against one write for each cancellation, and against cancelled requests that still run.
TEST(durable_failures, thousands_of_cancellations_share_transactions)
{
    constexpr int count = 4000;
    test_world world;
    auto& owner = world.start("a");
    owner.engine.room = false;
    world.run(seconds(3));
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
        ids.push_back("d" + std::to_string(i));
        ASSERT_EQ(owner.durable->accept_deferred(world.make_call(ids.back())).result,
                  outcome::accepted);
    }
    const auto before = world.store.counts();
    EXPECT_EQ(owner.durable->cancel(ids).size(), ids.size());
    const auto after = world.store.counts();
    // Two operations for each of them, 128 in a transaction, and one part transaction in each
    // group of 1024.
    EXPECT_LE(after.writes - before.writes, 2 * count / 128 + 4);
    EXPECT_LE(after.reads - before.reads, 2 * (count / 128 + 4));
    owner.engine.room = true;
    world.run(recovery_time);
    EXPECT_TRUE(world.ledger.runs.empty());
    EXPECT_EQ(world.queued(), 0U);
    EXPECT_EQ(owner.durable->backlog("rounds"), 0);
}

// Guards against a team that fills the head of a queue and cannot run there, while the requests
// of other teams behind it wait.
TEST(durable_failures, team_that_cannot_run_does_not_block_the_others)
{
    test_world world;
    auto& owner = world.start("a");
    owner.engine.room = false;
    world.run(seconds(3));
    for (int i = 0; i < 3000; ++i) {
        auto call = world.make_call("a" + std::to_string(i), true);
        call.team = "blocked";
        owner.durable->accept_deferred(call);
    }
    for (int i = 0; i < 20; ++i) {
        owner.durable->accept_deferred(world.make_call("b" + std::to_string(i), true));
    }
    owner.engine.room = true;
    owner.engine.decide = [](const call& call) {
        return call.team == "blocked" ? outcome::not_run : outcome::answered;
    };
    world.run(seconds(60));
    for (int i = 0; i < 20; ++i) {
        const auto id = "b" + std::to_string(i);
        EXPECT_EQ(world.stored(id).state, request_state::answered) << id;
    }
}

} // namespace
} // namespace jl::requests::testing
