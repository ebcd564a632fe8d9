#include "operators/admin_api.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "base/ids.h"
#include "base/json.h"
#include "objects/feasibility.h"
#include "operators/admin_json.h"

namespace jl::operators {

using internal::api_json;
using internal::api_json_list;
using nlohmann::json;

struct admin_api::call {
    const http::request& request;
    std::vector<std::string> path; // segments after /v1/
    std::map<std::string, std::string> query;
    operator_account account;

    std::string write_id() const
    {
        return http::find_header(request.headers, "Jl-Write-Id").value_or(new_id());
    }
};

struct admin_api::route {
    std::string method;
    std::string path; // segments after /v1/; "{...}" stands for any one segment
    std::string meaning;
    http::response (admin_api::*run)(const call&);
};

namespace {

constexpr std::int64_t default_history_limit = 20;
constexpr std::int64_t max_history_limit = 200;
// Generations whose documents are read at once to show what each of them changed.
constexpr std::int64_t max_described_generations = 50;

bool matches(const std::string& pattern, const std::vector<std::string>& path)
{
    std::istringstream segments(pattern);
    std::size_t index = 0;
    for (std::string segment; std::getline(segments, segment, '/'); ++index) {
        if (index >= path.size() || (segment.front() != '{' && segment != path[index])) {
            return false;
        }
    }
    return index == path.size();
}

http::response answer(const json& body, int status = 200)
{
    // Records may quote what callers sent, so invalid UTF-8 is replaced rather than thrown.
    return http::json_response(status,
                               body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

http::response not_found(const std::string& message)
{
    return http::error_response(404, "not_found", message);
}

int status_of(configuration_error_code code)
{
    switch (code) {
    case configuration_error_code::invalid:
        return 422;
    case configuration_error_code::forbidden:
        return 403;
    case configuration_error_code::generation_conflict:
        return 409;
    case configuration_error_code::not_found:
        return 404;
    case configuration_error_code::unavailable:
        return 503;
    case configuration_error_code::outcome_unknown:
        break;
    }
    return 504;
}

http::response configuration_failure()
{
    const auto& error = configuration_service::last_error();
    json body = {{"error", {{"code", to_text(error.code)}, {"message", error.message}}}};
    if (!error.faults.empty()) {
        body["faults"] = api_json(error.faults);
    }
    if (error.code == configuration_error_code::generation_conflict) {
        body["generation"] = error.generation;
        body["author"] = error.author;
        body["changes"] = api_json(error.changes);
    }
    return answer(body, status_of(error.code));
}

http::response control_failure()
{
    const auto& error = control_service::last_error();
    int status = 504;
    if (error.code == control_error_code::conflict) {
        status = 409;
    }
    else if (error.code == control_error_code::unavailable) {
        status = 503;
    }
    return http::error_response(status, to_text(error.code), error.message);
}

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    // 18 digits always fit.
    if (text.empty() || text.size() > 18 ||
        text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::strtoll(text.c_str(), nullptr, 10);
}

// Estimates of each wave of a document: how long it takes under the document's budgets.
json plan_waves(const objects::object_set& set)
{
    auto list = json::array();
    for (const auto& wave : set.waves) {
        const auto estimate = objects::estimate_wave(set, wave);
        json item = {{"wave", wave.name},
                     {"vms", estimate.vms},
                     {"at_once", estimate.at_once},
                     {"period_s", std::chrono::seconds(wave.period).count()},
                     {"limiting_pool", estimate.limiting_pool},
                     {"limiting_budget", estimate.limiting_budget}};
        if (estimate.duration) {
            item["longest_s"] = estimate.duration->count();
        }
        list.push_back(std::move(item));
    }
    return list;
}

std::string owner_of(const objects::object_set_ptr& configuration, const std::string& object)
{
    if (!configuration) {
        return "";
    }
    const auto found = configuration->owners.find(object);
    return found == configuration->owners.end() ? "" : found->second;
}

http::response forbidden(const std::string& object, const std::string& owner)
{
    return http::error_response(403, "forbidden",
                                object + " may be changed by " +
                                    (owner.empty() ? "" : "team " + owner + " and ") +
                                    "administrators only",
                                "owner");
}

// State of a wave asked for in the body {"state": "paused"}.
std::optional<records::wave_state> read_wave_state(const std::string& body)
{
    const auto value = parse_json(body);
    if (!value.is_object() || !value.contains("state") || !value["state"].is_string()) {
        return std::nullopt;
    }
    return records::parse_wave_state(value["state"].get<std::string>());
}

std::string explain_state(const records::request_record& request, std::chrono::milliseconds now,
                          const std::vector<service_summary>& services)
{
    switch (request.state) {
    case records::request_state::queued:
        break;
    case records::request_state::running:
        return "being run by entry " + request.holder;
    case records::request_state::answered:
        return "answered with status " + std::to_string(request.answer_status);
    case records::request_state::unknown:
        return "started, but its answer was lost; it is not run again because it is not "
               "idempotent";
    case records::request_state::cancelled:
        return "cancelled before it started";
    case records::request_state::expired:
        return "not started before its deadline";
    }
    std::string text =
        "waiting for " + std::to_string((now - request.accepted_at).count() / 1000) + " s";
    for (const auto& service : services) {
        if (service.service != request.service) {
            continue;
        }
        text += "; service " + service.service + " has " + std::to_string(service.slots) +
                " slots, " + std::to_string(service.running) + " in use, " +
                std::to_string(service.waiting) + " calls waiting and a backlog of " +
                std::to_string(service.backlog);
        if (service.slots == 0) {
            text += "; no VM of its pool is usable";
        }
    }
    return text;
}

} // namespace

admin_api::admin_api(store::key_value_store& store, const cluster::cluster_observer& observer,
                     const clock_source& clock, operator_registry registry, metrics& metrics,
                     options options)
    : store_(store),
      observer_(observer),
      clock_(clock),
      registry_(std::move(registry)),
      metrics_(metrics),
      options_(options),
      configuration_(store, clock, options.configuration),
      control_(store, clock, options.control)
{
}

http::response admin_api::handle(const http::request& request)
{
    try {
        const Poco::URI uri(request.target);
        call call{request, {}, {}, {}};
        uri.getPathSegments(call.path);
        for (const auto& [key, value] : uri.getQueryParameters()) {
            call.query[key] = value;
        }
        if (uri.getPath() == "/metrics") {
            return show_metrics();
        }
        if (uri.getPath() == "/healthz") {
            return answer({{"status", "ok"}});
        }
        if (call.path.empty() || call.path.front() != "v1") {
            return not_found("no such path; the API is below /v1/");
        }
        call.path.erase(call.path.begin());
        auto account = registry_.authenticate(
            http::find_header(request.headers, "Authorization").value_or(""));
        if (!account) {
            metrics_.count("jl_admin_requests_total", "Administration requests",
                           {{"outcome", "unauthorized"}});
            auto refusal = http::error_response(
                401, "unauthorized", "a valid bearer token is required", "Authorization");
            refusal.headers["WWW-Authenticate"] = "Bearer";
            return refusal;
        }
        call.account = std::move(*account);
        auto result = dispatch(call);
        metrics_.count("jl_admin_requests_total", "Administration requests",
                       {{"outcome", result.status < 400   ? "done"
                                    : result.status < 500 ? "refused"
                                                          : "failed"}});
        return result;
    }
    catch (const Poco::SyntaxException& error) {
        return http::error_response(400, "malformed", error.displayText(), "path");
    }
}

// Gauges of the whole cluster for alerts. They come from the observer alone, so that scraping costs
// no call to the store.
http::response admin_api::show_metrics()
{
    cluster_picture picture;
    picture.configuration = observer_.configuration();
    picture.members = observer_.members();
    const auto snapshot = observer_.vms();
    picture.vms.reserve(snapshot->vms.size());
    for (const auto& state : snapshot->vms) {
        picture.vms.push_back({state, std::nullopt});
    }
    for (const auto& service : summarize_services(picture)) {
        const metric_labels labels = {{"service", service.service}};
        metrics_.set("jl_service_backlog", "Deferred requests not yet finished", labels,
                     service.backlog);
        metrics_.set("jl_service_backlog_limit", "Deferred requests kept at most", labels,
                     service.max_backlog);
        metrics_.set("jl_service_waiting", "Calls that wait for a slot", labels, service.waiting);
        metrics_.set("jl_service_slots", "Slots of usable VMs", labels, service.slots);
    }
    for (const auto& headroom : budget_headrooms(picture)) {
        metrics_.set("jl_budget_left", "VMs that a budget still allows to be unavailable",
                     {{"budget", headroom.budget}, {"scope", headroom.scope_name}},
                     headroom.left());
    }
    const auto generation = picture.configuration ? picture.configuration->generation : 0;
    const auto report = report_in_force(generation, picture.members, {});
    metrics_.set("jl_entries_alive", "Entries heard of", {}, report.entries);
    metrics_.set("jl_entries_behind", "Live entries without the newest known generation", {},
                 static_cast<double>(report.behind.size()));
    http::response text;
    text.headers["Content-Type"] = "text/plain; version=0.0.4";
    text.body = metrics_.to_text();
    return text;
}

const std::vector<admin_api::route>& admin_api::routes()
{
    static const std::vector<route> table = {
        {"GET", "configuration", "the current configuration with its document",
         &admin_api::get_configuration},
        {"PUT", "configuration",
         "publishes the document in the body; `If-Match` holds the generation that it replaces, "
         "`Jl-Write-Id` makes a repetition take effect once",
         &admin_api::publish},
        {"POST", "configuration/check", "checks the document in the body; answers its changes",
         &admin_api::check},
        {"POST", "configuration/plan",
         "as `check`, with the longest duration of each wave and the budgets over the present VMs",
         &admin_api::plan},
        {"GET", "configuration/diff",
         "changes between the generations `from` and `to` (query; default: the current one)",
         &admin_api::diff},
        {"GET", "history", "the latest `limit` (query) generations and actions, newest first",
         &admin_api::history},
        {"GET", "history/{generation}", "one generation with its document",
         &admin_api::get_generation},
        {"GET", "status", "generation in force, entries, pools, waves and drains",
         &admin_api::status},
        {"GET", "budgets", "headroom of each budget", &admin_api::budgets},
        {"GET", "services", "queues, slots and demand of each service", &admin_api::services},
        {"GET", "waves", "progress of each wave", &admin_api::waves},
        {"GET", "waves/{wave}", "progress, budgets and what blocks the wave",
         &admin_api::explain_wave},
        {"PUT", "waves/{wave}",
         R"(sets the state in the body `{"state": "running"}` to `running`, `paused` or `cancelled`)",
         &admin_api::set_wave},
        {"GET", "vms", "state and record of each VM", &admin_api::vms},
        {"GET", "vms/{vm}", "record, budgets, acknowledgments and what blocks the VM",
         &admin_api::explain_one_vm},
        {"GET", "drains", "drains that operators asked for", &admin_api::drains},
        {"PUT", "drains/{vm}", "asks for a drain and reboot", &admin_api::change_drain},
        {"DELETE", "drains/{vm}", "withdraws the request", &admin_api::change_drain},
        {"GET", "requests/{id}", "record of a request, without its body and answer",
         &admin_api::explain_request}};
    return table;
}

std::string admin_api::describe()
{
    std::string text =
        "# Administration API\n\n"
        "Generated by `jlctl docs api`; a test compares this page with the table in the code.\n\n"
        "HTTP/JSON on the port `admin.address` of `jl-admin`. Every path below `/v1/` needs "
        "`Authorization: Bearer OPERATOR.SECRET`. `/metrics` and `/healthz` need no token.\n\n"
        "An error is `{\"error\": {\"code\", \"message\", \"field\"}}`. A refused document adds "
        "`faults`, a list of `object`, `field` and `reason`. A lost race adds `generation`, "
        "`author` and `changes`.\n\n"
        "| status | meaning |\n|---|---|\n"
        "| 400, 428 | malformed request, or `If-Match` is missing |\n"
        "| 401, 403 | no valid token, or the operator may not make the change |\n"
        "| 404 | no such path, object or record |\n"
        "| 409 | another operator made a change first |\n"
        "| 422 | the document was refused as a whole |\n"
        "| 503 | the store does not answer; nothing was changed |\n"
        "| 504 | the outcome is unknown; repeat with the same `Jl-Write-Id` |\n\n"
        "| method | path | meaning |\n|---|---|---|\n";
    for (const auto& route : routes()) {
        text += "| " + route.method + " | `/v1/" + route.path + "` | " + route.meaning + " |\n";
    }
    return text;
}

http::response admin_api::dispatch(call& call)
{
    for (const auto& route : routes()) {
        if (route.method == call.request.method && matches(route.path, call.path)) {
            return (this->*route.run)(call);
        }
    }
    return not_found("no such path or method: " + call.request.method + " " + call.request.target);
}

http::response admin_api::get_configuration(const call& /*call*/)
{
    const auto current = configuration_.current();
    if (!current) {
        return configuration_failure();
    }
    auto body = api_json(*current);
    body["document"] = parse_json(current->document);
    if (body["document"].is_discarded()) {
        body["document"] = nullptr;
    }
    return answer(body);
}

http::response admin_api::check(const call& call)
{
    const auto changes = configuration_.check(call.request.body);
    if (!changes) {
        return configuration_failure();
    }
    return answer({{"valid", true}, {"changes", api_json(*changes)}});
}

http::response admin_api::plan(const call& call)
{
    const auto changes = configuration_.check(call.request.body);
    if (!changes) {
        return configuration_failure();
    }
    std::vector<objects::object_error> faults;
    auto set = objects::parse_objects(call.request.body, faults);
    auto picture = read_picture();
    if (!set || !picture) {
        return unavailable();
    }
    json body = {{"valid", true}, {"changes", api_json(*changes)}, {"waves", plan_waves(*set)}};
    // The budgets of the new document over the VMs as they are now.
    picture->configuration = std::make_shared<const objects::object_set>(std::move(*set));
    body["budgets"] = api_json_list(budget_headrooms(*picture));
    return answer(body);
}

http::response admin_api::publish(const call& call)
{
    const auto expected = http::find_header(call.request.headers, "If-Match");
    const auto generation = parse_integer(expected.value_or(""));
    if (!generation) {
        return http::error_response(428, "expected_generation_required",
                                    "give the generation that the document replaces; 0 if nothing "
                                    "has been published",
                                    "If-Match");
    }
    const auto may_change = [&](const std::string&, const std::string& owner) {
        return call.account.may_change(owner);
    };
    const auto result = configuration_.publish(
        {call.request.body, call.account.name, *generation, call.write_id()}, may_change);
    if (!result) {
        metrics_.count("jl_admin_publishes_total", "Attempts to publish a configuration",
                       {{"outcome", to_text(configuration_service::last_error().code)}});
        return configuration_failure();
    }
    metrics_.count("jl_admin_publishes_total", "Attempts to publish a configuration",
                   {{"outcome", "published"}});
    return answer({{"generation", result->generation}, {"changes", api_json(result->changes)}});
}

http::response admin_api::diff(const call& call)
{
    const auto read = [&](const char* key) -> std::optional<objects::published_configuration> {
        const auto found = call.query.find(key);
        if (found == call.query.end()) {
            return configuration_.current();
        }
        return configuration_.generation(parse_integer(found->second).value_or(0));
    };
    const auto from = read("from");
    if (!from) {
        return configuration_failure();
    }
    const auto to = read("to");
    if (!to) {
        return configuration_failure();
    }
    return answer({{"from", from->generation},
                   {"to", to->generation},
                   {"changes", api_json(objects::diff_documents(from->document, to->document))}});
}

http::response admin_api::get_generation(const call& call)
{
    const auto entry = configuration_.generation(parse_integer(call.path[1]).value_or(0));
    if (!entry) {
        return configuration_failure();
    }
    auto body = api_json(*entry);
    body["document"] = parse_json(entry->document);
    return answer(body);
}

http::response admin_api::history(const call& call)
{
    const auto asked = call.query.find("limit");
    const auto limit = asked == call.query.end() ? default_history_limit
                                                 : parse_integer(asked->second).value_or(0);
    if (limit < 1 || limit > max_history_limit) {
        return http::error_response(400, "out_of_bounds",
                                    "expected 1.." + std::to_string(max_history_limit), "limit");
    }
    // One more entry, so that the oldest one shown can be compared with its predecessor.
    const auto entries = configuration_.history(std::min(limit, max_described_generations) + 1);
    if (!entries) {
        return configuration_failure();
    }
    const auto actions = control_.actions(static_cast<std::size_t>(limit));
    if (!actions) {
        return control_failure();
    }
    auto generations = json::array();
    for (std::size_t index = 0; index < entries->size(); ++index) {
        const auto& entry = (*entries)[index];
        if (static_cast<std::int64_t>(index) >= limit) {
            break;
        }
        auto item = api_json(entry);
        const bool has_previous = index + 1 < entries->size();
        if (has_previous || entry.generation == 1) {
            item["changes"] = api_json(objects::diff_documents(
                has_previous ? (*entries)[index + 1].document : "", entry.document));
        }
        generations.push_back(std::move(item));
    }
    return answer({{"generations", generations}, {"actions", api_json_list(*actions)}});
}

http::response admin_api::status(const call& /*call*/)
{
    const auto current = configuration_.current();
    if (!current) {
        return configuration_failure();
    }
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    const auto stored_members =
        read_range(records::members_prefix, store::prefix_end(records::members_prefix));
    if (!stored_members) {
        return unavailable();
    }
    std::set<std::string> registered;
    for (const auto& item : stored_members->items) {
        registered.insert(item.key.substr(std::string_view(records::members_prefix).size()));
    }
    std::map<std::string, std::map<std::string, int>> pools;
    for (const auto& vm : picture->vms) {
        ++pools[vm.state.pool]
               [vm.state.listed_live ? records::to_text(vm.state.phase) : "not_listed"];
    }
    return answer({{"configuration",
                    api_json(report_in_force(current->generation, picture->members, registered))},
                   {"members", api_json_list(picture->members)},
                   {"pools", pools},
                   {"waves", api_json_list(wave_progresses(*picture))},
                   {"drains", api_json_list(picture->drains)}});
}

http::response admin_api::budgets(const call& /*call*/)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    return answer({{"budgets", api_json_list(budget_headrooms(*picture))}});
}

http::response admin_api::services(const call& /*call*/)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    return answer({{"services", api_json_list(summarize_services(*picture))}});
}

http::response admin_api::waves(const call& /*call*/)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    return answer({{"waves", api_json_list(wave_progresses(*picture))}});
}

