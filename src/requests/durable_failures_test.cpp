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

// Upper bound of the store calls in one scenario. The tests inject a fault into each of them.
constexpr int max_store_calls = 40;
// Longer than the lease TTL, the rescan period and the retry delays together.
constexpr seconds recovery_time{40};

// Injects `fault` into one store call of the entry. Calls are counted from 0, starting now.
void inject_fault_at(test_entry& entry, int number, call_fault fault)
{
    entry.connection.choose_fault = [left = number, fault]() mutable {
        return left-- == 0 ? fault : call_fault::none;
    };
}

// Pauses the entry at its store call with the given number (counted from 0, starting now) and runs
// `meanwhile` during the pause.
void pause_entry_at(test_deployment& deployment, const std::string& name, int number,
                    const std::function<void()>& meanwhile)
{
    auto& entry = *deployment.entries.at(name);
    entry.connection.choose_fault = [&deployment, name, left = number, meanwhile]() mutable {
        if (left-- == 0) {
            deployment.paused.insert(name);
            meanwhile();
            deployment.paused.erase(name);
        }
        return call_fault::none;
    };
}

// Checks the record and the executions of a non-idempotent request after recovery.
void expect_consistent(test_deployment& deployment, const std::string& id,
                       const std::string& context)
{
    const auto record = deployment.stored(id);
    const int runs = deployment.executions.runs[id];
    EXPECT_LE(runs, 1) << context;
    EXPECT_EQ(deployment.queued(), 0U) << context;
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

constexpr std::array<call_fault, 6> all_faults = {
    call_fault::unavailable,  call_fault::lost_response, call_fault::lost_request,
    call_fault::delayed_call, call_fault::kill_before,   call_fault::kill_after};

// Guards against a second run, a lost answer or a key that stays in use when a claim or an answer
// is interrupted at any store call.
TEST(durable_failures, keyed_call_survives_a_fault_at_every_store_call)
{
    for (const auto fault : all_faults) {
        for (int number = 0; number < max_store_calls; ++number) {
            const auto context = describe(fault, number);
            test_deployment deployment;
            deployment.start("a");
            deployment.start("b");
            deployment.run(seconds(3));
            const auto call = deployment.make_call("k1");
            auto& entry = *deployment.entries.at("a");
            inject_fault_at(entry, number, fault);
            call_result result;
            result.result = outcome::unknown;
            bool alive = entry.survives([&] { result = entry.durable->execute_once(call); });
            if (alive && result.result == outcome::not_run) {
                EXPECT_EQ(deployment.executions.runs["k1"], 0) << context;
            }
            if (!alive) {
                deployment.kill("a");
            }
            deployment.run(recovery_time);
            // The fault may also have occurred in a step after the call.
            alive = deployment.entries.count("a") > 0;
            if (alive) {
                deployment.entries.at("a")->connection.release_delayed();
            }
            auto repeated =
                deployment.entries.at("b")->durable->execute_once(deployment.make_call("k1"));
            deployment.run(recovery_time);
            if (alive) {
                // No entry has died, so the outcome must be known.
                EXPECT_EQ(repeated.result, outcome::answered) << context;
            }
            EXPECT_NE(repeated.error_code, "running") << context;
            expect_consistent(deployment, "k1", context);
        }
    }
}

// Guards against accepted requests that are lost or run twice when any store call between
// acceptance and answer is interrupted.
TEST(durable_failures, deferred_request_survives_a_fault_at_every_store_call)
{
    for (const auto fault : all_faults) {
        for (int number = 0; number < max_store_calls; ++number) {
            const auto context = describe(fault, number);
            test_deployment deployment;
            deployment.start("a");
            deployment.run(seconds(3));
            auto& entry = *deployment.entries.at("a");
            inject_fault_at(entry, number, fault);
            call_result result;
            result.result = outcome::unknown;
            bool alive = entry.survives(
                [&] { result = entry.durable->accept_deferred(deployment.make_call("d1")); });
            for (int step = 0; alive && step < 20; ++step) {
                deployment.clock.advance(milliseconds(250));
                alive = entry.survives([&] { entry.step(); });
            }
            if (!alive) {
                deployment.kill("a");
            }
            else {
                entry.connection.release_delayed();
            }
            deployment.start("b");
            deployment.run(recovery_time);
            expect_consistent(deployment, "d1", context);
            const auto state = deployment.stored("d1").state;
            if (result.result == outcome::accepted) {
                EXPECT_TRUE(state == request_state::answered ||
                            (!alive && state == request_state::unknown))
                    << context << " " << records::to_text(state);
            }
            if (result.result == outcome::not_run) {
                EXPECT_EQ(deployment.executions.runs["d1"], 0) << context;
            }
        }
    }
}

// Guards against a second run by an owner that was paused while another entry acquired its role.
TEST(durable_failures, paused_owner_that_resumes_runs_nothing_twice)
{
    for (int number = 0; number < max_store_calls; ++number) {
        const auto context = "paused at call " + std::to_string(number);
        test_deployment deployment;
        deployment.start("a");
        deployment.run(seconds(3));
        auto& owner = *deployment.entries.at("a");
        for (const auto* id : {"d1", "d2"}) {
            EXPECT_EQ(owner.durable->accept_deferred(deployment.make_call(id)).result,
                      outcome::accepted);
        }
        pause_entry_at(deployment, "a", number, [&] {
            deployment.start("b");
            deployment.run(seconds(20));
        });
        deployment.run(recovery_time);
        for (const auto* id : {"d1", "d2"}) {
            expect_consistent(deployment, id, context);
            const auto state = deployment.stored(id).state;
            EXPECT_TRUE(state == request_state::answered || state == request_state::unknown)
                << context << " " << records::to_text(state);
        }
    }
}

// Guards against a second run of a request whose holder is paused for longer than its lease.
TEST(durable_failures, owner_paused_during_a_run_leaves_it_unknown)
{
    test_deployment deployment;
    auto& owner = deployment.start("a");
    deployment.run(seconds(3));
    owner.durable->accept_deferred(deployment.make_call("d1"));
    owner.engine.choose_outcome = [&](const call&) {
        deployment.paused.insert("a");
        deployment.start("b");
        deployment.run(seconds(30));
        deployment.paused.erase("a");
        return outcome::answered;
    };
    deployment.run(recovery_time);
    EXPECT_EQ(deployment.executions.runs["d1"], 1);
    EXPECT_EQ(deployment.stored("d1").state, request_state::unknown);
    EXPECT_EQ(deployment.queued(), 0U);
}

// Guards against an idempotent request that crashes each target that it is sent to and is sent
// again without limit: its attempts were counted by each owner of the queue anew.
TEST(durable_failures, request_without_an_answer_is_given_up_across_owners)
{
    for (int life_s = 1; life_s < 8; ++life_s) {
        test_deployment deployment;
        const auto start_entry = [&](int number) {
            auto& entry = deployment.start("e" + std::to_string(number));
            entry.engine.choose_outcome = [](const call&) { return outcome::unknown; };
        };
        start_entry(0);
        deployment.run(seconds(3));
        deployment.entries.begin()->second->durable->accept_deferred(
            deployment.make_call("d1", true));
        for (int number = 1; number < 20; ++number) {
            start_entry(number);
            deployment.run(seconds(life_s));
            deployment.kill("e" + std::to_string(number - 1));
            deployment.run(seconds(6)); // until the lease of the killed owner has expired
        }
        deployment.run(recovery_time);
        EXPECT_EQ(deployment.stored("d1").state, request_state::unknown);
        EXPECT_LE(deployment.executions.runs["d1"], 5) << "each owner lives for " << life_s << " s";
        EXPECT_EQ(deployment.queued(), 0U);
    }
}

// Guards against an unknown outcome of a request that had a start mark but had not run when its
// owner was stopped.
TEST(durable_failures, planned_stop_returns_marked_requests_to_the_queue)
{
    test_deployment deployment;
    auto& owner = deployment.start("a");
    owner.engine.choose_outcome = [](const call&) { return outcome::not_run; };
    deployment.run(seconds(3));
    owner.durable->accept_deferred(deployment.make_call("d1"));
    deployment.run(seconds(3));
    ASSERT_TRUE(owner.durable->cancel({"d1"}).empty())
        << "d1 was cancelled, so it had no start mark";
    deployment.entries.erase("a");
    deployment.start("b");
    deployment.run(recovery_time);
    EXPECT_EQ(deployment.stored("d1").state, request_state::answered);
    EXPECT_EQ(deployment.executions.runs["d1"], 1);
}

// Guards against unknown outcomes of requests in progress when their queue moves to another entry.
TEST(durable_failures, role_moves_between_live_entries_without_unknown_outcomes)
{
    test_deployment deployment;
    deployment.start("a");
    deployment.run(seconds(3));
    for (int i = 0; i < 20; ++i) {
        deployment.entries.begin()->second->durable->accept_deferred(
            deployment.make_call("d" + std::to_string(i)));
        deployment.start("e" + std::to_string(i));
        deployment.run(seconds(2));
    }
    deployment.run(recovery_time);
    for (int i = 0; i < 20; ++i) {
        const auto id = "d" + std::to_string(i);
        EXPECT_EQ(deployment.stored(id).state, request_state::answered) << id;
        EXPECT_EQ(deployment.executions.runs[id], 1) << id;
    }
}

// Guards against a queue that no entry works on: one entry acquired the role by a write whose
// response was lost, and then another entry became the preferred one.
TEST(durable_failures, role_acquired_with_lost_response_is_recovered)
{
    constexpr const char* role = "queue/rounds";
    const std::string first = "a";
    std::string later = "b";
    while (rendezvous_score(later, role) < rendezvous_score(first, role)) {
        later += "b";
    }
    for (const auto fault : {call_fault::lost_response, call_fault::delayed_call}) {
        for (int number = 0; number < max_store_calls; ++number) {
            test_deployment deployment;
            deployment.entries[first] = std::make_unique<test_entry>(deployment, first, 100);
            auto& entry = *deployment.entries.at(first);
            inject_fault_at(entry, number, fault);
            // The first step acquires the role.
            entry.step();
            auto& preferred = deployment.start(later);
            ASSERT_EQ(preferred.durable->accept_deferred(deployment.make_call("d1")).result,
                      outcome::accepted);
            deployment.run(seconds(2));
            entry.connection.release_delayed();
            deployment.run(recovery_time);
            EXPECT_EQ(deployment.stored("d1").state, request_state::answered)
                << describe(fault, number);
        }
    }
}

// Guards against a claim that is committed after its caller got "not run" and then blocks the key
// for as long as its holder lives.
TEST(durable_failures, late_committed_claim_is_cancelled)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    deployment.run(seconds(3));
    int calls = 0;
    entry.connection.choose_fault = [&] {
        return calls++ == 0 ? call_fault::lost_response : call_fault::unavailable;
    };
    EXPECT_EQ(entry.durable->execute_once(deployment.make_call("k1")).result, outcome::not_run);
    EXPECT_EQ(deployment.stored("k1").state, request_state::running);
    entry.connection.choose_fault = [] { return call_fault::none; };
    deployment.run(recovery_time);
    EXPECT_EQ(deployment.stored("k1").state, request_state::cancelled);
    EXPECT_EQ(entry.durable->execute_once(deployment.make_call("k1")).result, outcome::answered);
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against "not run" for a key whose earlier call may have run, when the store takes the
// claim of its repetition late or not at all.
TEST(durable_failures, key_stays_unknown_when_its_repetition_is_not_recorded)
{
    for (const auto fault : {call_fault::unavailable, call_fault::lost_response}) {
        test_deployment deployment;
        auto& entry = deployment.start("a");
        deployment.run(seconds(3));
        const auto call = deployment.make_call("k1", true);
        entry.engine.choose_outcome = [](const requests::call&) { return outcome::unknown; };
        EXPECT_EQ(entry.durable->execute_once(call).result, outcome::unknown);
        int calls = 0;
        entry.connection.choose_fault = [&] {
            ++calls;
            return calls == 1   ? call_fault::none // the claim conflicts with the earlier one
                   : calls == 2 ? fault
                                : call_fault::unavailable;
        };
        EXPECT_EQ(entry.durable->execute_once(call).result, outcome::unknown) << describe(fault, 1);
        entry.connection.choose_fault = [] { return call_fault::none; };
        deployment.run(recovery_time);
        EXPECT_EQ(deployment.stored("k1").state, request_state::unknown) << describe(fault, 1);
    }
}

// Guards against two runs when both entries claim the same key between any two store calls.
TEST(durable_failures, same_key_through_two_entries_at_once_runs_once)
{
    for (int number = 0; number < max_store_calls; ++number) {
        test_deployment deployment;
        deployment.start("a");
        deployment.start("b");
        deployment.run(seconds(3));
        const auto call = deployment.make_call("k1");
        auto& first = *deployment.entries.at("a");
        auto& second = *deployment.entries.at("b");
        call_result other;
        pause_entry_at(deployment, "a", number,
                       [&] { other = second.durable->execute_once(call); });
        const auto result = first.durable->execute_once(call);
        EXPECT_EQ(deployment.executions.runs["k1"], 1) << number;
        EXPECT_TRUE(result.result == outcome::answered || other.result == outcome::answered)
            << number;
    }
}

// Guards against a request that runs although its claim or acceptance could not be recorded.
TEST(durable_failures, unavailable_store_refuses_durable_requests_before_dispatch)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    deployment.run(seconds(3));
    deployment.store.inject(standins::store_fault::unavailable);
    const auto keyed = entry.durable->execute_once(deployment.make_call("k1"));
    EXPECT_EQ(keyed.result, outcome::not_run);
    EXPECT_EQ(keyed.error_code, "store_unavailable");
    EXPECT_EQ(entry.durable->accept_deferred(deployment.make_call("d1")).result, outcome::not_run);
    std::string reason;
    EXPECT_FALSE(entry.durable->find("k1", reason));
    EXPECT_EQ(reason, "unavailable");
    EXPECT_TRUE(entry.durable->cancel({"k1"}).empty());
    deployment.run(seconds(60));
    deployment.store.inject(standins::store_fault::none);
    deployment.run(recovery_time);
    EXPECT_EQ(deployment.executions.runs["k1"] + deployment.executions.runs["d1"], 0);
    EXPECT_FALSE(entry.durable->find("k1", reason));
    EXPECT_EQ(reason, "not_found");
}

