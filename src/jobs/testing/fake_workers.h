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

// How a worker handles orders.
enum class worker_mode {
    answering,   // orders are executed and answered
    unreachable, // orders do not arrive
    answer_lost, // orders are executed, but their answers are lost
    delayed,     // orders are executed seconds later and their answers are lost
    late_orders, // the same, but holds are answered
};

// How the runs of a task end on the workers.
struct task_plan {
    milliseconds duration{1000};
    int failures = 0; // this many runs fail before one succeeds
};

// How a worker comes back that a task has crashed.
enum class crash_recovery {
    same_id,   // it restarts under its id
    successor, // another worker with a new id runs on its VM
};

// Fake workers in virtual time, with leases, run numbers, fencing tokens and lists of ended tasks.
// Only registrations and reports name the incarnation of a worker; answers to other orders do not.
// They also check invariants across all workers, such as that no task runs twice at the same time.
// Shared by all leaders of a test.
class fake_workers final : public worker_connector {
public:
    explicit fake_workers(net::timer_service& timers) : timers_(timers) {}

    std::unique_ptr<worker_port> connect(const endpoint& address,
                                         const std::string& worker) override;

    // Adds a worker and returns its registration.
    worker_registration add(const std::string& id, const std::string& service,
                            task_resources capacity = {64000, 131072, 0},
                            std::int64_t started_at_ms = 1);
    // Ends the worker's process and all tasks on it; no end is reported.
    void crash(const std::string& id);
    // Crashes the worker and starts it again under the same id.
    void restart(const std::string& id);
    void set_mode(const std::string& id, worker_mode mode) { state(id).mode = mode; }
    // From now on the worker refuses each start that it would otherwise carry out; `accepted` ends
    // this.
    void refuse_starts(const std::string& id, order_status reason)
    {
        state(id).answer_to_starts = reason;
    }
    // From now on the worker answers each stop with this status and does not carry it out;
    // `accepted` ends this.
    void refuse_stops(const std::string& id, order_status reason)
    {
        state(id).answer_to_stops = reason;
    }
    // Changes the worker's capacity and returns its new registration.
    worker_registration resize(const std::string& id, task_resources capacity);
    const worker_registration& registration(const std::string& id) const
    {
        return workers_.at(id).info;
    }
    // Plans for the tasks of individual jobs; `default_plan` applies to all other jobs.
    std::map<std::string, task_plan> plans_by_job;
    task_plan default_plan;
    // Time until a worker in mode `delayed` or `late_orders` executes an order.
    milliseconds late_order_delay{3000};
    milliseconds max_lease{10000};
    // In the settings of the leaders; the runs take their planned time on each rack.
    double remote_slowdown_factor = 1.0;
    milliseconds latency{1};     // of an order, and of its answer
    milliseconds stop_time{200}; // between a stop order and the end of the run
    milliseconds startup{0};     // of each run, at 0 percent
    std::size_t ends_per_report = 500;
    // The load that the reports state, by task name; 0 for all others.
    std::map<std::string, double> loads;
    // What each task requests. A start that brings a worker over its capacity is a violation; a
    // capacity that has shrunk counts after `capacity_grace`.
    task_resources request_of_each_task;
    milliseconds capacity_grace{4000};

    // Names of tasks that crash each worker that starts them. It is a violation if they are started
    // more often than the platform tolerates.
    std::set<std::string> crashing_tasks;
    milliseconds crash_delay{10};      // between the start of such a task and the crash
    milliseconds crash_downtime{3000}; // until the worker is back
    crash_recovery recovery = crash_recovery::successor;
    // Returns false if the crashed worker does not come back. Without a function, all do.
    std::function<bool(const std::string& id)> may_recover;
    // Called when a crashed worker is back, with its former id and its new registration.
    std::function<void(const std::string& former, const worker_registration& info)> on_recovered;

