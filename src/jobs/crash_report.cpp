#include "jobs/crash_report.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "jobs/job_table.h"

namespace jl::jobs {

namespace {

bool lost_worker(const task& target, const std::string& worker)
{
    return std::any_of(target.crashes.begin(), target.crashes.end(),
                       [&](const auto& crash) { return crash.worker == worker; });
}

} // namespace

// Tasks of one job that were started together on each of the workers cannot be told apart.
crash_report make_crash_report(const task& suspect)
{
    crash_report report;
    for (const auto& crash : suspect.crashes) {
        if (crash.confirmed) {
            report.crashes.push_back(crash);
        }
    }
    for_each_task(*suspect.owner, [&report](const task& candidate) {
        const bool lost_all =
            std::all_of(report.crashes.begin(), report.crashes.end(),
                        [&](const auto& crash) { return lost_worker(candidate, crash.worker); });
        if (lost_all) {
            report.tasks.push_back(candidate.name().to_string());
        }
    });
    return report;
}

std::string to_json(const std::map<std::string, crash_report>& reports)
{
    auto rows = nlohmann::json::array();
    for (const auto& [job, report] : reports) {
        auto crashes = nlohmann::json::array();
        for (const auto& crash : report.crashes) {
            crashes.push_back(
                {{"vm", crash.vm}, {"worker", crash.worker}, {"unix_ms", crash.at.count()}});
        }
        rows.push_back({{"job", job}, {"tasks", report.tasks}, {"crashes", std::move(crashes)}});
    }
    return nlohmann::json{{"given_up", std::move(rows)}}.dump();
}

} // namespace jl::jobs
