#pragma once

#include <chrono>

namespace jl::decisions {

// Decides for how long a peer may delay its answer to a long poll, from the share of calls that it
// has left without an answer lately.
//
// Load pattern: a peer leaves one call in five without an answer. The events that it would have
// reported stay unknown for the whole wait of the lost poll, so the wait is shortened until the
// delay that loss adds to an event, on average, stays within a bound. A peer that answers all calls
// is polled as seldom as possible.
//
//   long_poll poll({1000ms, 100ms, 40ms});
//   client.exchange(request_with(poll.wait()), ...);
//   poll.add_answer();   // or poll.add_loss()
//
// Not thread-safe.
class long_poll {
public:
    struct limits {
        std::chrono::milliseconds max_wait{0};
        std::chrono::milliseconds min_wait{0};
        std::chrono::milliseconds max_mean_delay{0}; // by lost answers
    };

    explicit long_poll(limits bounds) : limits_(bounds) {}

    void add_answer() { add(0); }
    void add_loss() { add(1); }
    // Returns the wait for the next poll.
    std::chrono::milliseconds wait() const;

private:
    void add(double lost);

    limits limits_;
    double loss_ = 0; // smoothed share of the calls without an answer
};

} // namespace jl::decisions
