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
    // Calls that may wait for a slot at once, over all services. Each waiting call holds a thread
    // of the callers' server, so this stays below the number of threads.
    int max_waiting_calls = 384;
    // Period in which entries report their load. A larger slot share is used only after two of
    // these periods, because other entries may still use the slots until then.
    std::chrono::milliseconds report_period{1000};
    // How often the engine looks for changed VMs and members when no call arrives.
    std::chrono::milliseconds refresh_period{50};
    std::chrono::milliseconds refresh_jitter{10};
};

// A call engine that also reports what the cluster needs to know about this entry.
class routing_call_engine : public call_engine {
public:
    // Load of every configured service, without backlogs, which the owners of queues add.
    virtual std::vector<cluster::service_load> loads() const = 0;
};

// Admits calls, chooses targets and executes calls.
//
//   auto engine = make_call_engine(state, targets, system_clock_source(), metrics, {});
//   state.set_in_flight_source([&](const std::string& vm) { return engine->in_flight(vm); });
//   state.set_load_source([&] { return engine->loads(); });
//
// `execute` sends nothing to a VM that is not usable in `state.vms()` at that moment, and a request
// is counted by `in_flight` before that check, so a reader that sees the VM unusable and then 0 in
// flight knows that no request is outstanding. All arguments must outlive the engine, and no call
// may be in execution when the engine is destroyed.
std::unique_ptr<routing_call_engine> make_call_engine(cluster::cluster_state& state,
                                                      targets::target_client& targets,
                                                      const clock_source& clock, metrics& metrics,
                                                      call_engine_options options);

} // namespace jl::requests
