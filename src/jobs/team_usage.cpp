#include "jobs/team_usage.h"

namespace jl::jobs {

namespace {

void add_task(teams::usage_account& usage, const task& counted)
{
    usage.add(counted.owner->spec.team, counted.spec().request);
}

// A task that a former leader may have started. The tasks of a step whose predecessors are not
// complete cannot have been.
void add_unresolved_tasks(teams::usage_account& usage, const job& unresolved)
{
    for (const auto& [number, occurrence] : unresolved.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!unresolved.step_ready(occurrence, step)) {
                continue;
            }
            for (const auto& task : occurrence.steps[step].tasks) {
                if (task.phase == task_phase::unresolved) {
                    add_task(usage, task);
                }
            }
        }
    }
}

} // namespace

teams::usage_account team_usage(const fleet_config& config, task_runner& runner, job_table& jobs)
{
    teams::usage_account usage(config.teams);
    for (const auto& [worker, handle] : runner.worker_handles()) {
        for (const auto* const assigned : handle.assigned) {
            add_task(usage, *assigned);
        }
    }
    for (const auto& run : runner.unassigned_runs()) {
        const auto* const owner = jobs.find(run.job);
        const auto step = static_cast<std::size_t>(run.step);
        if (owner != nullptr && step < owner->spec.steps.size()) {
            usage.add(owner->spec.team, owner->spec.steps[step].request);
        }
    }
    for (const auto* const active : jobs.active()) {
        if (!active->spec.team.empty()) {
            add_unresolved_tasks(usage, *active);
        }
    }
    return usage;
}

} // namespace jl::jobs
