#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/settings.h"
#include "http/client.h"
#include "store/key_value_store.h"
#include "tests/harness/child_process.h"

namespace jl::harness {

struct deployment_options {
    std::string example = "co-op"; // directory below examples/
    int entries = 3;
    int vms_per_pool = 8;
    int vms_per_rack = 4;
    bool planners = false;
    bool admins = false;
    // Routes store-<i>, peer-<i> (to entry i) and target-<vm> through the fault proxy.
    bool proxies = false;
    std::chrono::milliseconds list_lag{1000};
    std::chrono::milliseconds reboot_time{1000};
    std::chrono::milliseconds task_time{1000};
    std::chrono::milliseconds work_time{20}; // of a request that does not give one
    // Settings merged into those of every entry, planner or admin.
    nlohmann::json entry_settings = nlohmann::json::object();
    nlohmann::json planner_settings = nlohmann::json::object();
    nlohmann::json admin_settings = nlohmann::json::object();
};

// Bearer token accepted by the harness's jl-admin processes (all teams).
inline constexpr const char* operator_token = "harness-operator-token";

// A whole deployment as processes on 127.0.0.1: platform and target stand-ins, fault proxy,
// entries, planners, admins. Publishes the example's objects directly into the store.
//
//   harness::deployment deployment({});
//   deployment.start();
//   auto answer = deployment.call(0, "rounds", {{"Jl-Team", "planning"}}, body);
//
// Used from one thread, except call() and request(), which are thread-safe. The directory with
// settings and logs is removed at the end unless JL_KEEP_LOGS is set in the environment.
class deployment {
public:
    explicit deployment(deployment_options options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // Starts everything and waits until every entry is ready. Throws std::runtime_error with the
    // reason if that takes longer than 20 s.
    void start();

    // Publishes a document as the next generation; returns the generation.
    std::int64_t publish(const std::string& document);
    // The example's document.
    std::string example_document() const;

    std::optional<http::response>
    call(int entry, const std::string& service, const http::header_map& headers,
         const std::string& body,
         std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;
    std::optional<http::response>
    request(const endpoint& server, const std::string& method, const std::string& path,
            const std::string& body = "", const http::header_map& headers = {},
            std::chrono::milliseconds timeout = std::chrono::seconds(10)) const;

    // Faults; see standins/proxy_main.cpp and standins/platform_main.cpp.
    void proxy_control(const std::string& route, const nlohmann::json& fault) const;
    void proxy_action(const std::string& route, const std::string& action) const;
    void store_fault(const nlohmann::json& fault) const;
    nlohmann::json store_counts() const;
    void vm_control(const std::string& vm, const std::string& action) const;     // platform
    void target_control(const std::string& vm, const std::string& action) const; // target

    // Lines of the targets' ledger by token.
    struct execution {
        int starts = 0;
        int finishes = 0;
        std::string vm;
    };
    std::map<std::string, execution> ledger() const;
    nlohmann::json target_summary() const;

    child_process& entry(int index) { return *entries_.at(index).process; }
    child_process& planner(int index) { return *planners_.at(index).process; }
    child_process& admin(int index) { return *admins_.at(index).process; }
    child_process& platform() { return *platform_; }
    // Starts a killed process again with its former settings.
    void restart_entry(int index);
    void restart_planner(int index);

    endpoint caller_address(int entry) const { return entries_.at(entry).address; }
    endpoint admin_address(int index) const { return admins_.at(index).address; }
    endpoint planner_metrics_address(int index) const { return planners_.at(index).address; }
    endpoint platform_address() const { return platform_address_; }
    std::vector<std::string> vms() const { return vm_names_; }
    store::key_value_store& store() { return *store_; }
    const std::string& directory() const { return directory_; }

private:
    struct member {
        std::string name;
        endpoint address; // callers' or operators' port, or that of a planner's metrics
        endpoint peer_address;
        std::string settings_path;
        std::unique_ptr<child_process> process;
    };

    http::response control(const endpoint& server, const std::string& method,
                           const std::string& path, const std::string& body = "") const;
    std::string write_file(const std::string& name, const std::string& text) const;
    std::unique_ptr<child_process> launch(const std::string& program, const std::string& name,
                                          const std::string& settings_path) const;
    void write_vm_file();
    void start_standins();
    void prepare_entries();
    void prepare_companions();
    std::string add_route(const std::string& name, const endpoint& upstream);
    void wait_until_ready(const endpoint& server, const std::string& path,
                          const std::string& name) const;

    const deployment_options options_;
    std::string directory_;
    std::string vm_file_;
    std::vector<std::string> vm_names_;
    std::vector<std::string> routes_;
    endpoint platform_address_;
    endpoint target_control_;
    endpoint proxy_control_;
    std::vector<std::string> data_centres_;
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> target_;
    std::unique_ptr<child_process> proxy_;
    std::vector<member> entries_;
    std::vector<member> planners_;
    std::vector<member> admins_;
    std::unique_ptr<store::key_value_store> store_;
};

// Waits until `condition` holds, at most `limit`; returns whether it did.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

// A port that is free on `address` at the time of the call.
endpoint free_endpoint(const std::string& address = "127.0.0.1");

} // namespace jl::harness
