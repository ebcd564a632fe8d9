// Configuration, membership and leaving targets through real processes.

#include <atomic>
#include <map>
#include <thread>

#include <gtest/gtest.h>

#include "tests/harness/deployment.h"

namespace jl::harness {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

const http::header_map headers = {{"Jl-Team", "planning"}, {"Jl-Class", "normal"}};

deployment_options proxied_deployment()
{
    deployment_options options;
    options.entries = 3;
    options.vms_per_pool = 4;
    options.proxies = true;
    options.list_lag = 300ms;
    return options;
}

// Generation that judged a call through this entry; 0 if it was refused.
std::int64_t generation_at(const deployment& deployment, int entry)
{
    const auto answer = deployment.call(entry, "rounds", headers, R"({"work_ms": 1})");
    if (!answer) {
        return 0;
    }
    return std::stoll(http::find_header(answer->headers, "Jl-Generation").value_or("0"));
}

int executions_on(const deployment& deployment, const std::string& vm)
{
    int count = 0;
    for (const auto& [token, execution] : deployment.ledger()) {
        count += execution.vm == vm ? execution.starts : 0;
    }
    return count;
}

// Guards against an entry that keeps an old configuration because its own connection to the store
// is silent, and against one that goes back after a restart.
TEST(entries, configuration_reaches_an_entry_without_the_store)
{
    deployment deployment(proxied_deployment());
    deployment.start();
    // Links and the watches must exist before the cut, or the entry would not know its peers.
    ASSERT_TRUE(eventually([&] {
        const auto metrics = deployment.request(deployment.caller_address(2), "GET", "/metrics");
        return metrics && metrics->body.find("jl_cluster_members_alive 3") != std::string::npos;
    }));
    deployment.proxy_control("store-2", {{"fault", "silent"}});
    const auto generation = deployment.publish(deployment.example_document());
    for (int entry = 0; entry < 3; ++entry) {
        EXPECT_TRUE(eventually([&] { return generation_at(deployment, entry) == generation; }))
            << "entry " << entry;
    }
    deployment.proxy_control("store-2", {{"fault", "none"}});
    deployment.restart_entry(2);
    std::int64_t seen = 0;
    ASSERT_TRUE(eventually([&] {
        seen = generation_at(deployment, 2);
        return seen != 0;
    }));
    EXPECT_EQ(seen, generation);
}

// Guards against a document that no entry can read taking the place of the one in force.
TEST(entries, unreadable_document_changes_nothing)
{
    deployment deployment(proxied_deployment());
    deployment.start();
    EXPECT_EQ(generation_at(deployment, 0), 1);
    deployment.publish(R"({"format": 99, "objects": []})");
    const auto generation = deployment.publish(deployment.example_document());
    for (int entry = 0; entry < 3; ++entry) {
        EXPECT_TRUE(eventually([&] {
            const auto seen = generation_at(deployment, entry);
            EXPECT_TRUE(seen == 1 || seen == generation) << seen;
            return seen == generation;
        }));
    }
}

// Guards against new work for a target that the platform marks as leaving.
TEST(entries, leaving_target_receives_no_new_work)
{
    deployment deployment(proxied_deployment());
    deployment.start();
    const std::string vm = "rounds-1";
    const auto call_all = [&](int count) {
        for (int i = 0; i < count; ++i) {
            const auto answer = deployment.call(i % 3, "rounds", headers, R"({"work_ms": 1})");
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status, 200) << answer->body;
        }
    };
    ASSERT_TRUE(eventually([&] {
        call_all(30);
        return executions_on(deployment, vm) > 0;
    }));
    deployment.request(deployment.platform_address(), "POST", "/v1/vms/" + vm + "/drain",
                       R"({"operation_id": "test"})");
    EXPECT_TRUE(eventually([&] {
        const int before = executions_on(deployment, vm);
        call_all(60);
        return executions_on(deployment, vm) == before;
    }));
    const int before = executions_on(deployment, vm);
    call_all(300);
    EXPECT_EQ(executions_on(deployment, vm), before);
}

// Guards against calls that are cut when an entry is stopped for replacement.
TEST(entries, graceful_stop_answers_calls_in_progress)
{
    deployment deployment(proxied_deployment());
    deployment.start();
    // Few enough to run at once in this entry's share of the slots.
    constexpr int callers = 3;
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const auto body =
                json{{"token", "stop-" + std::to_string(i)}, {"work_ms", 1500}}.dump();
            const auto answer = deployment.call(0, "rounds", headers, body);
            answered += answer && answer->status == 200 ? 1 : 0;
        });
    }
    EXPECT_TRUE(eventually([&] { return deployment.ledger().size() == callers; }));
    EXPECT_EQ(deployment.entry(0).terminate(), 0);
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(answered, callers);
    // Its records are gone at once, so that nothing waits for the expiry of its lease.
    const auto left = deployment.store().range(
        {"/jl/entries/entry-0/", store::prefix_end("/jl/entries/entry-0/"), 0},
        std::chrono::steady_clock::now() + 5s);
    ASSERT_TRUE(left);
    EXPECT_TRUE(left->items.empty());
}

// Guards against an entry that was cut off from everything and goes on sending, though a target may
// be leaving, and against one that does not recover.
TEST(entries, isolated_entry_stops_sending_and_recovers)
{
    deployment deployment(proxied_deployment());
    deployment.start();
    const std::vector<std::string> routes = {"store-0", "peer-0", "peer-1", "peer-2"};
    for (const auto& route : routes) {
        deployment.proxy_control(route, {{"fault", "silent"}});
    }
    EXPECT_TRUE(eventually([&] {
        const auto answer = deployment.call(0, "rounds", headers, R"({"work_ms": 1})");
        return answer && http::find_header(answer->headers, "Jl-Outcome") == "not-run";
    }));
    for (const auto& route : routes) {
        deployment.proxy_control(route, {{"fault", "none"}});
    }
    EXPECT_TRUE(eventually([&] { return generation_at(deployment, 0) == 1; }));
    EXPECT_TRUE(eventually([&] {
        const auto answer = deployment.call(0, "rounds", headers, R"({"work_ms": 1})");
        return answer && answer->status == 200;
    }));
}

} // namespace
} // namespace jl::harness
