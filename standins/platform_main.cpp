// Stand-in for the platform: key-value service (etcd v3 JSON gateway), VM list, VM operations and
// workers on one address, with faults set through /control/.
//
//   POST /control/store {"fault": "none"|"unavailable"|"lost_answer", "count": N, "delay_ms": N}
//   GET  /control/store                         counts of calls
//   POST /control/vms/<vm>/{fail,repair,fail-tasks,run-tasks}

#include <iostream>

#include <nlohmann/json.hpp>

#include "base/program.h"
#include "http/server.h"
#include "standins/etcd_gateway.h"
#include "standins/vm_fleet.h"

namespace {

using nlohmann::json;

const std::vector<jl::setting_spec> table = {
    {"listen", jl::setting_type::text, "", "", {}, {}, "address and port of the platform API"},
    {"vm_file", jl::setting_type::text, "", "", {}, {}, "JSON file that lists the VMs"},
    {"target_control",
     jl::setting_type::text,
     "",
     "",
     {},
     {},
     "control address of the target stand-in"},
    {"list_lag_ms", jl::setting_type::milliseconds, "ms", "1000", 0, 60000,
     "age of the VM list and the usage reports"},
    {"reboot_ms", jl::setting_type::milliseconds, "ms", "2000", 0, 600000, "duration of a reboot"},
    {"task_ms", jl::setting_type::milliseconds, "ms", "3000", 1, 600000,
     "processor time that a task needs"},
};

jl::http::response control_store(const jl::http::request& request,
                                 jl::standins::memory_store& store,
                                 jl::standins::etcd_gateway& gateway)
{
    if (request.method == "GET") {
        const auto counts = store.counts();
        return jl::http::json_response(200, json{{"writes", counts.writes},
                                                 {"reads", counts.reads},
                                                 {"watches", counts.watches_waiting}}
                                                .dump());
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return jl::http::error_response(400, "malformed", "the body is not a JSON object");
    }
    static const std::map<std::string, jl::standins::store_fault> faults = {
        {"none", jl::standins::store_fault::none},
        {"unavailable", jl::standins::store_fault::unavailable},
        {"lost_answer", jl::standins::store_fault::lost_answer}};
    const auto fault = faults.find(body.value("fault", "none"));
    if (fault == faults.end()) {
        return jl::http::error_response(400, "malformed", "unknown fault", "fault");
    }
    store.inject(fault->second, body.value("count", -1));
    gateway.set_delay(std::chrono::milliseconds(body.value("delay_ms", 0)));
    return jl::http::json_response(200, "{}");
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings = jl::start_program(argc, argv, "jl-standin-platform", table, exit_code);
    if (!settings) {
        return exit_code;
    }
    std::string error;
    const auto vms = jl::standins::load_vm_file(settings->text("vm_file"), error);
    const auto listen = jl::parse_endpoint(settings->text("listen"));
    const auto target_control = jl::parse_endpoint(settings->text("target_control"));
    if (!vms || !listen || !target_control) {
        std::cerr << "jl-standin-platform: "
                  << (vms ? "listen and target_control must be IP:PORT" : error) << "\n";
        return 2;
    }
    jl::block_termination_signals();
    jl::standins::memory_store store;
    jl::standins::etcd_gateway gateway(store);
    jl::standins::vm_fleet fleet(*vms, {settings->duration("list_lag_ms"),
                                        settings->duration("reboot_ms"),
                                        settings->duration("task_ms"), *target_control});
    const jl::periodic_task expiry(std::chrono::milliseconds(100), std::chrono::milliseconds(0),
                                   [&] { store.expire_leases(); });
    jl::http::server_limits limits;
    limits.max_threads = 512;
    limits.max_body_bytes = 4U << 20U;
    const jl::http::server server(
        *listen, limits,
        [&](const jl::http::request& request) {
            if (request.target == "/control/store") {
                return control_store(request, store, gateway);
            }
            if (auto answer = gateway.handle(request)) {
                return std::move(*answer);
            }
            if (auto answer = fleet.handle(request)) {
                return std::move(*answer);
            }
            return jl::http::error_response(404, "not_found", "no such resource");
        },
        [&](const jl::http::request& request, const std::function<std::ostream&()>& start) {
            return gateway.handle_watch(request, start);
        });
    jl::wait_for_termination();
    gateway.stop();
    return 0;
}
