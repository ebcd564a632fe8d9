#pragma once

#include "jobs/job_table.h"
#include "jobs/task_runner.h"
#include "teams/usage.h"

namespace jl::jobs {

// Returns what the tasks of each team use or may use on all workers: tasks that are starting,
// running or stopping, also on workers that do not answer; runs that belong to no task and are
// being stopped; starts without an answer that may still be carried out; and tasks that a former
// leader may have started, while the workers have not told. It is derived anew from these each
// time, so that no second account can differ from them.
//
// Not counted: runs of jobs that had ended before this leader took over, whose records do not hold
// their steps. They are stopped as soon as a worker reports them.
teams::usage_account team_usage(const fleet_config& config, task_runner& runner, job_table& jobs);

} // namespace jl::jobs
