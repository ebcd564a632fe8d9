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

// Weight of the class in the division of a service's slots: when calls of all classes are waiting,
// each class gets slot time in proportion to its weight.
double class_weight(work_class priority);

struct admission_limits {
    int max_waiting = 1000; // calls, over all classes and teams
    // A call that holds a slot for longer than this is long-running. Urgent calls must start within
    // 4.4 s; with this value they can wait for a call to end that is not long-running.
    std::chrono::milliseconds long_running_after{2000};
};

struct team_limits {
    double weight = 1;
    std::optional<int> quota; // slots that the team may hold in this queue; unlimited if empty
};

using call_id = std::uint64_t;

struct admission_request {
    call_id id = 0;
    work_class priority = work_class::normal;
    std::string team;
    steady_time deadline;
    // The call was started before and is tried again. It is put at the front of its team's queue,
    // so that it does not wait a second time behind all the others.
    bool retry = false;
};

struct admission_result {
    bool accepted = false;
    // A waiting call that was removed to make room for the new one. It is the newest call of the
    // queue that is longest relative to its weight.
    std::optional<call_id> displaced;
};

// The waiting and running calls of one service at one entry (a node that accepts calls). Decides
// which waiting call gets a free slot.
//
//   queue.set_capacity(12);
//   queue.enqueue({1, work_class::urgent, "crew", deadline}, now);
//   while (a slot is free) { if (auto id = queue.start_next(now)) ... }
//   queue.finish(1, now);
//
// Slot time is divided by weighted max-min fair queueing: first among the classes, then among the
// teams of a class. The calls of one team in one class start in the order of arrival. Not
// thread-safe.
class admission_queue {
public:
    explicit admission_queue(admission_limits limits = {});

    // Sets the number of slots that this entry may use. Running calls continue when it decreases.
    void set_capacity(int slots);
    void set_max_waiting(int count);
    void set_team(const std::string& team, team_limits limits);

    admission_result enqueue(const admission_request& request, steady_time now);
    // Removes a waiting call; false if it is not waiting.
    bool remove(call_id id);
    // Chooses the call that gets the next free slot and counts it as running. Skips calls that can
    // no longer end by their deadline; they stay in the queue, and the caller removes them then.
    std::optional<call_id> start_next(steady_time now);
    // Ends a running call. `completed` is false if the call failed or was aborted, so that its slot
    // time is only a lower bound of the time that it needs.
    void finish(call_id id, steady_time now, bool completed = true);

    // True if a deferred call that arrives now would start soon. `slot_is_free`: some target has a
    // free slot now.
    bool has_room_for_deferred(bool slot_is_free) const;
    // Lengths of queues (the calls of one team in one class) divided by the weights of the team and
    // the class. The caller compares them to make room when a limit over several services is
    // reached, and removes the newest call of the longest queue.
    double max_relative_queue_length() const;
    double relative_queue_length(work_class priority, const std::string& team) const;
    std::optional<call_id> displace_from_longest_queue();

    int waiting() const { return waiting_; }
    int running() const { return static_cast<int>(running_.size()); }
    int running(const std::string& team) const;
    // Rough estimate of the time after which a call that is now appended to the team's queue would
    // start.
    std::chrono::milliseconds expected_wait(work_class priority, const std::string& team) const;

private:
    struct waiting_call {
        call_id id = 0;
        steady_time arrived;
        steady_time deadline;
    };
    // The calls of one team in one class: a flow in the sense of fair queueing.
    struct flow {
        work_class priority = work_class::normal;
        std::string team;
        std::deque<waiting_call> waiting;
        int running = 0;
        double virtual_time = 0;      // slot seconds used, divided by the weight
        double mean_seconds = 0.05;   // moving average of the slot time of one call
        double deviation_seconds = 0; // moving average of the absolute deviation from the mean
        steady_time last_completed_at;
        double long_running_fraction = 0; // moving average; see finish()
        bool duration_known = false;      // at least one call has ended or become long-running
    };
    struct class_state {
        double virtual_time = 0;        // slot seconds used, divided by the weight
        double system_virtual_time = 0; // highest virtual time at which a team started a call
        int waiting = 0;
        int running = 0;
    };
    struct running_call {
        flow* owner = nullptr;
        steady_time started;
        double charged_seconds = 0; // expected slot time, added to the virtual times at the start
        bool marked_long_running = false;
    };
    using flow_key = std::pair<work_class, std::string>;

    flow& get_or_create_flow(work_class priority, const std::string& team);
    class_state& state_of(work_class priority);
    double weight_of(const flow& flow) const;
    const team_limits& limits_of(const std::string& team) const;
    bool is_long_running(const flow& flow) const;
    static bool cannot_meet_deadline(const flow& flow, const waiting_call& call, steady_time now);
    static void update_duration_estimate(flow& flow, double seconds, bool completed,
                                         steady_time now);
    bool is_urgent_or_short(const flow& flow) const;
    bool may_start_call(const flow& flow, int long_running_calls) const;
    int reserved_slots(const flow& flow) const;
    int mark_long_running_calls(steady_time now);
    void update_urgent_or_short_peak(steady_time now);
    void charge(flow& flow, double seconds);
    void activate(flow& flow);
    flow* find_overdue_urgent_flow(steady_time now, int long_running_calls);
    flow* find_next_flow(int long_running_calls);
    const flow* find_longest_queue() const;
    double relative_length(const flow& flow) const;

    admission_limits limits_;
    int capacity_ = 0;
    int waiting_ = 0;
    std::map<flow_key, flow> flows_; // nodes are stable: running calls point to them
    std::map<std::string, team_limits> teams_;
    std::map<std::string, int> team_running_; // running calls in all classes
    std::map<work_class, class_state> classes_;
    std::map<call_id, running_call> running_;
    std::map<call_id, flow*> waiting_flows_; // the flow in which a call waits
    double system_virtual_time_ = 0;         // highest virtual time at which a class started a call
    double urgent_or_short_peak_ = 0;        // see update_urgent_or_short_peak()
    steady_time peak_updated_at_;
};

} // namespace jl::decisions
