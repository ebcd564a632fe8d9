#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Tickets of the advisor, by step and worker. Asks for a step's workers when the scheduler wants to
// start it and forgets tickets shortly before they expire. Not thread-safe.
class advice_book {
public:
    // `changed` is called when an answer has arrived.
    advice_book(net::timer_service& timers, advice_port& advisor, std::function<void()> changed);
    ~advice_book();
    advice_book(const advice_book&) = delete;
    advice_book& operator=(const advice_book&) = delete;

    // The ticket for a worker; nothing if the worker may not run the step or it is not known.
    std::optional<std::string> ticket(const std::string& step, const std::string& worker) const;
    // Asks about those of `workers` that nothing is known of, unless a question is under way.
    void request_tickets(const std::string& step, const std::vector<std::string>& workers,
                         milliseconds validity);
    // Forgets a ticket that a worker has rejected.
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
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
