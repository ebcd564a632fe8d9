// Cost of control per entry at 2, 4, 7 and 14 entries: processor time and memory without callers,
// and bytes between entries with a light load, so that load reports are included. The last part
// has the design size: 14 entries and 1,200 VMs.
// Baseline: a single entry, which has no links.

#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "bench/entry_metrics.h"
#include "bench/request_load.h"
#include "tests/harness/deployment.h"

namespace {

using namespace std::chrono_literals;
using jl::harness::deployment;
using nlohmann::json;

constexpr auto settle_time = 2s;
constexpr auto idle_time = 2500ms;
constexpr auto load_time = 2s;
constexpr double calls_per_second = 40;
// Per pool of the five pools of the examples.
constexpr int vms_today = 8;
constexpr int vms_design = 240;

struct cost {
    double core_share = 0;
    double memory_mb = 0;
    double sent = 0;     // bytes per second
    double received = 0; // bytes per second
};

double bytes(const deployment& deployment, int entry, const char* direction)
{
    const auto label = std::string("direction=\"") + direction + "\"";
    return jl::bench::read_metric(deployment, entry, "jl_peer_bytes_total", label).value_or(0);
}

// The costs of the entry that costs most.
cost measure(const std::string& example, int entries, int vms_per_pool)
{
    jl::harness::deployment_options options;
    options.example = example;
    options.entries = entries;
    options.vms_per_pool = vms_per_pool;
    deployment deployment(options);
    deployment.start();
    std::this_thread::sleep_for(settle_time);
    std::vector<double> cpu(static_cast<std::size_t>(entries));
    for (int entry = 0; entry < entries; ++entry) {
        cpu[static_cast<std::size_t>(entry)] = deployment.entry(entry).cpu_seconds();
    }
    std::this_thread::sleep_for(idle_time);
    cost worst;
    for (int entry = 0; entry < entries; ++entry) {
        const auto used =
            deployment.entry(entry).cpu_seconds() - cpu[static_cast<std::size_t>(entry)];
        worst.core_share =
            std::max(worst.core_share, used / std::chrono::duration<double>(idle_time).count());
    }
    std::string service;
    std::string team;
    for (const auto& object : json::parse(deployment.example_document()).at("objects")) {
        if (object.at("kind") == "service" && service.empty()) {
            service = object.at("name");
        }
        if (object.at("kind") == "team" && team.empty()) {
            team = object.at("name");
        }
    }
    std::vector<double> sent(static_cast<std::size_t>(entries));
    std::vector<double> received(sent);
    for (int entry = 0; entry < entries; ++entry) {
        sent[static_cast<std::size_t>(entry)] = bytes(deployment, entry, "sent");
        received[static_cast<std::size_t>(entry)] = bytes(deployment, entry, "received");
    }
    const auto start = std::chrono::steady_clock::now();
    for (int call = 0; std::chrono::steady_clock::now() - start < load_time; ++call) {
        deployment.call(call % entries, service, {{"Jl-Team", team}}, R"({"work_ms":0})");
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                        std::chrono::duration<double>((call + 1) / calls_per_second)));
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    for (int entry = 0; entry < entries; ++entry) {
        const auto index = static_cast<std::size_t>(entry);
        worst.sent = std::max(worst.sent,
                              (bytes(deployment, entry, "sent") - sent[index]) / elapsed.count());
        worst.received =
            std::max(worst.received,
                     (bytes(deployment, entry, "received") - received[index]) / elapsed.count());
        worst.memory_mb = std::max(worst.memory_mb, deployment.entry(entry).resident_mb());
    }
    return worst;
}

json to_json(const cost& cost)
{
    return {{"core_share_node", cost.core_share},
            {"memory_mb_node", cost.memory_mb},
            {"bytes_per_s_node", cost.sent},
            {"received_bytes_per_s_node", cost.received}};
}

int run(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::cerr << "usage: control_cost_bench [--seed N] [--deployment co-op|head-office]\n";
        return 2;
    }
    const auto alone = measure(arguments.deployment, 1, vms_today);
    json by_size;
    cost least;
    cost most;
    for (const int entries : {2, 4, 7, 14}) {
        const auto measured = measure(arguments.deployment, entries, vms_today);
        by_size[std::to_string(entries)] = to_json(measured);
        least = entries == 2 ? measured : least;
        most = measured;
    }
    json figures = to_json(measure(arguments.deployment, 14, vms_design));
    figures["by_entries"] = by_size;
    figures["bytes_per_s_per_further_entry"] = (most.sent - least.sent) / (14 - 2);
    const json line = {{"bench", "control-cost"},
                       {"seed", arguments.seed},
                       {"figures", figures},
                       {"baselines", {{"one_entry", to_json(alone)}}}};
    std::cout << line.dump() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Without a handler, an exception would end the program before the harness ends its processes.
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "control_cost_bench: " << error.what() << "\n";
        return 1;
    }
}
