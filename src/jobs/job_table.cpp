#include "jobs/job_table.h"

#include <algorithm>

namespace jl::jobs {

const step_spec& task::spec() const
{
    return owner->spec.steps[static_cast<std::size_t>(step)];
}

task_name task::name() const
{
    return {owner->spec.id, occurrence, step, index};
}

bool occurrence_progress::complete() const
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const auto& step) { return step.complete(); });
}

bool job::step_ready(const occurrence_progress& occurrence, std::size_t step) const
{
    const auto& earlier = spec.steps[step].after;
    return std::all_of(earlier.begin(), earlier.end(), [&](int number) {
        const auto& needed = occurrence.steps[static_cast<std::size_t>(number)];
        return needed.complete() && needed.done_version <= durable_version;
    });
}

bool awaits_isolated_start(const job& target)
{
    return target.has_crash_evidence && find_task_if(target, [](const task& candidate) {
                                            return candidate.phase == task_phase::waiting &&
                                                   !candidate.crashes.empty();
                                        }) != nullptr;
}

occurrence_progress& begin_occurrence(job& target)
{
    const int number = target.next_occurrence++;
    auto& occurrence = target.occurrences[number]; // stays in place, because tasks point into it
    occurrence.number = number;
    occurrence.steps.resize(target.spec.steps.size());
    for (std::size_t step = 0; step < target.spec.steps.size(); ++step) {
        auto& progress = occurrence.steps[step];
        progress.tasks.resize(static_cast<std::size_t>(target.spec.steps[step].count));
        for (std::size_t index = 0; index < progress.tasks.size(); ++index) {
            auto& created = progress.tasks[index];
            created.owner = &target;
            created.owning_step = &progress;
            created.occurrence = occurrence.number;
            created.step = static_cast<int>(step);
            created.index = static_cast<int>(index);
        }
    }
    return occurrence;
}

milliseconds due_time(const job_spec& spec, int occurrence)
{
    return spec.first_run + occurrence * spec.interval;
}

job* job_table::find(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

job& job_table::insert(job_spec spec)
{
    auto created = std::make_unique<job>();
    created->spec = std::move(spec);
    auto& reference = *created;
    jobs_[reference.spec.id] = std::move(created);
    active_.insert(&reference);
    return reference;
}

void job_table::erase(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        active_.erase(found->second.get());
        jobs_.erase(found);
    }
}

task* job_table::find_task(const task_name& name)
{
    job* const owner = find(name.job);
    if (owner == nullptr) {
        return nullptr;
    }
    const auto occurrence = owner->occurrences.find(name.occurrence);
    if (occurrence == owner->occurrences.end()) {
        return nullptr;
    }
    auto& steps = occurrence->second.steps;
    if (static_cast<std::size_t>(name.step) >= steps.size()) {
        return nullptr;
    }
    auto& tasks = steps[static_cast<std::size_t>(name.step)].tasks;
    return static_cast<std::size_t>(name.index) < tasks.size()
               ? &tasks[static_cast<std::size_t>(name.index)]
               : nullptr;
}

} // namespace jl::jobs
