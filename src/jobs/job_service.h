#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "jobs/caller_access.h"
#include "jobs/model.h"

namespace jl::jobs {

enum class submit_outcome {
    accepted,
    unauthorized, // not accepted because the key is not known any more; will never run
    other_team,   // the job is another team's
    overloaded,   // not accepted, will never run
    unavailable,  // not accepted because the store does not answer; will never run
    unknown,      // may have been accepted; submitting the same job again is safe
};

struct submit_answer {
    submit_outcome outcome = submit_outcome::unknown;
    std::chrono::seconds retry_after{1}; // when the caller should come back; only if `overloaded`
};

struct submission {
    // Implicit, since deployments without teams submit jobs alone.
    submission(job_spec job, std::string caller_key = "") // NOLINT(google-explicit-constructor)
        : spec(std::move(job)), key(std::move(caller_key))
    {
    }

    job_spec spec;
    std::string key; // the caller's, see check_key(); empty: none
};

enum class cancel_outcome { cancelled, no_such_job, unknown };

// The operations on jobs that the leader offers to callers.
class job_service {
public:
    virtual ~job_service() = default;
    // Null before the first configuration has been read.
    virtual const fleet_config* config() const = 0;
    virtual void submit(submission submitted, std::function<void(const submit_answer&)> done) = 0;
    // Nothing if the job is not known.
    virtual std::optional<job_state> state(const std::string& id) const = 0;
    // Decides whether the caller may query or cancel the job. Grants access to a job that is not
    // known.
    virtual access_decision check_access(const std::string& id,
                                         const caller_access& caller) const = 0;
    // The caller got no access.
    virtual void record_denial(const std::string& queue, access_decision reason) = 0;
    virtual void cancel(const std::string& id, std::function<void(cancel_outcome)> done) = 0;
    // Returns the number of accepted jobs of the queue that have no schedule and none of whose
    // tasks has started.
    virtual std::size_t count_waiting_jobs(const std::string& queue) const = 0;
};

} // namespace jl::jobs
