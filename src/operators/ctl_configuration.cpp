#include <cstdlib>

#include "objects/objects.h"
#include "operators/admin_json.h"
#include "operators/ctl_output.h"
#include "operators/text_table.h"

namespace jl::operators::internal {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds poll_pause{500};

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

} // namespace

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

} // namespace jl::operators::internal
