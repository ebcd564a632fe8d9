#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/message.h"
#include "standins/fault_proxy.h"
#include "tests/harness/child_process.h"
#include "tests/soak/soak_plan.h"

namespace jl::soak {

// The system under test: a platform stand-in and nodes as processes, with a proxy on each path.
// Thread-safe but for apply() and heal(), which one thread calls.
class soak_fleet {
public:
    soak_fleet(int nodes, std::filesystem::path directory);
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;

    int nodes() const { return static_cast<int>(nodes_.size()); }
    const endpoint& callers(int node) const
    {
        return nodes_[static_cast<std::size_t>(node)].callers;
    }
    bool all_ready() const;

    // Does what is due now: begins faults and ends those whose time is over.
    void apply(fault fault, std::chrono::milliseconds now);
    void end_due(std::chrono::milliseconds now);
    // Ends all faults and starts what does not run.
    void heal();
    // Stops all nodes by SIGTERM; returns those that did not exit with 0.
    std::vector<std::string> stop_nodes();

    // What the stand-in saw: starts by task, and what must never have happened.
    nlohmann::json report() const;
    // What is wrong with the processes, as ends that nobody caused.
    const std::vector<std::string>& complaints() const { return complaints_; }
    void check_processes();

private:
    struct node {
        endpoint callers;
        endpoint readiness;
        endpoint peers;
        endpoint platform; // through the proxy
        std::unique_ptr<harness::child_process> process;
        bool paused = false;
        bool stopping = false; // SIGTERM was sent
        int starts = 0;
    };
    struct pending_end {
        std::chrono::milliseconds at{0};
        fault what;
    };

    void start_node(std::size_t index);
    void ask_to_stop(std::size_t index);
    void await_stop(std::size_t index);
    void end(const fault& fault);
    // The node that leads by the store; node 0 if none does.
    int leader() const;
    void restart_worker(const fault& fault) const;
    void control(const nlohmann::json& command) const;
    standins::fault_proxy& path(int target);

    std::filesystem::path directory_;
    endpoint platform_address_;
    endpoint worker_address_; // through the proxy
    std::unique_ptr<harness::child_process> platform_;
    std::vector<node> nodes_;
    std::vector<std::unique_ptr<standins::fault_proxy>> paths_;
    std::vector<pending_end> pending_;
    std::vector<std::string> complaints_;
    int config_version_ = 1;
    int waves_ = 0;
};

// One exchange on a connection of its own.
std::optional<http::response> exchange(const endpoint& server, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       std::chrono::milliseconds limit);

} // namespace jl::soak
