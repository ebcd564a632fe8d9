// jl-node against clients that send without end and read nothing, on the loopback interface. The
// tests check what does not depend on the machine's speed: that the processes live, that their
// memory and open descriptors stay within the limits in their settings, and that an ordinary
// request is answered afterwards.

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "http/client.h"
#include "net/unique_fd.h"
#include "tests/harness/child_process.h"
#include "tests/harness/deployment.h"
#include "tests/harness/node_settings.h"

namespace jl::harness {
namespace {

using namespace std::chrono_literals;

constexpr int nodes = 2;

// The limits in the settings of the nodes, which are the bounds of these tests. Much lower than
// those of real VMs, so that a few clients suffice.
constexpr int memory_limit_mb = 48;
constexpr int descriptor_limit = 400;

// The clients of one test.
constexpr int flooding_clients = 4;
constexpr std::size_t flood_bytes_per_client = 24U << 20U;
constexpr int half_sending_clients = 300;
constexpr std::size_t half_sent_bytes_per_client = 200U << 10U;
constexpr int idle_clients = 600; // more than `descriptor_limit`

// A client counts as blocked when the node has taken nothing from it for this long.
constexpr auto blocked_after = 5000ms;

// A connected, non-blocking socket that never reads.
class unread_connection {
public:
    explicit unread_connection(const endpoint& server)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), // NOLINT: socket API
                  sizeof address);
    }

    // Sends `text` again and again until `total` bytes have been sent, the node has closed the
    // connection, or it takes nothing any more. Stops early if `stop` returns true.
    template <typename Predicate>
    void send_repeatedly(const std::string& text, std::size_t total, Predicate stop)
    {
        std::string block;
        while (block.size() < block_bytes) {
            block += text;
        }
        std::size_t sent = 0;
        while (sent < total && !stop()) {
            pollfd descriptor{socket_.get(), POLLOUT, 0};
            if (::poll(&descriptor, 1, static_cast<int>(blocked_after.count())) <= 0) {
                return;
            }
            const auto offset = sent % block.size();
            const auto count =
                ::send(socket_.get(), block.data() + offset, block.size() - offset, MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN && errno != EINTR) {
                return;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
    }

private:
    static constexpr std::size_t block_bytes = 64U << 10U;

    net::unique_fd socket_;
};

// A stand-in of the platform and two nodes with low limits, of which one leads.
class overload_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        std::string name = ::testing::UnitTest::GetInstance()->current_test_info()->name();
        std::replace(name.begin(), name.end(), '/', '-');
        directory = std::filesystem::temp_directory_path() /
                    ("jl-overload-test-" + std::to_string(::getpid()) + "-" + name);
        std::filesystem::create_directories(directory);
        platform_address = free_endpoint();
        platform =
            std::make_unique<child_process>(std::string(JL_BIN_DIR) + "/jl-standin-users-platform",
                                            std::vector<std::string>{platform_address.to_string()},
                                            (directory / "platform.log").string());
        for (int number = 0; number < nodes; ++number) {
            start_node(number);
        }
        ASSERT_TRUE(eventually([&] { return ready(0) && ready(1) && leader() >= 0; }));
        // The first job shows that the node's memory is measured while it does ordinary work.
        ASSERT_TRUE(eventually([&] { return submit(0, "00000000000000a0") == 200; }));
    }

    void TearDown() override
    {
        processes.clear();
        platform.reset();
        if (!HasFailure()) {
            std::filesystem::remove_all(directory);
        }
    }

    void start_node(int number)
    {
        addresses[number] = {free_endpoint(), free_endpoint(), free_endpoint(), platform_address};
        const auto name = "node-" + std::to_string(number);
        const auto path = directory / (name + ".json");
        std::ofstream(path) << node_settings(name, addresses[number],
                                             {memory_limit_mb, descriptor_limit});
        processes.push_back(
            std::make_unique<child_process>(std::string(JL_BIN_DIR) + "/jl-node",
                                            std::vector<std::string>{"--settings", path.string()},
                                            (directory / (name + ".log")).string()));
    }

    static std::optional<http::response> send(const endpoint& server, const std::string& method,
                                              const std::string& target,
                                              const std::string& body = "")
    {
        http::client client(server, {});
        http::request request;
        request.method = method;
        request.target = target;
        request.headers["Host"] = "plans.example";
        request.body = body;
        return client.exchange(request, std::chrono::steady_clock::now() + 4s);
    }

    bool ready(int number) const
    {
        const auto answer = send(addresses[number].readiness, "GET", "/api/readiness");
        return answer && answer->status == 200;
    }

    int leader() const
    {
        for (int number = 0; number < nodes; ++number) {
            const auto answer = send(addresses[number].peers, "GET", "/metrics");
            if (answer && answer->body.find("\njl_leader 1") != std::string::npos) {
                return number;
            }
        }
        return -1;
    }

    int submit(int number, const std::string& id) const
    {
        const nlohmann::json job = {
            {"specification", "plan"},
            {"steps", {{{"count", 2}, {"cpu", 500}, {"memoryRequestMb", 64}}}}};
        const auto answer = send(addresses[number].callers, "POST", "/plans/" + id, job.dump());
        return answer ? answer->status : 0;
    }

    bool over_memory_limit() const
    {
        return std::any_of(processes.begin(), processes.end(), [](const auto& process) {
            return process->resident_mb() > memory_limit_mb;
        });
    }

    // Opens the connections and sends on all of them at once. The connections stay open.
    std::vector<std::unique_ptr<unread_connection>> flood(const endpoint& server, int clients,
                                                          const std::string& text,
                                                          std::size_t bytes_per_client)
    {
        std::vector<std::unique_ptr<unread_connection>> connections;
        connections.reserve(static_cast<std::size_t>(clients));
        for (int client = 0; client < clients; ++client) {
            connections.push_back(std::make_unique<unread_connection>(server));
        }
        std::vector<std::thread> senders;
        senders.reserve(connections.size());
        for (auto& connection : connections) {
            senders.emplace_back([&, connection = connection.get()] {
                connection->send_repeatedly(text, bytes_per_client,
                                            [this] { return over_memory_limit(); });
            });
        }
        for (auto& sender : senders) {
            sender.join();
        }
        return connections;
    }

    void expect_nodes_within_limits()
    {
        for (int number = 0; number < nodes; ++number) {
            ASSERT_TRUE(processes[number]->running()) << number;
            EXPECT_LT(processes[number]->peak_resident_mb(), memory_limit_mb) << number;
            EXPECT_LT(processes[number]->open_descriptors(), descriptor_limit) << number;
        }
    }

    // Checks the nodes while the clients' connections are still open.
    void expect_nodes_work()
    {
        expect_nodes_within_limits();
        for (int number = 0; number < nodes; ++number) {
            const auto id = "00000000000000b" + std::to_string(number);
            EXPECT_TRUE(eventually([&] { return submit(number, id) == 200; })) << number;
            EXPECT_TRUE(eventually([&] { return ready(number); })) << number;
        }
        // By now the nodes have read what had been received before the ordinary requests.
        expect_nodes_within_limits();
    }

    std::filesystem::path directory;
    endpoint platform_address;
    std::unique_ptr<child_process> platform;
    std::array<node_addresses, nodes> addresses;
    std::vector<std::unique_ptr<child_process>> processes;
};

