#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/server.h"
#include "store/etcd_codec.h"
#include "store/etcd_store.h"

namespace jl::store {
namespace {

using nlohmann::json;
using std::chrono::seconds;

// Guards against keys or values that change on the way through the gateway.
RC_GTEST_PROP(etcd_codec, base64_keeps_every_byte, (const std::string& bytes))
{
    RC_ASSERT(internal::decode_base64(internal::encode_base64(bytes)) == bytes);
}

// Guards against a transaction whose conditions the gateway does not see.
TEST(etcd_codec, transaction_has_the_gateway_form)
{
    const transaction transaction{
        {key_absent("a"), unchanged_since("b", 7)}, {put("a", "v", 5), remove("b")}, {get("a")}};
    const auto expected = json::parse(R"({
        "compare": [{"key": "YQ==", "result": "EQUAL", "target": "CREATE", "create_revision": "0"},
                    {"key": "Yg==", "result": "EQUAL", "target": "MOD", "mod_revision": "7"}],
        "success": [{"request_put": {"key": "YQ==", "value": "dg==", "lease": "5"}},
                    {"request_delete_range": {"key": "Yg=="}}],
        "failure": [{"request_range": {"key": "YQ=="}}]})");
    EXPECT_EQ(internal::encode(transaction), expected);
}

// Guards against zero values that the gateway leaves out, and integers sent as strings or numbers.
TEST(etcd_codec, range_answer_is_decoded)
{
    const auto result = internal::decode_range(json::parse(R"({
        "header": {"revision": "9"}, "more": true, "count": "12",
        "kvs": [{"key": "YQ==", "value": "dg==", "create_revision": "3", "mod_revision": 4},
                {"key": "Yg=="}]})"));
    EXPECT_EQ(result.revision, 9);
    EXPECT_TRUE(result.more);
    EXPECT_EQ(result.count, 12);
    ASSERT_EQ(result.items.size(), 2U);
    EXPECT_EQ(result.items[0].value, "v");
    EXPECT_EQ(result.items[0].create_revision, 3);
    EXPECT_EQ(result.items[0].mod_revision, 4);
    EXPECT_EQ(result.items[1].value, "");
}

// A gateway that answers every call with the status and body set last. Used from one thread.
class fixed_gateway {
public:
    fixed_gateway()
        : server_({"127.0.0.1", 0}, {},
                  [this](const http::request&) { return http::json_response(status_, body_); }),
          store_(make_etcd_store({{{"127.0.0.1", server_.port()}}, 4, seconds(20)}))
    {
    }
    key_value_store& answer(int status, const std::string& body)
    {
        status_ = status;
        body_ = body;
        return *store_;
    }

private:
    int status_ = 200;
    std::string body_;
    http::server server_;
    std::unique_ptr<key_value_store> store_;
};

steady_time soon()
{
    return std::chrono::steady_clock::now() + seconds(30);
}

// Guards against a malformed answer that passes for "not succeeded" or "no such key".
TEST(etcd_store, malformed_answers_are_not_results)
{
    fixed_gateway gateway;
    for (
        const auto* body :
        {"", "{", "[]", "{}", "null", R"({"header": 1})", R"({"header": {"revision": "x"}})",
         R"({"header": {"revision": "9"}, "kvs": 5, "responses": 5, "succeeded": "yes"})",
         R"({"header": {"revision": "9"}, "kvs": [{"key": 7}], "responses": [{"response_range": 7}]})"}) {
        auto& store = gateway.answer(200, body);
        EXPECT_FALSE(store.range({"a", "", 0}, soon())) << body;
        EXPECT_EQ(last_error().code, store_error_code::malformed) << body;
        EXPECT_FALSE(store.commit({{}, {}, {get("a")}}, soon())) << body;
        EXPECT_EQ(last_error().code, store_error_code::malformed) << body;
    }
    for (const auto* body : {"{}", R"({"ID": "0"})", R"({"ID": "x"})", R"({"ID": "-1"})"}) {
        EXPECT_FALSE(gateway.answer(200, body).grant_lease(seconds(5), soon())) << body;
        EXPECT_EQ(last_error().code, store_error_code::malformed) << body;
    }
    for (const auto* body : {"{}", R"({"result": 3})", R"({"result": {"TTL": "x"}})"}) {
        EXPECT_FALSE(gateway.answer(200, body).keep_alive(1, soon())) << body;
        EXPECT_EQ(last_error().code, store_error_code::malformed) << body;
    }
}

// Guards against "did not take effect" for a write that the store may still apply. etcd reports a
// proposal that timed out with the same status as a store that accepts no calls.
TEST(etcd_store, status_decides_whether_a_write_may_have_taken_effect)
{
    const std::vector<std::pair<std::pair<int, std::string>, store_error_code>> cases = {
        {{503, R"({"error": "etcdserver: no leader", "code": 14})"}, store_error_code::unavailable},
        {{503, R"({"error": "etcdserver: request timed out", "code": 14})"},
         store_error_code::outcome_unknown},
        {{503, R"({"error": "etcdserver: request timed out, possibly due to connection lost"})"},
         store_error_code::outcome_unknown},
        {{503, R"({"error": "etcdserver: leader changed", "code": 14})"},
         store_error_code::outcome_unknown},
        {{503, R"({"error": "etcdserver: server stopped", "code": 14})"},
         store_error_code::outcome_unknown},
        {{500, "{}"}, store_error_code::outcome_unknown},
        {{504, "{}"}, store_error_code::outcome_unknown},
        {{404, R"({"error": "etcdserver: requested lease not found"})"},
         store_error_code::lease_not_found},
        {{429, R"({"error": "etcdserver: too many requests", "code": 8})"},
         store_error_code::unavailable},
        {{400, "{}"}, store_error_code::refused},
    };
    fixed_gateway gateway;
    for (const auto& [answer, code] : cases) {
        auto& store = gateway.answer(answer.first, answer.second);
        EXPECT_FALSE(store.commit({{}, {put("a", "b")}, {}}, soon()));
        EXPECT_EQ(last_error().code, code) << answer.first << " " << answer.second;
    }
}

// Guards against a write reported as unknown although the store was never reached.
TEST(etcd_store, unreachable_store_is_unavailable)
{
    endpoint closed{"127.0.0.1", 0};
    {
        const http::server server({"127.0.0.1", 0}, {}, [](const http::request&) {
            return http::json_response(200, "{}");
        });
        closed.port = server.port();
    }
    const auto store = make_etcd_store({{closed}, 4, seconds(20)});
    EXPECT_FALSE(store->commit({{}, {put("a", "b")}, {}}, soon()));
    EXPECT_EQ(last_error().code, store_error_code::unavailable);
}

} // namespace
} // namespace jl::store
