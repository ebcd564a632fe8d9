#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "requests/types.h"
#include "targets/target_client.h"

namespace jl::requests {

struct call_engine_options {
    // Maximum number of calls that wait for a slot at the same time, over all services. Each
    // waiting call blocks a thread of the server for callers, so this must be less than the number
    // of its threads.
    int max_waiting_calls = 384;
    // Interval at which entries report their load. An increased slot share takes effect only after
    // two intervals, because other entries may still use the slots until then.
    std::chrono::milliseconds load_report_period{1000};
    // Interval at which the engine checks for changed VMs and members even if no call arrives.
    std::chrono::milliseconds refresh_period{50};
    std::chrono::milliseconds refresh_jitter{10};
};

// A call engine that also reports the load of this entry, which the cluster divides slots by.
class load_reporting_call_engine : public call_engine {
public:
    // The load of every configured service. The backlogs are not set: the owners of the deferred
    // queues add them.
    virtual std::vector<cluster::service_load> service_loads() const = 0;
};

// Admits calls, chooses targets and executes calls.
//
//   auto engine = make_call_engine(state, targets, system_clock_source(), metrics, {});
//   state.set_in_flight_source([&](const std::string& vm) { return engine->in_flight(vm); });
//   state.set_load_source([&] { return engine->service_loads(); });
//
// `execute` counts a request as in flight and only then checks that the VM is usable in
// `state.vms()`; if it is not, nothing is sent to it. A reader that first sees that the VM is
// unusable and then reads 0 from `in_flight` therefore knows that no request is outstanding. All
// arguments must outlive the engine, and no call may be executing when the engine is destroyed.
std::unique_ptr<load_reporting_call_engine>
make_call_engine(cluster::cluster_state& state, targets::target_client& targets,
                 const clock_source& clock, metrics& metrics, call_engine_options options);

} // namespace jl::requests
