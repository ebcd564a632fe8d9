#include "operators/ctl_commands.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>

#include <nlohmann/json.hpp>

#include "objects/fields.h"
#include "objects/objects.h"
#include "operators/admin_json.h"
#include "operators/admin_settings.h"
#include "operators/operator_registry.h"
#include "operators/text_table.h"

namespace jl::operators::internal {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds poll_pause{500};

ctl_exit exit_of_status(int status)
{
    switch (status) {
    case 400:
    case 428:
        return ctl_exit::usage;
    case 401:
    case 403:
        return ctl_exit::forbidden;
    case 404:
        return ctl_exit::not_found;
    case 409:
        return ctl_exit::conflict;
    case 422:
        return ctl_exit::invalid;
    case 503:
        return ctl_exit::unavailable;
    case 504:
        return ctl_exit::outcome_unknown;
    default:
        return status < 400 ? ctl_exit::done : ctl_exit::failed;
    }
}

std::string to_cell(const json& value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_number_float()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.1f", value.get<double>());
        return text.data();
    }
    if (value.is_array()) {
        std::string text;
        for (const auto& item : value) {
            text += (text.empty() ? "" : ", ") + to_cell(item);
        }
        return text.empty() ? "-" : text;
    }
    return value.is_null() ? "-" : value.dump();
}

struct column {
    std::string title;
    std::string key;
};

void print_rows(std::ostream& output, const json& rows, const std::vector<column>& columns)
{
    std::vector<std::string> titles;
    titles.reserve(columns.size());
    for (const auto& column : columns) {
        titles.push_back(column.title);
    }
    text_table table(std::move(titles));
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto& column : columns) {
            cells.push_back(to_cell(row.value(column.key, json())));
        }
        table.add(std::move(cells));
    }
    table.print(output);
}

std::string format_time(std::int64_t since_epoch_ms)
{
    const std::time_t seconds = since_epoch_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

void print_changes(std::ostream& output, const json& changes)
{
    if (changes.empty()) {
        output << "no changes\n";
    }
    for (const auto& change : changes) {
        output << change.value("change", "") << " " << change.value("object", "") << "\n";
        for (const auto& field : change.value("fields", json::array())) {
            output << "  " << field.value("field", "") << ": " << field["before"].dump() << " -> "
                   << field["after"].dump() << "\n";
        }
    }
}

void print_waves(std::ostream& output, const json& waves)
{
    text_table table({"WAVE", "STATE", "MAINTAINED", "IN PROGRESS", "PERIOD ENDS", "BLOCKED BY"});
    for (const auto& wave : waves) {
        table.add({wave.value("wave", ""), wave.value("state", ""),
                   std::to_string(wave.value("maintained", 0)) + "/" +
                       std::to_string(wave.value("vms", 0)),
                   to_cell(wave["in_progress"]), format_time(wave.value("period_end_ms", 0LL)),
                   to_cell(wave["blocking"])});
    }
    table.print(output);
}

void print_budgets(std::ostream& output, const json& budgets)
{
    print_rows(output, budgets,
               {{"BUDGET", "budget"},
                {"SCOPE", "scope"},
                {"NAME", "scope_name"},
                {"VMS", "vms"},
                {"UNAVAILABLE", "unavailable"},
                {"ALLOWED", "allowed"},
                {"LEFT", "left"}});
}

using printer = std::function<void(std::ostream&, const json&)>;

// Prints a successful answer as JSON or with `print`, or reports its failure.
ctl_exit show(const invocation& invocation, const std::optional<http::response>& answer,
              const printer& print)
{
    if (!answer || answer->status >= 400) {
        return report_failure(invocation, answer);
    }
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object()) {
        invocation.environment.errors << "jlctl: the answer is not JSON\n";
        return ctl_exit::failed;
    }
    if (invocation.json) {
        invocation.environment.output << body.dump(2) << "\n";
    }
    else {
        print(invocation.environment.output, body);
    }
    return ctl_exit::done;
}

