#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decisions/placement.h"
#include "platform/platform.h"
#include "store/key_value_store.h"

namespace jl::fleet {

// One conditional write of a record; an empty value removes the key.
struct record_write {
    std::string key;
    std::int64_t expected_revision = 0; // 0: the key must be absent
    std::string value;
    std::string also_removed; // another key, without a condition
};

// The task records of the active planner and the commands to the workers that follow from them.
// Not thread-safe.
class task_manager {
public:
    // Forgets the records before they are read again. What is known about commands to a task is
    // kept if its record turns out to be unchanged.
    void clear();
    bool empty() const { return tasks_.empty(); }
    void apply(const std::string& task, const store::watch_event& event);
    void observe(const std::vector<platform::worker_report>& reports);
    // Tasks that may run on each VM according to the records.
    std::map<std::string, int> on_vms() const;

    // Adds the tasks to the snapshot and decides.
    decisions::placement_plan plan(decisions::placement_snapshot snapshot,
                                   const decisions::placement_options& options);
    // The writes of the steps, in the same order; committed() is called for each that succeeded.
    static std::vector<record_write> prepare(const std::vector<decisions::task_step>& steps);
    void committed(const decisions::task_step& step, std::int64_t revision);

    // Starts, renews, throttles, checkpoints and stops tasks as their records say, until
    // `may_continue` (called with the time of the start) returns false. Returns the number of
    // calls.
    int send_commands(platform::worker_control& workers,
                      const decisions::placement_options& options, const clock_source& clock,
                      const std::function<bool(steady_time)>& may_continue,
                      std::chrono::milliseconds timeout);

private:
    struct stored_task {
        records::task_record record;
        std::int64_t revision = 0;
        std::optional<decisions::task_observation> observation;
        bool start_pending = false;
        std::optional<steady_time> renewed_at;
        std::optional<steady_time> stop_sent_at;
    };

    static int start(stored_task& task, platform::worker_control& workers,
                     const decisions::placement_options& options, steady_time now,
                     steady_time deadline);
    static int keep_running(stored_task& task, platform::worker_control& workers,
                            const decisions::placement_options& options, steady_time now,
                            steady_time deadline);
    static int stop(stored_task& task, platform::worker_control& workers, steady_time now,
                    steady_time deadline);

    std::map<std::string, stored_task> tasks_;
    std::map<std::string, stored_task> former_;
    decisions::placement_history memory_;
    std::string last_served_; // the next round of commands continues after this task
};

} // namespace jl::fleet