// Guards against answers that are lost in a store outage, and against a burst of store calls during
// and after it.
TEST(durable_failures, answers_are_kept_through_an_outage_with_few_calls)
{
    constexpr int count = 100;
    test_deployment deployment;
    auto& owner = deployment.start("a");
    owner.engine.has_room = false;
    deployment.run(seconds(3));
    for (int i = 0; i < count; ++i) {
        owner.durable->accept_deferred(deployment.make_call("d" + std::to_string(i)));
    }
    owner.engine.has_room = true;
    owner.engine.choose_outcome = [&](const call&) {
        deployment.store.inject(standins::store_fault::unavailable);
        return outcome::answered;
    };
    int calls = 0;
    owner.connection.choose_fault = [&] {
        ++calls;
        return call_fault::none;
    };
    deployment.run(seconds(3600));
    // The process lease (renewed here every 250 ms) and at most one other call a second.
    EXPECT_LE(calls, 3600 * 4 + 3600);
    deployment.store.inject(standins::store_fault::none);
    owner.engine.choose_outcome = [](const call&) { return outcome::answered; };
    calls = 0;
    deployment.clock.advance(seconds(1));
    deployment.step_all();
    EXPECT_LE(calls, 10);
    deployment.run(recovery_time);
    for (int i = 0; i < count; ++i) {
        const auto id = "d" + std::to_string(i);
        EXPECT_EQ(deployment.stored(id).state, request_state::answered) << id;
        EXPECT_EQ(deployment.executions.runs[id], 1) << id;
    }
}

