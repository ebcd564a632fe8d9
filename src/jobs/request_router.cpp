#include "jobs/request_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Connections to the leader; an exchange on each lasts a few milliseconds.
constexpr std::size_t max_leader_connections = 16;
constexpr auto leader_connect_timeout = 400ms;
// An answer of the leader needs one write to the store, which may be slow.
constexpr auto forward_timeout = 1200ms;
constexpr auto retry_delay = 100ms;
// A caller without an answer by then is told to come back rather than held.
constexpr auto longest_wait_for_leader = 1500ms;
// A submission waits less: its job could have been done elsewhere in that time. A leader that hands
// over is replaced within this time, one that dies is not.
constexpr auto longest_wait_of_submission = 350ms;
// Time that the last answer needs to reach the caller.
constexpr auto answer_margin = 150ms;
// After failing for this long, this process should get no new callers.
constexpr auto tolerated_failure = 800ms;

} // namespace

struct request_router::routed_request {
    http::request request;
    net::responder respond;
    net::boot_time received{};
    net::boot_time deadline{};
    bool maybe_carried_out = false;
    bool finished = false;
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

bool request_router::connected() const
{
    return failing_since_ == net::boot_time{} || loop_.now() < failing_since_ + tolerated_failure;
}

void request_router::route(http::request request, net::responder respond)
{
    auto routed = std::make_shared<routed_request>();
    routed->received = loop_.now();
    routed->deadline = routed->received + hooks_.deadline(request) - answer_margin;
    routed->request = std::move(request);
    routed->respond = std::move(respond);
    attempt(routed);
}

void request_router::answer_forwarded(const http::request& request, const net::responder& respond)
{
    if (!hooks_.answer_here(request, respond)) {
        auto refusal = hooks_.refusal();
        refusal.headers[not_leader_header] = "1";
        respond(std::move(refusal));
    }
}

void request_router::leader_changed()
{
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& routed : waiting) {
        attempt(routed);
    }
}

void request_router::attempt(const routed_ptr& routed)
{
    if (routed->finished) {
        return;
    }
    const auto now = loop_.now();
    const auto patience = routed->request.method == "POST"
                              ? milliseconds(longest_wait_of_submission)
                              : milliseconds(longest_wait_for_leader);
    if (now >= routed->deadline || now >= routed->received + patience) {
        give_up(routed);
        return;
    }
    const auto& leader = election_.leader();
    if (!leader) {
        retry(routed);
        return;
    }
    if (leader->node != node_) {
        forward(routed, *leader);
        return;
    }
    const bool taken = hooks_.answer_here(
        routed->request, [this, routed, alive = alive_](const http::response& answer) {
            if (*alive) {
                on_answer(routed, answer);
            }
        });
    if (!taken) {
        retry(routed);
    }
}

net::async_client& request_router::client(const endpoint& address)
{
    if (!client_ || !(client_->server() == address)) {
        auto limits = net::limits_with_max_connections(max_leader_connections);
        limits.connect_timeout = leader_connect_timeout;
        // The former client lives on until its calls have been answered or have timed out.
        if (client_) {
            loop_.call_after(2 * forward_timeout,
                             [former = std::shared_ptr<net::async_client>(std::move(client_))] {});
        }
        client_ = std::make_unique<net::async_client>(loop_, address, limits);
    }
    return *client_;
}

void request_router::forward(const routed_ptr& routed, const leader_record& leader)
{
    const auto left = std::chrono::duration_cast<milliseconds>(routed->deadline - loop_.now());
    const auto timeout = std::max(milliseconds(1), std::min<milliseconds>(left, forward_timeout));
    client(leader.address)
        .exchange(routed->request, timeout,
                  [this, routed, alive = alive_](const net::exchange_result& result) {
                      if (!*alive) {
                          return;
                      }
                      if (result.answer) {
                          failing_since_ = {};
                          on_answer(routed, *result.answer);
                          return;
                      }
                      if (failing_since_ == net::boot_time{}) {
                          failing_since_ = loop_.now();
                          log_event(log_level::warning, "leader.unanswered",
                                    {{"reason", result.error.message}});
                      }
                      routed->maybe_carried_out =
                          routed->maybe_carried_out || !result.error.not_sent();
                      election_.refresh();
                      retry(routed);
                  });
}

void request_router::on_answer(const routed_ptr& routed, const http::response& answer)
{
    if (routed->finished) {
        return;
    }
    if (http::find_header(answer.headers, not_leader_header)) {
        election_.refresh();
        retry(routed);
        return;
    }
    if (hooks_.leaves_open(answer)) {
        routed->maybe_carried_out = true;
        retry(routed);
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
    finish(routed, std::move(passed));
}

void request_router::finish(const routed_ptr& routed, http::response answer)
{
    routed->finished = true;
    metrics_.request(routed->request.method, answer.status, loop_.now() - routed->received);
    routed->respond(std::move(answer));
}

void request_router::retry(const routed_ptr& routed)
{
    waiting_.push_back(routed);
    loop_.call_after(retry_delay, [this, alive = alive_, routed] {
        if (!*alive) {
            return;
        }
        const auto found = std::find(waiting_.begin(), waiting_.end(), routed);
        if (found != waiting_.end()) {
            waiting_.erase(found);
            attempt(routed);
        }
    });
}

void request_router::give_up(const routed_ptr& routed)
{
    log_event(log_level::info, "request.given_up",
              {{"method", routed->request.method},
               {"path", routed->request.target},
               {"maybe_carried_out", routed->maybe_carried_out ? "true" : "false"}});
    finish(routed, routed->maybe_carried_out ? hooks_.unknown() : hooks_.refusal());
}

} // namespace jl::jobs
