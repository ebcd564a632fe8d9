#include "jobs/advice_book.h"

#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_workers_per_request = 30;
constexpr auto default_validity = 3000ms;
// A ticket is not used for this long before it expires, since it could expire on its way to the
// worker.
constexpr auto expiry_margin = 300ms;
constexpr auto throttle_backoff = 300ms;

} // namespace

advice_book::advice_book(net::timer_service& timers, advice_port& advisor,
                         std::function<void()> changed)
    : timers_(timers), advisor_(advisor), changed_(std::move(changed))
{
}

advice_book::~advice_book()
{
    *alive_ = false;
}

std::optional<std::string> advice_book::ticket(const std::string& step,
                                               const std::string& worker) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return std::nullopt;
    }
    const auto known = found->second.workers.find(worker);
    if (known == found->second.workers.end() || known->second.ticket.empty() ||
        known->second.valid_until <= timers_.now()) {
        return std::nullopt;
    }
    return known->second.ticket;
}

void advice_book::request_tickets(const std::string& step, const std::vector<std::string>& workers,
                                  milliseconds validity)
{
    const auto now = timers_.now();
    auto& advice = steps_[step];
    if (advice.request_in_flight || now < backoff_until_) {
        return;
    }
    std::vector<std::string> missing;
    for (const auto& worker : workers) {
        const auto known = advice.workers.find(worker);
        const bool usable = known != advice.workers.end() &&
                            (known->second.ticket.empty() || known->second.valid_until > now);
        if (!usable && missing.size() < max_workers_per_request) {
            missing.push_back(worker);
        }
    }
    if (missing.empty()) {
        return;
    }
    advice.request_in_flight = true;
    advisor_.ask(step, missing,
                 [this, step, missing, validity, now, alive = alive_](const advice_result& result) {
                     if (*alive) {
                         on_answer(step, missing, validity, now, result);
                     }
                 });
}

void advice_book::on_answer(const std::string& step,
                            const std::vector<std::string>& requested_workers,
                            milliseconds validity, net::boot_time sent, const advice_result& result)
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return;
    }
    found->second.request_in_flight = false;
    if (!result.allowed) {
        log_event(log_level::warning, "advice.unanswered",
                  {{"step", step}, {"throttled", result.throttled ? "true" : "false"}});
        backoff_until_ = timers_.now() + throttle_backoff;
        return;
    }
    const auto lifetime = validity > 0ms ? validity : milliseconds(default_validity);
    for (const auto& worker : requested_workers) {
        found->second.workers[worker] = {"", sent + lifetime - expiry_margin};
    }
    for (const auto& allowed : *result.allowed) {
        found->second.workers[allowed.worker].ticket = allowed.ticket;
    }
    changed_();
}

void advice_book::discard_ticket(const std::string& step, const std::string& worker)
{
    const auto found = steps_.find(step);
    if (found != steps_.end()) {
        found->second.workers.erase(worker);
    }
}

void advice_book::forget(const std::string& step)
{
    steps_.erase(step);
}

} // namespace jl::jobs
