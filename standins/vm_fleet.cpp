#include "standins/vm_fleet.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jl::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds tick{50};

http::response ok(const json& body = json::object())
{
    return http::json_response(200, body.dump());
}

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> parts;
    std::string part;
    for (const char c : path + "/") {
        if (c != '/') {
            part += c;
        }
        else if (!part.empty()) {
            parts.push_back(std::move(part));
            part.clear();
        }
    }
    return parts;
}

} // namespace

vm_fleet::vm_fleet(const std::vector<vm_definition>& vms, fleet_options options)
    : options_(std::move(options)),
      target_control_(options_.target_control, {}),
      last_advance_(std::chrono::steady_clock::now())
{
    for (const auto& vm : vms) {
        machines_[vm.vm].definition = vm;
    }
    advance();
    ticker_ =
        std::make_unique<periodic_task>(tick, std::chrono::milliseconds(0), [this] { advance(); });
}

void vm_fleet::advance_tasks(machine& machine, steady_time now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - last_advance_;
    for (auto& [name, task] : machine.tasks) {
        if (task.state != "running" && task.state != "throttled") {
            continue;
        }
        if (machine.power != vm_power::up || now >= task.lease_until) {
            task.state = "stopped";
            continue;
        }
        if (machine.fails_tasks) {
            task.state = "failed";
            continue;
        }
        task.progress += elapsed * task.share;
        if (task.progress >= options_.task_time) {
            task.state = "finished";
        }
    }
}

void vm_fleet::advance()
{
    std::deque<std::pair<std::string, std::string>> actions;
    {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        for (auto& [name, machine] : machines_) {
            if (machine.power == vm_power::rebooting && now >= machine.reboot_ends) {
                machine.power = vm_power::up;
                machine.draining = false;
                ++machine.boot_id;
                target_actions_.emplace_back(name, "start");
            }
            advance_tasks(machine, now);
        }
        last_advance_ = now;
        snapshots_.push_back({now, describe_vms(), describe_workers()});
        while (snapshots_.size() > 1 && now - snapshots_[1].taken >= options_.list_lag) {
            snapshots_.pop_front();
        }
        actions.swap(target_actions_);
    }
    for (const auto& [vm, action] : actions) {
        switch_target(vm, action);
    }
}

void vm_fleet::switch_target(const std::string& vm, const std::string& action)
{
    http::request request;
    request.method = "POST";
    request.target = "/control/vms/" + vm + "/" + action;
    target_control_.exchange(request, std::chrono::steady_clock::now() + std::chrono::seconds(5));
}

std::string vm_fleet::describe_vms() const
{
    json list = json::array();
    for (const auto& [name, machine] : machines_) {
        const auto& vm = machine.definition;
        const char* state = machine.power != vm_power::up ? "down"
                            : machine.draining            ? "leaving"
                                                          : "live";
        list.push_back({{"vm", name},
                        {"address", vm.address.to_string()},
                        {"data_centre", vm.data_centre},
                        {"rack", vm.rack},
                        {"pool", vm.pool},
                        {"state", state},
                        {"boot_id", machine.boot_id},
                        {"resources",
                         {{"cores", vm.cores},
                          {"memory_gb", vm.memory_gb},
                          {"accelerators", vm.accelerators}}}});
    }
    return json{{"vms", list}}.dump();
}

std::string vm_fleet::describe_workers() const
{
    json list = json::array();
    for (const auto& [name, machine] : machines_) {
        json tasks = json::array();
        for (const auto& [id, task] : machine.tasks) {
            const bool runs = task.state == "running" || task.state == "throttled";
            tasks.push_back({{"task", id},
                             {"state", task.state},
                             {"fencing_token", task.fencing_token},
                             {"checkpoint", std::to_string(task.progress.count())},
                             {"starts", task.starts},
                             {"used", {{"cores", runs ? task.declared_cores * task.share : 0}}}});
        }
        list.push_back({{"vm", name}, {"tasks", tasks}});
    }
    return json{{"workers", list}}.dump();
}

const vm_fleet::snapshot& vm_fleet::lagging_snapshot() const
{
    return snapshots_.front();
}

