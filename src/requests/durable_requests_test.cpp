#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "requests/durable_test_support.h"

namespace jl::requests::testing {
namespace {

using records::request_state;
using std::chrono::seconds;

// Guards against a second run of a keyed call that is repeated through another entry.
TEST(durable_requests, repeated_keyed_call_gets_the_stored_answer)
{
    test_deployment deployment;
    auto& first = deployment.start("a");
    auto& second = deployment.start("b");
    const auto call = deployment.make_call("k1");
    const auto answer = first.durable->execute_once(call);
    EXPECT_EQ(answer.result, outcome::answered);
    const auto repeated = second.durable->execute_once(call);
    EXPECT_EQ(repeated.result, outcome::answered);
    EXPECT_EQ(repeated.body, answer.body);
    EXPECT_EQ(repeated.status, answer.status);
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against returning the answer of another request that had the same key.
TEST(durable_requests, same_key_with_another_body_is_refused)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    auto call = deployment.make_call("k1");
    entry.durable->execute_once(call);
    call.body = "another body";
    const auto refused = entry.durable->execute_once(call);
    EXPECT_EQ(refused.status, 422);
    EXPECT_EQ(refused.result, outcome::not_run);
    EXPECT_EQ(entry.durable->accept_deferred(call).status, 422);
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against two entries that execute the same key at once.
TEST(durable_requests, second_entry_reports_running_while_the_first_executes)
{
    test_deployment deployment;
    auto& first = deployment.start("a");
    auto& second = deployment.start("b");
    const auto call = deployment.make_call("k1");
    call_result other;
    first.engine.choose_outcome = [&](const requests::call&) {
        other = second.durable->execute_once(call);
        return outcome::answered;
    };
    EXPECT_EQ(first.durable->execute_once(call).result, outcome::answered);
    EXPECT_EQ(other.result, outcome::unknown);
    EXPECT_EQ(other.error_code, "running");
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against a key that stays in use although its call was refused without running.
TEST(durable_requests, key_is_free_again_after_not_run)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    const auto call = deployment.make_call("k1");
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::not_run; };
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::not_run);
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::answered; };
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::answered);
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against "not run" for a key whose earlier call may have run.
TEST(durable_requests, key_stays_unknown_when_its_repetition_does_not_run)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    const auto call = deployment.make_call("k1", true);
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::unknown; };
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::unknown);
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::not_run; };
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::unknown);
    EXPECT_EQ(deployment.stored("k1").state, request_state::unknown);
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::answered; };
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::answered);
}

// Guards against a second run that the caller has ruled out for its repeated key.
TEST(durable_requests, call_that_is_not_idempotent_does_not_repeat_an_idempotent_one)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    entry.engine.choose_outcome = [](const requests::call&) { return outcome::unknown; };
    EXPECT_EQ(entry.durable->execute_once(deployment.make_call("k1", true)).result,
              outcome::unknown);
    EXPECT_EQ(entry.durable->execute_once(deployment.make_call("k1", false)).result,
              outcome::unknown);
    EXPECT_EQ(deployment.executions.runs["k1"], 1);
}

// Guards against a claim that stays "running" for a day after its holder was killed.
TEST(durable_requests, claim_of_a_killed_holder_becomes_unknown)
{
    test_deployment deployment;
    auto& holder = deployment.start("a");
    auto& other = deployment.start("b");
    const auto call = deployment.make_call("k1");
    holder.engine.choose_outcome = [](const requests::call&) -> outcome { throw entry_killed{}; };
    EXPECT_FALSE(holder.survives([&] { holder.durable->execute_once(call); }));
    deployment.kill("a");
    deployment.run(seconds(7));
    const auto result = other.durable->execute_once(call);
    EXPECT_EQ(result.result, outcome::unknown);
    EXPECT_EQ(result.status, 504);
    std::string reason;
    const auto found = other.durable->find("k1", reason);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->state, request_state::unknown);
    EXPECT_EQ(deployment.executions.runs["k1"], 0);
}

// Guards against accepted requests that no entry executes, and against lost answers.
TEST(durable_requests, deferred_request_is_executed_and_its_answer_kept)
{
    test_deployment deployment;
    deployment.start("a");
    auto& entry = deployment.start("b");
    for (const bool idempotent : {false, true}) {
        const auto id = std::string("d") + (idempotent ? "1" : "2");
        EXPECT_EQ(entry.durable->accept_deferred(deployment.make_call(id, idempotent)).result,
                  outcome::accepted);
        deployment.run(seconds(3));
        std::string reason;
        const auto found = entry.durable->find(id, reason);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->state, request_state::answered);
        EXPECT_EQ(found->answer, "answer to body of " + id);
        EXPECT_EQ(deployment.executions.runs[id], 1);
    }
    EXPECT_EQ(deployment.queued(), 0U);
}

// Guards against a second copy of a deferred request that is sent again with its key.
TEST(durable_requests, repeated_deferred_request_is_accepted_once)
{
    test_deployment deployment;
    auto& first = deployment.start("a");
    auto& second = deployment.start("b");
    const auto call = deployment.make_call("d1");
    EXPECT_EQ(first.durable->accept_deferred(call).result, outcome::accepted);
    EXPECT_EQ(second.durable->accept_deferred(call).result, outcome::accepted);
    deployment.run(seconds(3));
    EXPECT_EQ(first.durable->accept_deferred(call).result, outcome::accepted);
    deployment.run(seconds(3));
    EXPECT_EQ(deployment.executions.runs["d1"], 1);
}

