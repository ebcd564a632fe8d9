#pragma once

namespace jl::decisions {

constexpr int full_pace_percent = 100;

// Returns the next speed limit for a worker's filler tasks, which use the CPU time that its other
// tasks leave idle, in percent of full speed.
//
// `latency_ratio` is the highest ratio of tail latency to latency target among the worker's serving
// tasks. `pace_percent` is the present limit.
//
// Load pattern: how much filler tasks slow down serving tasks is not known in advance and changes
// within seconds. Near the target, each report therefore halves the limit; above the target, filler
// tasks stop; well below it, the limit rises in small steps.
int next_filler_pace(double latency_ratio, int pace_percent);

} // namespace jl::decisions
