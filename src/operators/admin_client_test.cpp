#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "http/server.h"
#include "operators/admin_client.h"
#include "operators/test_support.h"

namespace jl::operators {
namespace {

using namespace std::chrono_literals;
using testing::make_document;

// An administration API behind a real HTTP server on the loopback interface.
class admin_over_http : public ::testing::Test {
protected:
    endpoint address() const { return {"127.0.0.1", server.port()}; }

    testing::manual_clock clock;
    testing::losing_store store{clock};
    testing::fake_observer observer;
    jl::metrics metrics;
    admin_api api{store,   observer,
                  clock,   testing::make_registry(),
                  metrics, {testing::fast_configuration(), testing::fast_control()}};
    http::server server{
        {"127.0.0.1", 0}, {}, [this](const http::request& request) { return api.handle(request); }};
};

// Guards against an unreachable jl-admin keeping operators from their work.
TEST_F(admin_over_http, uses_the_next_server_if_one_is_unreachable)
{
    // Nothing listens on port 1.
    http_admin_transport transport({{"127.0.0.1", 1}, address()}, 10s);
    admin_client client(transport, "ann.secret");
    const auto answer = client.publish(make_document(), 0, "w1");
    ASSERT_TRUE(answer) << client.last_error().message;
    EXPECT_EQ(answer->status, 200) << answer->body;

    http_admin_transport nowhere({{"127.0.0.1", 1}}, 10s);
    admin_client cut_off(nowhere, "ann.secret");
    EXPECT_FALSE(cut_off.get("/v1/status"));
    EXPECT_EQ(cut_off.last_error().code, transport_error_code::not_sent);
}

// Gives one answer to each attempt; none stands for a lost one.
class scripted_transport final : public admin_transport {
public:
    explicit scripted_transport(std::vector<std::optional<int>> statuses)
        : statuses_(std::move(statuses))
    {
    }
    std::optional<http::response> exchange(const http::request& /*request*/) override
    {
        const auto status = statuses_.at(std::min(next_++, statuses_.size() - 1));
        return status ? std::optional(http::json_response(*status, "{}")) : std::nullopt;
    }
    transport_error last_error() const override
    {
        return {transport_error_code::outcome_unknown, "lost"};
    }

private:
    std::vector<std::optional<int>> statuses_;
    std::size_t next_ = 0;
};

// Guards against "nothing was changed" when only a repetition changed nothing.
TEST(admin_client, unavailable_after_a_lost_answer_leaves_the_outcome_open)
{
    for (const auto& first : {std::optional<int>(), std::optional(504)}) {
        scripted_transport transport({first, 503});
        admin_client client(transport, "ann.secret");
        EXPECT_FALSE(client.publish(make_document(), 0, "w1"));
        EXPECT_EQ(client.last_error().code, transport_error_code::outcome_unknown);
    }
    scripted_transport unavailable({503});
    admin_client client(unavailable, "ann.secret");
    const auto answer = client.publish(make_document(), 0, "w1");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
}

// Guards against lost or doubled generations when many operators publish at once: each generation
// has one winner, and every other attempt is told that it lost.
TEST_F(admin_over_http, simultaneous_publishes_have_one_winner_each)
{
    constexpr int operators = 4;
    constexpr int attempts = 10;
    std::atomic<int> published{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (int index = 0; index < operators; ++index) {
        threads.emplace_back([&, index] {
            http_admin_transport transport({address()}, 30s);
            admin_client client(transport, index % 2 == 0 ? "ann.secret" : "bob.secret");
            for (int attempt = 0; attempt < attempts; ++attempt) {
                const auto answer =
                    client.publish(make_document(4 + index), attempt,
                                   std::to_string(index) + "-" + std::to_string(attempt));
                if (answer && answer->status == 200) {
                    ++published;
                }
                else if (answer && answer->status == 409) {
                    ++refused;
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(published + refused, operators * attempts);
    configuration_service service(store, clock, testing::fast_configuration());
    const auto current = service.current();
    ASSERT_TRUE(current);
    EXPECT_EQ(current->generation, published);
    EXPECT_EQ(service.history(100)->size(), static_cast<std::size_t>(published));
}

} // namespace
} // namespace jl::operators
