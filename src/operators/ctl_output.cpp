#include "operators/ctl_output.h"

#include <array>
#include <cstdio>
#include <ctime>

#include "operators/text_table.h"

namespace jl::operators::internal {

using nlohmann::json;

namespace {

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

} // namespace

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

} // namespace jl::operators::internal
