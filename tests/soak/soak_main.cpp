// jl-soak: runs the real programs under random faults and checks their promises.

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

#include <getopt.h>
#include <unistd.h>

#include "tests/harness/deployment.h"
#include "tests/soak/soak_clients.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_plan.h"

namespace jl::soak {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto step = 20ms;
constexpr auto check_interval = 500ms;
constexpr auto start_limit = 20s;
// A worker's lease, an election and a restart with room to spare on a busy machine.
constexpr auto completion_limit = 60s;

struct options {
    std::uint64_t seed = 1;
    int seeds = 1;
    soak_shape shape;
    int callers = 4;
    std::filesystem::path directory;
};

bool failed(const std::vector<std::string>& complaints)
{
    for (const auto& complaint : complaints) {
        std::cout << "  broken: " << complaint << "\n";
    }
    return !complaints.empty();
}

void play(const soak_plan& plan, soak_fleet& fleet)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&] {
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
    };
    auto next = plan.faults.begin();
    auto next_check = milliseconds(check_interval);
    while (elapsed() < plan.length) {
        const auto now = elapsed();
        fleet.end_due(now);
        for (; next != plan.faults.end() && next->at <= now; ++next) {
            fleet.apply(*next, now);
        }
        if (now >= next_check) {
            fleet.check_processes();
            next_check = now + check_interval;
        }
        std::this_thread::sleep_for(step);
    }
}

// Returns false if a promise was broken; the logs are kept then.
bool run_seed(const options& options, std::uint64_t seed)
{
    const auto directory = options.directory / ("seed-" + std::to_string(seed));
    const auto plan = draw_plan(seed, options.shape);
    soak_fleet fleet(options.shape.nodes, directory);
    if (!harness::eventually([&] { return fleet.all_ready(); }, start_limit)) {
        std::cout << "seed " << seed << ": the nodes did not become ready\n";
        return false;
    }
    soak_clients clients(fleet, seed, options.callers, options.shape.restarts);
    play(plan, fleet);
    fleet.heal();
    clients.stop();
    clients.await_completion(completion_limit);
    const auto report = fleet.report();
    if (!report.is_object() || clients.accepted() == 0) {
        std::cout << "seed " << seed << ": nothing was observed\n";
        return false;
    }
    const auto violations = report.value("violations", std::vector<std::string>{});
    clients.check_refused(report.value("starts", nlohmann::json::object()));
    std::cout << "seed " << seed << ": " << plan.faults.size() << " faults, " << clients.accepted()
              << " jobs accepted, " << clients.refused() << " refused\n";
    bool broken = failed(violations);
    broken = failed(clients.complaints()) || broken;
    broken = failed(fleet.stop_nodes()) || broken;
    if (broken) {
        for (const auto& fault : plan.faults) {
            std::cout << "  fault: " << describe(fault) << "\n";
        }
        std::cout << "  logs: " << directory.string() << "\n";
    }
    else {
        std::filesystem::remove_all(directory);
    }
    std::cout << std::flush;
    return !broken;
}

int usage()
{
    std::cerr << "usage: jl-soak [--seed N] [--seeds COUNT] [--seconds S] [--nodes N] "
                 "[--callers N] [--logs DIRECTORY] [--restarts]\n";
    return 2;
}

bool parse(int argc, char** argv, options& options)
{
    const option names[] = {
        {"seed", required_argument, nullptr, 's'},    {"seeds", required_argument, nullptr, 'n'},
        {"seconds", required_argument, nullptr, 't'}, {"nodes", required_argument, nullptr, 'm'},
        {"callers", required_argument, nullptr, 'c'}, {"logs", required_argument, nullptr, 'l'},
        {"restarts", no_argument, nullptr, 'r'},      {nullptr, 0, nullptr, 0}};
    for (int name = 0; (name = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        const auto number = optarg == nullptr ? 0 : std::atoll(optarg); // NOLINT(cert-err34-c)
        switch (name) {
        case 's':
            options.seed = static_cast<std::uint64_t>(number);
            break;
        case 'n':
            options.seeds = static_cast<int>(number);
            break;
        case 't':
            options.shape.length = std::chrono::seconds(number);
            break;
        case 'm':
            options.shape.nodes = static_cast<int>(number);
            break;
        case 'c':
            options.callers = static_cast<int>(number);
            break;
        case 'l':
            options.directory = optarg;
            break;
        case 'r':
            options.shape.restarts = true;
            break;
        default:
            return false;
        }
    }
    return optind == argc && options.seeds > 0 && options.shape.nodes > 0 && options.callers > 0 &&
           options.shape.length > 0s;
}

int run(int argc, char** argv)
{
    options options;
    options.directory =
        std::filesystem::temp_directory_path() / ("jl-soak-" + std::to_string(::getpid()));
    if (!parse(argc, argv, options)) {
        return usage();
    }
    int passed = 0;
    for (int index = 0; index < options.seeds; ++index) {
        passed += run_seed(options, options.seed + static_cast<std::uint64_t>(index)) ? 1 : 0;
    }
    std::error_code kept; // logs of a seed that failed
    std::filesystem::remove(options.directory, kept);
    std::cout << passed << " passed, " << options.seeds - passed << " failed\n";
    return passed == options.seeds ? 0 : 1;
}

} // namespace
} // namespace jl::soak

int main(int argc, char** argv)
{
    return jl::soak::run(argc, argv);
}
