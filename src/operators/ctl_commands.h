#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"
#include "operators/admin_client.h"
#include "operators/ctl.h"

namespace jl::operators::internal {

struct option_spec {
    std::string name;
    std::string argument; // empty: a flag
    std::string meaning;
};

// A command line after parsing.
struct invocation {
    const ctl_environment& environment;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> options;
    admin_client* client = nullptr; // null for commands that need no server
    bool json = false;

    bool has(const std::string& option) const { return options.count(option) != 0; }
    std::string option(const std::string& name, const std::string& fallback = "") const;
};

struct command_spec {
    std::string name;
    std::string arguments; // as shown in the usage line
    std::string summary;
    std::vector<option_spec> options;
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    bool needs_server = true;
    ctl_exit (*run)(const invocation& invocation) = nullptr;
};

const std::vector<command_spec>& commands();
const std::vector<option_spec>& common_options();

struct exit_spec {
    ctl_exit code = ctl_exit::done;
    std::string meaning;
};
const std::vector<exit_spec>& exit_codes();

// Prints the error of an answer, or of a request without one, and returns the exit code.
ctl_exit report_failure(const invocation& invocation, const std::optional<http::response>& answer);

// The commands, one function each.
ctl_exit check(const invocation& invocation);
ctl_exit diff(const invocation& invocation);
ctl_exit plan(const invocation& invocation);
ctl_exit apply(const invocation& invocation);
ctl_exit history(const invocation& invocation);
ctl_exit status(const invocation& invocation);
ctl_exit explain(const invocation& invocation);
ctl_exit drain(const invocation& invocation);
ctl_exit pause(const invocation& invocation);
ctl_exit resume(const invocation& invocation);
ctl_exit cancel(const invocation& invocation);
ctl_exit backlog(const invocation& invocation);
ctl_exit top(const invocation& invocation);
// Writes a page with plots from the entries' metrics; see report.h.
ctl_exit run_report(const invocation& invocation);

} // namespace jl::operators::internal
