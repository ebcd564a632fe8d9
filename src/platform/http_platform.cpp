#include <nlohmann/json.hpp>

#include "base/json.h"
#include "http/client.h"
#include "platform/platform.h"

// Endpoints of the platform API:
//   GET  /v1/vms                                     {"vms": [...]}
//   POST /v1/vms/<vm>/{drain,cancel-drain,reboot}    {"operation_id": ...}
//   POST /v1/vms/<vm>/tasks/<task>/{start,renew,throttle,checkpoint,stop}
//   GET  /v1/workers                                 {"workers": [...]}

namespace jl::platform {

namespace {

using nlohmann::json;

platform_error& thread_error()
{
    thread_local platform_error error;
    return error;
}

platform_error_code classify(int status)
{
    constexpr int not_found = 404;
    constexpr int first_server_error = 500;
    constexpr int service_unavailable = 503;
    switch (status) {
    case not_found:
        return platform_error_code::not_found;
    case service_unavailable:
        return platform_error_code::unavailable;
    default:
        return status >= first_server_error ? platform_error_code::outcome_unknown
                                            : platform_error_code::refused;
    }
}

// Sends one request and returns the JSON body of a 200 response. On failure sets last_error() and
// returns nullopt.
std::optional<json> call(http::client& client, const std::string& method, const std::string& path,
                         const json& body, steady_time deadline)
{
    http::request request;
    request.method = method;
    request.target = path;
    if (!body.is_null()) {
        request.headers["Content-Type"] = "application/json";
        request.body = body.dump();
    }
    const auto answer = client.exchange(request, deadline);
    if (!answer) {
        const auto& error = http::client::last_error();
        return internal::fail(error.not_sent() ? platform_error_code::unavailable
                                               : platform_error_code::outcome_unknown,
                              path + ": " + error.message);
    }
    auto value = parse_json(answer->body);
    if (answer->status == 200 && !value.is_discarded()) {
        return value;
    }
    if (answer->status == 200) {
        return internal::fail(platform_error_code::malformed, path + ": the answer is not JSON");
    }
    return internal::fail(classify(answer->status), path + ": " + answer->body);
}

vm_resources read_resources(const json& value)
{
    return {value.value("cores", 0.0), value.value("memory_gb", 0.0),
            value.value("accelerators", 0)};
}

json to_json(const vm_resources& resources)
{
    return {{"cores", resources.cores},
            {"memory_gb", resources.memory_gb},
            {"accelerators", resources.accelerators}};
}

class http_vm_list final : public vm_list {
public:
    explicit http_vm_list(std::shared_ptr<http::client> client) : client_(std::move(client)) {}

    std::optional<std::vector<listed_vm>> fetch(steady_time deadline) override
    {
        const auto answer = call(*client_, "GET", "/v1/vms", nullptr, deadline);
        if (!answer) {
            return std::nullopt;
        }
        try {
            std::vector<listed_vm> vms;
            for (const auto& item : answer->at("vms")) {
                vms.push_back(read(item));
            }
            return vms;
        }
        catch (const json::exception& error) {
            return internal::fail(platform_error_code::malformed, error.what());
        }
    }

private:
    static listed_vm read(const json& item)
    {
        listed_vm vm;
        vm.vm = item.at("vm").get<std::string>();
        vm.address = parse_endpoint(item.at("address").get<std::string>()).value_or(endpoint{});
        vm.data_centre = item.at("data_centre").get<std::string>();
        vm.rack = item.at("rack").get<std::string>();
        vm.initial_pool = item.value("pool", "");
        vm.leaving = item.at("state").get<std::string>() != "live";
        vm.boot_id = item.at("boot_id").get<std::int64_t>();
        vm.resources = read_resources(item.value("resources", json::object()));
        return vm;
    }

    std::shared_ptr<http::client> client_;
};

class http_vm_control final : public vm_control {
public:
    explicit http_vm_control(std::shared_ptr<http::client> client) : client_(std::move(client)) {}

    bool drain(const std::string& vm, const std::string& operation_id,
               steady_time deadline) override
    {
        return operate(vm, "drain", operation_id, deadline);
    }
    bool cancel_drain(const std::string& vm, const std::string& operation_id,
                      steady_time deadline) override
    {
        return operate(vm, "cancel-drain", operation_id, deadline);
    }
    bool reboot(const std::string& vm, const std::string& operation_id,
                steady_time deadline) override
    {
        return operate(vm, "reboot", operation_id, deadline);
    }

private:
    bool operate(const std::string& vm, const std::string& action, const std::string& operation_id,
                 steady_time deadline)
    {
        return call(*client_, "POST", "/v1/vms/" + vm + "/" + action,
                    json{{"operation_id", operation_id}}, deadline)
            .has_value();
    }

