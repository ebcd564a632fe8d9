// jl-admin: the administration API for operators.

#include <iostream>

#include <Poco/Exception.h>

#include "base/log.h"
#include "base/metrics.h"
#include "base/program.h"
#include "http/server.h"
#include "operators/admin_api.h"
#include "operators/admin_settings.h"
#include "store/etcd_store.h"

namespace {

// Stands in for the view of the cluster until the link to the local jl-entry is available: it
// knows no entries and no VMs, so no configuration is reported as in force.
class detached_observer final : public jl::cluster::cluster_observer {
public:
    jl::objects::object_set_ptr configuration() const override { return nullptr; }
    jl::cluster::vm_snapshot_ptr vms() const override
    {
        return std::make_shared<const jl::cluster::vm_snapshot>();
    }
    std::vector<jl::cluster::member_status> members() const override { return {}; }
};

// The only place where the view of the cluster is chosen.
std::unique_ptr<jl::cluster::cluster_observer> make_observer(const jl::settings& /*settings*/)
{
    return std::make_unique<detached_observer>();
}

std::optional<std::vector<jl::endpoint>> parse_endpoints(const std::vector<std::string>& texts,
                                                         std::vector<std::string>& errors)
{
    std::vector<jl::endpoint> endpoints;
    for (const auto& text : texts) {
        const auto endpoint = jl::parse_endpoint(text);
        if (!endpoint) {
            errors.push_back("key \"store.endpoints\": expected ADDRESS:PORT, found " + text);
            continue;
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.empty()) {
        errors.emplace_back("key \"store.endpoints\": expected at least one endpoint");
        return std::nullopt;
    }
    return endpoints;
}

int run(const jl::settings& settings)
{
    std::vector<std::string> errors;
    const auto address = jl::parse_endpoint(settings.text("admin.address"));
    if (!address) {
        errors.push_back("key \"admin.address\": expected ADDRESS:PORT, found " +
                         settings.text("admin.address"));
    }
    auto endpoints = parse_endpoints(settings.list("store.endpoints"), errors);
    auto registry =
        jl::operators::operator_registry::from_lines(settings.list("operators"), errors);
    for (const auto& error : errors) {
        std::cerr << "jl-admin: " << error << "\n";
    }
    if (!errors.empty()) {
        return 2;
    }
    jl::block_termination_signals();
    jl::store::etcd_options store_options;
    store_options.endpoints = std::move(*endpoints);
    const auto store = jl::store::make_etcd_store(std::move(store_options));
    const auto observer = make_observer(settings);
    jl::metrics metrics;
    jl::operators::admin_api::options options;
    options.configuration.history_kept = settings.integer("history.generations_kept");
    options.configuration.call_timeout = settings.duration("store.timeout_ms");
    options.control.call_timeout = settings.duration("store.timeout_ms");
    jl::operators::admin_api api(*store, *observer, jl::system_clock_source(), std::move(registry),
                                 metrics, options);
    jl::http::server_limits limits;
    limits.max_threads = static_cast<int>(settings.integer("admin.max_connections"));
    const jl::http::server server(
        *address, limits, [&](const jl::http::request& request) { return api.handle(request); });
    jl::log_event(jl::log_level::info, "listening", {{"address", address->to_string()}});
    jl::wait_for_termination();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings =
        jl::start_program(argc, argv, "jl-admin", jl::operators::admin_settings_table(), exit_code);
    if (!settings) {
        return exit_code;
    }
    try {
        return run(*settings);
    }
    catch (const Poco::Exception& error) {
        std::cerr << "jl-admin: " << error.displayText() << "\n";
    }
    catch (const std::exception& error) {
        std::cerr << "jl-admin: " << error.what() << "\n";
    }
    return 1;
}
