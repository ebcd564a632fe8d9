#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "http/message.h"
#include "jobs/job_metrics.h"
#include "jobs/leadership.h"
#include "net/async_client.h"
#include "net/async_server.h"
#include "net/event_loop.h"

namespace jl::jobs {

// Takes callers' requests on any process to the leader: answers them here if this process leads,
// else passes them on. Requests about jobs are idempotent by the job's id, so one without an answer
// is sent again, to a new leader if need be, while the caller waits.
//
// Not thread-safe.
class request_router {
public:
    struct hooks {
        // Answers the request on this process; false if this process does not lead (yet).
        std::function<bool(const http::request&, const net::responder&)> answer_here;
        std::function<std::chrono::milliseconds(const http::request&)> deadline;
        std::function<http::response()> refusal;                // nothing was carried out
        std::function<http::response()> unknown;                // it may have been carried out
        std::function<bool(const http::response&)> leaves_open; // the answer is `unknown()`
    };

    request_router(net::event_loop& loop, leadership& election, job_metrics& metrics,
                   std::string node, hooks hooks);
    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    // A request of a caller.
    void route(http::request request, net::responder respond);
    // A request that another process has passed on.
    void answer_forwarded(const http::request& request, const net::responder& respond);
    // Tries the requests that wait for a leader again.
    void leader_changed();

    // True while requests reach the leader.
    bool connected() const;

    static constexpr const char* not_leader_header = "Jl-Not-Leader";

private:
    struct routed_request;
    using routed_ptr = std::shared_ptr<routed_request>;

    void attempt(const routed_ptr& routed);
    void forward(const routed_ptr& routed, const leader_record& leader);
    void on_answer(const routed_ptr& routed, const http::response& answer);
    void retry(const routed_ptr& routed);
    void give_up(const routed_ptr& routed);
    void finish(const routed_ptr& routed, http::response answer);
    net::async_client& client(const endpoint& address);

    net::event_loop& loop_;
    leadership& election_;
    job_metrics& metrics_;
    std::string node_;
    hooks hooks_;
    std::list<routed_ptr> waiting_; // for a leader
    std::unique_ptr<net::async_client> client_;
    net::boot_time failing_since_{}; // epoch: the last attempt succeeded
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
