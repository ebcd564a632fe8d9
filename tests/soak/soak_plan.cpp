#include "tests/soak/soak_plan.h"

#include <algorithm>
#include <random>

namespace jl::soak {

namespace {

using std::chrono::milliseconds;

constexpr int kinds = static_cast<int>(fault_kind::request_wave) + 1;
constexpr int longest_series = 4;
constexpr milliseconds first_fault{500};
constexpr milliseconds longest_gap{2500}; // between series
constexpr milliseconds longest_step{700}; // between faults of a series
constexpr milliseconds shortest_fault{100};
constexpr milliseconds longest_fault{5000};

// Series of workers that restart and are cut off soon after, from a random stream of their own.
constexpr std::uint64_t restart_stream = 0x9e3779b97f4a7c15;
constexpr milliseconds shortest_restart_gap{1000};
constexpr milliseconds longest_restart_gap{4000};
constexpr milliseconds latest_registration{1500};
constexpr milliseconds latest_cut{2500};
constexpr milliseconds shortest_cut{1000};
constexpr milliseconds longest_cut{9000};

class dice {
public:
    explicit dice(std::uint64_t seed) : engine_(seed) {}
    int number(int below) { return std::uniform_int_distribution<int>(0, below - 1)(engine_); }
    milliseconds time(milliseconds least, milliseconds most)
    {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(engine_));
    }

private:
    std::mt19937_64 engine_;
};

void add_restarts(soak_plan& plan)
{
    dice dice(plan.seed ^ restart_stream);
    for (auto at = first_fault; at < plan.length;
         at += dice.time(shortest_restart_gap, longest_restart_gap)) {
        fault restart;
        restart.kind = fault_kind::crash_worker;
        restart.at = at;
        restart.length = dice.time(shortest_fault, longest_fault);
        restart.trouble = restart_trouble{
            dice.number(2) == 0, dice.time(milliseconds(0), latest_registration),
            dice.time(milliseconds(0), latest_cut), dice.time(shortest_cut, longest_cut)};
        plan.faults.push_back(restart);
        if (dice.number(2) == 0) {
            fault kill;
            kill.kind = fault_kind::kill_node;
            kill.at = at + dice.time(milliseconds(0), latest_cut);
            kill.length = dice.time(shortest_fault, longest_fault);
            kill.target = leading_node;
            plan.faults.push_back(kill);
        }
    }
}

std::string describe(const restart_trouble& trouble)
{
    return std::string(trouble.silent ? " silent" : "") +
           " registered_after=" + std::to_string(trouble.registered_after.count()) +
           "ms cut_after=" + std::to_string(trouble.cut_after.count()) +
           "ms cut_for=" + std::to_string(trouble.cut_length.count()) + "ms";
}

} // namespace

const char* to_string(fault_kind kind)
{
    switch (kind) {
    case fault_kind::kill_node:
        return "kill_node";
    case fault_kind::terminate_node:
        return "terminate_node";
    case fault_kind::pause_node:
        return "pause_node";
    case fault_kind::reload_node:
        return "reload_node";
    case fault_kind::delay_path:
        return "delay_path";
    case fault_kind::silence_path:
        return "silence_path";
    case fault_kind::drop_answers:
        return "drop_answers";
    case fault_kind::refuse_path:
        return "refuse_path";
    case fault_kind::reset_path:
        return "reset_path";
    case fault_kind::freeze_path:
        return "freeze_path";
    case fault_kind::crash_worker:
        return "crash_worker";
    case fault_kind::change_config:
        return "change_config";
    case fault_kind::request_wave:
        return "request_wave";
    }
    return "unknown";
}

soak_plan draw_plan(std::uint64_t seed, const soak_shape& shape)
{
    dice dice(seed);
    soak_plan plan;
    plan.seed = seed;
    plan.length = shape.length;
    for (auto at = first_fault; at < shape.length; at += dice.time(shortest_fault, longest_gap)) {
        const auto kind = static_cast<fault_kind>(dice.number(kinds));
        const int series = 1 + dice.number(longest_series);
        for (int index = 0; index < series; ++index) {
            // Half of a series is of one kind, as a rolling restart or a storm is.
            const bool same = dice.number(2) == 0;
            fault fault;
            fault.kind = same ? kind : static_cast<fault_kind>(dice.number(kinds));
            fault.at = at;
            fault.length = dice.time(shortest_fault, longest_fault);
            fault.target = dice.number(shape.nodes + 1);
            plan.faults.push_back(fault);
            at += dice.time(milliseconds(0), longest_step);
        }
    }
    if (shape.restarts) {
        add_restarts(plan);
    }
    std::stable_sort(plan.faults.begin(), plan.faults.end(),
                     [](const fault& left, const fault& right) { return left.at < right.at; });
    return plan;
}

std::string describe(const fault& fault)
{
    const auto target =
        fault.target == leading_node ? std::string("leader") : std::to_string(fault.target);
    return std::string(to_string(fault.kind)) + " target=" + target +
           " at=" + std::to_string(fault.at.count()) +
           "ms for=" + std::to_string(fault.length.count()) + "ms" +
           (fault.trouble ? describe(*fault.trouble) : "");
}

} // namespace jl::soak
