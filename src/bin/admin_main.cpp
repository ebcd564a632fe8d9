// jl-admin: the administration API for operators.

#include <iostream>

#include <Poco/Exception.h>

#include "base/log.h"
#include "base/metrics.h"
#include "base/program.h"
#include "cluster/cluster.h"
#include "http/server.h"
#include "operators/admin_api.h"
#include "operators/admin_settings.h"
#include "store/etcd_store.h"

namespace {

// The only place where the view of the cluster is chosen: it comes from the entry of this VM.
std::unique_ptr<jl::cluster::cluster_observer> make_observer(const jl::endpoint& entry,
                                                             jl::metrics& metrics)
{
    // Names of attached processes are unique for each entry, and a VM may run one jl-admin only.
    return jl::cluster::make_attached_observer(entry, "admin", jl::system_clock_source(), metrics);
}

std::optional<jl::endpoint> read_endpoint(const jl::settings& settings, const std::string& key,
                                          std::vector<std::string>& errors)
{
    auto endpoint = jl::parse_endpoint(settings.text(key));
    if (!endpoint) {
        errors.push_back("key \"" + key + "\": expected ADDRESS:PORT, found \"" +
                         settings.text(key) + "\"");
    }
    return endpoint;
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
    const auto address = read_endpoint(settings, "admin.address", errors);
    const auto entry = read_endpoint(settings, "entry.address", errors);
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
    jl::metrics metrics;
    const auto observer = make_observer(*entry, metrics);
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
