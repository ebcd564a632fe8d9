// Requests through real processes behind the fault-injecting proxy.

#include <atomic>
#include <set>
#include <thread>

#include <gtest/gtest.h>

#include "base/ids.h"
#include "tests/harness/deployment.h"

namespace jl::harness {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

const http::header_map urgent = {{"Jl-Team", "planning"}, {"Jl-Class", "urgent"}};

http::header_map with(http::header_map headers, const std::string& name, const std::string& value)
{
    headers[name] = value;
    return headers;
}

std::string body(const std::string& token, int work_ms = 5)
{
    return json{{"token", token}, {"work_ms", work_ms}}.dump();
}

std::string outcome_of(const std::optional<http::response>& answer)
{
    return answer ? http::find_header(answer->headers, "Jl-Outcome").value_or("none") : "no answer";
}

std::string state_of(const deployment& deployment, int entry, const std::string& id)
{
    const auto answer =
        deployment.request(deployment.caller_address(entry), "GET", "/v1/requests/" + id);
    if (!answer || answer->status != 200) {
        return "";
    }
    return json::parse(answer->body, nullptr, false).value("state", "");
}

std::optional<http::response> defer(const deployment& deployment, int entry,
                                    const std::string& token, bool idempotent, int work_ms = 5)
{
    auto headers = with(urgent, "Jl-Class", "deferred");
    headers["Jl-Idempotent"] = idempotent ? "true" : "false";
    headers["Idempotency-Key"] = token;
    return deployment.request(deployment.caller_address(entry), "POST",
                              "/v1/services/rounds/deferred", body(token, work_ms), headers);
}

deployment_options small_deployment()
{
    deployment_options options;
    options.entries = 3;
    options.vms_per_pool = 4;
    options.proxies = true;
    return options;
}

// Guards against a break anywhere on the way from caller to target and back.
TEST(requests, calls_and_deferred_requests_reach_a_target)
{
    deployment deployment(small_deployment());
    deployment.start();
    for (int entry = 0; entry < 3; ++entry) {
        const auto token = "call-" + std::to_string(entry);
        const auto answer = deployment.call(entry, "rounds", urgent, body(token));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200) << answer->body;
        EXPECT_EQ(json::parse(answer->body).at("token"), token);
        EXPECT_EQ(outcome_of(answer), "answered");
    }
    ASSERT_EQ(defer(deployment, 0, "deferred-1", false)->status, 202);
    EXPECT_TRUE(eventually([&] { return state_of(deployment, 1, "deferred-1") == "answered"; }));
    const auto answer =
        deployment.request(deployment.caller_address(2), "GET", "/v1/requests/deferred-1/answer");
    ASSERT_TRUE(answer);
    EXPECT_EQ(json::parse(answer->body, nullptr, false).value("token", ""), "deferred-1");
    EXPECT_EQ(deployment.ledger()["deferred-1"].starts, 1);
}

