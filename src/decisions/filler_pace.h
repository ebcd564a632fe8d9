#pragma once

namespace jl::decisions {

constexpr int full_pace = 100; // percent

// The pace, in percent, that tasks which fill a worker's unused processors may have next.
//
// `latency_ratio` is the worst tail latency among the tasks on the worker that serve users, in
// parts of its target; `pace` is the present pace.
//
// Load pattern: what tasks that fill take from those that serve changes within seconds, and by
// amounts that nobody knows beforehand. Near the target the pace is halved at each report, above it
// the filling stops, and it comes back in small steps once there is room again.
int next_filler_pace(double latency_ratio, int pace);

} // namespace jl::decisions