std::optional<std::string> read_document(const invocation& invocation)
{
    auto text = invocation.environment.read_file(invocation.arguments.front());
    if (!text) {
        invocation.environment.errors << "jlctl: " << invocation.arguments.front()
                                      << ": cannot be read\n";
    }
    return text;
}

ctl_exit check_locally(const invocation& invocation, const std::string& document)
{
    std::vector<objects::object_error> faults;
    const bool valid = objects::parse_objects(document, faults).has_value();
    if (invocation.json) {
        const json body = {{"valid", valid}, {"faults", api_json(faults)}};
        invocation.environment.output << body.dump(2) << "\n";
    }
    else if (valid) {
        invocation.environment.output << "valid\n";
    }
    for (const auto& fault : faults) {
        invocation.environment.errors << fault.to_string() << "\n";
    }
    return valid ? ctl_exit::done : ctl_exit::invalid;
}

ctl_exit check(const invocation& invocation)
{
    const auto document = read_document(invocation);
    if (!document) {
        return ctl_exit::usage;
    }
    // The same code checks the document in jl-admin, so no server is needed.
    return check_locally(invocation, *document);
}

ctl_exit diff(const invocation& invocation)
{
    const auto print = [](std::ostream& output, const json& body) {
        print_changes(output, body["changes"]);
    };
    if (!invocation.arguments.empty()) {
        const auto document = read_document(invocation);
        return document ? show(invocation,
                               invocation.client->post("/v1/configuration/check", *document), print)
                        : ctl_exit::usage;
    }
    std::string path = "/v1/configuration/diff";
    for (const std::string key : {"from", "to"}) {
        if (invocation.has(key)) {
            path += path.find('?') == std::string::npos ? "?" : "&";
            path += key;
            path += "=" + invocation.option(key);
        }
    }
    return show(invocation, invocation.client->get(path), print);
}

ctl_exit plan(const invocation& invocation)
{
    const auto document = read_document(invocation);
    if (!document) {
        return ctl_exit::usage;
    }
    return show(invocation, invocation.client->post("/v1/configuration/plan", *document),
                [](std::ostream& output, const json& body) {
                    output << "Changes\n";
                    print_changes(output, body["changes"]);
                    output << "\nWaves, if every drain takes its limit\n";
                    print_rows(output, body["waves"],
                               {{"WAVE", "wave"},
                                {"VMS", "vms"},
                                {"AT ONCE", "at_once"},
                                {"LONGEST S", "longest_s"},
                                {"PERIOD S", "period_s"},
                                {"LIMITING POOL", "limiting_pool"},
                                {"LIMITING BUDGET", "limiting_budget"}});
                    output << "\nBudgets over the VMs as they are now\n";
                    print_budgets(output, body["budgets"]);
                });
}

// Waits until the entries have acknowledged the generation.
ctl_exit wait_in_force(const invocation& invocation, std::int64_t generation, long wait_s)
{
    const auto polls = std::chrono::seconds(wait_s) / poll_pause;
    for (std::int64_t poll = 0;; ++poll) {
        const auto answer = invocation.client->get("/v1/status");
        if (!answer || answer->status >= 400) {
            return report_failure(invocation, answer);
        }
        const auto body = json::parse(answer->body, nullptr, false);
        const auto report = body.value("configuration", json::object());
        if (report.value("generation", 0LL) >= generation && report.value("in_force", false)) {
            invocation.environment.errors << "in force at all " << report.value("entries", 0)
                                          << " entries\n";
            return ctl_exit::done;
        }
        if (poll >= polls) {
            invocation.environment.errors
                << "jlctl: generation " << generation
                << " is published but not yet in force: " << report.value("acknowledged", 0)
                << " of " << report.value("entries", 0) << " entries acknowledged it\n";
            return ctl_exit::not_in_force;
        }
        invocation.environment.sleep(poll_pause);
    }
}

