#include "operators/ctl.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <getopt.h>

#include "operators/ctl_commands.h"

namespace jl::operators {

namespace {

using internal::command_spec;
using internal::invocation;
using internal::option_spec;

constexpr const char* default_server = "127.0.0.1:8090";
constexpr int first_option_id = 1000; // above all characters, which getopt_long reserves

std::string usage_line(const command_spec& command)
{
    return "jlctl " + command.name + (command.options.empty() ? "" : " [OPTION...]") +
           (command.arguments.empty() ? "" : " " + command.arguments);
}

std::string option_text(const option_spec& option)
{
    return "--" + option.name + (option.argument.empty() ? "" : " " + option.argument);
}

void print_help(std::ostream& output)
{
    output << "Usage: jlctl COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n";
    for (const auto& command : internal::commands()) {
        output << "  " << command.name << std::string(12 - command.name.size(), ' ')
               << command.summary << "\n";
    }
    output << "\n`jlctl COMMAND --help` describes a command.\n";
}

void print_command_help(std::ostream& output, const command_spec& command)
{
    output << "Usage: " << usage_line(command) << "\n\n" << command.summary << "\n\nOptions:\n";
    const auto print = [&](const std::vector<option_spec>& options) {
        for (const auto& option : options) {
            output << "  " << option_text(option) << "\n      " << option.meaning << "\n";
        }
    };
    print(command.options);
    print(internal::common_options());
}

std::vector<option_spec> all_options(const command_spec& command)
{
    auto options = command.options;
    const auto& common = internal::common_options();
    options.insert(options.end(), common.begin(), common.end());
    return options;
}

// Parses the options and arguments of a command; reports the first fault.
bool parse(const command_spec& command, const std::vector<std::string>& words,
           invocation& invocation)
{
    const auto specs = all_options(command);
    std::vector<option> options;
    for (std::size_t index = 0; index < specs.size(); ++index) {
        options.push_back({specs[index].name.c_str(),
                           specs[index].argument.empty() ? no_argument : required_argument, nullptr,
                           first_option_id + static_cast<int>(index)});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    auto copies = words; // getopt_long takes and reorders mutable strings
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (auto& word : copies) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    optind = 0; // restarts the scan
    opterr = 0;
    const int count = static_cast<int>(copies.size());
    for (int id = 0;
         (id = getopt_long(count, pointers.data(), ":", options.data(), nullptr)) != -1;) {
        if (id < first_option_id) {
            invocation.environment.errors
                << "jlctl " << command.name << ": "
                << (id == ':' ? "missing value of option " : "unknown option ")
                << pointers[static_cast<std::size_t>(optind) - 1] << "; see --help\n";
            return false;
        }
        invocation.options[specs[static_cast<std::size_t>(id - first_option_id)].name] =
            optarg == nullptr ? "" : optarg;
    }
    for (int index = optind; index < count; ++index) {
        invocation.arguments.emplace_back(pointers[static_cast<std::size_t>(index)]);
    }
    return true;
}

// Moves common options in front of the command behind it, because the command decides which
// options there are. Empty if there is no command.
std::vector<std::string> command_first(std::vector<std::string> words)
{
    std::size_t command = 0;
    while (command < words.size() && words[command].compare(0, 2, "--") == 0 &&
           words[command] != "--help") {
        const auto& common = internal::common_options();
        const auto name = words[command].substr(2);
        const bool takes_value =
            std::any_of(common.begin(), common.end(), [&](const option_spec& option) {
                return option.name == name && !option.argument.empty();
            });
        command += takes_value ? 2 : 1;
    }
    if (command >= words.size()) {
        return {};
    }
    std::rotate(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(command),
                words.begin() + static_cast<std::ptrdiff_t>(command) + 1);
    return words;
}

bool is_number(const std::string& text)
{
    return !text.empty() && text.size() <= 18 &&
           text.find_first_not_of("0123456789") == std::string::npos;
}

// Checks the arguments and the option values that are numbers.
bool check_usage(const command_spec& command, const invocation& invocation)
{
    auto& errors = invocation.environment.errors;
    if (invocation.arguments.size() < command.min_arguments ||
        invocation.arguments.size() > command.max_arguments) {
        errors << "Usage: " << usage_line(command) << "\n";
        return false;
    }
    bool valid = true;
    for (const auto& spec : all_options(command)) {
        const bool numeric = spec.argument == "N" || spec.argument == "S" ||
                             spec.argument == "MS" || spec.argument == "GENERATION";
        if (numeric && invocation.has(spec.name) && !is_number(invocation.option(spec.name))) {
            errors << "jlctl " << command.name << ": --" << spec.name
                   << ": expected a whole number, found \"" << invocation.option(spec.name)
                   << "\"\n";
            valid = false;
        }
    }
    const auto output = invocation.option("output", "table");
    if (output != "json" && output != "table") {
        errors << "jlctl " << command.name << ": --output: expected json or table, found \""
               << output << "\"\n";
        valid = false;
    }
    return valid;
}

std::string non_empty(const std::string& text, const std::string& fallback)
{
    return text.empty() ? fallback : text;
}

std::optional<std::vector<endpoint>> parse_servers(const invocation& invocation)
{
    const auto text = invocation.option(
        "server", non_empty(invocation.environment.variable("JLCTL_SERVER"), default_server));
    std::vector<endpoint> servers;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
        const auto server = parse_endpoint(item);
        if (!server) {
            invocation.environment.errors << "jlctl: --server: expected ADDRESS:PORT, found \""
                                          << item << "\"\n";
            return std::nullopt;
        }
        servers.push_back(*server);
    }
    return servers;
}

std::optional<std::string> read_token(const invocation& invocation)
{
    const auto path =
        invocation.option("token-file", invocation.environment.variable("JLCTL_TOKEN_FILE"));
    auto& errors = invocation.environment.errors;
    if (path.empty()) {
        errors << "jlctl: --token-file FILE or JLCTL_TOKEN_FILE is required\n";
        return std::nullopt;
    }
    auto token = invocation.environment.read_file(path);
    if (!token) {
        errors << "jlctl: " << path << ": cannot be read\n";
        return std::nullopt;
    }
    token->erase(token->find_last_not_of(" \r\n") + 1);
    return token;
}

ctl_exit run_with_server(const command_spec& command, invocation& invocation)
{
    const auto servers = parse_servers(invocation);
    const auto token = read_token(invocation);
    if (!servers || !token) {
        return ctl_exit::usage;
    }
    const std::chrono::milliseconds timeout(
        std::strtoll(invocation.option("timeout-ms", "10000").c_str(), nullptr, 10));
    const auto transport = invocation.environment.connect(*servers, timeout);
    admin_client client(*transport, *token);
    invocation.client = &client;
    return command.run(invocation);
}

} // namespace

ctl_exit run_ctl(const std::vector<std::string>& words, const ctl_environment& environment)
{
    const auto arguments = command_first(words);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        print_help(arguments.empty() ? environment.errors : environment.output);
        return arguments.empty() ? ctl_exit::usage : ctl_exit::done;
    }
    const auto& commands = internal::commands();
    const auto command =
        std::find_if(commands.begin(), commands.end(), [&](const command_spec& candidate) {
            return candidate.name == arguments.front();
        });
    if (command == commands.end()) {
        environment.errors << "jlctl: unknown command \"" << arguments.front()
                           << "\"; see --help\n";
        return ctl_exit::usage;
    }
    invocation invocation{environment, {}, {}, nullptr, false};
    if (!parse(*command, arguments, invocation)) {
        return ctl_exit::usage;
    }
    if (invocation.has("help")) {
        print_command_help(environment.output, *command);
        return ctl_exit::done;
    }
    if (!check_usage(*command, invocation)) {
        return ctl_exit::usage;
    }
    invocation.json = invocation.option("output") == "json";
    return command->needs_server ? run_with_server(*command, invocation) : command->run(invocation);
}

std::string describe_commands()
{
    std::ostringstream text;
    text << "# jlctl\n\nGenerated by `jlctl docs commands`; a test compares this page with the "
            "table in the code.\n\n## Commands\n";
    const auto list_options = [&](const std::vector<option_spec>& options) {
        text << "| option | meaning |\n|---|---|\n";
        for (const auto& option : options) {
            auto name = option_text(option);
            std::string escaped;
            for (const char c : name) {
                escaped += c == '|' ? "\\|" : std::string(1, c);
            }
            text << "| `" << escaped << "` | " << option.meaning << " |\n";
        }
    };
    for (const auto& command : internal::commands()) {
        text << "\n### `" << usage_line(command) << "`\n\n" << command.summary << "\n";
        if (!command.options.empty()) {
            text << "\n";
            list_options(command.options);
        }
    }
    text << "\n## Options of every command\n\n";
    list_options(internal::common_options());
    text << "\n## Exit codes\n\n| code | meaning |\n|---|---|\n";
    for (const auto& exit : internal::exit_codes()) {
        text << "| " << static_cast<int>(exit.code) << " | " << exit.meaning << " |\n";
    }
    return text.str();
}

} // namespace jl::operators