    // --- Invariants and counters ---------------------------------------------------------------
    // One description for each violated invariant.
    const std::vector<std::string>& violations() const { return violations_; }
    // Number of runs of the task that have started.
    int start_count(const std::string& task) const;
    // Number of crashes of workers while the task ran on them.
    int crash_count(const std::string& task) const;
    // Percent of full speed that the last pace order allows the task; 0 if it does not run.
    int pace_of(const std::string& task) const;
    // Number of tasks that run on the worker.
    int running(const std::string& id) const;
    bool is_running(const std::string& task) const;
    bool knows(const std::string& id) const { return workers_.count(id) != 0; }
    // True if the worker's process runs.
    bool is_up(const std::string& id) const { return workers_.at(id).up; }
    // True if the task runs and has completed its start-up.
    bool is_at_work(const std::string& task) const;
    // The worker that runs the task; empty if none does.
    std::string worker_of(const std::string& task) const;
    const std::map<std::string, std::vector<std::int64_t>>& runs_by_task() const
    {
        return runs_by_task_;
    }
    std::size_t started_runs() const { return started_runs_; }
    // When a worker received the last stop order for a run.
    net::boot_time stopped_at() const { return stopped_at_; }
    // Number of hold requests that leaders have sent.
    std::size_t holds() const { return holds_; }
    // Number of start orders that leaders have sent to workers whose process does not run.
    std::size_t starts_on_stopped_workers() const { return starts_on_stopped_workers_; }
    // Of the holds, those to workers that do not exist.
    std::size_t holds_to_unknown_workers() const { return holds_to_unknown_workers_; }

private:
    class port;
    struct active_run {
        std::int64_t run = 0;
        net::timer_service::timer_id end_timer = 0;
        net::boot_time started{};
        task_resources request;
        int pace = 100;
    };
    struct pending_hold {
        std::function<void()> answer;
        std::function<void()> connection_reset; // called when the connection is reset
        net::timer_service::timer_id timer = 0;
    };
    struct worker_state {
        worker_registration info;
        bool up = true;
        worker_mode mode = worker_mode::answering;
        order_status answer_to_starts = order_status::accepted;
        order_status answer_to_stops = order_status::accepted;
        std::int64_t token = 0;
        std::map<std::string, active_run> active; // by task name
        std::map<std::string, std::int64_t> highest_ended_run;
        std::vector<ended_task> ended;
        std::int64_t next_end_number = 1;
        std::int64_t last_acknowledged_end = 0;
        // The last end that was listed when a lease expired. By the platform's rules, an
        // acknowledgement that arrives after the expiry does not count for ends up to this one.
        std::int64_t last_end_at_lease_expiry = 0;
        task_resources former_capacity;       // before the last change
        net::boot_time capacity_changed_at{}; // when `info.capacity` changed last
        net::boot_time started{};
        net::boot_time lease_ends{};
        net::timer_service::timer_id lease_timer = 0;
        std::vector<pending_hold> holds;
    };

    worker_state& state(const std::string& id) { return workers_.at(id); }
    static bool answers_holds(const worker_state& worker)
    {
        return worker.mode == worker_mode::answering || worker.mode == worker_mode::late_orders;
    }
    // The time on the worker's own clock, which starts with its process.
    milliseconds clock_of(const worker_state& worker) const;
    void extend_lease(worker_state& worker, milliseconds until);
    // Ends all tasks on the worker if its lease has expired.
    void end_tasks_if_lease_expired(const std::string& id);
    order_result handle_start(const std::string& id, const start_order& order);
    order_result handle_stop(const std::string& id, const stop_order& order);
    order_result handle_pace(const std::string& id, const pace_order& order);
    // Ends the active run of the task, if any, and lists its end.
    void end(worker_state& worker, const std::string& task, end_kind kind);
    // Returns the running tasks and the first page of the ends that no leader has acknowledged.
    hold_report make_report(const worker_state& worker) const;
    void answer_holds(worker_state& worker);
    // Returns true if the worker has seen a higher token; otherwise stores this one.
    bool fenced(worker_state& worker, std::int64_t token);
    // Crashes the worker, which is back after `crash_downtime`.
    void crash_and_recover(const std::string& id);
    void recover(const std::string& id);
    // Records a violation if the task runs already or its successful end has been acknowledged.
    void check_start(const std::string& id, const start_order& order);
    void check_capacity(const worker_state& worker, const start_order& order);
    void check_crashing_task(const start_order& order);

    net::timer_service& timers_;
    std::map<std::string, worker_state> workers_;
    std::vector<std::string> violations_;
    std::map<std::string, std::vector<std::int64_t>> runs_by_task_;
    std::map<std::string, int> failed_runs_;
    std::map<std::string, int> crashes_by_task_;
    std::set<std::string> acknowledged_done_; // tasks whose end `done` was acknowledged
    std::map<std::string, std::int64_t> unacknowledged_done_;
    std::size_t started_runs_ = 0;
    std::size_t holds_ = 0;
    std::size_t holds_to_unknown_workers_ = 0;
    std::size_t starts_on_stopped_workers_ = 0;
    net::boot_time stopped_at_{};
};

} // namespace jl::jobs::testing
