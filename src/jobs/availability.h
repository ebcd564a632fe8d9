#pragma once

#include "jobs/job_table.h"

namespace jl::jobs {

// True if the task is at work for its users: it runs and has passed its start-up.
bool at_work(const task& target);

// True if we may end this long-running task now, although it works on a sound worker: few enough
// others of its step are away.
bool may_interrupt(task& target);

} // namespace jl::jobs
