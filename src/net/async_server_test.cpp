#include <atomic>
#include <cerrno>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/async_server.h"
#include "net/event_loop.h"
#include "net/unique_fd.h"

namespace jl::net {
namespace {

using namespace std::chrono_literals;

// A blocking client connection. Reads give up after 10 s.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval timeout{10, 0};
        setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), // NOLINT: socket API
                  sizeof address);
    }

    void send(const std::string& bytes)
    {
        ::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Returns what has been received when it contains `count` responses with a one-line body, or
    // when the server closes the connection.
    std::string receive(int count)
    {
        std::string received;
        while (responses_in(received) < count) {
            char chunk[4096]; // NOLINT: filled by recv
            const auto size = ::recv(socket_.get(), chunk, sizeof chunk, 0);
            if (size <= 0) {
                break;
            }
            received.append(chunk, static_cast<std::size_t>(size));
        }
        return received;
    }

    // True once the server has closed the connection.
    bool closed_by_server()
    {
        char byte = 0;
        return ::recv(socket_.get(), &byte, 1, 0) == 0 || errno == ECONNRESET;
    }

private:
    static int responses_in(const std::string& text)
    {
        int count = 0;
        for (auto at = text.find("END"); at != std::string::npos; at = text.find("END", at + 1)) {
            ++count;
        }
        return count;
    }

    unique_fd socket_;
};

std::string get(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string post(std::size_t length, const std::string& body)
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
           body;
}

// A server whose loop runs on its own thread.
class async_server_test : public ::testing::Test {
protected:
    void start(const async_server_limits& limits, async_handler handler)
    {
        server_ = std::make_unique<async_server>(loop, endpoint{"127.0.0.1", 0}, limits,
                                                 std::move(handler));
        // The loop is stopped from its own thread, because it is not thread-safe.
        check_stop();
        thread_ = std::thread([this] { loop.run(); });
    }

    void TearDown() override
    {
        stop_ = true;
        thread_.join();
    }

    static async_handler echo_target()
    {
        return [](const http::request& request, const responder& respond) {
            respond(http::json_response(200, request.target + " END"));
        };
    }

    raw_client connect() const { return raw_client(server_->port()); }

    event_loop loop;

private:
    void check_stop()
    {
        loop.call_after(5ms, [this] {
            if (stop_) {
                loop.stop();
                return;
            }
            check_stop();
        });
    }

    std::unique_ptr<async_server> server_;
    std::thread thread_;
    std::atomic<bool> stop_ = false;
};

// Guards against requests that were received before the last response was sent and that are never
// handled, or handled out of order.
TEST_F(async_server_test, pipelined_requests_are_answered_in_order)
{
    start({}, echo_target());
    auto client = connect();
    constexpr int requests = 2000; // more than one chunk
    std::string bytes;
    for (int number = 0; number < requests; ++number) {
        bytes += get("/" + std::to_string(number));
    }
    std::thread sender([&] { client.send(bytes); });
    const auto received = client.receive(requests);
    sender.join();
    std::size_t at = 0;
    for (int number = 0; number < requests; ++number) {
        at = received.find("/" + std::to_string(number) + " END", at);
        ASSERT_NE(at, std::string::npos) << number;
    }
}

// Guards against reads that stay paused: the second part of a request arrives after the first one
// was found to be incomplete behind an earlier request.
TEST_F(async_server_test, request_that_follows_in_parts_is_answered)
{
    start({}, echo_target());
    auto client = connect();
    const auto second = get("/second");
    client.send(get("/first") + second.substr(0, 10));
    EXPECT_NE(client.receive(1).find("/first END"), std::string::npos);
    client.send(second.substr(10));
    EXPECT_NE(client.receive(1).find("/second END"), std::string::npos);
}