    std::shared_ptr<http::client> client_;
};

std::optional<task_state> parse_task_state(const std::string& text)
{
    if (text == "running") {
        return task_state::running;
    }
    if (text == "throttled") {
        return task_state::throttled;
    }
    if (text == "stopped") {
        return task_state::stopped;
    }
    if (text == "finished") {
        return task_state::finished;
    }
    if (text == "failed") {
        return task_state::failed;
    }
    return std::nullopt;
}

class http_worker_control final : public worker_control {
public:
    explicit http_worker_control(std::shared_ptr<http::client> client) : client_(std::move(client))
    {
    }

    bool start(const std::string& vm, const task_spec& task, std::chrono::seconds lease,
               steady_time deadline) override
    {
        const json body = {{"kind", task.kind},
                           {"declared", to_json(task.declared)},
                           {"checkpoint", task.checkpoint},
                           {"fencing_token", task.fencing_token},
                           {"lease_s", lease.count()}};
        return operate(vm, task.task, "start", body, deadline).has_value();
    }

    bool renew(const std::string& vm, const std::string& task, std::int64_t fencing_token,
               std::chrono::seconds lease, steady_time deadline) override
    {
        const json body = {{"fencing_token", fencing_token}, {"lease_s", lease.count()}};
        return operate(vm, task, "renew", body, deadline).has_value();
    }

    bool throttle(const std::string& vm, const std::string& task, std::int64_t fencing_token,
                  double share, steady_time deadline) override
    {
        const json body = {{"fencing_token", fencing_token}, {"share", share}};
        return operate(vm, task, "throttle", body, deadline).has_value();
    }

    std::optional<std::string> checkpoint(const std::string& vm, const std::string& task,
                                          std::int64_t fencing_token, steady_time deadline) override
    {
        const auto answer =
            operate(vm, task, "checkpoint", json{{"fencing_token", fencing_token}}, deadline);
        if (!answer) {
            return std::nullopt;
        }
        try {
            return answer->value("checkpoint", "");
        }
        catch (const json::exception& error) {
            return internal::fail(platform_error_code::malformed, error.what());
        }
    }

    bool stop(const std::string& vm, const std::string& task, std::int64_t fencing_token,
              steady_time deadline) override
    {
        return operate(vm, task, "stop", json{{"fencing_token", fencing_token}}, deadline)
            .has_value();
    }

    std::optional<std::vector<worker_report>> reports(steady_time deadline) override
    {
        const auto answer = call(*client_, "GET", "/v1/workers", nullptr, deadline);
        if (!answer) {
            return std::nullopt;
        }
        try {
            std::vector<worker_report> workers;
            for (const auto& item : answer->at("workers")) {
                workers.push_back(read(item));
            }
            return workers;
        }
        catch (const json::exception& error) {
            return internal::fail(platform_error_code::malformed, error.what());
        }
    }

private:
    static worker_report read(const json& item)
    {
        worker_report worker;
        worker.vm = item.at("vm").get<std::string>();
        for (const auto& entry : item.at("tasks")) {
            task_report task;
            task.task = entry.at("task").get<std::string>();
            // A state that we do not know is no end: the task would be started a second time.
            task.state = parse_task_state(entry.at("state").get<std::string>())
                             .value_or(task_state::running);
            task.used = read_resources(entry.value("used", json::object()));
            task.checkpoint = entry.value("checkpoint", "");
            task.fencing_token = entry.value("fencing_token", std::int64_t{0});
            worker.tasks.push_back(std::move(task));
        }
        return worker;
    }

    std::optional<json> operate(const std::string& vm, const std::string& task,
                                const std::string& action, const json& body, steady_time deadline)
    {
        return call(*client_, "POST", "/v1/vms/" + vm + "/tasks/" + task + "/" + action, body,
                    deadline);
    }

    std::shared_ptr<http::client> client_;
};

} // namespace

const platform_error& last_error()
{
    return thread_error();
}

std::nullopt_t internal::fail(platform_error_code code, std::string message)
{
    thread_error() = {code, std::move(message)};
    return std::nullopt;
}

platform_api make_http_platform(const endpoint& server)
{
    http::client_limits limits;
    limits.max_connections = 16;
    auto client = std::make_shared<http::client>(server, limits);
    return {std::make_unique<http_vm_list>(client), std::make_unique<http_vm_control>(client),
            std::make_unique<http_worker_control>(client)};
}

} // namespace jl::platform