ctl_exit apply(const invocation& invocation)
{
    const auto document = read_document(invocation);
    if (!document) {
        return ctl_exit::usage;
    }
    if (!invocation.has("expected-generation")) {
        invocation.environment.errors
            << "jlctl: give --expected-generation N, the generation that the document was edited "
               "from; `jlctl status` shows the current one\n";
        return ctl_exit::usage;
    }
    const auto write_id = invocation.option("write-id", invocation.environment.new_id());
    // Printed first, so that an interrupted operator can ask for the outcome with the same id.
    invocation.environment.errors << "publishing with write id " << write_id << "\n";
    const auto answer = invocation.client->publish(
        *document, std::strtoll(invocation.option("expected-generation").c_str(), nullptr, 10),
        write_id);
    const auto code = show(invocation, answer, [](std::ostream& output, const json& body) {
        output << "published generation " << body.value("generation", 0LL) << "\n";
        print_changes(output, body["changes"]);
    });
    if (code != ctl_exit::done || !invocation.has("wait-s")) {
        return code;
    }
    const auto generation = json::parse(answer->body).value("generation", 0LL);
    return wait_in_force(invocation, generation,
                         std::strtol(invocation.option("wait-s").c_str(), nullptr, 10));
}

ctl_exit history(const invocation& invocation)
{
    if (!invocation.arguments.empty()) {
        return show(invocation, invocation.client->get("/v1/history/" + invocation.arguments[0]),
                    [](std::ostream& output, const json& body) {
                        output << body["document"].dump(2) << "\n";
                    });
    }
    return show(invocation,
                invocation.client->get("/v1/history?limit=" + invocation.option("limit", "20")),
                [](std::ostream& output, const json& body) {
                    text_table table({"GENERATION", "TIME", "OPERATOR", "CHANGES"});
                    for (const auto& entry : body["generations"]) {
                        std::string changes;
                        for (const auto& change : entry.value("changes", json::array())) {
                            changes += (changes.empty() ? "" : ", ") + change.value("change", "") +
                                       " " + change.value("object", "");
                        }
                        table.add({to_cell(entry["generation"]),
                                   format_time(entry.value("published_at_ms", 0LL)),
                                   entry.value("author", ""), changes});
                    }
                    table.print(output);
                    text_table actions({"ACTION", "SUBJECT", "TIME", "OPERATOR"});
                    for (const auto& action : body["actions"]) {
                        actions.add({action.value("action", ""), action.value("subject", ""),
                                     format_time(action.value("at_ms", 0LL)),
                                     action.value("operator", "")});
                    }
                    output << "\n";
                    actions.print(output);
                });
}

ctl_exit status(const invocation& invocation)
{
    const auto answer = invocation.client->get("/v1/status");
    const auto code = show(invocation, answer, [](std::ostream& output, const json& body) {
        const auto& report = body["configuration"];
        output << "generation " << report.value("generation", 0LL) << ", acknowledged by "
               << report.value("acknowledged", 0) << " of " << report.value("entries", 0)
               << " entries: " << (report.value("in_force", false) ? "in force" : "not in force")
               << "\n\n";
        print_rows(output, body["members"],
                   {{"ENTRY", "member"},
                    {"DATA CENTRE", "data_centre"},
                    {"ALIVE", "alive"},
                    {"GENERATION", "generation"},
                    {"STORE", "store_reachable"},
                    {"REPORT AGE MS", "report_age_ms"}});
        output << "\n";
        text_table pools({"POOL", "PHASE", "VMS"});
        for (const auto& pool : body["pools"].items()) {
            for (const auto& phase : pool.value().items()) {
                pools.add({pool.key(), phase.key(), to_cell(phase.value())});
            }
        }
        pools.print(output);
        output << "\n";
        print_waves(output, body["waves"]);
    });
    if (code != ctl_exit::done) {
        return code;
    }
    const bool in_force = json::parse(answer->body)["configuration"].value("in_force", false);
    return in_force ? ctl_exit::done : ctl_exit::not_in_force;
}

void print_list(std::ostream& output, const std::string& title, const json& items)
{
    output << title << ":" << (items.empty() ? " none" : "") << "\n";
    for (const auto& item : items) {
        output << "  " << to_cell(item) << "\n";
    }
}