http::response admin_api::explain_wave(const call& call)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    for (const auto& progress : wave_progresses(*picture)) {
        if (progress.wave != call.path[1]) {
            continue;
        }
        auto body = api_json(progress);
        body["budgets"] = api_json_list(budget_headrooms(*picture));
        return answer(body);
    }
    return not_found("no wave named " + call.path[1]);
}

http::response admin_api::set_wave(const call& call)
{
    const auto& name = call.path[1];
    const auto configuration = read_configuration();
    if (!configuration) {
        return unavailable();
    }
    const std::string object = "maintenance_wave " + name;
    if (configuration->owners.count(object) == 0) {
        return not_found("no wave named " + name);
    }
    const auto owner = owner_of(configuration, object);
    if (!call.account.may_change(owner)) {
        return forbidden(object, owner);
    }
    const auto state = read_wave_state(call.request.body);
    if (!state) {
        return http::error_response(400, "malformed", "expected running, paused or cancelled",
                                    "state");
    }
    const auto record = control_.set_wave(name, *state, call.account.name, call.write_id());
    if (!record) {
        return control_failure();
    }
    return answer({{"wave", name},
                   {"state", records::to_text(record->state)},
                   {"changed_by", record->changed_by},
                   {"changed_at_ms", record->changed_at.count()}});
}

