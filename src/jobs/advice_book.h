#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Cache of the advisor's tickets, by step and worker. A ticket permits a worker to run a step. The
// cache requests tickets when the scheduler is about to start a step and ignores them shortly
// before they expire. Not thread-safe.
class advice_book {
public:
    // `changed` is called when the advisor has answered a request.
    advice_book(net::timer_service& timers, advice_port& advisor, std::function<void()> changed);
    ~advice_book();
    advice_book(const advice_book&) = delete;
    advice_book& operator=(const advice_book&) = delete;

    // Returns the ticket for a worker, or nothing if the worker may not run the step or the advisor
    // has not been asked about it yet.
    std::optional<std::string> ticket(const std::string& step, const std::string& worker) const;
    // Requests tickets for those of `workers` without a valid answer, unless a request for the step
    // is in flight.
    void request_tickets(const std::string& step, const std::vector<std::string>& workers,
                         milliseconds validity);
    // Removes a ticket that the worker has rejected.
    void discard_ticket(const std::string& step, const std::string& worker);
    void forget(const std::string& step);

private:
    struct entry {
        std::string ticket; // empty: the worker may not run the step
        net::boot_time valid_until{};
    };
    struct step_advice {
        std::map<std::string, entry> workers;
        bool request_in_flight = false;
    };
    void on_answer(const std::string& step, const std::vector<std::string>& requested_workers,
                   milliseconds validity, net::boot_time sent, const advice_result& result);

    net::timer_service& timers_;
    advice_port& advisor_;
    std::function<void()> changed_;
    std::map<std::string, step_advice> steps_;
    net::boot_time backoff_until_{};
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
