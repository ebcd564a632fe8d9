#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "operators/admin_api.h"
#include "operators/test_support.h"

namespace jl::operators {
namespace {

using ::testing::HasSubstr;
using testing::make_document;

class admin : public ::testing::Test {
protected:
    http::response call(const std::string& method, const std::string& target,
                        const std::string& body = "", const std::string& user = "ann",
                        http::header_map headers = {})
    {
        headers["Authorization"] = "Bearer " + user + ".secret";
        return api.handle({method, target, headers, body});
    }

    void publish()
    {
        ASSERT_EQ(
            call("PUT", "/v1/configuration", make_document(), "ann", {{"If-Match", "0"}}).status,
            200);
        observer.snapshot.vms = {testing::make_vm("vm-1", "rounds", "rack-1", "dc-1")};
    }

    testing::manual_clock clock;
    testing::losing_store store{clock};
    testing::fake_observer observer;
    jl::metrics metrics;
    admin_api api{store,   observer,
                  clock,   testing::make_registry(),
                  metrics, {testing::fast_configuration(), testing::fast_control()}};
};

// Guards against serving anything but probes without a token.
TEST_F(admin, requires_a_token)
{
    EXPECT_EQ(call("GET", "/v1/status", "", "ghost").status, 401);
    EXPECT_EQ(api.handle({"PUT", "/v1/configuration", {}, make_document()}).status, 401);
    EXPECT_EQ(api.handle({"GET", "/healthz", {}, ""}).status, 200);
    EXPECT_THAT(api.handle({"GET", "/metrics", {}, ""}).body, HasSubstr("unauthorized"));
}

// Guards against changes by readers and by teams that do not own the object.
TEST_F(admin, enforces_roles)
{
    publish();
    const http::header_map expected = {{"If-Match", "1"}};
    EXPECT_EQ(call("PUT", "/v1/configuration", make_document(6), "rhys", expected).status, 403);
    EXPECT_EQ(call("PUT", "/v1/configuration", make_document(6), "sian", expected).status, 403);
    EXPECT_EQ(call("PUT", "/v1/waves/monthly", R"({"state":"paused"})", "sian").status, 403);
    EXPECT_EQ(call("PUT", "/v1/drains/vm-1", "", "rhys").status, 403);
    EXPECT_EQ(call("DELETE", "/v1/drains/vm-1", "", "sian").status, 403);
    EXPECT_EQ(call("GET", "/v1/status", "", "rhys").status, 200);
}

// Guards against errors that do not name what was wrong.
TEST_F(admin, reports_code_field_and_reason)
{
    EXPECT_THAT(call("PUT", "/v1/configuration", make_document()).body,
                HasSubstr(R"("field":"If-Match")"));
    const auto refused =
        call("PUT", "/v1/configuration", make_document(1), "ann", {{"If-Match", "0"}});
    EXPECT_EQ(refused.status, 422);
    EXPECT_THAT(refused.body, HasSubstr(R"("field":"min_vms","object":"pool rounds")"));
    EXPECT_THAT(call("GET", "/v1/history?limit=0").body, HasSubstr(R"("field":"limit")"));
}

// Guards against crashes and 5xx answers on input that no client should send.
TEST_F(admin, refuses_malformed_requests)
{
    publish();
    EXPECT_EQ(call("GET", "/").status, 404);
    EXPECT_EQ(call("GET", "/v2/status").status, 404);
    EXPECT_EQ(call("POST", "/v1/status").status, 404);
    EXPECT_EQ(call("GET", "/v1/%zz").status, 400);
    EXPECT_EQ(call("POST", "/v1/configuration/check", "{").status, 422);
    EXPECT_EQ(call("PUT", "/v1/waves/monthly", "{}").status, 400);
    EXPECT_EQ(call("PUT", "/v1/waves/monthly", R"({"state":"stopped"})").status, 400);
    EXPECT_EQ(call("PUT", "/v1/waves/weekly", R"({"state":"paused"})").status, 404);
    EXPECT_EQ(call("PUT", "/v1/drains/vm-9").status, 404);
    EXPECT_EQ(call("GET", "/v1/history/99999999999999999999").status, 404);
    EXPECT_EQ(call("GET", "/v1/configuration/diff?from=x").status, 404);
}

// Guards against changes being lost silently while the store is down.
TEST_F(admin, reports_an_unavailable_store)
{
    publish();
    store.memory().inject(standins::store_fault::unavailable);
    EXPECT_EQ(call("PUT", "/v1/waves/monthly", R"({"state":"paused"})").status, 503);
    EXPECT_EQ(call("GET", "/v1/status").status, 503);
    EXPECT_EQ(call("GET", "/v1/history").status, 503);
}

// Guards against an explanation that shows something else than the record.
TEST_F(admin, explains_a_request_from_its_record)
{
    publish();
    records::request_record record;
    record.id = "r1";
    record.service = "rounds";
    record.state = records::request_state::queued;
    record.accepted_at = to_unix(clock.wall_now()) - std::chrono::seconds(90);
    record.body = "names of members";
    store.commit({{}, {store::put("/jl/deferred/rounds/r1", records::to_json(record))}, {}},
                 clock.steady_now() + std::chrono::seconds(1));
    const auto answer = call("GET", "/v1/requests/r1");
    EXPECT_THAT(answer.body, HasSubstr("waiting for 90 s; service rounds has 8 slots"));
    EXPECT_EQ(answer.body.find("names of members"), std::string::npos);
    EXPECT_EQ(call("GET", "/v1/requests/r2").status, 404);
}

// Guards against a backlog that grows all night without any metric to alert on.
TEST_F(admin, exports_the_queues_of_the_cluster)
{
    publish();
    std::vector<objects::object_error> faults;
    observer.set = std::make_shared<const objects::object_set>(
        *objects::parse_objects(make_document(), faults));
    observer.snapshot.vms[0].listed_live = false;
    observer.statuses = {testing::make_member("entry-1", 0), testing::make_member("entry-2", 0)};
    observer.statuses[0].loads = {{"rounds", 3, 8, 1, 0}};
    observer.statuses[1].loads = {{"rounds", 4, 8, 1, 500}};
    store.memory().inject(standins::store_fault::unavailable);
    const auto text = api.handle({"GET", "/metrics", {}, ""}).body;
    for (const char* line :
         {R"(jl_service_backlog{service="rounds"} 500)",
          R"(jl_service_waiting{service="rounds"} 7)",
          R"(jl_service_backlog_limit{service="rounds"} 100000)", "jl_entries_alive 2",
          R"(jl_budget_left{budget="rounds",scope="rounds"} 0)"}) {
        EXPECT_THAT(text, HasSubstr(line));
    }
}

} // namespace
} // namespace jl::operators
