#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "callers/caller_api.h"

namespace jl::callers {
namespace {

using namespace std::chrono_literals;
using requests::outcome;

class fake_state final : public cluster::cluster_state {
public:
    objects::object_set_ptr configuration() const override { return set; }
    cluster::vm_snapshot_ptr vms() const override
    {
        return std::make_shared<const cluster::vm_snapshot>();
    }
    std::vector<cluster::member_status> members() const override { return {}; }
    bool may_send() const override { return may_send_targets; }
    std::string self() const override { return "e1"; }
    void notify_queue(const std::string&) override {}
    void set_in_flight_source(cluster::in_flight_source) override {}
    void set_load_source(cluster::load_source) override {}
    void set_queue_notice_handler(cluster::queue_notice_handler) override {}
    void start() override {}

    objects::object_set_ptr set;
    bool may_send_targets = true;
};

class fake_engine final : public requests::call_engine {
public:
    requests::call_result execute(const requests::call& call) override
    {
        calls.push_back(call);
        return result;
    }
    bool has_room_for_deferred(const std::string&) const override { return true; }
    int in_flight(const std::string&) const override { return 0; }

    requests::call_result result;
    std::vector<requests::call> calls;
};

class fake_durable final : public requests::durable_requests {
public:
    requests::call_result execute_once(const requests::call& call) override
    {
        idempotent_calls.push_back(call);
        return result;
    }
    requests::call_result accept_deferred(const requests::call& call) override
    {
        deferred.push_back(call);
        return result;
    }
    std::optional<records::request_record> find(const std::string& id, std::string& error) override
    {
        if (record && record->id == id) {
            return record;
        }
        error = reason;
        return std::nullopt;
    }
    std::vector<std::string> cancel(const std::vector<std::string>& ids) override
    {
        return {ids.front()};
    }

    requests::call_result result;
    std::vector<requests::call> idempotent_calls;
    std::vector<requests::call> deferred;
    std::optional<records::request_record> record;
    std::string reason = "not_found";
};

class caller_api : public testing::Test {
protected:
    caller_api()
    {
        objects::object_set set;
        set.generation = 7;
        objects::service service;
        service.name = "rounds";
        service.pool = "rounds";
        set.services.push_back(service);
        objects::team team;
        team.name = "plan";
        set.teams.push_back(team);
        state.set = std::make_shared<const objects::object_set>(set);
        engine.result.result = outcome::answered;
        engine.result.status = 200;
        engine.result.body = "planned";
    }

    http::response send(std::string method, std::string target, http::header_map headers = {},
                        std::string body = "")
    {
        http::request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.headers = std::move(headers);
        request.body = std::move(body);
        return make_caller_api({engine, durable, state, system_clock_source(), metrics})(request);
    }
    http::response call(http::header_map headers, const std::string& path = "call")
    {
        headers.emplace("Jl-Team", "plan");
        return send("POST", "/v1/services/rounds/" + path, std::move(headers), "work");
    }

    static std::string code(const http::response& answer)
    {
        return nlohmann::json::parse(answer.body)["error"]["code"];
    }
    static std::string field(const http::response& answer)
    {
        return nlohmann::json::parse(answer.body)["error"].value("field", "");
    }

