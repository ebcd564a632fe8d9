#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "http/message.h"
#include "jobs/job_metrics.h"
#include "jobs/leadership.h"
#include "net/async_client.h"
#include "net/async_server.h"
#include "net/event_loop.h"

namespace jl::jobs {

// Routes callers' requests to the leader: answers them in this process if it leads, else forwards
// them. Requests about jobs are idempotent by the job's id. A request without an answer is
// therefore sent again, possibly to a new leader, while the caller waits.
//
// Not thread-safe.
class request_router {
public:
    struct hooks {
        // Answers the request in this process. Returns false if this process is not ready to act as
        // the leader.
        std::function<bool(const http::request&, const net::responder&)> answer_locally;
        // Time left in which the caller expects an answer.
        std::function<std::chrono::milliseconds(const http::request&)> deadline;
        // Makes the answer to a request that was not carried out, and that may be repeated after
        // the given time.
        std::function<http::response(std::chrono::seconds retry_after)> make_refusal;
        // Makes the answer to a request that may have been carried out.
        std::function<http::response()> make_outcome_unknown;
        // True for an answer that make_outcome_unknown() made.
        std::function<bool(const http::response&)> is_outcome_unknown;
    };

    request_router(net::event_loop& loop, leadership& election, job_metrics& metrics,
                   std::string node, hooks hooks);
    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    // Handles a request from a caller.
    void route(http::request request, net::responder respond);
    // Handles a request that another process has forwarded. Never forwards it again.
    void answer_forwarded(const http::request& request, const net::responder& respond);
    // Retries the requests that wait for a leader.
    void leader_changed();
    // This process ends soon after `answer_by`: each request is answered by then, also those that
    // arrive from now on, and those that arrive later are refused at once.
    void begin_shutdown(net::boot_time answer_by);

    // False after requests have failed to reach the leader for some time.
    bool reaches_leader() const;

    static constexpr const char* not_leader_header = "Jl-Not-Leader";

private:
    struct pending_request;
    using pending_ptr = std::shared_ptr<pending_request>;

    // Returns when a caller that is refused now should come back.
    std::chrono::seconds retry_after();
    void attempt(const pending_ptr& pending);
    void forward(const pending_ptr& pending, const leader_record& leader);
    void on_answer(const pending_ptr& pending, const http::response& answer);
    void retry(const pending_ptr& pending);
    void give_up(const pending_ptr& pending);
    void give_up_open_requests();
    void finish(const pending_ptr& pending, http::response answer);
    net::async_client& client(const endpoint& address);

    net::event_loop& loop_;
    leadership& election_;
    job_metrics& metrics_;
    std::string node_;
    hooks hooks_;
    std::list<pending_ptr> open_;             // not answered yet
    std::list<pending_ptr> waiting_;          // of these, for the next attempt
    std::optional<net::boot_time> answer_by_; // see begin_shutdown()
    std::unique_ptr<net::async_client> client_;
    net::boot_time failing_since_{}; // default value: the last attempt succeeded
    // When requests that change something began to be refused; nothing if the last one succeeded.
    std::optional<net::boot_time> refusing_since_;
    std::mt19937 random_{std::random_device{}()};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
