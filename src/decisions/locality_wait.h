#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "decisions/task_resources.h"

namespace jl::decisions {

// What is known when a task could start now, but not on its preferred rack.
struct locality_choice {
    std::chrono::nanoseconds preferred_duration{0}; // expected on the preferred rack
    double remote_factor = 1.0;                     // how many times as long it takes elsewhere
    // Expected time until it could start on the preferred rack; nothing: no end is in sight.
    std::optional<std::chrono::nanoseconds> preferred_wait;
    std::chrono::nanoseconds waited{0};      // so far
    std::chrono::nanoseconds time_left{0};   // until the job's objective
    std::chrono::nanoseconds later_steps{0}; // duration of the steps that follow
};

// Decides whether the task keeps waiting for its preferred rack (delay scheduling).
//
// It waits while it ends earlier that way than on another rack; in total no longer than the
// preferred rack can save, and at most 2 s. It does not wait if a start elsewhere is on time now
// and would not be any more after the expected wait.
//
// Load patterns:
// - Data lies on a rack whose tasks end soon: a start elsewhere at once would take longer.
// - Many jobs want one rack. Those for which the rack is not free soon enough start elsewhere, so
//   that neither the jobs wait for long nor the other racks stay empty.
bool waits_for_preferred_rack(const locality_choice& choice);

// When capacity becomes free on one rack, as tasks there are expected to end. Tasks that wait for
// the rack take the first capacity that becomes free, so that the next one expects a longer wait.
//
//   rack_forecast rack;
//   rack.add_free(free);
//   rack.add_end(800ms, request);     // of a task that runs there
//   auto wait = rack.claim(request);  // nothing: not with the tasks that run there now
//
// Looks at the rack as a whole, not at its workers. Not thread-safe.
class rack_forecast {
public:
    void add_free(const task_resources& amount) { free_ += amount; }
    // `in`: time until the end.
    void add_end(std::chrono::nanoseconds in, const task_resources& amount);
    // Returns the time until `request` is free, and takes it.
    std::optional<std::chrono::nanoseconds> claim(const task_resources& request);
    // The same without taking it.
    std::optional<std::chrono::nanoseconds> time_until_free(const task_resources& request);

private:
    struct release {
        std::chrono::nanoseconds in{0};
        task_resources amount;
    };
    void sort_releases();

    task_resources free_;
    std::vector<release> releases_; // in the order in which they happen, once sorted
    bool sorted_ = false;
};

} // namespace jl::decisions
