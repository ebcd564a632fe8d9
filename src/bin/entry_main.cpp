// jl-entry: serves callers on an entry VM.

#include <iostream>

#include <Poco/Exception.h>

#include "base/log.h"
#include "base/program.h"
#include "base/scope_guard.h"
#include "callers/caller_api.h"
#include "cluster/cluster.h"
#include "http/server.h"
#include "requests/call_engine.h"
#include "requests/durable_requests.h"
#include "store/etcd_store.h"
#include "targets/target_client.h"

namespace {

using jl::setting_type;

const std::vector<jl::setting_spec> table = {
    {"member.id", setting_type::text, "", "", {}, {}, "name of this entry, unique among entries"},
    {"member.data_centre", setting_type::text, "", "", {}, {}, "data centre of this VM"},
    {"caller.listen", setting_type::text, "IP:port", "", {}, {}, "address of the callers' API"},
    {"caller.max_connections", setting_type::integer, "", "512", 8, 4096,
     "caller connections served at once, one thread each"},
    {"caller.max_body_bytes", setting_type::integer, "bytes", "262144", 1024, 1048576,
     "largest request body; deferred bodies are stored, and a stored value has at most 1 MB"},
    {"peer.listen", setting_type::text, "IP:port", "", {}, {}, "address for links of peers"},
    {"peer.advertise",
     setting_type::text,
     "IP:port",
     "",
     {},
     {},
     "address that other entries connect to"},
    {"store.endpoints",
     setting_type::text_list,
     "IP:port",
     "",
     {},
     {},
     "addresses of the platform's key-value service"},
    {"store.lease_ttl_s", setting_type::integer, "s", "5", 2, 60,
     "time to live of this process's lease"},
    {"platform.address",
     setting_type::text,
     "IP:port",
     "",
     {},
     {},
     "address of the platform's VM list"},
    {"target.max_connections", setting_type::integer, "", "64", 1, 1024,
     "connections to one target at most"},
};

struct addresses {
    jl::endpoint callers;
    jl::endpoint peers;
    jl::endpoint advertised;
    jl::endpoint platform;
    std::vector<jl::endpoint> stores;
};

// Reads the addresses, printing every one that is not valid.
std::optional<addresses> read_addresses(const jl::settings& settings)
{
    addresses result;
    bool valid = true;
    const auto read = [&](const std::string& key, const std::string& text, jl::endpoint& target) {
        const auto parsed = jl::parse_endpoint(text);
        if (!parsed) {
            std::cerr << "jl-entry: key \"" << key << "\": expected IP:port, found \"" << text
                      << "\"\n";
            valid = false;
            return;
        }
        target = *parsed;
    };
    read("caller.listen", settings.text("caller.listen"), result.callers);
    read("peer.listen", settings.text("peer.listen"), result.peers);
    read("peer.advertise", settings.text("peer.advertise"), result.advertised);
    read("platform.address", settings.text("platform.address"), result.platform);
    for (const auto& text : settings.list("store.endpoints")) {
        read("store.endpoints", text, result.stores.emplace_back());
    }
    if (result.stores.empty()) {
        std::cerr << "jl-entry: key \"store.endpoints\": expected at least one address\n";
        valid = false;
    }
    if (!valid) {
        return std::nullopt;
    }
    return result;
}

jl::records::member_record make_member(const jl::settings& settings, const addresses& addresses)
{
    jl::records::member_record member;
    member.member = settings.text("member.id");
    member.incarnation = jl::to_unix(std::chrono::system_clock::now()).count();
    member.data_centre = settings.text("member.data_centre");
    member.caller_address = addresses.callers.to_string();
    member.peer_address = addresses.advertised.to_string();
    return member;
}

int run(const jl::settings& settings, const addresses& addresses)
{
    const auto& clock = jl::system_clock_source();
    jl::metrics metrics;
    jl::store::etcd_options store_options;
    store_options.endpoints = addresses.stores;
    const auto store = jl::store::make_etcd_store(store_options);
    jl::store::process_lease lease(*store, clock, settings.text("member.id"),
                                   std::chrono::seconds(settings.integer("store.lease_ttl_s")));
    const auto platform = jl::platform::make_http_platform(addresses.platform);

    jl::cluster::cluster_options cluster_options;
    cluster_options.member = make_member(settings, addresses);
    cluster_options.peer_listen = addresses.peers;
    cluster_options.lease_renewal =
        std::chrono::milliseconds(settings.integer("store.lease_ttl_s") * 1000 / 3);
    const auto cluster =
        jl::cluster::make_cluster(*store, lease, *platform.list, clock, metrics, cluster_options);

    const auto targets = jl::targets::make_http_target_client(
        static_cast<std::size_t>(settings.integer("target.max_connections")));
    const auto engine = jl::requests::make_call_engine(*cluster, *targets, clock, metrics, {});
    const auto durable =
        jl::requests::make_durable_requests(*store, lease, *cluster, *engine, clock, metrics, {});
    cluster->set_in_flight_source([&](const std::string& vm) { return engine->in_flight(vm); });
    cluster->set_load_source([&] {
        auto loads = engine->service_loads();
        for (auto& load : loads) {
            load.backlog = durable->backlog(load.service);
        }
        return loads;
    });
    // The sources use the engine and the durable requests, which end before the cluster state.
    const jl::scope_guard clear_sources([&] {
        cluster->set_load_source({});
        cluster->set_in_flight_source({});
    });
    cluster->start();

    jl::http::server_limits limits;
    limits.max_threads = static_cast<int>(settings.integer("caller.max_connections"));
    limits.max_queued_connections = 256;
    limits.max_body_bytes = static_cast<std::size_t>(settings.integer("caller.max_body_bytes"));
    const jl::http::server server(
        addresses.callers, limits,
        jl::callers::make_caller_api({*engine, *durable, *cluster, clock, metrics}));
    jl::log_event(
        jl::log_level::info, "started",
        {{"member", settings.text("member.id")}, {"callers", addresses.callers.to_string()}});
    jl::wait_for_termination();
    jl::log_event(jl::log_level::info, "stopping");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings = jl::start_program(argc, argv, "jl-entry", table, exit_code);
    if (!settings) {
        return exit_code;
    }
    const auto addresses = read_addresses(*settings);
    if (!addresses) {
        return 2;
    }
    jl::block_termination_signals();
    try {
        return run(*settings, *addresses);
    }
    catch (const Poco::Exception& error) {
        std::cerr << "jl-entry: " << error.displayText() << "\n";
    }
    catch (const std::exception& error) {
        std::cerr << "jl-entry: " << error.what() << "\n";
    }
    return 1;
}
