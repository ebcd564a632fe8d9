// Fault-injecting TCP proxy for any number of routes.
//
//   POST /control/<route> {"fault": "none"|"refuse"|"silent"|"drop_answer"|"cut_answer",
//                          "delay_ms": N, "cut_after": N}
//   POST /control/<route>/silence-existing
//   POST /control/<route>/reset-existing

#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include "base/program.h"
#include "http/server.h"
#include "standins/fault_proxy.h"

namespace {

using jl::standins::fault_proxy;
using jl::standins::proxy_fault;
using nlohmann::json;

const std::vector<jl::setting_spec> table = {
    {"control", jl::setting_type::text, "", "", {}, {}, "address and port of the control API"},
    {"routes",
     jl::setting_type::text_list,
     "",
     "",
     {},
     {},
     "routes, each \"name listen-address upstream-address\""},
};

using route_map = std::map<std::string, std::unique_ptr<fault_proxy>>;

bool add_route(const std::string& text, route_map& routes)
{
    std::istringstream input(text);
    std::string name;
    std::string listen_text;
    std::string upstream_text;
    input >> name >> listen_text >> upstream_text;
    const auto listen = jl::parse_endpoint(listen_text);
    const auto upstream = jl::parse_endpoint(upstream_text);
    if (name.empty() || !listen || !upstream) {
        return false;
    }
    routes[name] = std::make_unique<fault_proxy>(*listen, *upstream);
    return true;
}

jl::http::response set_fault(fault_proxy& proxy, const std::string& text)
{
    static const std::map<std::string, proxy_fault::kind> kinds = {
        {"none", proxy_fault::kind::none},
        {"refuse", proxy_fault::kind::refuse},
        {"silent", proxy_fault::kind::silent},
        {"drop_answer", proxy_fault::kind::drop_answer},
        {"cut_answer", proxy_fault::kind::cut_answer}};
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return jl::http::error_response(400, "malformed", "the body is not a JSON object");
    }
    const auto kind = kinds.find(body.value("fault", "none"));
    if (kind == kinds.end()) {
        return jl::http::error_response(400, "malformed", "unknown fault", "fault");
    }
    proxy_fault fault;
    fault.type = kind->second;
    fault.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    fault.cut_after = body.value("cut_after", std::uint64_t{0});
    proxy.set_fault(fault);
    return jl::http::json_response(200, "{}");
}

jl::http::response control(const jl::http::request& request, const route_map& routes)
{
    static const std::string prefix = "/control/";
    if (request.method != "POST" || request.target.rfind(prefix, 0) != 0) {
        return jl::http::error_response(404, "not_found", "no such resource");
    }
    const auto rest = request.target.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto found = routes.find(rest.substr(0, slash));
    if (found == routes.end()) {
        return jl::http::error_response(404, "not_found", "no such route");
    }
    const auto action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (action == "silence-existing") {
        found->second->silence_existing();
    }
    else if (action == "reset-existing") {
        found->second->reset_existing();
    }
    else {
        return set_fault(*found->second, request.body);
    }
    return jl::http::json_response(200, "{}");
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings = jl::start_program(argc, argv, "jl-fault-proxy", table, exit_code);
    if (!settings) {
        return exit_code;
    }
    jl::block_termination_signals();
    route_map routes;
    for (const auto& route : settings->list("routes")) {
        if (!add_route(route, routes)) {
            std::cerr << "jl-fault-proxy: route \"" << route
                      << "\": expected \"name listen-address upstream-address\"\n";
            return 2;
        }
    }
    const auto listen = jl::parse_endpoint(settings->text("control"));
    if (!listen) {
        std::cerr << "jl-fault-proxy: control must be IP:PORT\n";
        return 2;
    }
    const jl::http::server server(
        *listen, {}, [&](const jl::http::request& request) { return control(request, routes); });
    jl::wait_for_termination();
    return 0;
}
