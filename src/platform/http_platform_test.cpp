#include <gtest/gtest.h>

#include "http/server.h"
#include "platform/platform.h"

namespace jl::platform {
namespace {

using namespace std::chrono_literals;

// A platform that answers every call in the same way.
class http_platform : public ::testing::Test {
protected:
    bool start_task()
    {
        return api.workers->start("vm1", {"t1", "match", {}, "", 1}, 10s, deadline());
    }
    static steady_time deadline() { return std::chrono::steady_clock::now() + 5s; }

    http::response answer;
    http::server server{{"127.0.0.1", 0}, {}, [this](const http::request&) { return answer; }};
    platform_api api = make_http_platform({"127.0.0.1", server.port()});
};

// Guards against a second run of a task whose first start was carried out, although a gateway or
// the platform answered with a server error.
TEST_F(http_platform, server_error_does_not_say_that_nothing_was_done)
{
    for (const int status : {500, 502, 504}) {
        answer = http::json_response(status, "{}");
        EXPECT_FALSE(start_task());
        EXPECT_EQ(last_error().code, platform_error_code::outcome_unknown) << status;
    }
    answer = http::json_response(503, "{}");
    EXPECT_FALSE(start_task());
    EXPECT_EQ(last_error().code, platform_error_code::unavailable);
}

// Guards against a second run of a task that is at work in a state added to the platform later.
TEST_F(http_platform, unknown_task_state_is_not_an_end)
{
    answer = http::json_response(
        200, R"({"workers": [{"vm": "vm1", "tasks": [{"task": "t1", "state": "suspended"}]}]})");
    const auto workers = api.workers->reports(deadline());
    ASSERT_TRUE(workers);
    EXPECT_EQ(workers->at(0).tasks.at(0).state, task_state::running);
}

// Guards against a process that ends because of an answer of another form.
TEST_F(http_platform, checkpoint_of_another_form_is_malformed)
{
    for (const char* body : {"[]", "7", "null", R"({"checkpoint": 7})"}) {
        answer = http::json_response(200, body);
        EXPECT_FALSE(api.workers->checkpoint("vm1", "t1", 1, deadline())) << body;
        EXPECT_EQ(last_error().code, platform_error_code::malformed) << body;
    }
}

// Guards against a process that ends because a nested value of the list exhausts its stack.
TEST_F(http_platform, deeply_nested_list_is_malformed)
{
    constexpr std::size_t levels = 300000;
    answer = http::json_response(
        200, R"({"vms": [{"vm": "vm1", "address": "127.0.0.1:1", "data_centre": "d", "rack": "r",)"
             R"("state": "live", "boot_id": 1, "resources": {"cores": 1, "other": )" +
                 std::string(levels, '[') + std::string(levels, ']') + "}}]}");
    EXPECT_FALSE(api.list->fetch(deadline()));
    EXPECT_EQ(last_error().code, platform_error_code::malformed);
}

} // namespace
} // namespace jl::platform