http::response admin_api::vms(const call& /*call*/)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    return answer({{"vms", api_json_list(picture->vms)}});
}

http::response admin_api::explain_one_vm(const call& call)
{
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    const auto explanation = explain_vm(*picture, call.path[1]);
    if (!explanation) {
        return not_found("no VM named " + call.path[1]);
    }
    return answer(api_json(*explanation));
}

http::response admin_api::drains(const call& /*call*/)
{
    const auto drains = control_.drains();
    if (!drains) {
        return control_failure();
    }
    return answer({{"drains", api_json_list(*drains)}});
}

http::response admin_api::change_drain(const call& call)
{
    const auto& name = call.path[1];
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    const auto found = std::find_if(picture->vms.begin(), picture->vms.end(),
                                    [&](const vm_picture& vm) { return vm.state.vm == name; });
    const bool withdraw = call.request.method == "DELETE";
    if (found == picture->vms.end()) {
        return not_found("no VM named " + name);
    }
    const std::string pool = "pool " + found->state.pool;
    const auto owner = owner_of(picture->configuration, pool);
    if (!call.account.may_change(owner)) {
        return forbidden(pool, owner);
    }
    if (withdraw) {
        return control_.withdraw_drain(name, call.account.name, call.write_id())
                   ? answer({{"vm", name}, {"drain", "withdrawn"}})
                   : control_failure();
    }
    const auto record = control_.request_drain(name, call.account.name, call.write_id());
    return record ? answer(api_json(*record)) : control_failure();
}

