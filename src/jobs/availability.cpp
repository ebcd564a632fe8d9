#include "jobs/availability.h"

#include <algorithm>

namespace jl::jobs {

namespace {

constexpr int startup_complete_percent = 100;
// For steps without a limit of their own.
constexpr int default_max_unavailable = 1;

} // namespace

bool is_available(const task& target, task_runner& runner)
{
    if (target.phase != task_phase::running || target.percent < startup_complete_percent ||
        runner.may_be_stopping(target)) {
        return false;
    }
    const auto* const handle = runner.find_worker(target.worker);
    return handle != nullptr && handle->session->reachable();
}

bool may_interrupt(const task& target, task_runner& runner)
{
    const auto& spec = target.spec();
    const int allowed = spec.max_unavailable > 0 ? spec.max_unavailable : default_max_unavailable;
    const auto& tasks = target.owning_step->tasks;
    const auto unavailable = std::count_if(tasks.begin(), tasks.end(), [&](const task& other) {
        return &other != &target && !is_available(other, runner);
    });
    return unavailable < allowed;
}

} // namespace jl::jobs
