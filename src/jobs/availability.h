#pragma once

#include "jobs/job_table.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

// True if the task is believed to be available to its users: it is running, has completed its
// start-up, no leader has ordered it to stop, and its worker answers.
bool is_available(const task& target, task_runner& runner);

// True if this long-running task may be stopped now although its worker is healthy: fewer other
// tasks of its step are unavailable than the step allows.
bool may_interrupt(const task& target, task_runner& runner);

} // namespace jl::jobs