http::response admin_api::explain_request(const call& call)
{
    const auto& id = call.path[1];
    const auto picture = read_picture();
    if (!picture) {
        return unavailable();
    }
    std::vector<std::string> keys = {records::requests_prefix + id};
    if (picture->configuration) {
        for (const auto& service : picture->configuration->services) {
            keys.push_back(records::deferred_prefix + service.name + "/" + id);
        }
    }
    for (const auto& key : keys) {
        const auto result = read_range(key, "");
        if (!result) {
            return unavailable();
        }
        if (result->items.empty()) {
            continue;
        }
        const auto record = records::parse_request(result->items.front().value);
        if (!record) {
            return http::error_response(500, "malformed_record",
                                        "the value of " + key + " is not a request record");
        }
        auto body = api_json(*record);
        body["key"] = key;
        body["mod_revision"] = result->items.front().mod_revision;
        body["explanation"] = explain_state(*record, picture->now, summarize_services(*picture));
        return answer(body);
    }
    return not_found("no record of request " + id +
                     "; a call without an Idempotency-Key leaves none");
}

http::response admin_api::unavailable() const
{
    return http::error_response(
        503, "unavailable", "the key-value service is unavailable: " + store::last_error().message);
}

std::optional<store::range_result> admin_api::read_range(const std::string& key,
                                                         const std::string& range_end)
{
    return store_.range({key, range_end, 0}, clock_.steady_now() + options_.control.call_timeout);
}

