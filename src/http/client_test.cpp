#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include "http/client.h"
#include "http/server.h"

namespace jl::http {
namespace {

using namespace std::chrono_literals;

steady_time in(std::chrono::milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

// Accepts one connection, waits for a request head and answers with fixed bytes.
class raw_server {
public:
    explicit raw_server(std::string answer)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_([this, answer = std::move(answer)] {
              auto connection = socket_.acceptConnection();
              std::array<char, 4096> buffer{};
              connection.receiveBytes(buffer.data(), buffer.size());
              connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
          })
    {
    }
    ~raw_server() { thread_.join(); }
    endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }

private:
    Poco::Net::ServerSocket socket_;
    std::thread thread_;
};

client_error_code exchange_error(const std::string& raw_answer)
{
    const raw_server server(raw_answer);
    client client(server.address(), {});
    EXPECT_FALSE(client.exchange({}, in(5s)));
    return client::last_error().code;
}

TEST(client, exchanges_and_reuses_a_connection)
{
    const server server({"127.0.0.1", 0}, {}, [](const request& request) {
        return json_response(200, request.body + request.target);
    });
    client client({"127.0.0.1", server.port()}, {});
    request request;
    request.method = "POST";
    request.target = "/echo";
    request.body = "abc";
    for (int i = 0; i < 3; ++i) {
        const auto answer = client.exchange(request, in(5s));
        ASSERT_TRUE(answer) << client::last_error().message;
        EXPECT_EQ(answer->body, "abc/echo");
    }
    EXPECT_EQ(server.current_connections(), 1);
}

// Guards against passing on half an answer as a whole one.
TEST(client, reports_truncated_answers)
{
    EXPECT_EQ(exchange_error("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"),
              client_error_code::truncated);
    EXPECT_EQ(exchange_error("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
              client_error_code::truncated);
    EXPECT_EQ(exchange_error("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
              client_error_code::truncated);
    EXPECT_EQ(exchange_error("HTTP/1.1 200 OK\r\n\r\nabc"), client_error_code::truncated);
}

// Guards against "not run" being said when the request may have arrived.
TEST(client, tells_refused_connection_from_lost_answer)
{
    client closed({"127.0.0.1", 1}, {});
    EXPECT_FALSE(closed.exchange({}, in(1s)));
    EXPECT_TRUE(client::last_error().not_sent());

    const raw_server server("");
    client client(server.address(), {});
    EXPECT_FALSE(client.exchange({}, in(5s)));
    EXPECT_FALSE(client::last_error().not_sent());
}

// Guards against reading an oversized body into memory.
TEST(server, refuses_oversized_bodies)
{
    server_limits limits;
    limits.max_body_bytes = 10;
    const server server({"127.0.0.1", 0}, limits,
                        [](const request&) { return json_response(200, "{}"); });
    client client({"127.0.0.1", server.port()}, {});
    request request;
    request.method = "POST";
    request.body = std::string(11, 'x');
    const auto answer = client.exchange(request, in(5s));
    ASSERT_TRUE(answer) << client::last_error().message;
    EXPECT_EQ(answer->status, 413);
}

} // namespace
} // namespace jl::http
