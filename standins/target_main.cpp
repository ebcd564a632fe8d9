// Stand-in for the targets of a deployment: one HTTP server for each VM of the VM file, with a
// common ledger of executions.
//
//   POST /control/vms/<vm>/{start,stop,normal,fail,silent}
//   GET  /control/ledger     lines "token starts finishes vm"
//   GET  /control/summary    {"requests", "cut", "overruns"}

#include <iostream>
#include <map>

#include "base/program.h"
#include "http/server.h"
#include "standins/target_host.h"
#include "standins/vm_file.h"

namespace {

const std::vector<jl::setting_spec> table = {
    {"control", jl::setting_type::text, "", "", {}, {}, "address and port of the control API"},
    {"vm_file", jl::setting_type::text, "", "", {}, {}, "JSON file that lists the VMs"},
    {"slots", jl::setting_type::integer, "", "8", 1, 1024, "requests executed at a time on a VM"},
    {"work_ms", jl::setting_type::milliseconds, "ms", "20", 0, 600000,
     "duration of a request that does not give one"},
};

using host_map = std::map<std::string, std::unique_ptr<jl::standins::target_host>>;

jl::http::response control(const jl::http::request& request, host_map& hosts,
                           const jl::standins::execution_ledger& ledger)
{
    static const std::string prefix = "/control/vms/";
    if (request.target == "/control/ledger") {
        jl::http::response answer;
        answer.body = ledger.to_text();
        return answer;
    }
    if (request.target == "/control/summary") {
        return jl::http::json_response(200, ledger.summary_json());
    }
    const auto slash = request.target.rfind('/');
    if (request.target.rfind(prefix, 0) == 0 && slash > prefix.size()) {
        const auto found = hosts.find(request.target.substr(prefix.size(), slash - prefix.size()));
        const auto action = request.target.substr(slash + 1);
        if (found != hosts.end()) {
            if (action == "start") {
                found->second->start();
            }
            else if (action == "stop") {
                found->second->stop();
            }
            else {
                found->second->set_mode(action);
            }
            return jl::http::json_response(200, "{}");
        }
    }
    return jl::http::error_response(404, "not_found", "no such resource");
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings = jl::start_program(argc, argv, "jl-standin-target", table, exit_code);
    if (!settings) {
        return exit_code;
    }
    std::string error;
    const auto vms = jl::standins::load_vm_file(settings->text("vm_file"), error);
    const auto listen = jl::parse_endpoint(settings->text("control"));
    if (!vms || !listen) {
        std::cerr << "jl-standin-target: " << (vms ? "control must be IP:PORT" : error) << "\n";
        return 2;
    }
    jl::block_termination_signals();
    jl::standins::execution_ledger ledger;
    host_map hosts;
    for (const auto& vm : *vms) {
        auto& host = hosts[vm.vm];
        host = std::make_unique<jl::standins::target_host>(
            vm, static_cast<int>(settings->integer("slots")), settings->duration("work_ms"),
            ledger);
        host->start();
    }
    const jl::http::server server(*listen, {}, [&](const jl::http::request& request) {
        return control(request, hosts, ledger);
    });
    jl::wait_for_termination();
    return 0;
}
