// Time that jl-entry adds to a call at half its top rate, and calls per second of processor time.
// Baseline: the same calls at the same rate sent to the targets directly.

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "bench/request_load.h"
#include "http/client.h"
#include "tests/harness/deployment.h"

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int caller_threads = 32;
constexpr int vms_per_pool = 8;
const char* const body = R"({"work_ms":0})";

// Addresses of the VMs of a pool.
std::vector<jl::endpoint> read_targets(const jl::harness::deployment& deployment,
                                       const std::string& pool)
{
    const auto path = deployment.directory() + "/target-vms.json";
    std::ifstream file(path);
    std::vector<jl::endpoint> targets;
    const auto document = json::parse(file);
    for (const auto& vm : document.at("vms")) {
        if (vm.at("pool") == pool) {
            targets.push_back(*jl::parse_endpoint(vm.at("address").get<std::string>()));
        }
    }
    return targets;
}

struct service_choice {
    std::string service;
    std::string pool;
    std::string team;
};

service_choice first_service(const std::string& document)
{
    service_choice choice;
    const auto parsed = json::parse(document);
    for (const auto& object : parsed.at("objects")) {
        if (object.at("kind") == "service" && choice.service.empty()) {
            choice.service = object.at("name");
            choice.pool = object.at("pool");
        }
        if (object.at("kind") == "team" && choice.team.empty()) {
            choice.team = object.at("name");
        }
    }
    return choice;
}

} // namespace

int main(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::cerr << "usage: overhead_bench [--seed N] [--deployment co-op|head-office]\n";
        return 2;
    }
    jl::harness::deployment_options options;
    options.example = arguments.deployment;
    options.entries = 1;
    options.vms_per_pool = vms_per_pool;
    jl::harness::deployment deployment(options);
    deployment.start();
    const auto choice = first_service(deployment.example_document());
    const auto targets = read_targets(deployment, choice.pool);
    const jl::http::header_map headers = {{"Jl-Team", choice.team}};

    const auto through_entry = [&](std::size_t, int, std::mt19937_64&) {
        const auto answer = deployment.call(0, choice.service, headers, body);
        return answer && answer->status == 200;
    };
    const auto direct = [&](std::size_t, int, std::mt19937_64& random) {
        const auto answer = deployment.request(targets[random() % targets.size()], "POST",
                                               "/" + choice.service, body);
        return answer && answer->status == 200;
    };
    const auto cpu_of = [&] { return deployment.entry(0).cpu_seconds(); };

    // The entry uses its slots two report periods after its start, so the first calls wait.
    const double cpu_before = cpu_of();
    const auto top =
        jl::bench::run_load({{"top", caller_threads, 0}}, through_entry, 4s, 6s, arguments.seed)[0];
    const double cpu_used = cpu_of() - cpu_before;
    const double top_rate = static_cast<double>(top.answered()) / 6;
    const double half_rate = top_rate / 2;
    // Alternating parts, so that other load on the machine affects both alike.
    jl::bench::load_result entry_result;
    jl::bench::load_result direct_result;
    double half_cpu = 0;
    const auto append = [](jl::bench::load_result& all, const jl::bench::load_result& part) {
        all.failed += part.failed;
        all.latencies.insert(all.latencies.end(), part.latencies.begin(), part.latencies.end());
    };
    for (std::uint64_t part = 0; part < 3; ++part) {
        const auto seed = arguments.seed + part;
        append(direct_result, jl::bench::run_load({{"direct", caller_threads, half_rate}}, direct,
                                                  500ms, 4s, seed)[0]);
        const double before = cpu_of();
        append(entry_result, jl::bench::run_load({{"entry", caller_threads, half_rate}},
                                                 through_entry, 500ms, 4s, seed)[0]);
        half_cpu += cpu_of() - before;
    }

    const auto milliseconds = [](const jl::bench::load_result& result, double part) {
        return jl::bench::quantile(result.latencies, part) * 1000;
    };
    // CPU time covers the warm-up too, which has the same rate as the measured part.
    const double half_calls = static_cast<double>(entry_result.answered()) * 4.5 / 4;
    const json line = {
        {"bench", "overhead"},
        {"seed", arguments.seed},
        {"figures",
         {{"added_p50_ms", milliseconds(entry_result, 0.5) - milliseconds(direct_result, 0.5)},
          {"added_p99_ms", milliseconds(entry_result, 0.99) - milliseconds(direct_result, 0.99)},
          {"requests_per_core_s", half_calls / std::max(half_cpu, 1e-9)},
          {"top_rate_per_s", top_rate},
          {"cpu_s_at_top", cpu_used},
          {"failed", entry_result.failed + top.failed}}},
        {"baselines",
         {{"direct_p50_ms", milliseconds(direct_result, 0.5)},
          {"direct_p99_ms", milliseconds(direct_result, 0.99)},
          {"rate_per_s", half_rate}}}};
    std::cout << line.dump() << std::endl;
    return 0;
}
