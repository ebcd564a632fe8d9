#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "http/message.h"
#include "operators/configuration_service.h"
#include "operators/control_service.h"
#include "operators/operator_registry.h"
#include "operators/view.h"
#include "store/key_value_store.h"

namespace jl::operators {

// The administration API, versioned under /v1/.
//
//   admin_api api(store, observer, clock, std::move(registry), metrics, {});
//   http::server server(address, {}, [&](const http::request& r) { return api.handle(r); });
//
// Every path but /metrics and /healthz needs a bearer token. An error answer is
// {"error": {"code", "message", "field"}}; refused documents add "faults" with object, field and
// reason, and a lost race adds "generation", "author" and "changes". Thread-safe.
class admin_api {
public:
    struct options {
        configuration_options configuration;
        control_options control;
    };

    admin_api(store::key_value_store& store, const cluster::cluster_observer& observer,
              const clock_source& clock, operator_registry registry, metrics& metrics,
              options options);

    http::response handle(const http::request& request);

    // Reference page of the paths in Markdown.
    static std::string describe();

private:
    struct call; // a parsed request of an authenticated operator

    struct route; // one row of the table of paths
    static const std::vector<route>& routes();

    http::response dispatch(call& call);
    http::response show_metrics();
    http::response get_configuration(const call& call);
    http::response check(const call& call);
    http::response plan(const call& call);
    http::response publish(const call& call);
    http::response diff(const call& call);
    http::response history(const call& call);
    http::response get_generation(const call& call);
    http::response status(const call& call);
    http::response budgets(const call& call);
    http::response services(const call& call);
    http::response waves(const call& call);
    http::response explain_wave(const call& call);
    http::response set_wave(const call& call);
    http::response vms(const call& call);
    http::response explain_one_vm(const call& call);
    http::response drains(const call& call);
    http::response change_drain(const call& call);
    http::response explain_request(const call& call);

    // The configuration the local entry has in force, or else the one in the store, which may be
    // empty; null if neither can be read.
    objects::object_set_ptr read_configuration();
    // Reads everything operators' views need; nothing if the store does not answer.
    std::optional<cluster_picture> read_picture();
    std::optional<store::range_result> read_range(const std::string& key,
                                                  const std::string& range_end);
    http::response unavailable() const;

    store::key_value_store& store_;
    const cluster::cluster_observer& observer_;
    const clock_source& clock_;
    const operator_registry registry_;
    metrics& metrics_;
    const options options_;
    configuration_service configuration_;
    control_service control_;
};

} // namespace jl::operators