bool ends_with(const std::string& text, const std::string& end)
{
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// Points in time are shown in UTC; 0 means never.
std::string to_field_cell(const std::string& key, const json& value)
{
    for (const char* end : {"_at_ms", "_since_ms", "_start_ms", "_end_ms"}) {
        if (ends_with(key, end) && value.is_number_integer()) {
            return value == 0 ? "-" : format_time(value.get<std::int64_t>());
        }
    }
    return to_cell(value);
}

void print_fields(std::ostream& output, const json& body)
{
    text_table table({"FIELD", "VALUE"});
    for (const auto& field : body.items()) {
        const bool nested =
            !field.value().empty() && field.value().is_array() && field.value().front().is_object();
        if (!nested && field.key() != "blocking" && field.key() != "error") {
            table.add({field.key(), to_field_cell(field.key(), field.value())});
        }
    }
    table.print(output);
}

ctl_exit explain(const invocation& invocation)
{
    const auto& kind = invocation.arguments[0];
    const auto& id = invocation.arguments[1];
    if (kind == "request") {
        return show(invocation, invocation.client->get("/v1/requests/" + id), print_fields);
    }
    if (kind == "vm") {
        return show(invocation, invocation.client->get("/v1/vms/" + id),
                    [](std::ostream& output, const json& body) {
                        print_fields(output, body);
                        print_list(output, "blocking", body["blocking"]);
                        output << "\n";
                        print_rows(output, body["acknowledgments"],
                                   {{"ENTRY", "member"},
                                    {"ALIVE", "alive"},
                                    {"ACKNOWLEDGED", "acknowledged"},
                                    {"IN FLIGHT", "in_flight"}});
                        output << "\n";
                        print_budgets(output, body["budgets"]);
                    });
    }
    if (kind == "wave") {
        return show(invocation, invocation.client->get("/v1/waves/" + id),
                    [](std::ostream& output, const json& body) {
                        print_fields(output, body);
                        print_list(output, "blocking", body["blocking"]);
                        output << "\n";
                        print_budgets(output, body["budgets"]);
                    });
    }
    invocation.environment.errors << "jlctl: explain: expected request, vm or wave, found " << kind
                                  << "\n";
    return ctl_exit::usage;
}

ctl_exit drain(const invocation& invocation)
{
    const auto& vm = invocation.arguments[0];
    const auto write_id = invocation.environment.new_id();
    const bool withdraw = invocation.has("withdraw");
    const auto answer = withdraw ? invocation.client->remove("/v1/drains/" + vm, write_id)
                                 : invocation.client->put("/v1/drains/" + vm, "{}", write_id);
    return show(invocation, answer, [&](std::ostream& output, const json&) {
        output << (withdraw ? "drain withdrawn: " : "drain requested: ") << vm << "\n";
    });
}

ctl_exit set_wave(const invocation& invocation, const char* state)
{
    const auto& wave = invocation.arguments[0];
    return show(invocation,
                invocation.client->put("/v1/waves/" + wave, json{{"state", state}}.dump(),
                                       invocation.environment.new_id()),
                [&](std::ostream& output, const json&) {
                    output << "wave " << wave << ": " << state << "\n";
                });
}

ctl_exit pause(const invocation& invocation)
{
    return set_wave(invocation, "paused");
}

ctl_exit resume(const invocation& invocation)
{
    return set_wave(invocation, "running");
}

ctl_exit cancel(const invocation& invocation)
{
    return set_wave(invocation, "cancelled");
}

void print_services(std::ostream& output, const json& body)
{
    print_rows(output, body["services"],
               {{"SERVICE", "service"},
                {"BACKLOG", "backlog"},
                {"MAX BACKLOG", "max_backlog"},
                {"WAITING", "waiting"},
                {"RUNNING", "running"},
                {"SLOTS", "slots"},
                {"ARRIVALS/S", "arrival_rate"}});
}

ctl_exit backlog(const invocation& invocation)
{
    return show(invocation, invocation.client->get("/v1/services"), print_services);
}

ctl_exit top(const invocation& invocation)
{
    const auto count = std::strtol(invocation.option("count", "10").c_str(), nullptr, 10);
    const auto interval = std::strtol(invocation.option("interval-s", "2").c_str(), nullptr, 10);
    ctl_exit code = ctl_exit::done;
    for (long index = 0; index < count && code == ctl_exit::done; ++index) {
        if (index > 0) {
            invocation.environment.sleep(std::chrono::seconds(interval));
            invocation.environment.output << "\n";
        }
        code = show(invocation, invocation.client->get("/v1/services"),
                    [](std::ostream& output, const json& body) {
                        auto sorted = body;
                        std::stable_sort(
                            sorted["services"].begin(), sorted["services"].end(),
                            [](const json& left, const json& right) {
                                return left.value("waiting", 0) + left.value("backlog", 0) >
                                       right.value("waiting", 0) + right.value("backlog", 0);
                            });
                        print_services(output, sorted);
                    });
    }
    return code;
}

ctl_exit docs(const invocation& invocation)
{
    const auto& page = invocation.arguments[0];
    auto& output = invocation.environment.output;
    if (page == "objects") {
        output << objects::describe_objects();
    }
    else if (page == "commands") {
        output << describe_commands();
    }
    else if (page == "admin-settings") {
        output << describe_admin_settings();
    }
    else {
        invocation.environment.errors
            << "jlctl: docs: expected objects, commands or admin-settings, found " << page << "\n";
        return ctl_exit::usage;
    }
    return ctl_exit::done;
}

ctl_exit token(const invocation& invocation)
{
    const auto& name = invocation.arguments[0];
    const auto& role = invocation.arguments[1];
    const auto secret = invocation.environment.new_secret();
    const auto line = account_line(name, role, secret, invocation.environment.new_secret());
    std::vector<std::string> errors;
    operator_registry::from_lines({line}, errors);
    for (const auto& error : errors) {
        invocation.environment.errors << "jlctl: " << error << "\n";
    }
    if (!errors.empty()) {
        return ctl_exit::usage;
    }
    invocation.environment.output << "token: " << name << "." << secret
                                  << "\nsettings line: " << json(line).dump() << "\n";
    return ctl_exit::done;
}

} // namespace

