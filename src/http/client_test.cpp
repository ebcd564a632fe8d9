#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include "http/client.h"
#include "http/server.h"

namespace jl::http {
namespace {

using namespace std::chrono_literals;

steady_time deadline_in(std::chrono::milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

// Accepts one connection, waits for the first bytes of a request, sends a fixed byte string and
// closes the connection.
class fixed_response_server {
public:
    explicit fixed_response_server(std::string response)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_([this, response = std::move(response)] {
              auto connection = socket_.acceptConnection();
              std::array<char, 4096> buffer{};
              connection.receiveBytes(buffer.data(), buffer.size());
              connection.sendBytes(response.data(), static_cast<int>(response.size()));
          })
    {
    }
    ~fixed_response_server() { thread_.join(); }
    endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }

private:
    Poco::Net::ServerSocket socket_;
    std::thread thread_;
};

client_error_code exchange_error_code(const std::string& response_bytes)
{
    const fixed_response_server server(response_bytes);
    client client(server.address(), {});
    EXPECT_FALSE(client.exchange({}, deadline_in(5s)));
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
        const auto response = client.exchange(request, deadline_in(5s));
        ASSERT_TRUE(response) << client::last_error().message;
        EXPECT_EQ(response->body, "abc/echo");
    }
    EXPECT_EQ(server.current_connections(), 1);
}

// Guards against returning an incomplete response as a complete one.
TEST(client, reports_truncated_responses)
{
    EXPECT_EQ(exchange_error_code("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"),
              client_error_code::truncated);
    EXPECT_EQ(exchange_error_code("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
              client_error_code::truncated);
    EXPECT_EQ(
        exchange_error_code("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
        client_error_code::truncated);
    EXPECT_EQ(exchange_error_code("HTTP/1.1 200 OK\r\n\r\nabc"), client_error_code::truncated);
}

// Guards against not_sent() being true although the server may have received the request.
TEST(client, distinguishes_refused_connection_from_missing_response)
{
    client closed({"127.0.0.1", 1}, {});
    EXPECT_FALSE(closed.exchange({}, deadline_in(1s)));
    EXPECT_TRUE(client::last_error().not_sent());

    const fixed_response_server server("");
    client client(server.address(), {});
    EXPECT_FALSE(client.exchange({}, deadline_in(5s)));
    EXPECT_FALSE(client::last_error().not_sent());
}

// Accepts connections one after the other and answers each request on them with the next of the
// given byte strings. Closes a connection only when the client does.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> responses)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_([this, responses = std::move(responses)] {
              auto connection = socket_.acceptConnection();
              for (const auto& response : responses) {
                  std::array<char, 4096> buffer{};
                  while (connection.receiveBytes(buffer.data(), buffer.size()) <= 0) {
                      connection = socket_.acceptConnection();
                  }
                  connection.sendBytes(response.data(), static_cast<int>(response.size()));
              }
          })
    {
    }
    ~scripted_server() { thread_.join(); }
    endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }

private:
    Poco::Net::ServerSocket socket_;
    std::thread thread_;
};

// Guards against bytes that follow one response being read as the response to the next request.
TEST(client, does_not_take_surplus_bytes_for_the_next_response)
{
    const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    for (const std::string& first :
         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus,
          "HTTP/1.1 204 No Content\r\n\r\n" + surplus,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + surplus}) {
        const scripted_server server({first, second});
        client client(server.address(), {});
        EXPECT_TRUE(client.exchange({}, deadline_in(5s))) << client::last_error().message;
        const auto response = client.exchange({}, deadline_in(5s));
        ASSERT_TRUE(response) << client::last_error().message;
        EXPECT_EQ(response->body, "second") << first;
    }
}

// Guards against running a request of which only a part has arrived.
TEST(server, does_not_run_a_request_with_a_cut_chunked_body)
{
    std::atomic<int> runs{0};
    server_limits limits;
    limits.receive_timeout = 300ms;
    server server({"127.0.0.1", 0}, limits, [&](const request&) {
        ++runs;
        return json_response(200, "{}");
    });
    const std::string head =
        "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string part : {"5\r\nab", "2\r\nab\r\n", "2\r\nab\r\n0"}) {
        for (const bool closes : {true, false}) {
            Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.port()));
            const auto bytes = head + part;
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (closes) {
                socket.shutdownSend();
            }
            socket.setReceiveTimeout(Poco::Timespan(5, 0));
            std::array<char, 4096> buffer{};
            while (socket.receiveBytes(buffer.data(), buffer.size()) > 0) {
            }
            EXPECT_EQ(runs, 0) << part << (closes ? ", closed" : ", silent");
            runs = 0;
        }
    }
}

// Guards against refusing complete chunked bodies.
TEST(server, runs_a_request_with_a_whole_chunked_body)
{
    const server server({"127.0.0.1", 0}, {},
                        [](const request& request) { return json_response(200, request.body); });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.port()));
    const std::string bytes = "POST / HTTP/1.1\r\nConnection: close\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::array<char, 4096> buffer{};
    std::string answer;
    for (int count = 1; count > 0; answer.append(buffer.data(), static_cast<std::size_t>(count))) {
        count = socket.receiveBytes(buffer.data(), buffer.size());
    }
    EXPECT_NE(answer.find("200 OK"), std::string::npos);
    EXPECT_NE(answer.find("abcde"), std::string::npos);
}

// Guards against reading an oversized request body into memory.
TEST(server, rejects_oversized_request_bodies)
{
    server_limits limits;
    limits.max_body_bytes = 10;
    const server server({"127.0.0.1", 0}, limits,
                        [](const request&) { return json_response(200, "{}"); });
    client client({"127.0.0.1", server.port()}, {});
    request request;
    request.method = "POST";
    request.body = std::string(11, 'x');
    const auto response = client.exchange(request, deadline_in(5s));
    ASSERT_TRUE(response) << client::last_error().message;
    EXPECT_EQ(response->status, 413);
}

} // namespace
} // namespace jl::http
