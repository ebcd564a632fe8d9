#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "base/time.h"

namespace jl::platform {

enum class platform_error_code { unavailable, outcome_unknown, not_found, refused, malformed };

struct platform_error {
    platform_error_code code = platform_error_code::unavailable;
    std::string message;
};

// Reason of the last failed call of this thread.
const platform_error& last_error();

struct vm_resources {
    double cores = 0;
    double memory_gb = 0;
    int accelerators = 0;
};

struct listed_vm {
    std::string vm;
    endpoint address; // of the target that runs on the VM
    std::string data_centre;
    std::string rack;
    std::string initial_pool; // pool of a VM that has no record yet
    bool leaving = false;
    std::int64_t boot_id = 0; // increases with each boot
    vm_resources resources;
};

// The platform's list of VMs. It lags behind the real state by up to some seconds.
// Implementations are thread-safe.
class vm_list {
public:
    virtual ~vm_list() = default;
    virtual std::optional<std::vector<listed_vm>> fetch(steady_time deadline) = 0;
};

// Operations on VMs. The platform executes an operation id once, so a call whose answer was lost
// can be repeated with the same id. Implementations are thread-safe.
class vm_control {
public:
    virtual ~vm_control() = default;
    // Marks the VM as leaving in the VM list.
    virtual bool drain(const std::string& vm, const std::string& operation_id,
                       steady_time deadline) = 0;
    virtual bool cancel_drain(const std::string& vm, const std::string& operation_id,
                              steady_time deadline) = 0;
    // Shuts the VM down gracefully and boots it again. The VM is listed as live when it is ready.
    virtual bool reboot(const std::string& vm, const std::string& operation_id,
                        steady_time deadline) = 0;
};

struct task_spec {
    std::string task;
    std::string kind; // what the worker runs
    vm_resources declared;
    std::string checkpoint; // empty: start from the beginning
    std::int64_t fencing_token = 0;
};

enum class task_state { running, throttled, stopped, finished, failed };

struct task_report {
    std::string task;
    task_state state = task_state::running;
    vm_resources used; // lags behind
    std::string checkpoint;
    std::int64_t fencing_token = 0;
};

struct worker_report {
    std::string vm;
    std::vector<task_report> tasks;
};

// Tasks on workers. Each task runs under a lease that the platform ends, and with it the task,
// unless it is renewed in time. A command with a fencing token lower than the highest seen for the
// task is refused. Implementations are thread-safe.
class worker_control {
public:
    virtual ~worker_control() = default;
    virtual bool start(const std::string& vm, const task_spec& task, std::chrono::seconds lease,
                       steady_time deadline) = 0;
    virtual bool renew(const std::string& vm, const std::string& task, std::int64_t fencing_token,
                       std::chrono::seconds lease, steady_time deadline) = 0;
    // Limits the task to `share` of its processors, 0..1.
    virtual bool throttle(const std::string& vm, const std::string& task,
                          std::int64_t fencing_token, double share, steady_time deadline) = 0;
    virtual std::optional<std::string> checkpoint(const std::string& vm, const std::string& task,
                                                  std::int64_t fencing_token,
                                                  steady_time deadline) = 0;
    virtual bool stop(const std::string& vm, const std::string& task, std::int64_t fencing_token,
                      steady_time deadline) = 0;
    virtual std::optional<std::vector<worker_report>> reports(steady_time deadline) = 0;
};

// The three interfaces over the platform's HTTP/JSON API at one address.
struct platform_api {
    std::unique_ptr<vm_list> list;
    std::unique_ptr<vm_control> control;
    std::unique_ptr<worker_control> workers;
};

platform_api make_http_platform(const endpoint& server);

namespace internal {
std::nullopt_t fail(platform_error_code code, std::string message);
} // namespace internal

} // namespace jl::platform
