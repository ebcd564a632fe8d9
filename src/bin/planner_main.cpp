#include <iostream>
#include <memory>

#include <unistd.h>

#include "base/ids.h"
#include "base/log.h"
#include "base/periodic_task.h"
#include "base/program.h"
#include "cluster/cluster.h"
#include "fleet/planner.h"
#include "http/server.h"
#include "platform/platform.h"
#include "store/etcd_store.h"

namespace {

using namespace jl;

const std::vector<setting_spec>& settings_table()
{
    static const std::vector<setting_spec> table = {
        {"planner.id", setting_type::text, "", "", {}, {}, "Unique name of this process."},
        {"planner.round_ms", setting_type::milliseconds, "ms", "1000", 50, 60000,
         "Time between planning rounds."},
        {"planner.lease_s", setting_type::integer, "s", "5", 3, 60,
         "Time to live of the process lease, to which the role is attached."},
        {"planner.metrics_address",
         setting_type::text,
         "",
         "\"\"",
         {},
         {},
         "Address for GET /metrics; empty: not served."},
        {"entry.address",
         setting_type::text,
         "IP:port",
         "",
         {},
         {},
         "Peer address of the jl-entry on this VM."},
        {"store.endpoints",
         setting_type::text_list,
         "",
         "",
         {},
         {},
         "Addresses of the key-value service."},
        {"store.timeout_ms", setting_type::milliseconds, "ms", "1000", 10, 60000,
         "Time limit of one call to the key-value service."},
        {"platform.address", setting_type::text, "", "", {}, {}, "Address of the platform's API."},
        {"platform.timeout_ms", setting_type::milliseconds, "ms", "1000", 10, 60000,
         "Time limit of one call to the platform."},
        {"drain.acknowledgment_ms", setting_type::milliseconds, "ms", "2000", 100, 60000,
         "A drain is withdrawn if an entry has not acknowledged it by then."},
        {"drain.limit_ms", setting_type::milliseconds, "ms", "600000", 1000, 86400000,
         "Time limit of drains for moves and by operators; waves have their own."},
        {"drain.return_limit_ms", setting_type::milliseconds, "ms", "600000", 1000, 86400000,
         "A VM that has not returned from a reboot by then is reported."},
        {"drain.retry_ms", setting_type::milliseconds, "ms", "10000", 0, 86400000,
         "A withdrawn drain is not started again before this time."},
        {"drain.retry_after_limit_ms", setting_type::milliseconds, "ms", "60000", 0, 86400000,
         "The same for a drain withdrawn on its time limit."},
        {"vm.forget_ms", setting_type::milliseconds, "ms", "3600000", 10000, 604800000,
         "The record of a VM missing from the VM list for this long is removed."},
    };
    return table;
}

// Reads a list of addresses; faults are printed, so that all of them appear in one run.
bool read_endpoint(const std::string& key, const std::string& text, endpoint& target)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        std::cerr << "jl-planner: " << key << ": expected ADDRESS:PORT, found \"" << text << "\"\n";
        return false;
    }
    target = *parsed;
    return true;
}

fleet::planner_options read_options(const settings& settings)
{
    fleet::planner_options options;
    options.limits.acknowledgment_limit = settings.duration("drain.acknowledgment_ms");
    options.limits.drain_limit = settings.duration("drain.limit_ms");
    options.limits.return_limit = settings.duration("drain.return_limit_ms");
    options.limits.retry_delay = settings.duration("drain.retry_ms");
    options.limits.retry_delay_after_limit = settings.duration("drain.retry_after_limit_ms");
    options.limits.missing_record_retention = settings.duration("vm.forget_ms");
    options.store_timeout = settings.duration("store.timeout_ms");
    options.platform_timeout = settings.duration("platform.timeout_ms");
    return options;
}

std::unique_ptr<http::server> serve_metrics(const endpoint& address, const metrics& metrics)
{
    http::server_limits limits;
    limits.max_threads = 2;
    return std::make_unique<http::server>(
        address, limits, [&metrics](const http::request& request) {
            if (request.target != "/metrics") {
                return http::error_response(404, "not_found", "only /metrics is served here");
            }
            http::response answer;
            answer.headers["Content-Type"] = "text/plain; version=0.0.4";
            answer.body = metrics.to_text();
            return answer;
        });
}

// A step often makes the next one possible, for example a returned VM the drain of another. Such
// steps follow at once instead of a round later; the bound keeps the calls per period limited.
void run_rounds(fleet::planner& engine)
{
    constexpr int max_rounds = 4;
    for (int round = 0; round < max_rounds; ++round) {
        const auto report = engine.run_round();
        if (report.outcome != fleet::round_outcome::done || report.steps == 0) {
            return;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    int exit_code = 0;
    const auto settings = start_program(argc, argv, "jl-planner", settings_table(), exit_code);
    if (!settings) {
        return exit_code;
    }
    store::etcd_options store_options;
    bool valid = true;
    for (const auto& text : settings->list("store.endpoints")) {
        store_options.endpoints.emplace_back();
        valid = read_endpoint("store.endpoints", text, store_options.endpoints.back()) && valid;
    }
    endpoint platform_address;
    valid =
        read_endpoint("platform.address", settings->text("platform.address"), platform_address) &&
        valid;
    endpoint entry_address;
    valid = read_endpoint("entry.address", settings->text("entry.address"), entry_address) && valid;
    endpoint metrics_address;
    const bool with_metrics = !settings->text("planner.metrics_address").empty();
    valid = (!with_metrics ||
             read_endpoint("planner.metrics_address", settings->text("planner.metrics_address"),
                           metrics_address)) &&
            valid;
    if (!valid || store_options.endpoints.empty()) {
        return 2;
    }
    block_termination_signals();

    const auto& clock = system_clock_source();
    metrics metrics;
    const auto store = store::make_etcd_store(store_options);
    const auto platform = platform::make_http_platform(platform_address);
    const auto observer = cluster::make_attached_observer(
        entry_address, settings->text("planner.id"), clock, metrics);
    const std::chrono::seconds ttl(settings->integer("planner.lease_s"));
    // The name is followed by an id, because a restarted planner must not pass for its predecessor.
    store::process_lease lease(*store, clock, settings->text("planner.id") + "/" + new_id(), ttl);
    const auto metrics_server = with_metrics ? serve_metrics(metrics_address, metrics) : nullptr;
    {
        periodic_task renewal(std::chrono::milliseconds(ttl) / 3, std::chrono::milliseconds(0),
                              [&lease] { lease.renew(); });
        fleet::planner engine(*store, lease, platform, *observer, clock, metrics,
                              read_options(*settings));
        periodic_task rounds(settings->duration("planner.round_ms"), std::chrono::milliseconds(0),
                             [&engine] { run_rounds(engine); });
        log_event(log_level::info, "planner_started", {{"id", settings->text("planner.id")}});
        wait_for_termination();
    }
    lease.release(fleet::planner_role);
    log_event(log_level::info, "planner_stopped");
    return 0;
}
