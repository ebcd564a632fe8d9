#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "jobs/model.h"

namespace jl::jobs {

enum class submit_outcome {
    accepted,
    overloaded,  // not accepted, will never run
    unavailable, // not accepted because the store does not answer; will never run
    unknown,     // may have been accepted; submitting the same job again is safe
};

enum class cancel_outcome { cancelled, no_such_job, unknown };

// The operations on jobs that the leader offers to callers.
class job_service {
public:
    virtual ~job_service() = default;
    // Null before the first configuration has been read.
    virtual const fleet_config* config() const = 0;
    virtual void submit(job_spec spec, std::function<void(submit_outcome)> done) = 0;
    // Nothing if the job is not known.
    virtual std::optional<job_state> state(const std::string& id) const = 0;
    virtual void cancel(const std::string& id, std::function<void(cancel_outcome)> done) = 0;
    // Returns the number of accepted jobs of the queue that have no schedule and none of whose
    // tasks has started.
    virtual std::size_t count_waiting_jobs(const std::string& queue) const = 0;
};

} // namespace jl::jobs
