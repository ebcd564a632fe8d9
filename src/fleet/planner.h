#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "decisions/capacity.h"
#include "decisions/waves.h"
#include "fleet/member_tracker.h"
#include "fleet/record_feed.h"
#include "fleet/task_manager.h"
#include "platform/platform.h"
#include "store/role.h"

namespace jl::fleet {

inline constexpr const char* planner_role = "planner";

struct planner_options {
    decisions::planning_limits limits;
    decisions::capacity_options capacity;
    decisions::placement_options placement;
    std::chrono::milliseconds store_timeout{1000};
    std::chrono::milliseconds platform_timeout{1000};
    // Time that one round may spend on sending commands; the rest is sent in the next round.
    std::chrono::milliseconds command_time{1500};
    // Standby planners look for a free role this often.
    std::chrono::milliseconds standby_period{2000};
    // All records are read again this often, as a backup for a watch that stays silent.
    std::chrono::milliseconds reload_period{30000};
};

enum class round_outcome {
    standby,     // another planner holds the role, or no lease
    no_input,    // the configuration, the records or the platform could not be read
    lost_writes, // a write failed or its outcome is unknown; the records are read again first
    done,
};

const char* to_text(round_outcome outcome);

struct round_report {
    round_outcome outcome = round_outcome::standby;
    int steps = 0;
    int commands = 0;
    std::vector<decisions::fleet_problem> problems;
    std::vector<decisions::wave_progress> waves;
};

// The planner engine: gathers a snapshot, calls the decision functions, commits their steps under
// the role `planner` and sends the commands that follow.
//
//   planner engine(store, lease, platform, observer, system_clock_source(), metrics, {});
//   periodic_task rounds(1s, 0ms, [&] { engine.run_round(); });
//
// The lease is renewed by the caller on another thread. All references must outlive the planner.
// Not thread-safe: rounds run one after the other.
class planner {
public:
    planner(store::key_value_store& store, store::process_lease& lease,
            const platform::platform_api& platform, const cluster::cluster_observer& observer,
            const clock_source& clock, metrics& metrics, planner_options options);

    round_report run_round();

private:
    struct stored_vm {
        records::vm_record record;
        std::int64_t revision = 0;
    };

    std::optional<std::int64_t> hold_role();
    bool load_records(std::int64_t token);
    void apply_events();
    void apply_event(const store::watch_event& event);
    void apply_vm(const std::string& vm, const store::watch_event& event);
    bool read_platform();
    void remove_silent_processes(std::int64_t token, std::chrono::milliseconds silence);
    decisions::fleet_snapshot build_snapshot(objects::object_set_ptr configuration,
                                             std::int64_t token, bool platform_data_current);
    void add_vm(decisions::fleet_snapshot& snapshot, const std::string& vm,
                const platform::listed_vm* listed,
                const std::map<std::string, const cluster::vm_state*>& seen);
    void observe_demand(const objects::object_set& configuration, std::chrono::milliseconds now);
    void create_records(const decisions::fleet_snapshot& snapshot, decisions::fleet_plan& plan);
    bool commit_steps(const std::vector<decisions::vm_step>& steps, std::int64_t token);
    void apply_step(const decisions::vm_step& step, const records::vm_record& record,
                    std::int64_t revision);
    bool place_tasks(const decisions::fleet_snapshot& snapshot, decisions::fleet_plan& plan,
                     std::int64_t token);
    // Commits the writes in fenced transactions; `committed` is called for each with its index
    // and the new revision.
    bool commit(const std::vector<record_write>& writes, std::int64_t token,
                const std::function<void(std::size_t, std::int64_t)>& committed);
    int send_commands(decisions::fleet_snapshot& snapshot);
    bool send(const decisions::vm_command& command);
    void publish(const round_report& report);

    store::key_value_store& store_;
    store::process_lease& lease_;
    const platform::platform_api& platform_;
    const cluster::cluster_observer& observer_;
    const clock_source& clock_;
    metrics& metrics_;
    const planner_options options_;

    member_tracker tracker_;
    record_feed records_;
    record_feed operator_drains_feed_;
    record_feed members_feed_;

    // Fencing token under which a write has an unknown outcome. The write may still take effect
    // until the role has been given up and its token has become invalid.
    std::int64_t tainted_token_ = 0;
    std::int64_t loaded_token_ = 0; // 0: the records must be read before the next decision
    steady_time loaded_at_;
    steady_time tried_at_;

    std::map<std::string, stored_vm> vms_;
    std::map<std::string, records::wave_record> waves_;
    std::map<std::string, records::operator_drain_record> operator_drains_;
    std::map<std::string, std::string> leased_members_; // process names by member
    std::set<std::string> entry_processes_;             // keys below /jl/entries/

    // Forecasts are learned anew after a planner change; nothing depends on them for safety.
    std::map<std::string, decisions::pool_outlook> outlooks_; // by pool
    std::map<std::string, std::chrono::duration<double>> service_times_;

    std::vector<platform::listed_vm> listed_;
    std::map<std::string, int> tasks_on_vm_;
    bool reports_current_ = false;
    task_manager tasks_;
    std::map<std::string, steady_time> last_listed_;
    std::map<std::string, steady_time> command_sent_;
    std::map<std::string, std::string> reported_; // problems already logged, by subject and kind
};

} // namespace jl::fleet