// Guards against entries that each use the whole write rate of all entries while their mesh links
// are down.
TEST(durable_failures, transactions_are_paced_by_members_whose_links_are_down)
{
    constexpr int members = 10;
    test_deployment deployment;
    auto& entry = deployment.start("a");
    entry.cluster.list_members = [&] {
        auto list = deployment.members();
        for (int i = 1; i < members; ++i) {
            list.emplace_back().member.member = "m" + std::to_string(i);
        }
        return list;
    };
    // With 10 members, the next transaction is due 110 ms after the previous one.
    entry.durable->accept_deferred(deployment.make_call("d1"));
    EXPECT_EQ(deployment.queued(), 1U);
    const auto writes = deployment.store.counts().writes;
    for (int i = 0; i < 10; ++i) {
        deployment.clock.advance(milliseconds(10));
        entry.durable->step();
        EXPECT_EQ(deployment.store.counts().writes, writes) << i;
    }
    deployment.clock.advance(milliseconds(10));
    entry.durable->step();
    EXPECT_EQ(deployment.store.counts().writes, writes + 1);
}

// Guards against a separate transaction for each cancellation, and against cancelled requests that
// run.
TEST(durable_failures, thousands_of_cancellations_share_transactions)
{
    constexpr int count = 4000;
    test_deployment deployment;
    auto& owner = deployment.start("a");
    owner.engine.has_room = false;
    deployment.run(seconds(3));
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
        ids.push_back("d" + std::to_string(i));
        ASSERT_EQ(owner.durable->accept_deferred(deployment.make_call(ids.back())).result,
                  outcome::accepted);
    }
    const auto before = deployment.store.counts();
    EXPECT_EQ(owner.durable->cancel(ids).size(), ids.size());
    const auto after = deployment.store.counts();
    // Each cancellation has two operations, a transaction holds 128 of them, and each batch of 1024
    // cancellations may end with an incomplete transaction.
    EXPECT_LE(after.writes - before.writes, 2 * count / 128 + 4);
    EXPECT_LE(after.reads - before.reads, 2 * (count / 128 + 4));
    owner.engine.has_room = true;
    deployment.run(recovery_time);
    EXPECT_TRUE(deployment.executions.runs.empty());
    EXPECT_EQ(deployment.queued(), 0U);
    EXPECT_EQ(owner.durable->backlog("rounds"), 0);
}

// Guards against a team whose requests cannot run and, being first in the queue, block the requests
// of other teams behind them.
TEST(durable_failures, team_that_cannot_run_does_not_block_the_others)
{
    test_deployment deployment;
    auto& owner = deployment.start("a");
    owner.engine.has_room = false;
    deployment.run(seconds(3));
    for (int i = 0; i < 3000; ++i) {
        auto call = deployment.make_call("a" + std::to_string(i), true);
        call.team = "blocked";
        owner.durable->accept_deferred(call);
    }
    for (int i = 0; i < 20; ++i) {
        owner.durable->accept_deferred(deployment.make_call("b" + std::to_string(i), true));
    }
    owner.engine.has_room = true;
    owner.engine.choose_outcome = [](const call& call) {
        return call.team == "blocked" ? outcome::not_run : outcome::answered;
    };
    deployment.run(seconds(60));
    for (int i = 0; i < 20; ++i) {
        const auto id = "b" + std::to_string(i);
        EXPECT_EQ(deployment.stored(id).state, request_state::answered) << id;
    }
}

} // namespace
} // namespace jl::requests::testing
