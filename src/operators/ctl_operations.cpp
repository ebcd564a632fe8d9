#include <algorithm>
#include <cstdlib>

#include "operators/ctl_output.h"
#include "operators/text_table.h"

namespace jl::operators::internal {

using nlohmann::json;

namespace {

void print_waves(std::ostream& output, const json& waves)
{
    text_table table({"WAVE", "STATE", "DONE", "IN PROGRESS", "PERIOD ENDS", "BLOCKED BY"});
    for (const auto& wave : waves) {
        table.add(
            {wave.value("wave", ""), wave.value("state", ""),
             std::to_string(wave.value("done", 0)) + "/" + std::to_string(wave.value("vms", 0)),
             to_cell(wave["in_progress"]), format_time(wave.value("period_end_ms", 0LL)),
             to_cell(wave["blocking"])});
    }
    table.print(output);
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

} // namespace

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

} // namespace jl::operators::internal
