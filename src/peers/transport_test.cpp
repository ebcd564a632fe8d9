#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/WebSocket.h>
#include <gtest/gtest.h>

#include "peers/peer_transport.h"
#include "peers/traffic_budget.h"

namespace jl::peers {
namespace {

using namespace std::chrono_literals;

// Only bounds the duration of a failing test; no verdict depends on its value.
constexpr auto wait_limit = 60s;

class test_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time(1000s) + elapsed.load(); }
    wall_time wall_now() const override { return from_unix(1000s) + elapsed.load(); }
    std::atomic<std::chrono::milliseconds> elapsed{0ms};
};

class recording_events final : public peer_events {
public:
    explicit recording_events(std::string name, std::int64_t incarnation = 1)
        : name_(std::move(name)), incarnation_(incarnation)
    {
    }
    hello describe_self() override { return {version, name_, incarnation_, 0, false}; }
    member_report report(std::chrono::milliseconds& view_age) override
    {
        view_age = 150ms;
        member_report report;
        report.generation = 7;
        return report;
    }
    void on_link_up(const hello& peer) override { record("up " + peer.member); }
    void on_link_down(const std::string& member) override { record("down " + member); }
    void on_pong(const std::string& member, steady_time /*sent_at*/,
                 std::chrono::milliseconds view_age, const member_report& report) override
    {
        record("pong " + member + " " + std::to_string(report.generation) + " " +
               std::to_string(view_age.count()));
    }
    void on_message(const std::string& member, const message& received) override
    {
        record(std::string(type_name(received)) + " " + member);
    }

    // Waits until `text` has been recorded `count` times.
    testing::AssertionResult wait_for(const std::string& text, int count = 1)
    {
        std::unique_lock lock(mutex_);
        if (changed_.wait_for(lock, wait_limit, [&] { return counts_[text] >= count; })) {
            return testing::AssertionSuccess();
        }
        return testing::AssertionFailure() << "no \"" << text << "\"";
    }
    int count(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        return counts_[text];
    }
    int version = protocol_version;

private:
    void record(const std::string& text)
    {
        {
            const std::lock_guard lock(mutex_);
            ++counts_[text];
        }
        changed_.notify_all();
    }

    const std::string name_;
    const std::int64_t incarnation_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, int> counts_;
};

transport_options listening_options()
{
    transport_options options;
    options.listen = endpoint{"127.0.0.1", 0};
    return options;
}

// A connection of a foreign process that speaks WebSocket but not our protocol.
class raw_peer {
public:
    explicit raw_peer(const endpoint& server) : session_(server.address, server.port)
    {
        Poco::Net::HTTPRequest request("GET", "/", "HTTP/1.1");
        Poco::Net::HTTPResponse response;
        socket_ = std::make_unique<Poco::Net::WebSocket>(session_, request, response);
        socket_->setReceiveTimeout(Poco::Timespan(60, 0));
    }
    void send(const std::string& bytes)
    {
        socket_->sendFrame(bytes.data(), static_cast<int>(bytes.size()),
                           Poco::Net::WebSocket::FRAME_BINARY);
    }
    // Reads until the other side closes the connection.
    bool wait_for_close()
    {
        try {
            for (;;) {
                Poco::Buffer<char> buffer(0);
                int flags = 0;
                if (socket_->receiveFrame(buffer, flags) == 0 ||
                    (flags & Poco::Net::WebSocket::FRAME_OP_BITMASK) ==
                        Poco::Net::WebSocket::FRAME_OP_CLOSE) {
                    return true;
                }
            }
        }
        catch (const Poco::TimeoutException&) {
            return false;
        }
        catch (const Poco::Exception&) {
            return true;
        }
    }

private:
    Poco::Net::HTTPClientSession session_;
    std::unique_ptr<Poco::Net::WebSocket> socket_;
};

class transport_fixture : public testing::Test {
protected:
    std::unique_ptr<peer_transport> start(recording_events& events, transport_options options)
    {
        auto transport = make_websocket_transport(clock, counters, std::move(options));
        EXPECT_TRUE(transport->start(events)) << last_error().message;
        return transport;
    }
    void link(peer_transport& from, peer_transport& to)
    {
        from.set_peers({{"entry-2", to.listening()}});
        to.set_peers({{"entry-1", from.listening()}});
    }

    test_clock clock;
    metrics counters;
    recording_events one{"entry-1"};
    recording_events two{"entry-2"};
};

TEST_F(transport_fixture, peers_greet_ping_and_exchange_messages)
{
    const auto first = start(one, listening_options());
    const auto second = start(two, listening_options());
    link(*first, *second);
    EXPECT_TRUE(one.wait_for("up entry-2"));
    EXPECT_TRUE(two.wait_for("up entry-1"));
    EXPECT_TRUE(one.wait_for("pong entry-2 7 150"));
    EXPECT_TRUE(two.wait_for("pong entry-1 7 150"));
    second->send("entry-1", queue_notice{"rounds"}, priority::urgent);
    EXPECT_TRUE(one.wait_for("queue_notice entry-2"));
    first->stop();
    EXPECT_TRUE(two.wait_for("down entry-1"));
}

