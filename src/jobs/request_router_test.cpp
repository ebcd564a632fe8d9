#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/request_router.h"
#include "jobs/testing/fake_store.h"
#include "net/async_server.h"
#include "net/event_loop.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;

constexpr int accepted = 200;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int too_many_requests = 429;
constexpr int outcome_unknown = 502;
constexpr int unavailable = 503;
constexpr auto run_limit = 5s; // ends a test that gets no answer

http::response response_with(int status)
{
    http::response response;
    response.status = status;
    return response;
}

// A process that forwards its callers' requests to another one, the leader, which gives the answers
// of `answers` one after the other.
class request_router_test : public ::testing::Test {
protected:
    request_router_test()
        : leader(loop, {"127.0.0.1", 0}, {},
                 [this](const http::request&, const net::responder& respond) {
                     const auto next = std::min(requests++, answers.size() - 1);
                     respond(response_with(answers.at(next)));
                 }),
          election(loop, store.connect(), {"a", {"127.0.0.1", 1}},
                   {[](const leader_record&) {}, [](const std::string&) {}, [] {}}),
          router(loop, election, metrics, "a", hooks())
    {
        const leader_record record{"b", {"127.0.0.1", leader.port()}, 1, 1};
        store.put(leadership::leader_key, encode_leader(record));
    }

    static request_router::hooks hooks()
    {
        request_router::hooks result;
        result.answer_locally = [](const http::request&, const net::responder&) { return false; };
        result.deadline = [](const http::request&) { return 3s; };
        result.make_refusal = [](std::chrono::seconds) { return response_with(unavailable); };
        result.make_outcome_unknown = [] { return response_with(outcome_unknown); };
        result.is_outcome_unknown = [](const http::response& answer) {
            return answer.status == outcome_unknown;
        };
        return result;
    }

    // Returns the status that the caller gets; nothing if it gets no answer.
    std::optional<int> status_for(const std::string& method)
    {
        std::optional<int> status;
        election.start();
        loop.call_after(run_limit, [this] { loop.stop(); });
        loop.call_after(100ms, [this, method, &status] {
            http::request request;
            request.method = method;
            request.target = "/plans/00000000000000a1";
            router.route(request, [this, &status](const http::response& answer) {
                status = answer.status;
                loop.stop();
            });
        });
        loop.run();
        return status;
    }

    std::vector<int> answers;
    std::size_t requests = 0;
    net::event_loop loop;
    testing::fake_store store{loop};
    job_metrics metrics;
    net::async_server leader;
    leadership election;
    request_router router;
};

class refusal_after_unknown_outcome : public request_router_test,
                                      public ::testing::WithParamInterface<int> {};

// Guards against a caller that is told that its job was not accepted, although an earlier attempt
// to submit it, whose outcome is unknown, was.
TEST_P(refusal_after_unknown_outcome, submission_is_not_called_refused)
{
    answers = {outcome_unknown, GetParam()};
    EXPECT_EQ(status_for("POST"), outcome_unknown);
    EXPECT_GE(requests, 2U);
}

INSTANTIATE_TEST_SUITE_P(statuses, refusal_after_unknown_outcome,
                         ::testing::Values(unavailable, too_many_requests, not_found));

TEST_F(request_router_test, later_attempt_may_be_accepted)
{
    answers = {outcome_unknown, accepted};
    EXPECT_EQ(status_for("POST"), accepted);
}

// A job that does not exist needs no cancelling, whatever became of the earlier attempt.
TEST_F(request_router_test, cancelled_job_may_be_gone)
{
    answers = {outcome_unknown, gone};
    EXPECT_EQ(status_for("DELETE"), gone);
}

TEST_F(request_router_test, refusal_without_an_earlier_attempt_is_passed_on)
{
    answers = {unavailable};
    EXPECT_EQ(status_for("POST"), unavailable);
    EXPECT_EQ(requests, 1U);
}

TEST_F(request_router_test, reads_have_no_unknown_outcome)
{
    answers = {outcome_unknown, not_found};
    EXPECT_EQ(status_for("GET"), not_found);
}

// Guards against requests that end without an answer because the process does: those that wait for
// a leader, those that the leader has not answered, and those that arrive at the last moment.
TEST_F(request_router_test, each_request_is_answered_before_the_process_ends)
{
    std::vector<net::responder> unanswered; // by the leader
    net::async_server silent_leader(loop, {"127.0.0.1", 0}, {},
                                    [&](const http::request&, const net::responder& respond) {
                                        unanswered.push_back(respond);
                                    });
    const leader_record record{"b", {"127.0.0.1", silent_leader.port()}, 1, 1};
    store.put(leadership::leader_key, encode_leader(record));
    election.start();
    std::map<std::string, int> statuses;
    const auto route = [&](const std::string& name, const std::string& method) {
        http::request request;
        request.method = method;
        request.target = "/plans/00000000000000a1";
        router.route(request, [&statuses, name](const http::response& answer) {
            statuses[name] = answer.status;
        });
    };
    loop.call_after(100ms, [&] { route("submission at the leader", "POST"); });
    loop.call_after(100ms, [&] { route("query at the leader", "GET"); });
    loop.call_after(200ms, [&] { router.begin_shutdown(loop.now() + 200ms); });
    loop.call_after(300ms, [&] { route("query while stopping", "GET"); });
    loop.call_after(500ms, [&] { route("submission after the last answers", "POST"); });
    loop.call_after(600ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(unanswered.size(), 3U);
    EXPECT_EQ(statuses["submission at the leader"], outcome_unknown);
    EXPECT_EQ(statuses["query at the leader"], outcome_unknown);
    EXPECT_EQ(statuses["query while stopping"], outcome_unknown);
    EXPECT_EQ(statuses["submission after the last answers"], unavailable);
}

} // namespace
} // namespace jl::jobs
