#include "jobs/request_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "decisions/retry_after.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Enough connections to the leader, since an exchange takes a few milliseconds.
constexpr std::size_t max_leader_connections = 16;
constexpr auto leader_connect_timeout = 400ms;
// The leader writes to the store before it answers, and the store may be slow.
constexpr auto forward_timeout = 1200ms;
constexpr auto retry_delay = 100ms;
// The router gives up a request after this time, so that the caller can try again later.
constexpr auto max_wait_for_leader = 1500ms;
// A submission waits less, because the caller could have its job done elsewhere in that time. This
// is long enough for a leader that resigns to be replaced, but not for one that crashes.
constexpr auto max_wait_of_submission = 350ms;
// Time reserved for the answer to reach the caller before its deadline.
constexpr auto answer_margin = 150ms;
// A process that has failed to reach the leader for this long should get no new callers.
constexpr auto failure_tolerance = 800ms;
constexpr int gone = 410;
constexpr int first_error_status = 400;
constexpr int service_unavailable = 503;

// True if the answer says that one attempt of a submission or a cancellation was refused, which
// tells nothing about earlier attempts. A job that does not exist cannot have been cancelled.
bool refuses_one_attempt(const std::string& method, const http::response& answer)
{
    const bool changes_job = method != "GET";
    return changes_job && answer.status >= first_error_status && answer.status != gone;
}

} // namespace

struct request_router::pending_request {
    http::request request;
    net::responder respond;
    net::boot_time received{};
    net::boot_time deadline{};
    bool in_progress = false; // the leader, or this process as the leader, has been asked
    bool maybe_carried_out = false;
    bool finished = false;
    std::list<pending_ptr>::iterator position; // in `open_`
};

request_router::request_router(net::event_loop& loop, leadership& election, job_metrics& metrics,
                               std::string node, hooks hooks)
    : loop_(loop),
      election_(election),
      metrics_(metrics),
      node_(std::move(node)),
      hooks_(std::move(hooks))
{
}

request_router::~request_router()
{
    *alive_ = false;
}

bool request_router::reaches_leader() const
{
    return failing_since_ == net::boot_time{} || loop_.now() < failing_since_ + failure_tolerance;
}

void request_router::route(http::request request, net::responder respond)
{
    auto pending = std::make_shared<pending_request>();
    pending->received = loop_.now();
    pending->deadline = pending->received + hooks_.deadline(request) - answer_margin;
    if (answer_by_) {
        pending->deadline = std::min(pending->deadline, *answer_by_);
    }
    pending->position = open_.insert(open_.end(), pending);
    pending->request = std::move(request);
    pending->respond = std::move(respond);
    attempt(pending);
}

void request_router::answer_forwarded(const http::request& request, const net::responder& respond)
{
    if (!hooks_.answer_locally(request, respond)) {
        auto refusal = hooks_.make_refusal(0s); // for the router that forwarded the request
        refusal.headers[not_leader_header] = "1";
        respond(std::move(refusal));
    }
}

void request_router::leader_changed()
{
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& pending : waiting) {
        attempt(pending);
    }
}

void request_router::begin_shutdown(net::boot_time answer_by)
{
    answer_by_ = answer_by;
    for (const auto& pending : open_) {
        pending->deadline = std::min(pending->deadline, answer_by);
    }
    const auto left = answer_by - loop_.now();
    loop_.call_after(std::max<std::chrono::nanoseconds>(left, 0ns), [this, alive = alive_] {
        if (*alive) {
            give_up_open_requests();
        }
    });
}

// Those that the leader has not answered may have been carried out.
void request_router::give_up_open_requests()
{
    const auto open = open_; // give_up() removes them
    for (const auto& pending : open) {
        pending->maybe_carried_out = pending->maybe_carried_out || pending->in_progress;
        give_up(pending);
    }
}

void request_router::attempt(const pending_ptr& pending)
{
    if (pending->finished) {
        return;
    }
    pending->in_progress = false;
    const auto now = loop_.now();
    const auto max_wait = pending->request.method == "POST" ? milliseconds(max_wait_of_submission)
                                                            : milliseconds(max_wait_for_leader);
    if (now >= pending->deadline || now >= pending->received + max_wait) {
        give_up(pending);
        return;
    }
    const auto& leader = election_.leader();
    if (!leader) {
        retry(pending);
        return;
    }
    if (leader->node != node_) {
        forward(pending, *leader);
        return;
    }
    pending->in_progress = true;
    const bool handled_locally = hooks_.answer_locally(
        pending->request, [this, pending, alive = alive_](const http::response& answer) {
            if (*alive) {
                on_answer(pending, answer);
            }
        });
    if (!handled_locally) {
        pending->in_progress = false;
        retry(pending);
    }
}

