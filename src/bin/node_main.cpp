// jl-node: the one process on each entry VM. Takes callers' requests, and decides for the fleet
// while it leads.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <getopt.h>

#include "base/log.h"
#include "base/program.h"
#include "platform/node.h"
#include "platform/settings.h"

namespace {

constexpr int usage_error = 2;

void print_usage()
{
    std::cout << "Usage: jl-node [--settings FILE]\n"
                 "\n"
                 "  --settings FILE  the platform's settings file (default: the path in\n"
                 "                   the environment variable JASMINELINK_BOOT)\n"
                 "  --help           this text\n"
                 "  --version        the version\n";
}

struct options {
    std::string settings;
    bool done = false; // a text was asked for and printed
    bool valid = true;
};

options parse_options(int argc, char** argv)
{
    options result;
    const option table[] = {{"settings", required_argument, nullptr, 's'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", table, nullptr)) != -1) {
        switch (choice) {
        case 's':
            result.settings = optarg;
            break;
        case 'h':
            print_usage();
            result.done = true;
            return result;
        case 'v':
            std::cout << "jl-node " JL_VERSION "\n";
            result.done = true;
            return result;
        default:
            result.valid = false;
            return result;
        }
    }
    if (result.settings.empty()) {
        result.settings = jl::adapter::settings_path_from_environment().value_or("");
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    jl::block_handled_signals(); // the node handles them once it runs
    const auto options = parse_options(argc, argv);
    if (options.done) {
        return 0;
    }
    if (!options.valid) {
        return usage_error;
    }
    if (options.settings.empty()) {
        std::cerr << "jl-node: no settings file: give --settings or set JASMINELINK_BOOT\n";
        return usage_error;
    }
    std::string error;
    const auto settings = jl::adapter::load_process_settings(options.settings, error);
    if (!settings) {
        std::cerr << "jl-node: " << error << '\n';
        return usage_error;
    }
    jl::init_logging(settings->node, jl::log_target::buffered_standard_output);
    try {
        jl::adapter::node node(*settings, options.settings);
        node.run();
    }
    catch (const std::exception& fault) {
        jl::log_event(jl::log_level::error, "node.failed", {{"reason", fault.what()}});
        jl::flush_log();
        return EXIT_FAILURE;
    }
    jl::flush_log();
    return EXIT_SUCCESS;
}