    fake_state state;
    fake_engine engine;
    fake_durable durable;
    jl::metrics metrics;
};

// Guards against altering the target's answer or omitting the Jl-* response headers.
TEST_F(caller_api, returns_answer_of_target)
{
    engine.result.status = 418;
    const auto answer = call({{"Jl-Class", "urgent"}, {"Jl-Idempotent", "true"}});
    EXPECT_EQ(answer.status, 418);
    EXPECT_EQ(answer.body, "planned");
    EXPECT_EQ(answer.headers.at("Jl-Outcome"), "answered");
    EXPECT_EQ(answer.headers.at("Jl-Generation"), "7");
    ASSERT_EQ(engine.calls.size(), 1U);
    EXPECT_EQ(answer.headers.at("Jl-Request-Id"), engine.calls[0].id);
    EXPECT_TRUE(engine.calls[0].idempotent);
    EXPECT_EQ(engine.calls[0].priority, requests::request_class::urgent);
    EXPECT_EQ(engine.calls[0].body, "work");
}

// Guards against running a call with an Idempotency-Key twice because it bypasses the claim in the
// store.
TEST_F(caller_api, executes_calls_with_idempotency_key_through_durable_requests)
{
    durable.result.result = outcome::unknown;
    const auto answer = call({{"Idempotency-Key", "k-1"}});
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.headers.at("Jl-Outcome"), "unknown");
    EXPECT_TRUE(engine.calls.empty());
    ASSERT_EQ(durable.idempotent_calls.size(), 1U);
    EXPECT_EQ(durable.idempotent_calls[0].id, "k-1");
}

// Guards against a refusal whose Jl-Outcome does not tell the caller that the work never ran.
TEST_F(caller_api, reports_outcome_not_run_for_refused_calls)
{
    engine.result.result = outcome::not_run;
    engine.result.status = 503;
    engine.result.error_code = "queue_full";
    engine.result.retry_after = 1500ms;
    const auto answer = call({});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(code(answer), "queue_full");
    EXPECT_EQ(answer.headers.at("Jl-Outcome"), "not-run");
    EXPECT_EQ(answer.headers.at("Retry-After"), "2");
}

// Guards against malformed requests that reach admission, or whose error does not name the invalid
// field.
TEST_F(caller_api, names_the_invalid_field_of_malformed_calls)
{
    struct example {
        http::header_map headers;
        const char* code;
        const char* field;
    };
    const std::vector<example> examples = {
        {{{"Jl-Team", "other"}}, "unknown_team", "Jl-Team"},
        {{{"Jl-Team", ""}}, "missing_header", "Jl-Team"},
        {{{"Jl-Class", "Urgent"}}, "invalid_header", "Jl-Class"},
        {{{"Jl-Idempotent", "yes"}}, "invalid_header", "Jl-Idempotent"},
        {{{"Idempotency-Key", ""}}, "invalid_id", "Idempotency-Key"},
        {{{"Idempotency-Key", "a/b"}}, "invalid_id", "Idempotency-Key"},
        {{{"Idempotency-Key", std::string(129, 'a')}}, "invalid_id", "Idempotency-Key"},
        {{{"Jl-Timeout-Ms", "0"}}, "invalid_timeout", "Jl-Timeout-Ms"},
        {{{"Jl-Timeout-Ms", "-5"}}, "invalid_timeout", "Jl-Timeout-Ms"},
        {{{"Jl-Timeout-Ms", "5s"}}, "invalid_timeout", "Jl-Timeout-Ms"},
        {{{"Jl-Timeout-Ms", "60001"}}, "invalid_timeout", "Jl-Timeout-Ms"},
        {{{"Jl-Timeout-Ms", "99999999999999999999"}}, "invalid_timeout", "Jl-Timeout-Ms"},
    };
    for (const auto& example : examples) {
        const auto answer = call(example.headers);
        EXPECT_EQ(answer.status, 400) << answer.body;
        EXPECT_EQ(code(answer), example.code);
        EXPECT_EQ(field(answer), example.field);
        EXPECT_EQ(answer.headers.at("Jl-Outcome"), "not-run");
    }
    EXPECT_EQ(send("POST", "/v1/services/none/call", {{"Jl-Team", "plan"}}).status, 404);
    EXPECT_EQ(send("GET", "/v1/services/rounds/call").status, 405);
    EXPECT_EQ(send("GET", "/v2").status, 404);
    EXPECT_EQ(send("GET", "").status, 404);
    EXPECT_TRUE(engine.calls.empty());
}

// Guards against executing calls before a configuration has been loaded.
TEST_F(caller_api, refuses_calls_before_configuration_is_loaded)
{
    state.set = nullptr;
    const auto answer = call({});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.headers.at("Jl-Outcome"), "not-run");
    EXPECT_EQ(send("GET", "/readyz").status, 503);
    EXPECT_EQ(send("GET", "/healthz").status, 200);
    EXPECT_TRUE(engine.calls.empty());
}

// Guards against applying the short timeout of immediate calls to deferred requests.
TEST_F(caller_api, applies_deferred_timeout_to_deferred_requests)
{
    durable.result.result = outcome::accepted;
    const auto start = std::chrono::steady_clock::now();
    const auto answer = call({{"Jl-Timeout-Ms", "3600000"}}, "deferred");
    EXPECT_EQ(answer.status, 202);
    ASSERT_EQ(durable.deferred.size(), 1U);
    EXPECT_EQ(nlohmann::json::parse(answer.body)["id"], durable.deferred[0].id);
    EXPECT_EQ(durable.deferred[0].priority, requests::request_class::deferred);
    EXPECT_GE(durable.deferred[0].deadline, start + 1h);
}

// Guards against reporting an unknown request id (404) when the store is unreachable (503).
TEST_F(caller_api, distinguishes_unknown_ids_from_an_unreachable_store)
{
    EXPECT_EQ(send("GET", "/v1/requests/r1").status, 404);
    durable.reason = "unavailable";
    EXPECT_EQ(send("GET", "/v1/requests/r1").status, 503);
    EXPECT_EQ(send("GET", "/v1/requests/r%2f").status, 400);
    durable.record.emplace();
    durable.record->id = "r1";
    durable.record->state = records::request_state::running;
    const auto state_answer = send("GET", "/v1/requests/r1");
    EXPECT_EQ(nlohmann::json::parse(state_answer.body)["state"], "running");
    EXPECT_EQ(send("GET", "/v1/requests/r1/answer").status, 409);
    durable.record->state = records::request_state::answered;
    durable.record->answer_status = 201;
    durable.record->answer = "done";
    const auto answer = send("GET", "/v1/requests/r1/answer");
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "done");
}

// Guards against reporting a request as cancelled when the store did not cancel it.
TEST_F(caller_api, reports_which_requests_were_cancelled)
{
    const auto answer = send("POST", "/v1/requests/cancel", {}, R"({"ids": ["a", "b"]})");
    const auto body = nlohmann::json::parse(answer.body);
    EXPECT_EQ(body["cancelled"], nlohmann::json({"a"}));
    EXPECT_EQ(body["not_cancelled"], nlohmann::json({"b"}));
    EXPECT_EQ(send("DELETE", "/v1/requests/a").status, 200);
    for (const auto* malformed : {"", "[]", "{}", R"({"ids": 1})", R"({"ids": [1]})"}) {
        EXPECT_EQ(send("POST", "/v1/requests/cancel", {}, malformed).status, 400) << malformed;
    }
}

} // namespace
} // namespace jl::callers
