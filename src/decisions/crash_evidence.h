#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jl::decisions {

// How closely the loss of a worker is linked to a task that was on it.
enum class crash_link {
    beside,      // the task had been running for a while, and another task had just been started
    unexplained, // the task had been running for a while, and no task had just been started
    shared,      // the task had just been started, as had a task of another job
    sole,        // the task had just been started, and no task of another job had
    silent,      // like sole, but the worker fell silent, so when it ended is not known
};

// The loss of a worker while a task was on it.
struct crash_observation {
    std::string worker;
    std::int64_t worker_started_at_ms = 0; // tells the incarnations of a worker apart
    std::string vm;
    std::chrono::milliseconds at{0}; // Unix time
    crash_link link = crash_link::beside;
    // False while the worker may only be unreachable, or the task has only just been started.
    bool confirmed = false;
};

enum class crash_verdict {
    none,          // start the task like any other
    isolate_start, // start no task of another job on its worker at about the same time
    isolate_run,   // start no task of another job on its worker while it runs
    hold,          // do not start it until it is known which of its lost workers have crashed
    give_up,       // it crashes the workers that start it
};

// A worker that is lost within this time after the start of a task may have been crashed by it.
constexpr std::chrono::milliseconds crash_window{200};
// The broken connections of a worker that was lost within `crash_window` are noticed by then.
constexpr std::chrono::milliseconds crash_notice_time{400};
// A task that runs for this long is not the cause if its worker is lost later.
constexpr std::chrono::milliseconds crash_free_time{5000};

// Decides from the losses of workers under a task whether and how it may be started again.
//
// Load pattern: some tasks crash each worker that starts them, which takes down the other tasks
// there as well, while other workers crash by themselves or are cut off. A crash has several
// suspects, so the tasks that had just been started are started again in isolation. Two crashes on
// different VMs that no other start explains tell the task that causes them from those that shared
// a worker with it; it takes three if workers only fell silent after a start, as they may have
// ended by themselves long after it. A task that crashes its workers only after `crash_window` is
// isolated for as long as it runs once it has lost two or three of them so, and is given up after
// four or five.
crash_verdict judge_crashes(const std::vector<crash_observation>& observations,
                            std::chrono::milliseconds now);

// Removes the observations that are too old to count, and the oldest beyond a limit.
void drop_old_observations(std::vector<crash_observation>& observations,
                           std::chrono::milliseconds now);

// A task that was on a worker when the worker was lost. All times are on one steady clock.
struct task_on_lost_worker {
    std::chrono::nanoseconds start_sent{0};
    bool same_job = false; // as the task that is judged
};

// What is known about the time at which a lost worker ended.
struct worker_loss {
    std::chrono::nanoseconds last_alive{0}; // it answered for the last time
    // Its connections broke; nothing if it only fell silent, which lost answers also explain.
    std::optional<std::chrono::nanoseconds> ended_by;
};

// Returns how the loss of a worker is linked to the task that was started on it at `start_sent`;
// nothing if it is not. `others` are the other tasks on it.
std::optional<crash_link> link_to_crash(std::chrono::nanoseconds start_sent,
                                        const worker_loss& loss,
                                        const std::vector<task_on_lost_worker>& others);

} // namespace jl::decisions
