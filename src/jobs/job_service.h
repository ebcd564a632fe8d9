#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "jobs/model.h"

namespace jl::jobs {

enum class submit_outcome {
    accepted,
    overloaded,  // not accepted; never runs
    unavailable, // not accepted, since the store does not answer; never runs
    unknown,     // may have been accepted; the same job may be submitted again
};

enum class cancel_outcome { cancelled, no_such_job, unknown };

// What callers can do with jobs, as the leader offers it.
class job_service {
public:
    virtual ~job_service() = default;
    // Null before the first configuration has been read.
    virtual const fleet_config* config() const = 0;
    virtual void submit(job_spec spec, std::function<void(submit_outcome)> done) = 0;
    virtual std::optional<job_state> state(const std::string& id) const = 0;
    virtual void cancel(const std::string& id, std::function<void(cancel_outcome)> done) = 0;
    // Accepted jobs of the queue, without a schedule, of which no task has started.
    virtual std::size_t waiting(const std::string& queue) const = 0;
};

} // namespace jl::jobs
