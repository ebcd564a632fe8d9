#include "jobs/availability.h"

#include <algorithm>

namespace jl::jobs {

namespace {

constexpr int full_progress = 100;
// For steps that state no limit.
constexpr int default_max_unavailable = 1;

} // namespace

bool at_work(const task& target, task_runner& runner)
{
    if (target.phase != task_phase::running || target.percent < full_progress) {
        return false;
    }
    const auto* const slot = runner.find_slot(target.worker);
    return slot != nullptr && slot->session->reachable();
}

bool may_interrupt(const task& target, task_runner& runner)
{
    const auto& spec = target.spec();
    const int allowed = spec.max_unavailable > 0 ? spec.max_unavailable : default_max_unavailable;
    const auto& tasks = target.owning_step->tasks;
    const auto away = std::count_if(tasks.begin(), tasks.end(), [&](const task& other) {
        return &other != &target && !at_work(other, runner);
    });
    return away < allowed;
}

} // namespace jl::jobs
