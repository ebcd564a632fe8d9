#include "tests/soak/soak_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "http/client.h"
#include "platform/testing/platform_standin.h"
#include "tests/harness/deployment.h"
#include "tests/harness/node_settings.h"

namespace jl::soak {

namespace {

using nlohmann::json;
using standins::proxy_fault;
using std::chrono::milliseconds;

constexpr milliseconds control_limit{2000};
constexpr milliseconds stop_limit{8000}; // the grace time of 4 s, with room on a busy machine
constexpr milliseconds least_delay{20};
constexpr int delays = 15; // steps of the least delay
constexpr int wave_vms = 3;

std::string program(const char* name)
{
    return std::string(JL_BIN_DIR) + "/" + name;
}

std::string node_name(std::size_t index)
{
    return "node-" + std::to_string(index);
}

} // namespace

std::optional<http::response> exchange(const endpoint& server, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       milliseconds limit)
{
    http::client client(server, {});
    http::request request;
    request.method = method;
    request.target = target;
    request.headers["Host"] = "plans.example";
    request.headers["X-Deadline-Remaining"] = std::to_string(limit.count());
    request.body = body;
    return client.exchange(request, std::chrono::steady_clock::now() + limit);
}

soak_fleet::soak_fleet(int nodes, std::filesystem::path directory)
    : directory_(std::move(directory)),
      platform_address_(harness::free_endpoint()),
      worker_address_(harness::free_endpoint())
{
    std::filesystem::create_directories(directory_);
    platform_ = std::make_unique<harness::child_process>(
        program("jl-standin-users-platform"),
        std::vector<std::string>{platform_address_.to_string(), "400", worker_address_.to_string()},
        (directory_ / "platform.log").string());
    harness::eventually([&] { return !report().is_null(); });
    control({{"odd_entries", true}});
    for (int index = 0; index < nodes; ++index) {
        node added;
        added.callers = harness::free_endpoint();
        added.readiness = harness::free_endpoint();
        added.peers = harness::free_endpoint();
        added.platform = harness::free_endpoint();
        paths_.push_back(
            std::make_unique<standins::fault_proxy>(added.platform, platform_address_));
        nodes_.push_back(std::move(added));
    }
    paths_.push_back(std::make_unique<standins::fault_proxy>(worker_address_, platform_address_));
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        start_node(index);
    }
}

soak_fleet::~soak_fleet()
{
    for (auto& node : nodes_) {
        node.process.reset();
    }
    platform_.reset();
}

void soak_fleet::start_node(std::size_t index)
{
    auto& node = nodes_[index];
    const auto name = node_name(index);
    const auto path = directory_ / (name + ".json");
    auto settings = json::parse(
        harness::node_settings(name, {node.callers, node.readiness, node.peers, node.platform}));
    settings["bounds"]["maxHoldMs"] = adapter::testing::longest_lease.count();
    std::ofstream(path) << settings.dump();
    const auto log = directory_ / (name + "." + std::to_string(node.starts++) + ".log");
    node.process = std::make_unique<harness::child_process>(
        program("jl-node"), std::vector<std::string>{"--settings", path.string()}, log.string());
    node.paused = false;
    node.stopping = false;
}

void soak_fleet::ask_to_stop(std::size_t index)
{
    auto& node = nodes_[index];
    if (!node.process || node.stopping) {
        return;
    }
    if (node.paused) {
        node.process->resume();
        node.paused = false;
    }
    ::kill(node.process->pid(), SIGTERM);
    node.stopping = true;
}

// Waits for the end of a node that was asked to stop, which must come in time and be clean.
void soak_fleet::await_stop(std::size_t index)
{
    auto& node = nodes_[index];
    const auto name = node_name(index);
    const auto exit = harness::wait_for_exit(*node.process, stop_limit);
    if (!exit) {
        complaints_.push_back(name + " did not end after SIGTERM");
    }
    else if (*exit != 0) {
        complaints_.push_back(name + " ended with " + std::to_string(*exit) + " after SIGTERM");
    }
    node.process.reset();
    node.stopping = false;
}

bool soak_fleet::all_ready() const
{
    return std::all_of(nodes_.begin(), nodes_.end(), [](const node& node) {
        const auto answer = exchange(node.readiness, "GET", "/api/readiness", "", control_limit);
        return answer && answer->status == 200;
    });
}

standins::fault_proxy& soak_fleet::path(int target)
{
    return *paths_[static_cast<std::size_t>(target)];
}

void soak_fleet::control(const json& command) const
{
    exchange(platform_address_, "POST", "/standin/control", command.dump(), control_limit);
}