objects::object_set_ptr admin_api::read_configuration()
{
    if (auto configuration = observer_.configuration()) {
        return configuration;
    }
    // The local entry has not read a configuration yet.
    const auto current = configuration_.current();
    if (!current) {
        return nullptr;
    }
    std::vector<objects::object_error> faults;
    auto set = objects::parse_objects(current->document, faults);
    return std::make_shared<const objects::object_set>(set ? std::move(*set)
                                                           : objects::object_set{});
}

std::optional<cluster_picture> admin_api::read_picture()
{
    cluster_picture picture;
    const auto stored = read_range(records::vms_prefix, store::prefix_end(records::vms_prefix));
    if (!stored) {
        return std::nullopt;
    }
    auto waves = control_.waves();
    auto drains = control_.drains();
    if (!waves || !drains) {
        return std::nullopt;
    }
    std::map<std::string, std::pair<records::vm_record, std::int64_t>> records_by_vm;
    for (const auto& item : stored->items) {
        if (auto record = records::parse_vm(item.value)) {
            records_by_vm[record->vm] = {*record, item.mod_revision};
        }
    }
    const auto snapshot = observer_.vms(); // keeps the VMs alive during the loop
    for (const auto& state : snapshot->vms) {
        vm_picture vm{state, std::nullopt};
        const auto found = records_by_vm.find(state.vm);
        if (found != records_by_vm.end()) {
            // The record is newer than the entry's view of it.
            vm.record = found->second.first;
            vm.state.phase = vm.record->phase;
            vm.state.pool = vm.record->pool;
            vm.state.record_revision = found->second.second;
        }
        picture.vms.push_back(std::move(vm));
    }
    std::sort(picture.vms.begin(), picture.vms.end(),
              [](const vm_picture& left, const vm_picture& right) {
                  return left.state.vm < right.state.vm;
              });
    picture.configuration = read_configuration();
    if (!picture.configuration) {
        return std::nullopt;
    }
    picture.members = observer_.members();
    picture.waves = std::move(*waves);
    picture.drains = std::move(*drains);
    picture.now = to_unix(clock_.wall_now());
    return picture;
}

} // namespace jl::operators