// Guards against requests accepted above the declared backlog.
TEST(durable_requests, full_backlog_is_refused_with_not_run)
{
    test_deployment deployment;
    auto set = std::make_shared<objects::object_set>(*deployment.configuration);
    set->services[0].max_backlog = 2;
    deployment.configuration = set;
    auto& entry = deployment.start("a");
    entry.engine.has_room = false;
    deployment.run(seconds(2));
    EXPECT_EQ(entry.durable->accept_deferred(deployment.make_call("d1")).result, outcome::accepted);
    EXPECT_EQ(entry.durable->accept_deferred(deployment.make_call("d2")).result, outcome::accepted);
    const auto refused = entry.durable->accept_deferred(deployment.make_call("d3"));
    EXPECT_EQ(refused.result, outcome::not_run);
    EXPECT_EQ(refused.error_code, "backlog_full");
    EXPECT_GT(refused.retry_after.count(), 0);
}

// Guards against cancelled requests that run, and started ones that are reported as cancelled.
TEST(durable_requests, only_requests_that_have_not_started_are_cancelled)
{
    test_deployment deployment;
    auto& owner = deployment.start("a");
    owner.engine.has_room = false;
    deployment.run(seconds(2));
    owner.durable->accept_deferred(deployment.make_call("d1"));
    owner.durable->accept_deferred(deployment.make_call("d2"));
    EXPECT_THAT(owner.durable->cancel({"d1", "missing"}), ::testing::ElementsAre("d1"));
    std::vector<std::string> while_running;
    owner.engine.has_room = true;
    owner.engine.choose_outcome = [&](const call& call) {
        while_running = owner.durable->cancel({call.id});
        return outcome::answered;
    };
    deployment.run(seconds(3));
    EXPECT_TRUE(while_running.empty());
    EXPECT_EQ(deployment.executions.runs["d1"], 0);
    EXPECT_EQ(deployment.executions.runs["d2"], 1);
    EXPECT_EQ(deployment.stored("d1").state, request_state::cancelled);
    EXPECT_EQ(deployment.stored("d2").state, request_state::answered);
}

// Guards against a request that starts after its deadline.
TEST(durable_requests, request_expires_instead_of_starting_late)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    entry.engine.has_room = false;
    auto call = deployment.make_call("d1");
    call.deadline = deployment.clock.steady_now() + seconds(2);
    EXPECT_EQ(entry.durable->accept_deferred(call).result, outcome::accepted);
    deployment.run(seconds(4));
    entry.engine.has_room = true;
    deployment.run(seconds(4));
    EXPECT_EQ(deployment.executions.runs["d1"], 0);
    EXPECT_EQ(deployment.stored("d1").state, request_state::expired);
    EXPECT_EQ(deployment.queued(), 0U);
}

// Guards against an entry that ends, or a key that stays in use, because of the bytes of a header.
TEST(durable_requests, content_type_may_hold_any_bytes)
{
    const std::string any_bytes = "text/plain; name=\xff";
    test_deployment deployment;
    auto& entry = deployment.start("a");
    entry.engine.content_type = any_bytes;
    auto call = deployment.make_call("k1");
    call.content_type = any_bytes;
    EXPECT_EQ(entry.durable->execute_once(call).result, outcome::answered);
    EXPECT_EQ(entry.durable->execute_once(call).content_type, any_bytes);
    EXPECT_EQ(entry.durable->accept_deferred(deployment.make_call("d1")).result, outcome::accepted);
    deployment.run(seconds(3));
    EXPECT_EQ(deployment.stored("d1").state, request_state::answered);
    EXPECT_EQ(deployment.stored("d1").answer_content_type, any_bytes);
    EXPECT_EQ(deployment.executions.runs["k1"] + deployment.executions.runs["d1"], 2);
}

// Guards against a request shown as not started, or accepted anew, although an attempt without an
// answer may have run.
TEST(durable_requests, request_that_may_have_run_neither_expires_nor_is_cancelled)
{
    test_deployment deployment;
    auto& entry = deployment.start("a");
    entry.engine.choose_outcome = [](const call&) { return outcome::unknown; };
    auto expiring = deployment.make_call("d1", true);
    expiring.deadline = deployment.clock.steady_now() + seconds(4);
    const auto lasting = deployment.make_call("d2", true);
    deployment.run(seconds(2));
    for (const auto& call : {expiring, lasting}) {
        EXPECT_EQ(entry.durable->accept_deferred(call).result, outcome::accepted);
    }
    while (deployment.executions.runs["d1"] * deployment.executions.runs["d2"] == 0) {
        deployment.run(std::chrono::milliseconds(250));
    }
    entry.engine.has_room = false;
    EXPECT_TRUE(entry.durable->cancel({"d2"}).empty());
    deployment.run(seconds(6));
    EXPECT_TRUE(entry.durable->cancel({"d2"}).empty());
    entry.engine.choose_outcome = [](const call&) { return outcome::answered; };
    entry.engine.has_room = true;
    deployment.run(seconds(6));
    EXPECT_EQ(deployment.stored("d1").state, request_state::unknown);
    EXPECT_EQ(deployment.stored("d2").state, request_state::answered);
    EXPECT_EQ(deployment.queued(), 0U);
}

} // namespace
} // namespace jl::requests::testing
