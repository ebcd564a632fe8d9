#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"

namespace jl::decisions {

enum class work_class { urgent, normal, deferred };

// Part of a service's slots that the class gets when all classes have work waiting, relative to the
// other classes.
double class_weight(work_class priority);

struct admission_limits {
    int max_waiting = 1000;
    // Work that holds a slot for longer than this is long-running. Short enough that urgent work,
    // promised to start within 4.4 s, can wait for the end of work that is not long-running.
    std::chrono::milliseconds long_after{2000};
};

struct team_limits {
    double weight = 1;
    std::optional<int> quota; // slots the team may hold here; nothing: unlimited
};

using ticket = std::uint64_t;

struct admission_request {
    ticket id = 0;
    work_class priority = work_class::normal;
    std::string team;
    steady_time deadline;
    bool retry = false; // waited before; goes to the front of its team's queue
};

struct admission_result {
    bool accepted = false;
    // Another call that must give up its place, because its team has the longest queue.
    std::optional<ticket> displaced;
};

// Waiting and running calls of one service at one entry; decides which call gets a free slot.
//
//   queue.set_capacity(12);
//   queue.enqueue({1, work_class::urgent, "crew", deadline}, now);
//   while (slot is free) { if (auto id = queue.start_next(now)) ... }
//   queue.finish(1, now);
//
// Slots are divided by weighted max-min fair queueing in slot time: first among the classes, then
// among the teams of a class. Within a team calls start in the order of arrival. Not thread-safe.
class admission_queue {
public:
    explicit admission_queue(admission_limits limits = {});

    // Slots this entry may use; changes the bounds, not what is running.
    void set_capacity(int slots);
    void set_max_waiting(int count);
    void set_team(const std::string& team, team_limits limits);

    admission_result enqueue(const admission_request& request, steady_time now);
    // Removes a waiting call; false if it is not waiting.
    bool remove(ticket id);
    // Chooses the call that gets the next free slot and counts it as running. Skips calls that
    // cannot end by their deadline any more, which their owners remove at the deadline.
    std::optional<ticket> start_next(steady_time now);
    // Ends a running call. `completed` is false if it was cut off, so that its slot time is only a
    // lower bound of what it needed.
    void finish(ticket id, steady_time now, bool completed = true);

    // True if a deferred call that arrives now would get a free slot soon.
    bool has_room_for_deferred(bool slot_is_free) const;
    // Length of the longest queue relative to its weight, and removal of its newest call. Used to
    // make room when a limit over several services is reached.
    double longest_queue() const;
    double queue_length(work_class priority, const std::string& team) const;
    std::optional<ticket> displace_longest();

    int waiting() const { return waiting_; }
    int running() const { return static_cast<int>(running_.size()); }
    int running(const std::string& team) const;
    // Time until a call that arrives now at the end of the team's queue would start, roughly.
    std::chrono::milliseconds expected_wait(work_class priority, const std::string& team) const;

private:
    struct waiting_call {
        ticket id = 0;
        steady_time arrived;
        steady_time deadline;
    };
    // Calls of one team in one class.
    struct flow {
        work_class priority = work_class::normal;
        std::string team;
        std::deque<waiting_call> waiting;
        int running = 0;
        double virtual_time = 0;    // slot seconds used per weight
        double mean_seconds = 0.05; // slot time of one call, smoothed
        double deviation_seconds = 0;
        steady_time learned_at; // end of the last completed call
        double long_share = 0;  // share of calls that were long-running, smoothed
        bool known = false;     // at least one call has ended or become long-running
    };
    struct class_state {
        double virtual_time = 0;
        double system_time = 0; // virtual time of the team served last
        int waiting = 0;
        int running = 0;
    };
    struct running_call {
        flow* owner = nullptr;
        steady_time started;
        double charged_seconds = 0;
        bool counted_long = false;
    };
    using flow_key = std::pair<work_class, std::string>;

    flow& find_flow(work_class priority, const std::string& team);
    class_state& state_of(work_class priority);
    double weight_of(const flow& flow) const;
    const team_limits& limits_of(const std::string& team) const;
    bool is_long(const flow& flow) const;
    static bool is_too_late(const flow& flow, const waiting_call& call, steady_time now);
    static void learn_duration(flow& flow, double seconds, bool completed, steady_time now);
    bool is_protected(const flow& flow) const;
    bool may_start(const flow& flow, int long_running) const;
    int reserved_slots(const flow& flow) const;
    int mark_long_running(steady_time now);
    void update_protected_peak(steady_time now);
    void charge(flow& flow, double seconds);
    void activate(flow& flow);
    flow* find_overdue_urgent(steady_time now, int long_running);
    flow* find_next(int long_running);
    const flow* find_longest() const;
    double relative_length(const flow& flow) const;

    admission_limits limits_;
    int capacity_ = 0;
    int waiting_ = 0;
    std::map<flow_key, flow> flows_; // nodes are stable: running calls point to them
    std::map<std::string, team_limits> teams_;
    std::map<std::string, int> team_running_;
    std::map<work_class, class_state> classes_;
    std::map<ticket, running_call> running_;
    std::map<ticket, flow*> waiting_flows_;
    double system_time_ = 0; // virtual time of the class served last
    double protected_peak_ = 0;
    steady_time peak_updated_;
};

} // namespace jl::decisions