int soak_fleet::leader() const
{
    const auto answer = exchange(platform_address_, "GET", "/standin/leader", "", control_limit);
    const auto entry = answer ? json::parse(answer->body, nullptr, false) : json();
    const auto name = entry.is_object() ? entry.value("node", "") : "";
    for (int index = 0; index < nodes(); ++index) {
        if (name == node_name(static_cast<std::size_t>(index))) {
            return index;
        }
    }
    return 0;
}

void soak_fleet::restart_worker(const fault& fault) const
{
    json command = {{"restart_worker", fault.length.count()}};
    if (fault.trouble) {
        command["silent"] = fault.trouble->silent;
        command["register_after_ms"] = fault.trouble->registered_after.count();
        command["cut_after_ms"] = fault.trouble->cut_after.count();
        command["cut_ms"] = fault.trouble->cut_length.count();
    }
    control(command);
}

void soak_fleet::apply(fault fault, milliseconds now)
{
    if (fault.target == leading_node) {
        fault.target = leader();
    }
    const auto index = static_cast<std::size_t>(fault.target % nodes());
    auto& node = nodes_[index];
    proxy_fault on_path;
    bool lasts = true;
    switch (fault.kind) {
    case fault_kind::kill_node:
        if (node.process) {
            node.process.reset(); // kills it
            node.stopping = false;
        }
        break;
    case fault_kind::terminate_node:
        ask_to_stop(index);
        break;
    case fault_kind::pause_node:
        if (node.process && !node.paused && !node.stopping) {
            node.process->pause();
            node.paused = true;
        }
        break;
    case fault_kind::reload_node:
        if (node.process) {
            ::kill(node.process->pid(), SIGHUP);
        }
        lasts = false;
        break;
    case fault_kind::delay_path:
        on_path.delay = least_delay * (1 + fault.length.count() % delays);
        path(fault.target).set_fault(on_path);
        break;
    case fault_kind::silence_path:
        on_path.type = proxy_fault::kind::silent;
        path(fault.target).set_fault(on_path);
        break;
    case fault_kind::drop_answers:
        on_path.type = proxy_fault::kind::drop_answer;
        path(fault.target).set_fault(on_path);
        break;
    case fault_kind::refuse_path:
        on_path.type = proxy_fault::kind::refuse;
        path(fault.target).set_fault(on_path);
        break;
    case fault_kind::reset_path:
        path(fault.target).reset_existing();
        lasts = false;
        break;
    case fault_kind::freeze_path:
        path(fault.target).silence_existing();
        lasts = false;
        break;
    case fault_kind::crash_worker:
        restart_worker(fault);
        lasts = false;
        break;
    case fault_kind::change_config:
        control({{"config_version", ++config_version_}});
        lasts = false;
        break;
    case fault_kind::request_wave:
        control({{"wave", ++waves_}, {"vms", wave_vms}});
        lasts = false;
        break;
    }
    if (lasts) {
        pending_.push_back({now + fault.length, fault});
    }
}

void soak_fleet::end(const fault& fault)
{
    const auto index = static_cast<std::size_t>(fault.target % nodes());
    auto& node = nodes_[index];
    switch (fault.kind) {
    case fault_kind::kill_node:
    case fault_kind::terminate_node:
        if (node.process && node.stopping) {
            await_stop(index);
        }
        if (!node.process) {
            start_node(index);
        }
        return;
    case fault_kind::pause_node:
        if (node.process && node.paused) {
            node.process->resume();
            node.paused = false;
        }
        return;
    default:
        path(fault.target).set_fault({});
        return;
    }
}

void soak_fleet::end_due(milliseconds now)
{
    const auto pending = std::exchange(pending_, {});
    for (const auto& entry : pending) {
        if (entry.at <= now) {
            end(entry.what);
        }
        else {
            pending_.push_back(entry);
        }
    }
}

void soak_fleet::heal()
{
    end_due(milliseconds::max());
    for (auto& path : paths_) {
        path->set_fault({});
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!nodes_[index].process) {
            start_node(index);
        }
    }
}

void soak_fleet::check_processes()
{
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        auto& node = nodes_[index];
        if (node.process && !node.paused && !node.stopping && !node.process->running()) {
            complaints_.push_back(node_name(index) + " ended by itself");
            node.process.reset();
            start_node(index);
        }
    }
    if (!platform_->running()) {
        complaints_.emplace_back("the stand-in ended by itself");
    }
}

std::vector<std::string> soak_fleet::stop_nodes()
{
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        ask_to_stop(index);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        await_stop(index);
    }
    return complaints_;
}

json soak_fleet::report() const
{
    const auto answer = exchange(platform_address_, "GET", "/standin/report", "", control_limit);
    return answer ? json::parse(answer->body, nullptr, false) : json();
}

} // namespace jl::soak