enum class flooded_node { leader, follower };

struct flood_case {
    const char* name;
    flooded_node node;
    endpoint node_addresses::*address;
    const char* request;
};

class request_flood : public overload_test, public ::testing::WithParamInterface<flood_case> {};

// Load pattern: four clients send 24 MB of requests each and read no answer. Guards against answers
// that pile up in memory because the next request is handled before the last answer is sent, and
// against requests that do because a connection is read while its answers wait.
TEST_P(request_flood, stays_within_the_limits)
{
    const auto& flooded = GetParam();
    const int leading = leader();
    ASSERT_GE(leading, 0);
    const int target = flooded.node == flooded_node::leader ? leading : nodes - 1 - leading;
    const auto connections = flood(addresses[target].*(flooded.address), flooding_clients,
                                   flooded.request, flood_bytes_per_client);
    expect_nodes_work();
}

INSTANTIATE_TEST_SUITE_P(
    unread, request_flood,
    ::testing::Values(
        flood_case{"unknown_path_at_the_leader", flooded_node::leader, &node_addresses::callers,
                   "GET /nothing/1 HTTP/1.1\r\nHost: plans.example\r\n\r\n"},
        flood_case{"unknown_path_at_a_follower", flooded_node::follower, &node_addresses::callers,
                   "GET /nothing/1 HTTP/1.1\r\nHost: plans.example\r\n\r\n"},
        flood_case{"no_headers_at_the_leader", flooded_node::leader, &node_addresses::callers,
                   "GET /plans/ HTTP/1.1\r\n\r\n"},
        flood_case{"no_headers_at_a_follower", flooded_node::follower, &node_addresses::callers,
                   "GET /plans/ HTTP/1.1\r\n\r\n"},
        flood_case{"readiness", flooded_node::leader, &node_addresses::readiness,
                   "GET /api/readiness HTTP/1.1\r\nHost: probe\r\n\r\n"},
        flood_case{"known_queue_at_the_leader", flooded_node::leader, &node_addresses::callers,
                   "GET /plans/ HTTP/1.1\r\nHost: plans.example\r\n\r\n"},
        flood_case{"metrics", flooded_node::leader, &node_addresses::peers,
                   "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

// Load pattern: 300 clients send 200 KB of a request and never its end. Guards against received
// bytes whose sum over all connections has no bound.
TEST_F(overload_test, half_sent_requests_stay_within_the_limits)
{
    const std::string half_sent = "POST /plans/00000000000000c1 HTTP/1.1\r\nHost: plans.example\r\n"
                                  "Content-Length: 250000\r\n\r\n" +
                                  std::string(half_sent_bytes_per_client, ' ');
    std::vector<std::unique_ptr<unread_connection>> connections;
    connections.reserve(half_sending_clients);
    for (int client = 0; client < half_sending_clients; ++client) {
        connections.push_back(std::make_unique<unread_connection>(addresses[0].callers));
        connections.back()->send_repeatedly(half_sent, half_sent.size(),
                                            [this] { return over_memory_limit(); });
    }
    expect_nodes_work();
}

// Load pattern: 600 clients connect and send nothing, at a node that may open 400 descriptors.
// Guards against connections that leave no descriptor for ordinary callers, the store and the
// workers.
TEST_F(overload_test, idle_connections_stay_within_the_limits)
{
    std::vector<std::unique_ptr<unread_connection>> connections;
    connections.reserve(idle_clients);
    for (int client = 0; client < idle_clients; ++client) {
        connections.push_back(std::make_unique<unread_connection>(addresses[0].callers));
    }
    expect_nodes_work();
}

} // namespace
} // namespace jl::harness
