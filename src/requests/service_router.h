#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/settings.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "decisions/admission_queue.h"
#include "decisions/concurrency_limit.h"
#include "decisions/outlier_detector.h"
#include "decisions/retry_budget.h"
#include "decisions/slot_shares.h"
#include "decisions/target_choice.h"
#include "objects/objects.h"
#include "requests/types.h"

namespace jl::requests {

decisions::work_class to_work_class(request_class priority);

// A slot on a target that is assigned to a call.
struct target_slot {
    std::string vm;
    endpoint address;
    // True if the target was ejected as an outlier and takes one call at a time until several in
    // succession have succeeded.
    bool probe = false;
};

// The properties of a call that admission and target choice depend on.
struct routed_call {
    decisions::call_id id = 0;
    request_class priority = request_class::normal;
    std::string team;
    bool idempotent = false;
    std::set<std::string> excluded; // VMs that were tried for this call
};

// The result of one exchange with a target.
struct exchange_result {
    bool success = false;
    // False for failures that may not be the target's fault, such as a deadline that was too short.
    bool counts_for_target_health = true;
    std::chrono::nanoseconds duration{};
};

// Number of requests in flight to each VM, summed over all services.
using in_flight_by_vm = std::map<std::string, int>;

// Admission, slot shares and target choice of one service at one entry. Performs no I/O. Not
// thread-safe: the call engine serializes all calls with its mutex.
class service_router {
public:
    service_router(std::chrono::milliseconds share_increase_delay, in_flight_by_vm& in_flight);

    // Applies the service's definition, the usable VMs of its pool and the demands of all entries.
    // `own_entry` is the name of this entry in `demands`.
    void set_targets(const objects::service& service, const std::vector<cluster::vm_state>& vms,
                     const std::vector<decisions::entry_demand>& demands,
                     const std::string& own_entry, steady_time now);
    // Applies increased slot shares whose delay has passed. Cheap if no increase is pending.
    void update_shares(steady_time now);
    // Removes all targets once the service is no longer configured. Calls that still wait are not
    // started.
    void clear_targets();

    // Adds the call to the admission queue. If `team` is null, the default weight applies and no
    // quota. `retry` is true if the call has waited before; it then goes to the front of the queue
    // of its team.
    decisions::admission_result enqueue(const routed_call& call, const objects::team* team,
                                        steady_time deadline, bool retry, steady_time now);
    decisions::admission_queue& queue() { return queue_; }
    const decisions::admission_queue& queue() const { return queue_; }

    // True if a call could be sent to some target now.
    bool has_free_target(steady_time now) const;
    // Chooses a target for a call that the queue has started, and counts the call as in flight.
    // Always returns a slot if has_free_target() was true.
    std::optional<target_slot> assign(const routed_call& call, steady_time now);
    // Frees the slot that assign() returned. `result` is empty if nothing was sent.
    void release(const routed_call& call, const std::string& vm,
                 const std::optional<exchange_result>& result, steady_time now);

    // Counts a new call for the arrival rate and for the retry budget.
    void count_call();
    // Takes one retry from the retry budget. Returns false if the budget is used up.
    bool try_retry() { return retries_.try_retry(); }
    int count_unhealthy_targets() const { return outliers_.unhealthy_count(); }
    // Number of slots that this entry may use on all targets.
    int slots() const { return own_slots_; }

    // Updates the moving averages of the load that load() returns. Called at regular intervals.
    void sample_load(steady_time now);
    // The smoothed load of the service, labelled with `name`.
    cluster::service_load load(const std::string& name) const;

private:
    struct target {
        std::string vm;
        endpoint address;
        decisions::concurrency_limit limit;
    };
    using class_and_team = std::pair<request_class, std::string>;

    std::vector<decisions::target_candidate> make_candidates(steady_time now) const;
    int count_in_flight(const std::string& vm) const;
    // True if a target has waited so long for a probe that non-idempotent calls may probe it too.
    bool may_probe_with_any_call(steady_time now) const;
    void apply_shares(steady_time now);
    void update_capacity(steady_time now);

    decisions::admission_queue queue_;
    decisions::slot_ramp slot_ramp_;
    decisions::outlier_detector outliers_;
    decisions::retry_budget retries_;
    in_flight_by_vm& in_flight_;
    std::vector<target> targets_;
    std::string pool_;
    std::vector<decisions::instance_slots> instances_;
    std::vector<decisions::entry_demand> demands_;
    std::map<std::string, int> shares_; // by VM, before slot_ramp_ delays increases
    bool shares_increasing_ = false;
    int own_slots_ = 0;
    int total_slots_ = 0;
    std::map<class_and_team, double> average_seconds_; // moving average of successful exchanges
    std::uint64_t choice_count_ = 0;

    steady_time last_sample_time_;
    int arrivals_since_sample_ = 0;
    double arrival_rate_ = 0;
    double average_waiting_ = 0;
    double average_running_ = 0;
};

} // namespace jl::requests