net::async_client& request_router::client(const endpoint& address)
{
    if (!client_ || !(client_->server() == address)) {
        auto limits = net::limits_with_max_connections(max_leader_connections);
        limits.connect_timeout = leader_connect_timeout;
        // Keeps the former client until its calls have been answered or have timed out.
        if (client_) {
            loop_.call_after(2 * forward_timeout,
                             [former = std::shared_ptr<net::async_client>(std::move(client_))] {});
        }
        client_ = std::make_unique<net::async_client>(loop_, address, limits);
    }
    return *client_;
}

void request_router::forward(const pending_ptr& pending, const leader_record& leader)
{
    const auto left = std::chrono::duration_cast<milliseconds>(pending->deadline - loop_.now());
    const auto timeout = std::max(milliseconds(1), std::min<milliseconds>(left, forward_timeout));
    pending->in_progress = true;
    client(leader.address)
        .exchange(pending->request, timeout,
                  [this, pending, alive = alive_](const net::exchange_result& result) {
                      if (!*alive) {
                          return;
                      }
                      if (result.answer) {
                          failing_since_ = {};
                          on_answer(pending, *result.answer);
                          return;
                      }
                      if (failing_since_ == net::boot_time{}) {
                          failing_since_ = loop_.now();
                          log_event(log_level::warning, "leader.unanswered",
                                    {{"reason", result.error.message}});
                      }
                      if (pending->finished) {
                          return;
                      }
                      pending->in_progress = false;
                      pending->maybe_carried_out =
                          pending->maybe_carried_out || !result.error.not_sent();
                      election_.refresh();
                      retry(pending);
                  });
}

void request_router::on_answer(const pending_ptr& pending, const http::response& answer)
{
    if (pending->finished) {
        return;
    }
    pending->in_progress = false;
    if (http::find_header(answer.headers, not_leader_header)) {
        election_.refresh();
        retry(pending);
        return;
    }
    if (hooks_.is_outcome_unknown(answer)) {
        pending->maybe_carried_out = true;
        retry(pending);
        return;
    }
    if (pending->maybe_carried_out && refuses_one_attempt(pending->request.method, answer)) {
        finish(pending, hooks_.make_outcome_unknown());
        return;
    }
    http::response passed;
    passed.status = answer.status;
    passed.body = answer.body;
    for (const auto* name : {"Content-Type", "Retry-After"}) {
        if (const auto value = http::find_header(answer.headers, name)) {
            passed.headers[name] = *value;
        }
    }
    if (answer.status == service_unavailable) {
        // This process has seen for how long callers have been refused.
        passed.headers["Retry-After"] = std::to_string(retry_after().count());
    }
    else if (pending->request.method != "GET") {
        refusing_since_.reset();
    }
    finish(pending, std::move(passed));
}

std::chrono::seconds request_router::retry_after()
{
    const auto now = loop_.now();
    if (!refusing_since_) {
        refusing_since_ = now;
    }
    std::uniform_real_distribution<double> spread(0.0, 1.0);
    return decisions::retry_after(now - *refusing_since_, spread(random_));
}

void request_router::finish(const pending_ptr& pending, http::response answer)
{
    pending->finished = true;
    open_.erase(pending->position);
    metrics_.record_request(pending->request.method, answer.status,
                            loop_.now() - pending->received);
    pending->respond(std::move(answer));
}

void request_router::retry(const pending_ptr& pending)
{
    waiting_.push_back(pending);
    loop_.call_after(retry_delay, [this, alive = alive_, pending] {
        if (!*alive) {
            return;
        }
        const auto found = std::find(waiting_.begin(), waiting_.end(), pending);
        if (found != waiting_.end()) {
            waiting_.erase(found);
            attempt(pending);
        }
    });
}

void request_router::give_up(const pending_ptr& pending)
{
    log_event(log_level::info, "request.given_up",
              {{"method", pending->request.method},
               {"path", pending->request.target},
               {"maybe_carried_out", pending->maybe_carried_out ? "true" : "false"}});
    finish(pending, pending->maybe_carried_out ? hooks_.make_outcome_unknown()
                                               : hooks_.make_refusal(retry_after()));
}

} // namespace jl::jobs
