#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "operators/admin_client.h"

namespace jl::operators {

// Exit codes of jlctl, also shown by `jlctl docs commands`.
enum class ctl_exit {
    done = 0,
    failed = 1,
    usage = 2,
    invalid = 3,
    conflict = 4,
    forbidden = 5,
    not_found = 6,
    unavailable = 7,
    outcome_unknown = 8,
    not_in_force = 9,
};

// What jlctl needs from its surroundings; tests replace it.
struct ctl_environment {
    std::ostream& output;
    std::ostream& errors;
    std::function<std::unique_ptr<admin_transport>(const std::vector<endpoint>& servers,
                                                   std::chrono::milliseconds timeout)>
        connect;
    // Content of a file, or of standard input for "-"; nothing if it cannot be read.
    std::function<std::optional<std::string>(const std::string& path)> read_file;
    std::function<bool(const std::string& path, const std::string& content)> write_file;
    std::function<std::string(const std::string& name)> variable; // empty: not set
    std::function<std::string()> new_id;
    std::function<std::string()> new_secret; // hexadecimal, unpredictable
    std::function<void(std::chrono::milliseconds)> sleep;
    // Fetches the metrics of an entry.
    std::function<std::optional<std::string>(const endpoint& server)> fetch_metrics;
};

// Runs one jlctl command; `arguments` excludes the program name. Not thread-safe: getopt_long
// keeps its state in global variables.
ctl_exit run_ctl(const std::vector<std::string>& arguments, const ctl_environment& environment);

// Reference page of the commands, options and exit codes in Markdown.
std::string describe_commands();

} // namespace jl::operators