std::string invocation::option(const std::string& name, const std::string& fallback) const
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

ctl_exit report_failure(const invocation& invocation, const std::optional<http::response>& answer)
{
    auto& errors = invocation.environment.errors;
    if (!answer) {
        const auto error = invocation.client->last_error();
        const bool unknown = error.code == transport_error_code::outcome_unknown;
        errors << "jlctl: " << error.message
               << (unknown ? "; the outcome is unknown" : "; nothing was sent") << "\n";
        return unknown ? ctl_exit::outcome_unknown : ctl_exit::unavailable;
    }
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
        errors << "jlctl: the server answered with status " << answer->status << "\n";
        return exit_of_status(answer->status);
    }
    if (invocation.json) {
        invocation.environment.output << body.dump(2) << "\n";
    }
    const auto& error = body["error"];
    errors << "jlctl: " << error.value("code", "") << ": " << error.value("message", "")
           << (error.contains("field") ? " (" + error.value("field", "") + ")" : "") << "\n";
    for (const auto& fault : body.value("faults", json::array())) {
        const auto field = fault.value("field", "");
        errors << "  " << fault.value("object", "") << (field.empty() ? "" : ", field " + field)
               << ": " << fault.value("reason", "") << "\n";
    }
    if (body.contains("changes")) {
        errors << "changed meanwhile:\n";
        print_changes(errors, body["changes"]);
    }
    return exit_of_status(answer->status);
}

const std::vector<option_spec>& common_options()
{
    static const std::vector<option_spec> options = {
        {"server", "ADDRESS:PORT[,...]",
         "administration servers, tried in order; default: `JLCTL_SERVER` or 127.0.0.1:8090"},
        {"token-file", "FILE", "file with the bearer token; default: `JLCTL_TOKEN_FILE`"},
        {"timeout-ms", "MS", "longest wait for one answer; default: 10000"},
        {"output", "json|table", "form of the output; default: table"},
        {"help", "", "show the usage of the command"}};
    return options;
}