// Guards against a busy connection whose client has left that is kept until the response.
TEST_F(async_server_test, connection_is_closed_when_its_client_leaves_during_a_request)
{
    async_server_limits limits;
    limits.max_connections = 1;
    std::promise<void> received;
    responder pending; // used on the loop's thread only
    start(limits, [&](const http::request& request, const responder& respond) {
        if (request.target == "/wait") {
            pending = respond;
            received.set_value();
            return;
        }
        respond(http::json_response(200, "END"));
    });
    {
        auto leaving = connect();
        leaving.send(get("/wait"));
        received.get_future().wait();
        // The connection is busy, so it is not replaced by another one.
        EXPECT_TRUE(connect().closed_by_server());
    }
    for (int attempt = 0; attempt < 1000; ++attempt) {
        auto next = connect();
        next.send(get("/next"));
        if (!next.receive(1).empty()) {
            return;
        }
    }
    FAIL() << "the connection of the client that has left is still open";
}

// Guards against clients that occupy all connections without a request.
TEST_F(async_server_test, new_connection_replaces_the_least_active_one)
{
    async_server_limits limits;
    limits.max_connections = 2;
    start(limits, echo_target());
    auto first = connect();
    first.send(get("/1"));
    first.receive(1);
    auto second = connect();
    second.send(get("/2"));
    second.receive(1);
    auto third = connect();
    third.send(get("/3"));
    EXPECT_NE(third.receive(1).find("/3 END"), std::string::npos);
    EXPECT_TRUE(first.closed_by_server());
    second.send(get("/4"));
    EXPECT_NE(second.receive(1).find("/4 END"), std::string::npos);
}

// Guards against partial requests whose sum is not bounded, and against complete requests that are
// refused because of them.
TEST_F(async_server_test, oldest_partial_request_gives_way)
{
    async_server_limits limits;
    limits.max_buffered_bytes = 46000; // two of the partial requests and one whole request
    start(limits, echo_target());
    auto first = connect();
    first.send(post(20000, std::string(16000, 'x')));
    auto second = connect();
    second.send(post(20000, std::string(16000, 'x')));
    auto third = connect();
    third.send(post(20000, std::string(16000, 'x')));
    EXPECT_TRUE(first.closed_by_server());
    second.send(std::string(4000, 'x'));
    EXPECT_NE(second.receive(1).find("/p END"), std::string::npos);
}

// Guards against requests being handled whose sum is not bounded. The refused one must not have
// reached the handler.
TEST_F(async_server_test, request_beyond_the_memory_limit_is_refused_with_503)
{
    async_server_limits limits;
    limits.max_buffered_bytes = 40000; // of which the requests being handled may take half
    std::atomic<int> handled = 0;
    std::promise<void> first_received;
    responder respond_to_first; // used on the loop's thread only
    start(limits, [&](const http::request& request, const responder& respond) {
        ++handled;
        if (request.method == "POST") {
            respond_to_first = respond;
            first_received.set_value();
            return;
        }
        if (request.target == "/release") {
            respond_to_first(http::json_response(200, "END"));
        }
        respond(http::json_response(200, "END"));
    });
    auto first = connect();
    first.send(post(14000, std::string(14000, 'x')));
    first_received.get_future().wait();
    auto second = connect();
    second.send(post(14000, std::string(14000, 'x')));
    second.send(get("/release") + get("/after"));
    const auto answers = second.receive(2);
    EXPECT_EQ(answers.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(answers.find("Retry-After: 1"), std::string::npos);
    EXPECT_EQ(handled, 3); // the first request, "/release" and "/after"
    EXPECT_NE(first.receive(1).find("END"), std::string::npos);
}

// Guards against a client that sends one byte now and then, which renews the idle timeout.
TEST_F(async_server_test, request_that_is_not_complete_in_time_is_dropped)
{
    async_server_limits limits;
    limits.idle_timeout = 400ms;
    limits.max_receive_time = 600ms;
    start(limits, echo_target());
    auto client = connect();
    client.send("GET /");
    std::atomic<bool> closed = false;
    std::thread sender([&] {
        while (!closed) {
            client.send("x");
            std::this_thread::sleep_for(50ms);
        }
    });
    EXPECT_TRUE(client.closed_by_server());
    closed = true;
    sender.join();
}

} // namespace
} // namespace jl::net
