#include "base/program.h"

#include <csignal>
#include <iostream>

#include <getopt.h>

#include "base/log.h"

namespace jl {

namespace {

constexpr const char* program_version = "0.1.0";

void print_help(const std::string& name)
{
    std::cout << "Usage: " << name
              << " --settings FILE\n\n"
                 "  --settings FILE   JSON settings file\n"
                 "  --help            show this text\n"
                 "  --help-settings   describe every setting\n"
                 "  --version         show the version\n";
}

sigset_t termination_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t handled_signals()
{
    sigset_t set = termination_signals();
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

std::optional<settings> start_program(int argc, char** argv, const std::string& name,
                                      const std::vector<setting_spec>& table, int& exit_code)
{
    enum option_id { settings_file = 1, help, help_settings, show_version };
    const option options[] = {{"settings", required_argument, nullptr, settings_file},
                              {"help", no_argument, nullptr, help},
                              {"help-settings", no_argument, nullptr, help_settings},
                              {"version", no_argument, nullptr, show_version},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    exit_code = 0;
    for (int id = 0; (id = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (id) {
        case settings_file:
            path = optarg;
            break;
        case help:
            print_help(name);
            return std::nullopt;
        case help_settings:
            std::cout << describe_settings(table);
            return std::nullopt;
        case show_version:
            std::cout << name << " " << program_version << "\n";
            return std::nullopt;
        default:
            exit_code = 2;
            return std::nullopt;
        }
    }
    exit_code = 2;
    if (path.empty()) {
        std::cerr << name << ": --settings FILE is required; see --help\n";
        return std::nullopt;
    }
    std::vector<std::string> errors;
    auto loaded = load_settings(path, table, errors);
    for (const auto& error : errors) {
        std::cerr << name << ": " << error << "\n";
    }
    if (!loaded) {
        return std::nullopt;
    }
    exit_code = 0;
    init_logging(name);
    // Writing to a closed connection must fail with EPIPE instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    return loaded;
}

void block_termination_signals()
{
    const auto set = termination_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_termination()
{
    const auto set = termination_signals();
    int signal = 0;
    sigwait(&set, &signal);
}

void block_handled_signals()
{
    const sigset_t set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void unblock_handled_signals()
{
    const sigset_t set = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

} // namespace jl
