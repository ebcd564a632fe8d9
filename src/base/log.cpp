#include "base/log.h"

#include <cstdio>
#include <cstdlib>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace jl {

namespace {

// easylogging++ has no standard error output of its own.
class standard_error_callback final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto* message = data->logMessage();
        const std::string line = message->logger()->logBuilder()->build(message, true);
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

std::string& logger_name()
{
    static std::string name = "default";
    return name;
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void init_logging(std::string_view program)
{
    // easylogging++ starts `whoami` and `hostname` when these variables are missing, and a process
    // of ours may not start another.
    setenv("USER", "jasminelink", 0);
    setenv("HOSTNAME", "localhost", 0);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %logger %msg");
    logger_name() = program;
    el::Loggers::getLogger(logger_name());
    el::Loggers::setDefaultConfigurations(configuration, true);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<standard_error_callback>("standard_error_callback");
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line(event);
    for (const auto& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        append_quoted(line, value);
    }
    switch (level) {
    case log_level::info:
        CLOG(INFO, logger_name().c_str()) << line;
        return;
    case log_level::warning:
        CLOG(WARNING, logger_name().c_str()) << line;
        return;
    case log_level::error:
        CLOG(ERROR, logger_name().c_str()) << line;
        return;
    }
}

} // namespace jl
