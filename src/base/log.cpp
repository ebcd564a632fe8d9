#include "base/log.h"

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace jl {

namespace {

constexpr std::size_t max_buffered_bytes = 256U << 10U;
constexpr std::size_t max_atomic_write_bytes = 4096; // PIPE_BUF: larger pipe writes may be split

// Lines that wait for flush_log(), and the number of lines dropped because the buffer was full.
struct line_buffer {
    std::mutex mutex;
    std::string bytes;
    std::size_t dropped = 0;

    void append(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (bytes.size() + line.size() > max_buffered_bytes) {
            ++dropped;
            return;
        }
        if (dropped > 0) {
            bytes += "log.dropped lines=\"" + std::to_string(dropped) + "\"\n";
            dropped = 0;
        }
        bytes += line;
    }

    void flush()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::size_t written = 0;
        while (written < bytes.size()) {
            const auto count =
                ::write(STDOUT_FILENO, bytes.data() + written, next_write_size(written));
            if (count <= 0) {
                break; // the pipe is full or its reader has exited; the rest stays buffered
            }
            written += static_cast<std::size_t>(count);
        }
        bytes.erase(0, written);
    }

    // Size of the next write, starting at `offset`: as many whole lines as fit into one atomic pipe
    // write, since a larger write may reach the reader in parts that split a line.
    std::size_t next_write_size(std::size_t offset) const
    {
        if (bytes.size() - offset <= max_atomic_write_bytes) {
            return bytes.size() - offset;
        }
        const auto line_end = bytes.rfind('\n', offset + max_atomic_write_bytes - 1);
        const bool fits = line_end != std::string::npos && line_end >= offset;
        return fits ? line_end + 1 - offset : max_atomic_write_bytes;
    }
};

line_buffer& buffered_lines()
{
    static line_buffer buffer;
    return buffer;
}

class buffered_output_callback final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto* message = data->logMessage();
        buffered_lines().append(message->logger()->logBuilder()->build(message, true));
    }
};

// easylogging++ has no built-in output to standard error.
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

void init_logging(std::string_view program, log_target target)
{
    // easylogging++ runs `whoami` and `hostname` if these variables are unset, but our processes
    // must not start other processes.
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
    if (target == log_target::standard_error) {
        el::Helpers::installLogDispatchCallback<standard_error_callback>("standard_error_callback");
        return;
    }
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    el::Helpers::installLogDispatchCallback<buffered_output_callback>("buffered_output_callback");
}

void flush_log()
{
    buffered_lines().flush();
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