const std::vector<exit_spec>& exit_codes()
{
    static const std::vector<exit_spec> codes = {
        {ctl_exit::done, "done"},
        {ctl_exit::failed, "unexpected failure"},
        {ctl_exit::usage, "wrong usage, or a file that cannot be read"},
        {ctl_exit::invalid, "the document was refused"},
        {ctl_exit::conflict, "another operator made a change first"},
        {ctl_exit::forbidden, "the token is not valid or does not allow the change"},
        {ctl_exit::not_found, "no such object, VM, wave, request or generation"},
        {ctl_exit::unavailable, "no server or the store did not answer; nothing was changed"},
        {ctl_exit::outcome_unknown, "no answer arrived; the change may have taken effect"},
        {ctl_exit::not_in_force, "the configuration is not in force at every entry"}};
    return codes;
}

const std::vector<command_spec>& commands()
{
    static const std::vector<command_spec> list = {
        {"check", "FILE", "check a document without a server", {}, 1, 1, false, check},
        {"diff",
         "[FILE]",
         "show what a document or a generation changes",
         {{"from", "GENERATION", "compare from this generation; default: the current one"},
          {"to", "GENERATION", "compare to this generation; default: the current one"}},
         0,
         1,
         true,
         diff},
        {"plan",
         "FILE",
         "check a document and show its effect on waves and budgets",
         {},
         1,
         1,
         true,
         plan},
        {"apply",
         "FILE",
         "publish a document as a whole",
         {{"expected-generation", "N", "generation that the document replaces (required)"},
          {"wait-s", "S", "wait up to S seconds until all entries have it in force"},
          {"write-id", "ID", "repeat an apply whose outcome is unknown"}},
         1,
         1,
         true,
         apply},
        {"history",
         "[GENERATION]",
         "show who changed what and when, or the document of a generation",
         {{"limit", "N", "entries to show; default: 20"}},
         0,
         1,
         true,
         history},
        {"status",
         "",
         "show the configuration in force, entries, pools and waves",
         {},
         0,
         0,
         true,
         status},
        {"explain",
         "request|vm|wave ID",
         "show records, budgets and what blocks progress",
         {},
         2,
         2,
         true,
         explain},
        {"drain",
         "VM",
         "ask for a VM to be drained and rebooted",
         {{"withdraw", "", "withdraw the request"}},
         1,
         1,
         true,
         drain},
        {"pause", "WAVE", "start no further drains of a wave", {}, 1, 1, true, pause},
        {"resume", "WAVE", "let a paused or cancelled wave go on", {}, 1, 1, true, resume},
        {"cancel",
         "WAVE",
         "end a wave; VMs that were not maintained stay so",
         {},
         1,
         1,
         true,
         cancel},
        {"backlog", "", "show queues by service", {}, 0, 0, true, backlog},
        {"top",
         "",
         "show the longest queues repeatedly",
         {{"count", "N", "number of times; default: 10"},
          {"interval-s", "S", "pause between two; default: 2"}},
         0,
         0,
         true,
         top},
        {"report",
         "FILE",
         "write an HTML page with plots from the entries' metrics",
         {{"metrics", "ADDRESS:PORT[,...]",
           "further processes to read metrics from, e.g. the planners"},
          {"samples", "N", "number of samples; default: 10"},
          {"interval-s", "S", "pause between two; default: 1"}},
         1,
         1,
         true,
         run_report},
        {"docs",
         "objects|commands|admin-settings",
         "print a reference page in Markdown",
         {},
         1,
         1,
         false,
         docs},
        {"token",
         "OPERATOR ROLE",
         "create a token and its settings line; ROLE is administrator, reader or team:TEAM",
         {},
         2,
         2,
         false,
         token}};
    return list;
}

} // namespace jl::operators::internal
