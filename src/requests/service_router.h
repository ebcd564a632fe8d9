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

struct target_slot {
    std::string vm;
    endpoint address;
    bool probe = false; // the target was set aside and must prove itself
};

// What routing needs to know about one waiting call.
struct routed_call {
    decisions::call_id id = 0;
    request_class priority = request_class::normal;
    std::string team;
    bool idempotent = false;
    std::set<std::string> excluded; // VMs that failed an attempt of this call
};

// How one exchange with a target ended.
struct exchange_report {
    bool success = false;
    // False for failures that say nothing about the target, such as an impossible deadline.
    bool counts = true;
    std::chrono::nanoseconds duration{};
};

// Requests in flight to each VM, whichever service they belong to.
using in_flight_counts = std::map<std::string, int>;

// Admission, slot shares and target choice of one service at one entry. Performs no I/O and keeps
// no lock: the engine calls it with its mutex held.
class service_router {
public:
    service_router(std::chrono::milliseconds share_hold, in_flight_counts& in_flight);

    // Takes over the service's definition and the usable VMs of its pool.
    void set_targets(const objects::service& service, const std::vector<cluster::vm_state>& vms,
                     const std::vector<decisions::entry_demand>& demands, const std::string& self,
                     steady_time now);
    // Lets increased shares take effect when their time has come. Cheap if none is waiting.
    void update_shares(steady_time now);
    // The service is no longer configured: waiting calls start nowhere.
    void clear_targets();

    decisions::admission_result enqueue(const routed_call& call, const objects::team* team,
                                        steady_time deadline, bool retry, steady_time now);
    decisions::admission_queue& queue() { return queue_; }
    const decisions::admission_queue& queue() const { return queue_; }

    // True if a call could be sent to some target now.
    bool has_free_target(steady_time now) const;
    // Chooses a target for a call that the queue has started, and counts it as in flight. Never
    // empty if has_free_target() was true.
    std::optional<target_slot> assign(const routed_call& call, steady_time now);
    // Ends what assign() began. Without a report nothing was sent.
    void release(const routed_call& call, const std::string& vm,
                 const std::optional<exchange_report>& report, steady_time now);

    void count_call();
    bool try_retry() { return retries_.try_retry(); }
    int count_set_aside() const { return outliers_.unhealthy_count(); }
    int slots() const { return own_slots_; }

    // Smooths the load that is reported to the other entries; called at regular intervals.
    void sample_load(steady_time now);
    cluster::service_load load(const std::string& name) const;

private:
    struct target {
        std::string vm;
        endpoint address;
        decisions::concurrency_limit limit;
    };
    using flow_key = std::pair<request_class, std::string>;

    std::vector<decisions::target_candidate> make_candidates(steady_time now) const;
    int count_in_flight(const std::string& vm) const;
    // True if a target waits so long for a probe that calls of any kind are used for it.
    bool needs_any_probe(steady_time now) const;
    void apply_shares(steady_time now);
    void update_capacity(steady_time now);

    decisions::admission_queue queue_;
    decisions::slot_ramp ramp_;
    decisions::outlier_detector outliers_;
    decisions::retry_budget retries_;
    in_flight_counts& in_flight_;
    std::vector<target> targets_;
    std::string pool_;
    std::vector<decisions::instance_slots> instances_;
    std::vector<decisions::entry_demand> demands_;
    std::map<std::string, int> shares_; // by VM, before the ramp
    bool increasing_ = false;
    int own_slots_ = 0;
    int total_slots_ = 0;
    std::map<flow_key, double> usual_seconds_;
    std::uint64_t choices_ = 0;

    steady_time sampled_at_;
    int arrivals_ = 0;
    double arrival_rate_ = 0;
    double waiting_ = 0;
    double running_ = 0;
};

} // namespace jl::requests