std::optional<http::response> vm_fleet::handle(const http::request& request)
{
    const auto parts = split_path(request.target);
    const std::lock_guard lock(mutex_);
    if (request.method == "GET" && request.target == "/v1/vms") {
        return http::json_response(200, lagging_snapshot().vms);
    }
    if (request.method == "GET" && request.target == "/v1/workers") {
        return http::json_response(200, lagging_snapshot().workers);
    }
    if (parts.size() < 4 || parts[1] != "vms" || request.method != "POST") {
        return std::nullopt;
    }
    const auto found = machines_.find(parts[2]);
    if (found == machines_.end()) {
        return http::error_response(404, "not_found", "no VM named " + parts[2]);
    }
    if (parts[0] == "control") {
        return control(found->second, parts[3]);
    }
    if (parts.size() == 6 && parts[3] == "tasks") {
        return task_call(found->second, parts[4], parts[5], request.body);
    }
    return operate(found->second, parts[3], request.body);
}

http::response vm_fleet::operate(machine& machine, const std::string& action,
                                 const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("operation_id")) {
        return http::error_response(400, "malformed", "missing", "operation_id");
    }
    const auto id =
        action + " " + machine.definition.vm + " " + value["operation_id"].get<std::string>();
    if (action != "drain" && action != "cancel-drain" && action != "reboot") {
        return http::error_response(404, "not_found", "unknown action " + action);
    }
    if (!executed_.insert(id).second) {
        return ok({{"repeated", true}});
    }
    if (machine.power != vm_power::up) {
        return ok({{"ignored", "the VM is not running"}});
    }
    if (action != "reboot") {
        machine.draining = action == "drain";
        return ok();
    }
    machine.power = vm_power::rebooting;
    machine.reboot_ends = std::chrono::steady_clock::now() + options_.reboot_time;
    target_actions_.emplace_back(machine.definition.vm, "stop");
    return ok();
}

http::response vm_fleet::control(machine& machine, const std::string& action)
{
    if (action == "fail") {
        machine.power = vm_power::failed;
        target_actions_.emplace_back(machine.definition.vm, "stop");
        return ok();
    }
    if (action == "repair") {
        machine.power = vm_power::up;
        machine.draining = false;
        ++machine.boot_id;
        target_actions_.emplace_back(machine.definition.vm, "start");
        return ok();
    }
    if (action == "fail-tasks" || action == "run-tasks") {
        machine.fails_tasks = action == "fail-tasks";
        return ok();
    }
    return http::error_response(404, "not_found", "unknown action " + action);
}

http::response vm_fleet::task_call(machine& machine, const std::string& name,
                                   const std::string& action, const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("fencing_token")) {
        return http::error_response(400, "malformed", "missing", "fencing_token");
    }
    const auto token = value["fencing_token"].get<std::int64_t>();
    auto& highest = highest_tokens_[name];
    if (token < highest) {
        return http::error_response(409, "fenced", "a higher fencing token was used");
    }
    highest = token;
    if (machine.power != vm_power::up) {
        return http::error_response(503, "down", "the VM is not running");
    }
    const auto lease_until = std::chrono::steady_clock::now() +
                             std::chrono::seconds(value.value("lease_s", std::int64_t{10}));
    if (action == "start") {
        auto& task = machine.tasks[name];
        if (task.starts > 0 && task.state == "running") {
            return ok({{"repeated", true}});
        }
        task.kind = value.value("kind", "");
        task.declared_cores =
            value.value("declared", json::object()).value("cores", task.declared_cores);
        task.state = "running";
        task.share = 1;
        task.fencing_token = token;
        task.lease_until = lease_until;
        const auto checkpoint = value.value("checkpoint", "");
        if (!checkpoint.empty()) {
            task.progress = std::chrono::duration<double, std::milli>(std::stod(checkpoint));
        }
        ++task.starts;
        return ok();
    }
    const auto found = machine.tasks.find(name);
    if (found == machine.tasks.end()) {
        return http::error_response(404, "not_found", "no task named " + name);
    }
    auto& task = found->second;
    if (action == "renew") {
        task.lease_until = lease_until;
        return ok();
    }
    if (action == "throttle") {
        task.share = value.value("share", 1.0);
        task.state = task.share < 1 ? "throttled" : "running";
        return ok();
    }
    if (action == "checkpoint") {
        return ok({{"checkpoint", std::to_string(task.progress.count())}});
    }
    if (action == "stop") {
        task.state = "stopped";
        return ok();
    }
    return http::error_response(404, "not_found", "unknown action " + action);
}

} // namespace jl::standins
