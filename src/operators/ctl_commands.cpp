#include "operators/ctl_commands.h"

#include <nlohmann/json.hpp>

#include "objects/fields.h"
#include "operators/admin_api.h"
#include "operators/admin_settings.h"
#include "operators/operator_registry.h"

namespace jl::operators::internal {

namespace {

using nlohmann::json;

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
    else if (page == "api") {
        output << admin_api::describe();
    }
    else if (page == "admin-settings") {
        output << describe_admin_settings();
    }
    else {
        invocation.environment.errors
            << "jlctl: docs: expected objects, commands, api or admin-settings, found " << page
            << "\n";
        return ctl_exit::usage;
    }
    return ctl_exit::done;
}

ctl_exit token(const invocation& invocation)
{
    const auto& name = invocation.arguments[0];
    const auto& role = invocation.arguments[1];
    const bool given = invocation.has("secret");
    const auto secret = given ? invocation.option("secret") : invocation.environment.new_secret();
    const auto line = account_line(name, role, secret, invocation.environment.new_secret());
    std::vector<std::string> errors;
    operator_registry::from_lines({line}, errors);
    for (const auto& error : errors) {
        invocation.environment.errors << "jlctl: " << error << "\n";
    }
    if (!errors.empty()) {
        return ctl_exit::usage;
    }
    if (given) {
        invocation.environment.output << line << "\n";
        return ctl_exit::done;
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
    static const std::vector<option_spec> no_options;
    static const std::vector<option_spec> diff_options = {
        {"from", "GENERATION", "compare from this generation; default: the current one"},
        {"to", "GENERATION", "compare to this generation; default: the current one"}};
    static const std::vector<option_spec> apply_options = {
        {"expected-generation", "N", "generation that the document replaces (required)"},
        {"wait-s", "S", "wait up to S seconds until all entries have it in force"},
        {"write-id", "ID", "repeat an apply whose outcome is unknown"}};
    static const std::vector<option_spec> history_options = {
        {"limit", "N", "entries to show; default: 20"}};
    static const std::vector<option_spec> drain_options = {
        {"withdraw", "", "withdraw the request"}};
    static const std::vector<option_spec> top_options = {
        {"count", "N", "number of times; default: 10"},
        {"interval-s", "S", "pause between two; default: 2"}};
    static const std::vector<option_spec> report_options = {
        {"metrics", "ADDRESS:PORT[,...]",
         "further processes to read metrics from, e.g. the planners"},
        {"samples", "N", "number of samples; default: 10"},
        {"interval-s", "S", "pause between two; default: 1"}};
    static const std::vector<option_spec> token_options = {
        {"secret", "SECRET", "print only the settings line of the token OPERATOR.SECRET"}};
    static const std::vector<command_spec> list = {
        {"check", "FILE", "check a document without a server", no_options, 1, 1, false, check},
        {"diff", "[FILE]", "show what a document or a generation changes", diff_options, 0, 1, true,
         diff},
        {"plan", "FILE", "check a document and show its effect on waves and budgets", no_options, 1,
         1, true, plan},
        {"apply", "FILE", "publish a document as a whole", apply_options, 1, 1, true, apply},
        {"history", "[GENERATION]",
         "show who changed what and when, or the document of a generation", history_options, 0, 1,
         true, history},
        {"status", "", "show the configuration in force, entries, pools and waves", no_options, 0,
         0, true, status},
        {"explain", "request|vm|wave ID", "show records, budgets and what blocks progress",
         no_options, 2, 2, true, explain},
        {"drain", "VM", "ask for a VM to be drained and rebooted", drain_options, 1, 1, true,
         drain},
        {"pause", "WAVE", "start no further drains of a wave", no_options, 1, 1, true, pause},
        {"resume", "WAVE", "let a paused or cancelled wave go on", no_options, 1, 1, true, resume},
        {"cancel", "WAVE", "end a wave; VMs that were not maintained stay so", no_options, 1, 1,
         true, cancel},
        {"backlog", "", "show queues by service", no_options, 0, 0, true, backlog},
        {"top", "", "show the longest queues repeatedly", top_options, 0, 0, true, top},
        {"report", "FILE", "write an HTML page with plots from the entries' metrics",
         report_options, 1, 1, true, run_report},
        {"docs", "objects|commands|api|admin-settings", "print a reference page in Markdown",
         no_options, 1, 1, false, docs},
        {"token", "OPERATOR ROLE",
         "create a token and its settings line; ROLE is administrator, reader or team:TEAM",
         token_options, 2, 2, false, token}};
    return list;
}

} // namespace jl::operators::internal
