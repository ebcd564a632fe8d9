#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs::testing {

// How a worker treats orders.
enum class worker_mode {
    answering,
    silent,      // cut off: orders do not arrive
    answer_lost, // orders are carried out and get no answer
    late,        // orders get no answer and are carried out seconds later
};

// What happens to a task on the workers.
struct task_plan {
    milliseconds duration{1000};
    int failures = 0; // the first runs that end as failed
};

// Workers with leases, run numbers, fencing and lists of ends, in virtual time; and the judge of
// what runs where. Shared by all leaders of a test.
class fake_workers final : public worker_connector {
public:
    explicit fake_workers(net::timer_service& timers) : timers_(timers) {}

    std::unique_ptr<worker_port> connect(const endpoint& address,
                                         const std::string& worker) override;

    // Adds a worker and returns its registration.
    worker_registration add(const std::string& id, const std::string& service,
                            task_resources capacity = {64000, 131072, 0},
                            std::int64_t started_at_ms = 1);
    // The worker's process dies, with all that it runs.
    void crash(const std::string& id);
    // It starts again under the same id.
    void restart(const std::string& id);
    void set_mode(const std::string& id, worker_mode mode) { state(id).mode = mode; }
    // Plan for tasks of one job; `fallback` for all others.
    std::map<std::string, task_plan> plans;
    task_plan fallback;
    milliseconds late_by{3000};
    milliseconds max_lease{10000};

    // --- The judge -----------------------------------------------------------------------------
    // Everything that must never happen and did, in plain words.
    const std::vector<std::string>& violations() const { return violations_; }
    int starts(const std::string& task) const;
    int running(const std::string& id) const;
    bool runs(const std::string& task) const;
    // The worker that runs the task; empty if none does.
    std::string worker_of(const std::string& task) const;
    const std::map<std::string, std::vector<std::int64_t>>& runs_by_task() const
    {
        return started_;
    }
    std::size_t rejected_for_room() const { return rejected_for_room_; }
    std::size_t holds() const { return holds_; }

private:
    class port;
    struct active_run {
        std::int64_t run = 0;
        net::timer_service::timer_id end_timer = 0;
        net::boot_time started{};
        task_resources request;
    };
    struct waiting_hold {
        std::function<void()> answer;
        std::function<void()> broken; // the connection is closed
        net::timer_service::timer_id timer = 0;
    };
    struct worker_state {
        worker_registration info;
        bool up = true;
        worker_mode mode = worker_mode::answering;
        std::int64_t token = 0;
        std::map<std::string, active_run> active; // by task name
        std::map<std::string, std::int64_t> highest_ended;
        std::vector<ended_task> ended;
        std::int64_t next_end = 1;
        std::int64_t last_seen = 0;
        // Ends up to this one were listed when a lease lapsed: by the platform's rules they do not
        // count as taken note of when they are acknowledged after it.
        std::int64_t lapsed_through = 0;
        net::boot_time started{};
        net::boot_time lease_ends{};
        net::timer_service::timer_id lease_timer = 0;
        std::vector<waiting_hold> holds;
    };

    worker_state& state(const std::string& id) { return workers_.at(id); }
    milliseconds clock(const worker_state& worker) const;
    void extend(worker_state& worker, milliseconds until);
    void check_lease(const std::string& id);
    order_result take_start(const std::string& id, const start_order& order);
    order_result take_stop(const std::string& id, const stop_order& order);
    void end(worker_state& worker, const std::string& task, end_kind kind);
    hold_report lists(worker_state& worker, const hold_order& order);
    void answer_holds(worker_state& worker);
    bool fenced(worker_state& worker, std::int64_t token);
    void judge_start(const std::string& id, const start_order& order);

    net::timer_service& timers_;
    std::map<std::string, worker_state> workers_;
    std::vector<std::string> violations_;
    std::map<std::string, std::vector<std::int64_t>> started_;
    std::map<std::string, int> failed_;
    std::set<std::string> noted_done_; // tasks whose end `done` was taken note of
    std::map<std::string, std::int64_t> unnoted_done_;
    std::size_t rejected_for_room_ = 0;
    std::size_t holds_ = 0;
};

} // namespace jl::jobs::testing