// Guards against two executions when the same key is submitted through several entries at once.
TEST(requests, same_key_through_all_entries_runs_once)
{
    deployment deployment(small_deployment());
    deployment.start();
    for (int round = 0; round < 10; ++round) {
        const auto token = "key-" + std::to_string(round);
        std::vector<std::thread> callers;
        callers.reserve(3);
        for (int entry = 0; entry < 3; ++entry) {
            callers.emplace_back([&, entry] {
                deployment.call(entry, "rounds", with(urgent, "Idempotency-Key", token),
                                body(token, 50));
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
    }
    for (const auto& [token, execution] : deployment.ledger()) {
        EXPECT_EQ(execution.starts, 1) << token;
    }
}

// Guards against "not run" for a request that a target received, against part answers, and against
// reuse of a connection on which an exchange failed.
TEST(requests, lost_and_cut_answers_are_unknown_never_partial)
{
    deployment deployment(small_deployment());
    deployment.start();
    // The answer has about 2 kB: the cuts are in its head and in its body.
    constexpr int cut_in_head = 50;
    constexpr int cut_in_body = 1000;
    const std::vector<std::pair<std::string, int>> faults = {
        {"drop_answer", 0}, {"cut_answer", cut_in_head}, {"cut_answer", cut_in_body}};
    for (const auto& [fault, cut_after] : faults) {
        for (const auto& vm : deployment.vms()) {
            deployment.proxy_control("target-" + vm, {{"fault", fault}, {"cut_after", cut_after}});
        }
        for (int i = 0; i < 10; ++i) {
            const auto token = fault + std::to_string(cut_after) + "-" + std::to_string(i);
            const auto content =
                json{{"token", token}, {"work_ms", 5}, {"answer_bytes", 2000}}.dump();
            const auto answer = deployment.call(i % 3, "rounds", urgent, content);
            ASSERT_TRUE(answer);
            EXPECT_EQ(outcome_of(answer), "unknown") << answer->body;
        }
        for (const auto& vm : deployment.vms()) {
            deployment.proxy_control("target-" + vm, {{"fault", "none"}});
        }
    }
    for (const auto& [token, execution] : deployment.ledger()) {
        EXPECT_EQ(execution.starts, 1) << token;
    }
}

// Guards against waiting forever on connections that went silent while new ones work.
TEST(requests, silent_connections_are_replaced)
{
    deployment deployment(small_deployment());
    deployment.start();
    const auto headers = with(with(urgent, "Jl-Timeout-Ms", "1000"), "Jl-Idempotent", "true");
    for (int i = 0; i < 20; ++i) {
        deployment.call(0, "rounds", headers, body("warm-" + std::to_string(i)));
    }
    for (const auto& vm : deployment.vms()) {
        deployment.proxy_action("target-" + vm, "silence-existing");
    }
    EXPECT_TRUE(eventually([&] {
        for (int i = 0; i < 20; ++i) {
            const auto answer = deployment.call(0, "rounds", headers, body(new_id()));
            if (outcome_of(answer) != "answered") {
                return false;
            }
        }
        return true;
    }));
}

// Guards against a service that depends on the store for work that needs none, and against work
// that is accepted without being durable.
TEST(requests, store_outage_refuses_only_what_needs_the_store)
{
    deployment deployment(small_deployment());
    deployment.start();
    ASSERT_EQ(defer(deployment, 0, "before", false)->status, 202);
    deployment.store_fault({{"fault", "unavailable"}});
    for (int i = 0; i < 10; ++i) {
        const auto token = "during-" + std::to_string(i);
        EXPECT_EQ(outcome_of(deployment.call(i % 3, "rounds", urgent, body(token))), "answered");
    }
    const auto keyed =
        deployment.call(0, "rounds", with(urgent, "Idempotency-Key", "keyed"), body("keyed"));
    EXPECT_EQ(outcome_of(keyed), "not-run");
    EXPECT_EQ(outcome_of(defer(deployment, 1, "refused", false)), "not-run");
    deployment.store_fault({{"fault", "none"}});
    EXPECT_TRUE(eventually([&] { return state_of(deployment, 2, "before") == "answered"; }));
    const auto ledger = deployment.ledger();
    EXPECT_EQ(ledger.count("keyed"), 0U);
    EXPECT_EQ(ledger.count("refused"), 0U);
    EXPECT_EQ(ledger.at("before").starts, 1);
}

// Guards against the loss of accepted work with its entry, and against a second run of
// non-idempotent work by the entry that takes over.
TEST(requests, deferred_work_survives_entries)
{
    deployment deployment(small_deployment());
    deployment.start();
    std::set<std::string> accepted;
    for (int i = 0; i < 60; ++i) {
        const auto token = "kept-" + std::to_string(i);
        const auto answer = defer(deployment, i % 3, token, i % 2 == 0, 100);
        if (answer && answer->status == 202) {
            accepted.insert(token);
        }
        if (i == 40) {
            // Otherwise no entry would have started work that the next one must not repeat.
            ASSERT_TRUE(eventually([&] { return !deployment.ledger().empty(); }));
            deployment.entry(0).kill();
            deployment.entry(1).kill();
            deployment.entry(2).kill();
            deployment.restart_entry(0);
            deployment.restart_entry(2);
        }
    }
    EXPECT_GE(accepted.size(), 41U);
    for (const auto& token : accepted) {
        EXPECT_TRUE(eventually(
            [&] {
                const auto state = state_of(deployment, 0, token);
                return state == "answered" || state == "unknown";
            },
            40s))
            << token << " is " << state_of(deployment, 0, token);
    }
    const auto ledger = deployment.ledger();
    for (int i = 1; i < 60; i += 2) {
        const auto found = ledger.find("kept-" + std::to_string(i));
        if (found != ledger.end()) {
            EXPECT_EQ(found->second.starts, 1) << found->first;
        }
    }
}

// Guards against a holder that was paused past its lease and runs its work a second time.
TEST(requests, paused_owner_does_not_repeat_work)
{
    deployment deployment(small_deployment());
    deployment.start();
    for (int i = 0; i < 30; ++i) {
        ASSERT_EQ(defer(deployment, i % 3, "paused-" + std::to_string(i), false, 200)->status, 202);
    }
    ASSERT_TRUE(eventually([&] { return !deployment.ledger().empty(); }));
    for (int entry = 0; entry < 3; ++entry) {
        deployment.entry(entry).pause();
    }
    // All leases (5 s) expire while every holder is paused.
    EXPECT_TRUE(eventually([&] {
        const auto owners = deployment.store().range({"/jl/owners/", "/jl/owners0", 0},
                                                     std::chrono::steady_clock::now() + 5s);
        return owners && owners->items.empty();
    }));
    for (int entry = 0; entry < 3; ++entry) {
        deployment.entry(entry).resume();
    }
    for (int i = 0; i < 30; ++i) {
        const auto token = "paused-" + std::to_string(i);
        EXPECT_TRUE(eventually(
            [&] {
                const auto state = state_of(deployment, 0, token);
                return state == "answered" || state == "unknown";
            },
            40s))
            << token;
    }
    for (const auto& [token, execution] : deployment.ledger()) {
        EXPECT_LE(execution.starts, 1) << token;
    }
}

// Guards against requests with damaged or missing parts that reach a target, and against errors
// that do not say what was wrong.
TEST(requests, malformed_requests_are_named)
{
    deployment deployment(small_deployment());
    deployment.start();
    struct fault {
        std::string header;
        std::string value;
        std::string field;
    };
    const std::vector<fault> faults = {
        {"Jl-Class", "soon", "Jl-Class"},
        {"Jl-Timeout-Ms", "-5", "Jl-Timeout-Ms"},
        {"Jl-Timeout-Ms", "999999999", "Jl-Timeout-Ms"},
        {"Jl-Idempotent", "maybe", "Jl-Idempotent"},
        {"Jl-Team", "nobody", "Jl-Team"},
        {"Idempotency-Key", std::string(500, 'k'), "Idempotency-Key"}};
    for (const auto& fault : faults) {
        const auto answer =
            deployment.call(0, "rounds", with(urgent, fault.header, fault.value), body("bad"));
        ASSERT_TRUE(answer) << fault.header;
        EXPECT_GE(answer->status, 400);
        EXPECT_LT(answer->status, 500);
        EXPECT_EQ(json::parse(answer->body).at("error").at("field"), fault.field);
    }
    const auto missing = deployment.call(0, "round", urgent, body("bad"));
    ASSERT_TRUE(missing);
    EXPECT_EQ(missing->status, 404);
    EXPECT_TRUE(deployment.ledger().empty());
}

} // namespace
} // namespace jl::harness
