#pragma once

#include <map>
#include <string>
#include <vector>

#include "decisions/crash_evidence.h"

namespace jl::jobs {

struct task;

// Why a job was given up: a task of it crashes the workers that start it.
struct crash_report {
    std::vector<std::string> tasks; // one that does, and those that were started with it each time
    std::vector<decisions::crash_observation> crashes; // the confirmed ones
};

// Returns the report on the job of a task that is given up.
crash_report make_crash_report(const task& suspect);

// Returns the reports, by job, as operators read them.
std::string to_json(const std::map<std::string, crash_report>& reports);

} // namespace jl::jobs