// Guards against a link that stays silent for ever: it is closed after the limit and dialed anew.
TEST_F(transport_fixture, silent_link_is_replaced)
{
    const auto first = start(one, listening_options());
    const auto second = start(two, listening_options());
    link(*first, *second);
    EXPECT_TRUE(one.wait_for("up entry-2"));
    EXPECT_TRUE(two.wait_for("up entry-1"));
    clock.elapsed = 4000ms;
    EXPECT_TRUE(one.wait_for("down entry-2"));
    // The wait before the new attempt is by the clock as well.
    clock.elapsed = 5000ms;
    EXPECT_TRUE(one.wait_for("up entry-2", 2));
    EXPECT_TRUE(two.wait_for("up entry-1", 2));
}

// Guards against waiting for ever on a connection whose other end never answers the handshake.
TEST_F(transport_fixture, connection_without_answer_is_dialed_again)
{
    Poco::Net::ServerSocket mute(Poco::Net::SocketAddress("127.0.0.1", 0));
    const auto first = start(one, listening_options());
    first->set_peers({{"entry-2", {"127.0.0.1", mute.address().port()}}});
    const auto accepted = mute.acceptConnection();
    clock.elapsed = 4000ms;
    std::atomic<bool> again{false};
    std::thread advance([&] {
        while (!again) {
            clock.elapsed = clock.elapsed.load() + 10ms;
            std::this_thread::sleep_for(1ms);
        }
    });
    const auto second = mute.acceptConnection();
    again = true;
    advance.join();
    EXPECT_NE(accepted.peerAddress().port(), second.peerAddress().port());
}

// Guards against a faulty process that disturbs more than its own link.
TEST_F(transport_fixture, faulty_peers_lose_only_their_own_link)
{
    const auto first = start(one, listening_options());
    const auto second = start(two, listening_options());
    link(*first, *second);
    EXPECT_TRUE(one.wait_for("up entry-2"));
    const auto greeting = encode(hello{protocol_version, "entry-3", 1, 0, false});
    for (const auto& bytes : {std::string("\xff\x00garbage", 9), std::string(4096, '\x81'),
                              encode(hello{protocol_version + 1, "entry-3", 1, 0, false}),
                              encode(queue_notice{"before any hello"})}) {
        raw_peer raw(first->listening());
        raw.send(bytes);
        EXPECT_TRUE(raw.wait_for_close());
    }
    raw_peer greeted(first->listening());
    greeted.send(greeting);
    EXPECT_TRUE(one.wait_for("up entry-3"));
    greeted.send("\x01");
    EXPECT_TRUE(greeted.wait_for_close());
    EXPECT_TRUE(one.wait_for("down entry-3"));
    raw_peer oversized(first->listening());
    try {
        oversized.send(std::string(max_message_bytes + 1, '\0'));
    }
    catch (const Poco::Exception&) {
        // The transport may close the connection while the message is being sent.
    }
    EXPECT_TRUE(oversized.wait_for_close());
    second->send("entry-1", queue_notice{"rounds"}, priority::urgent);
    EXPECT_TRUE(one.wait_for("queue_notice entry-2"));
    EXPECT_EQ(one.count("down entry-2"), 0);
    EXPECT_NE(counters.to_text().find("jl_peer_malformed_messages_total 3"), std::string::npos);
    EXPECT_NE(counters.to_text().find("reason=\"oversized\"} 1"), std::string::npos);
}

// Guards against a paused process that resumes and takes the link of its replacement.
TEST_F(transport_fixture, older_incarnation_does_not_replace_a_link)
{
    const auto first = start(one, listening_options());
    raw_peer replacement(first->listening());
    replacement.send(encode(hello{protocol_version, "entry-3", 20, 0, false}));
    EXPECT_TRUE(one.wait_for("up entry-3"));
    raw_peer resumed(first->listening());
    resumed.send(encode(hello{protocol_version, "entry-3", 10, 0, false}));
    EXPECT_TRUE(resumed.wait_for_close());
    replacement.send(encode(queue_notice{"rounds"}));
    EXPECT_TRUE(one.wait_for("queue_notice entry-3"));
    EXPECT_EQ(one.count("down entry-3"), 0);
}

// Guards the traffic budget: load reports wait for it, configuration and notices do not.
TEST_F(transport_fixture, load_reports_wait_for_the_budget)
{
    auto options = listening_options();
    options.silence_limit = 1h;
    const auto first = start(one, options);
    const auto second = start(two, options);
    link(*first, *second);
    EXPECT_TRUE(two.wait_for("up entry-1"));
    EXPECT_TRUE(one.wait_for("up entry-2"));
    first->send("entry-2", configuration_push{1, std::string(100000, ' ')}, priority::bulk);
    first->send("entry-2", load_report{}, priority::deferrable);
    first->send("entry-2", queue_notice{"rounds"}, priority::urgent);
    EXPECT_TRUE(two.wait_for("queue_notice entry-1"));
    EXPECT_EQ(two.count("configuration entry-1"), 1);
    EXPECT_EQ(two.count("load_report entry-1"), 0);
    clock.elapsed = 60000ms;
    EXPECT_TRUE(two.wait_for("load_report entry-1"));
}

TEST(traffic_budget, limits_the_mean_rate)
{
    traffic_budget budget(1000);
    const steady_time start(100s);
    EXPECT_TRUE(budget.allows(start));
    budget.record(3000, start);
    EXPECT_FALSE(budget.allows(start + 1999ms));
    EXPECT_TRUE(budget.allows(start + 2001ms));
    budget.record(1U << 20U, start + 3s);
    EXPECT_FALSE(budget.allows(start + 7s));
    EXPECT_TRUE(budget.allows(start + 9s));
}

} // namespace
} // namespace jl::peers
