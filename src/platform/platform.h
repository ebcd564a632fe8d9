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

enum class platform_error_code {
    unavailable,     // the request was not sent, or the platform answered with HTTP 503
    outcome_unknown, // the request may have been carried out: it was sent, but no complete response
                     // arrived, or the platform answered with another HTTP 5xx
    not_found,       // the platform answered with HTTP 404
    refused,         // the platform answered with another HTTP status than 200, 404 or 5xx
    malformed        // the response is not JSON or lacks expected fields
};

struct platform_error {
    platform_error_code code = platform_error_code::unavailable;
    std::string message;
};

// Returns the error of the last failed call on the calling thread.
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
    std::string initial_pool; // used while the VM has no stored record
    bool leaving = false;     // the platform lists a state other than "live"
    std::int64_t boot_id = 0; // increases with each boot
    vm_resources resources;
};

// The platform's list of VMs. It can be several seconds out of date.
// Implementations are thread-safe.
class vm_list {
public:
    virtual ~vm_list() = default;
    virtual std::optional<std::vector<listed_vm>> fetch(steady_time deadline) = 0;
};

// Operations on VMs. The platform executes each operation id only once, so a call with a lost
// response can be retried with the same id. Implementations are thread-safe.
class vm_control {
public:
    virtual ~vm_control() = default;
    // Marks the VM as leaving in the VM list.
    virtual bool drain(const std::string& vm, const std::string& operation_id,
                       steady_time deadline) = 0;
    virtual bool cancel_drain(const std::string& vm, const std::string& operation_id,
                              steady_time deadline) = 0;
    // Shuts the VM down gracefully and boots it again. The platform lists the VM as live once it
    // is ready.
    virtual bool reboot(const std::string& vm, const std::string& operation_id,
                        steady_time deadline) = 0;
};

struct task_spec {
    std::string task;
    std::string kind; // type of work that the worker runs
    vm_resources declared;
    std::string checkpoint; // empty: the task starts from the beginning
    std::int64_t fencing_token = 0;
};

enum class task_state { running, throttled, stopped, finished, failed };

struct task_report {
    std::string task;
    task_state state = task_state::running;
    vm_resources used; // measured usage; can be out of date
    std::string checkpoint;
    std::int64_t fencing_token = 0;
};

struct worker_report {
    std::string vm;
    std::vector<task_report> tasks;
};

// Operations on the tasks of workers. Each task runs under a lease. When a lease expires without
// renewal, the platform ends the task. The platform refuses a command if its fencing token is
// lower than the highest one that it has seen for the task. Implementations are thread-safe.
class worker_control {
public:
    virtual ~worker_control() = default;
    virtual bool start(const std::string& vm, const task_spec& task, std::chrono::seconds lease,
                       steady_time deadline) = 0;
    virtual bool renew(const std::string& vm, const std::string& task, std::int64_t fencing_token,
                       std::chrono::seconds lease, steady_time deadline) = 0;
    // Limits the task to the fraction `share` (0..1) of its processors.
    virtual bool throttle(const std::string& vm, const std::string& task,
                          std::int64_t fencing_token, double share, steady_time deadline) = 0;
    virtual std::optional<std::string> checkpoint(const std::string& vm, const std::string& task,
                                                  std::int64_t fencing_token,
                                                  steady_time deadline) = 0;
    virtual bool stop(const std::string& vm, const std::string& task, std::int64_t fencing_token,
                      steady_time deadline) = 0;
    virtual std::optional<std::vector<worker_report>> reports(steady_time deadline) = 0;
};

// Clients of the platform's HTTP/JSON API that share one server address.
struct platform_api {
    std::unique_ptr<vm_list> list;
    std::unique_ptr<vm_control> control;
    std::unique_ptr<worker_control> workers;
};

platform_api make_http_platform(const endpoint& server);

namespace internal {
// Sets the error that last_error() returns on the calling thread. Returns nullopt so that callers
// can write `return fail(...)`.
std::nullopt_t fail(platform_error_code code, std::string message);
} // namespace internal

} // namespace jl::platform
