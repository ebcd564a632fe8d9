#pragma once

#include "jobs/job_table.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

// True if the task is at work for its users, as far as is known: it runs, has passed its start-up,
// and its worker answers.
bool is_available(const task& target, task_runner& runner);

// True if we may end this long-running task now, although it works on a sound worker: few enough
// others of its step are away.
bool may_interrupt(const task& target, task_runner& runner);

} // namespace jl::jobs
