#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jl {

enum class log_level { info, warning, error };

using log_field = std::pair<std::string_view, std::string>;

enum class log_target {
    standard_error,           // each line is written immediately
    buffered_standard_output, // lines are buffered until flush_log(); never blocks
};

// Configures logging for the program. Call once at the start of main, before any other thread
// starts.
void init_logging(std::string_view program, log_target target = log_target::standard_error);

// Writes as many buffered lines as standard output accepts without blocking; the rest stays
// buffered. Lines that exceed the buffer's limit are dropped, and a `log.dropped` line reports
// their number. Thread-safe.
void flush_log();

// Logs one structured line: `event key="value" ...`. Use it for state changes; count frequent
// events with a metric instead. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace jl
