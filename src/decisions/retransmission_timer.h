#pragma once

#include <chrono>
#include <optional>

namespace jl::decisions {

// Decides how long to wait for the answer of a peer before the call is repeated, from the round
// trips measured so far (RFC 6298): the smoothed round trip plus four times its mean deviation,
// doubled each time the peer leaves a call without an answer.
//
// Load pattern: a peer answers within milliseconds but leaves one call in five without an answer. A
// fixed wait, long enough for the slowest peer, delays each of these calls and all that follow them
// on their connection. A peer that turns slow raises its own wait and is not sent repetitions of
// calls that it is about to answer.
//
//   retransmission_timer timer({700ms, 100ms, 1000ms});
//   client.exchange(request, timer.timeout(), ...);
//   timer.add_round_trip(sent_at, now);   // or timer.add_unanswered(sent_at, now)
//
// Each attempt has its own answer, so round trips of repetitions count as well. Not thread-safe.
class retransmission_timer {
public:
    using time = std::chrono::nanoseconds; // since any fixed point in time

    struct limits {
        std::chrono::milliseconds initial{0}; // wait until a round trip has been measured
        std::chrono::milliseconds min{0};
        std::chrono::milliseconds max{0};
    };

    explicit retransmission_timer(limits bounds) : limits_(bounds) {}

    // A call was answered.
    void add_round_trip(time sent_at, time now);
    // A call got no answer within its wait. Calls that were sent before the wait was last doubled
    // do not double it again.
    void add_unanswered(time sent_at, time now);
    // Returns how long to wait for the answer to a call that is sent now.
    std::chrono::milliseconds timeout() const;

private:
    limits limits_;
    std::optional<time> smoothed_; // round trip; nothing until the first measurement
    time deviation_{0};
    int doublings_ = 0;
    std::optional<time> doubled_at_;
};

} // namespace jl::decisions
