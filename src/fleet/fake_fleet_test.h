#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_state.h"
#include "platform/platform.h"
#include "records/records.h"
#include "standins/memory_store.h"

// Fakes for the planner's tests: a clock, a platform and entries that acknowledge drains.
namespace jl::fleet {

class manual_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time(now_); }
    wall_time wall_now() const override { return from_unix(std::chrono::hours(500000) + now_); }
    void advance(std::chrono::milliseconds time) { now_ += time; }

private:
    std::chrono::milliseconds now_{std::chrono::hours(1)};
};

// VMs that execute an operation id once; a reboot takes effect at the next fetch of the list.
class fake_platform {
public:
    struct machine {
        platform::listed_vm listed;
        std::vector<std::string> reboots; // operation ids
        bool rebooting = false;
        bool dead = false;
    };

    platform::platform_api api()
    {
        return {std::make_unique<list_binding>(*this), std::make_unique<control_binding>(*this),
                std::make_unique<worker_binding>(*this)};
    }

    void add(const std::string& vm, const std::string& pool, const std::string& rack)
    {
        auto& machine = machines[vm];
        machine.listed.vm = vm;
        machine.listed.initial_pool = pool;
        machine.listed.rack = rack;
        machine.listed.data_centre = "d";
        machine.listed.boot_id = 1;
        machine.listed.resources = {64, 128, 0};
    }

    std::map<std::string, machine> machines;
    std::map<std::string, platform::worker_report> workers;
    // Every accepted start of a task: task and VM.
    std::vector<std::pair<std::string, std::string>> task_starts;
    bool failing_tasks = false;
    bool unreachable = false;

private:
    class list_binding final : public platform::vm_list {
    public:
        explicit list_binding(fake_platform& owner) : owner_(owner) {}
        std::optional<std::vector<platform::listed_vm>> fetch(steady_time /*deadline*/) override
        {
            if (owner_.unreachable) {
                return platform::internal::fail(platform::platform_error_code::unavailable,
                                                "unreachable");
            }
            std::vector<platform::listed_vm> result;
            for (auto& [name, machine] : owner_.machines) {
                if (std::exchange(machine.rebooting, false)) {
                    ++machine.listed.boot_id;
                    machine.listed.leaving = false;
                }
                if (!machine.dead) {
                    result.push_back(machine.listed);
                }
            }
            return result;
        }

    private:
        fake_platform& owner_;
    };

    class control_binding final : public platform::vm_control {
    public:
        explicit control_binding(fake_platform& owner) : owner_(owner) {}
        bool drain(const std::string& vm, const std::string& operation,
                   steady_time /*deadline*/) override
        {
            if (owner_.executed_.insert(operation).second) {
                owner_.machines[vm].listed.leaving = true;
            }
            return true;
        }
        bool cancel_drain(const std::string& vm, const std::string& operation,
                          steady_time /*deadline*/) override
        {
            if (owner_.executed_.insert(operation).second) {
                owner_.machines[vm].listed.leaving = false;
            }
            return true;
        }
        bool reboot(const std::string& vm, const std::string& operation,
                    steady_time /*deadline*/) override
        {
            if (owner_.executed_.insert(operation).second) {
                owner_.machines[vm].rebooting = true;
                owner_.machines[vm].reboots.push_back(operation);
            }
            return true;
        }

    private:
        fake_platform& owner_;
    };

    class worker_binding final : public platform::worker_control {
    public:
        explicit worker_binding(fake_platform& owner) : owner_(owner) {}
        bool start(const std::string& vm, const platform::task_spec& task,
                   std::chrono::seconds /*lease*/, steady_time /*deadline*/) override
        {
            auto& highest = owner_.tokens_[task.task];
            if (task.fencing_token < highest) {
                return false;
            }
            highest = task.fencing_token;
            platform::task_report report;
            report.task = task.task;
            report.state =
                owner_.failing_tasks ? platform::task_state::failed : platform::task_state::running;
            report.used = task.declared;
            report.fencing_token = task.fencing_token;
            owner_.workers[vm].vm = vm;
            auto& tasks = owner_.workers[vm].tasks;
            for (auto& known : tasks) {
                if (known.task == task.task) {
                    known = report;
                    owner_.task_starts.emplace_back(task.task, vm);
                    return true;
                }
            }
            tasks.push_back(report);
            owner_.task_starts.emplace_back(task.task, vm);
            return true;
        }
        bool renew(const std::string& /*vm*/, const std::string& task, std::int64_t token,
                   std::chrono::seconds /*lease*/, steady_time /*deadline*/) override
        {
            return token >= owner_.tokens_[task];
        }
        bool throttle(const std::string& vm, const std::string& task, std::int64_t token,
                      double /*share*/, steady_time /*deadline*/) override
        {
            return set_state(vm, task, token, platform::task_state::throttled);
        }
        std::optional<std::string> checkpoint(const std::string& vm, const std::string& task,
                                              std::int64_t /*token*/,
                                              steady_time /*deadline*/) override
        {
            return "checkpoint of " + task + " on " + vm;
        }
        bool stop(const std::string& vm, const std::string& task, std::int64_t token,
                  steady_time /*deadline*/) override
        {
            return set_state(vm, task, token, platform::task_state::stopped);
        }
        std::optional<std::vector<platform::worker_report>>
        reports(steady_time /*deadline*/) override
        {
            std::vector<platform::worker_report> result;
            for (const auto& [vm, worker] : owner_.workers) {
                result.push_back(worker);
            }
            return result;
        }

    private:
        bool set_state(const std::string& vm, const std::string& task, std::int64_t token,
                       platform::task_state state)
        {
            for (auto& known : owner_.workers[vm].tasks) {
                if (known.task == task && token >= owner_.tokens_[task]) {
                    known.state = state;
                    return true;
                }
            }
            return false;
        }

        fake_platform& owner_;
    };

    std::set<std::string> executed_;
    std::map<std::string, std::int64_t> tokens_;
};

// Entries that see every record at once and acknowledge it.
class fake_observer final : public cluster::cluster_observer {
public:
    explicit fake_observer(standins::memory_store& store) : store_(store) {}

    objects::object_set_ptr configuration() const override { return set; }
    cluster::vm_snapshot_ptr vms() const override
    {
        return std::make_shared<const cluster::vm_snapshot>();
    }
    std::vector<cluster::member_status> members() const override
    {
        cluster::member_status status;
        status.member.member = "e0";
        status.alive = true;
        status.loads = loads;
        for (const auto& [vm, revision] : revisions) {
            status.acknowledgments.push_back({vm, revision, 0});
        }
        return {status};
    }

    // Reads the records as a watch would; the caller makes sure that no fault is set.
    void refresh()
    {
        const auto items = store_.range(
            {records::vms_prefix, store::prefix_end(records::vms_prefix), 0}, steady_time{});
        revisions.clear();
        for (const auto& item : items->items) {
            const auto record = records::parse_vm(item.value);
            revisions[record->vm] = item.mod_revision;
        }
    }

    objects::object_set_ptr set;
    std::vector<cluster::service_load> loads;
    std::map<std::string, std::int64_t> revisions;

private:
    standins::memory_store& store_;
};

} // namespace jl::fleet
