// jl-node as real processes against a stand-in of the users' platform.

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "http/client.h"
#include "tests/harness/child_process.h"
#include "tests/harness/deployment.h"
#include "tests/harness/node_settings.h"

namespace jl::harness {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int nodes = 3;

// A platform stand-in and three nodes.
class node_fleet : public ::testing::Test {
protected:
    void SetUp() override
    {
        directory = std::filesystem::temp_directory_path() /
                    ("jl-node-test-" + std::to_string(::getpid()) + "-" +
                     ::testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(directory);
        platform_address = free_endpoint();
        platform =
            std::make_unique<child_process>(std::string(JL_BIN_DIR) + "/jl-standin-users-platform",
                                            std::vector<std::string>{platform_address.to_string()},
                                            (directory / "platform.log").string());
        for (int number = 0; number < nodes; ++number) {
            start_node(number);
        }
        ASSERT_TRUE(eventually([&] { return ready(0) && ready(1) && ready(2); }));
    }

    void TearDown() override
    {
        processes.clear();
        platform.reset();
        if (!HasFailure()) {
            std::filesystem::remove_all(directory);
        }
    }

    void start_node(int number, std::optional<int> grace_s = std::nullopt)
    {
        auto& addresses = node_addresses[number];
        if (addresses.empty()) {
            addresses = {free_endpoint(), free_endpoint(), free_endpoint()};
        }
        const auto path = directory / ("node-" + std::to_string(number) + ".json");
        auto settings = json::parse(
            node_settings("node-" + std::to_string(number),
                          {addresses[0], addresses[1], addresses[2], platform_address}));
        if (grace_s) {
            settings["bounds"]["graceS"] = *grace_s;
        }
        std::ofstream(path) << settings.dump();
        processes[number] = std::make_unique<child_process>(
            std::string(JL_BIN_DIR) + "/jl-node",
            std::vector<std::string>{"--settings", path.string()},
            (directory / ("node-" + std::to_string(number) + ".log")).string());
    }

    static http::request make_request(const std::string& method, const std::string& target,
                                      const std::string& body)
    {
        http::request request;
        request.method = method;
        request.target = target;
        request.headers["Host"] = "plans.example";
        request.body = body;
        return request;
    }

    static std::optional<http::response> send(const endpoint& server, const std::string& method,
                                              const std::string& target,
                                              const std::string& body = "")
    {
        http::client client(server, {});
        return client.exchange(make_request(method, target, body),
                               std::chrono::steady_clock::now() + 4s);
    }

    // Returns the status of a query for the queue with this key, on the client's connection.
    static int status_with_key(http::client& client, const std::string& key)
    {
        auto request = make_request("GET", "/plans/", "");
        request.headers["X-Credential"] = key;
        const auto answer = client.exchange(request, std::chrono::steady_clock::now() + 4s);
        return answer ? answer->status : 0;
    }

    void publish_keys(int version, const std::vector<std::string>& keys) const
    {
        const json team = {{"name", "north"}, {"apiKeys", keys}, {"weight", 5}};
        const json command = {{"config_version", version}, {"teams", {team}}};
        send(platform_address, "POST", "/standin/control", command.dump());
    }

    bool ready(int number) const
    {
        const auto answer = send(node_addresses.at(number)[1], "GET", "/api/readiness");
        return answer && answer->status == 200;
    }

    std::string state(int number, const std::string& id) const
    {
        const auto answer = send(node_addresses.at(number)[0], "GET", "/plans/" + id);
        if (!answer || answer->status != 200) {
            return "";
        }
        return json::parse(answer->body).value("state", "");
    }

    std::optional<http::response> try_submit(int number, const std::string& id) const
    {
        const json step = {
            {"count", 3}, {"cpu", 2000}, {"memoryRequestMb", 1024}, {"estimatedMs", 300}};
        auto second = step;
        second["after"] = {0};
        const json job = {{"specification", "plan"}, {"steps", {step, second}}};
        return send(node_addresses.at(number)[0], "POST", "/plans/" + id, job.dump());
    }

    int submit(int number, const std::string& id) const
    {
        const auto answer = try_submit(number, id);
        return answer ? answer->status : 0;
    }

    // Returns the seconds after which a refused submission should be repeated; 0 if it is not
    // refused.
    int refused_for(int number, const std::string& id) const
    {
        const auto answer = try_submit(number, id);
        const auto after = answer && answer->status == 503
                               ? http::find_header(answer->headers, "Retry-After")
                               : std::nullopt;
        return after ? std::stoi(*after) : 0;
    }

    // Number of the node that leads, by its metrics; -1 if none.
    int leader() const
    {
        for (int number = 0; number < nodes; ++number) {
            const auto answer = send(node_addresses.at(number)[2], "GET", "/metrics");
            if (answer && answer->body.find("\njl_leader 1") != std::string::npos) {
                return number;
            }
        }
        return -1;
    }

    json report() const
    {
        const auto answer = send(platform_address, "GET", "/standin/report");
        return answer ? json::parse(answer->body) : json();
    }

    std::filesystem::path directory;
    endpoint platform_address;
    std::unique_ptr<child_process> platform;
    std::map<int, std::vector<endpoint>> node_addresses; // callers, readiness, other processes
    std::map<int, std::unique_ptr<child_process>> processes;
};

TEST_F(node_fleet, job_submitted_at_one_node_is_completed_and_known_at_all)
{
    const std::string id = "00000000000000a1";
    ASSERT_TRUE(eventually([&] { return submit(1, id) == 200; }));
    for (int number = 0; number < nodes; ++number) {
        EXPECT_TRUE(eventually([&] { return state(number, id) == "completed"; })) << number;
    }
    EXPECT_EQ(submit(2, id), 200);
    const auto seen = report();
    EXPECT_EQ(seen["starts"].size(), 6U);
    for (const auto& [task, starts] : seen["starts"].items()) {
        EXPECT_EQ(starts, 1) << task;
    }
    EXPECT_TRUE(seen["violations"].empty());
}

TEST_F(node_fleet, unknown_queue_and_unknown_job_are_told_apart)
{
    ASSERT_TRUE(eventually([&] { return submit(0, "00000000000000a2") == 200; }));
    const auto server = node_addresses.at(0)[0];
    EXPECT_EQ(send(server, "GET", "/nothing/00000000000000a1")->status, 404);
    EXPECT_EQ(send(server, "GET", "/plans/00000000000000ff")->status, 410);
    EXPECT_EQ(send(server, "DELETE", "/plans/00000000000000ff")->status, 410);
    EXPECT_EQ(send(server, "POST", "/plans/00000000000000ff", "no json")->status, 400);
    EXPECT_EQ(send(server, "GET", "/plans/")->status, 200);
}

// The leader is killed or paused while jobs run: they are completed under another one, and no task
// runs twice.
TEST_F(node_fleet, jobs_survive_the_leader)
{
    std::vector<std::string> ids;
    for (int number = 0; number < 12; ++number) {
        ids.push_back("00000000000000b" + std::string(1, "0123456789ab"[number]));
        ASSERT_TRUE(eventually([&] { return submit(number % nodes, ids.back()) == 200; }));
    }
    ASSERT_TRUE(eventually([&] { return leader() >= 0; }));
    const int first = leader();
    processes[first]->kill();
    const int other = (first + 1) % nodes;
    for (const auto& id : ids) {
        EXPECT_TRUE(eventually([&] { return state(other, id) == "completed"; })) << id;
    }
    start_node(first);
    ASSERT_TRUE(eventually([&] { return ready(first) && leader() >= 0; }));
    const int second = leader();
    ASSERT_TRUE(eventually([&] { return submit(first, "00000000000000c1") == 200; }));
    processes[second]->pause();
    std::this_thread::sleep_for(3s);
    processes[second]->resume();
    for (int number = 0; number < nodes; ++number) {
        EXPECT_TRUE(eventually([&] { return state(number, "00000000000000c1") == "completed"; }));
    }
    EXPECT_TRUE(report()["violations"].empty()) << report()["violations"].dump();
}

TEST_F(node_fleet, leader_hands_over_when_it_is_stopped)
{
    ASSERT_TRUE(eventually([&] { return submit(0, "00000000000000d1") == 200; }));
    const int first = leader();
    ASSERT_GE(first, 0);
    EXPECT_EQ(processes[first]->terminate(), 0);
    processes.erase(first);
    const int other = (first + 1) % nodes;
    EXPECT_TRUE(eventually([&] { return state(other, "00000000000000d1") == "completed"; }));
}

// Guards against a request that a stopping node takes on an open connection and that ends with the
// process, without an answer, because no leader is left to be asked.
TEST_F(node_fleet, stopping_nodes_answer_each_request_before_they_end)
{
    for (int number = 0; number < nodes; ++number) {
        processes[number]->terminate();
        start_node(number, 2);
    }
    ASSERT_TRUE(eventually([&] { return ready(0) && ready(1) && ready(2); }));
    std::atomic<int> answered = 0;
    std::array<std::optional<http::response>, nodes> last_answers;
    std::vector<std::thread> callers;
    callers.reserve(nodes);
    for (int number = 0; number < nodes; ++number) {
        callers.emplace_back([&, number] {
            http::client client(node_addresses.at(number)[0], {});
            auto& answer = last_answers.at(static_cast<std::size_t>(number));
            do {
                answer = client.exchange(make_request("GET", "/plans/", ""),
                                         std::chrono::steady_clock::now() + 4s);
                ++answered;
            } while (answer && http::find_header(answer->headers, "Connection") != "close");
        });
    }
    EXPECT_TRUE(eventually([&] { return answered > nodes; }));
    for (int number = 0; number < nodes; ++number) {
        EXPECT_EQ(::kill(processes[number]->pid(), SIGTERM), 0);
    }
    for (auto& caller : callers) {
        caller.join();
    }
    for (int number = 0; number < nodes; ++number) {
        EXPECT_TRUE(last_answers.at(static_cast<std::size_t>(number))) << number;
        EXPECT_EQ(processes[number]->wait_for_exit(), 0) << number;
    }
}

// Guards against an entry of another writer, or a submission, that ends each process that reads it,
// or stops the leader from following the list of workers.
TEST_F(node_fleet, odd_entries_and_submissions_change_nothing)
{
    ASSERT_TRUE(eventually([&] { return submit(0, "00000000000000f1") == 200; }));
    send(platform_address, "POST", "/standin/control", R"({"odd_entries": true})");
    const std::string lists = std::string(100000, '[') + std::string(100000, ']');
    const auto refused = send(node_addresses.at(1)[0], "POST", "/plans/00000000000000f2",
                              R"({"steps":[{"count":1,"after":)" + lists + "}]}");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 400);
    const int first = leader();
    ASSERT_GE(first, 0);
    processes[first]->kill(); // the next leader reads all entries anew
    const int other = (first + 1) % nodes;
    ASSERT_TRUE(eventually([&] { return submit(other, "00000000000000f3") == 200; }));
    EXPECT_TRUE(eventually([&] { return state(other, "00000000000000f3") == "completed"; }));
    for (int number = 0; number < nodes; ++number) {
        EXPECT_EQ(processes[number]->running(), number != first) << number;
    }
    EXPECT_TRUE(report()["violations"].empty()) << report()["violations"].dump();
}

// Guards against keys that are not checked, that connections opened before a change still use, or
// that are known to some nodes only. The last one would also let a revoked key in after a restart.
TEST_F(node_fleet, keys_come_and_go_on_open_connections_at_every_node)
{
    publish_keys(2, {"first"});
    std::vector<std::unique_ptr<http::client>> clients;
    for (int number = 0; number < nodes; ++number) {
        clients.push_back(
            std::make_unique<http::client>(node_addresses.at(number)[0], http::client_limits{}));
        auto& client = *clients.back();
        EXPECT_TRUE(eventually([&] { return status_with_key(client, "unknown") == 401; }));
        EXPECT_EQ(status_with_key(client, "first"), 200) << number;
        EXPECT_EQ(status_with_key(client, ""), 401) << number;
    }
    publish_keys(3, {"first", "second"});
    EXPECT_TRUE(eventually([&] { return status_with_key(*clients[0], "second") == 200; }));
    for (auto& client : clients) {
        EXPECT_EQ(status_with_key(*client, "second"), 200);
        EXPECT_EQ(status_with_key(*client, "first"), 200);
    }
    publish_keys(4, {"second"});
    EXPECT_TRUE(eventually([&] { return status_with_key(*clients[0], "first") == 401; }));
    for (auto& client : clients) {
        EXPECT_EQ(status_with_key(*client, "first"), 401);
        EXPECT_EQ(status_with_key(*client, "second"), 200);
    }
    const int first = leader();
    ASSERT_GE(first, 0);
    processes[first]->kill();
    const int other = (first + 1) % nodes;
    ASSERT_TRUE(eventually([&] { return status_with_key(*clients[other], "second") == 200; }));
    EXPECT_EQ(status_with_key(*clients[other], "first"), 401);
}

// Load pattern: the platform is away for seconds. Guards against telling all callers one second,
// whatever the outage: they used up their tries before the service returned.
TEST_F(node_fleet, refused_callers_are_asked_back_later_the_longer_the_outage_lasts)
{
    ASSERT_TRUE(eventually([&] { return submit(0, "00000000000000e1") == 200; }));
    platform->pause();
    EXPECT_TRUE(eventually([&] { return refused_for(1, "00000000000000e2") >= 4; }));
    platform->resume();
    EXPECT_TRUE(eventually([&] { return submit(1, "00000000000000e3") == 200; }));
    EXPECT_TRUE(report()["violations"].empty()) << report()["violations"].dump();
}

} // namespace
} // namespace jl::harness
