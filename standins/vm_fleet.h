#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "base/time.h"
#include "http/client.h"
#include "http/message.h"
#include "standins/vm_file.h"

namespace jl::standins {

struct fleet_options {
    std::chrono::milliseconds list_lag{1000}; // age of the VM list and of usage reports
    std::chrono::milliseconds reboot_time{2000};
    std::chrono::milliseconds task_time{3000}; // processor time that a task needs to finish
    endpoint target_control;                   // control port of the target stand-in
};

// The platform's VMs and tasks: list with lag, drain, reboot, tasks under leases. Rebooting or
// failing a VM stops and starts its target through the target stand-in's control port.
// Thread-safe.
class vm_fleet {
public:
    vm_fleet(const std::vector<vm_definition>& vms, fleet_options options);

    // Answers calls below /v1/ and /control/vms/; returns nothing for other paths.
    std::optional<http::response> handle(const http::request& request);

private:
    enum class vm_power { up, rebooting, failed };

    struct task {
        std::string kind;
        double declared_cores = 0;
        std::string state = "running";
        std::int64_t fencing_token = 0;
        steady_time lease_until;
        double share = 1;
        std::chrono::duration<double, std::milli> progress{};
        int starts = 0;
    };

    struct machine {
        vm_definition definition;
        vm_power power = vm_power::up;
        bool draining = false;
        std::int64_t boot_id = 1;
        steady_time reboot_ends;
        bool fails_tasks = false;
        std::map<std::string, task> tasks;
    };

    struct snapshot {
        steady_time taken;
        std::string vms;
        std::string workers;
    };

    void advance();
    void advance_tasks(machine& machine, steady_time now);
    std::string describe_vms() const;
    std::string describe_workers() const;
    // Latest snapshot older than the lag.
    const snapshot& lagging_snapshot() const;
    http::response operate(machine& machine, const std::string& action, const std::string& body);
    http::response control(machine& machine, const std::string& action);
    http::response task_call(machine& machine, const std::string& task, const std::string& action,
                             const std::string& body);
    void switch_target(const std::string& vm, const std::string& action);

    const fleet_options options_;
    http::client target_control_;
    mutable std::mutex mutex_;
    std::map<std::string, machine> machines_;
    std::set<std::string> executed_; // operation ids
    std::map<std::string, std::int64_t> highest_tokens_;
    std::deque<snapshot> snapshots_;
    std::deque<std::pair<std::string, std::string>> target_actions_; // VM and action, in order
    steady_time last_advance_;
    // Last member: its thread uses the members above.
    std::unique_ptr<periodic_task> ticker_;
};

} // namespace jl::standins
