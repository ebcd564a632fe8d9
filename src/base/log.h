#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jl {

enum class log_level { info, warning, error };

using log_field = std::pair<std::string_view, std::string>;

enum class log_target {
    standard_error,           // written at once
    buffered_standard_output, // collected until flush_log(); never blocks
};

// Configures logging for the program. Call once at the start of main, before any other thread
// starts.
void init_logging(std::string_view program, log_target target = log_target::standard_error);

// Writes what has been collected, as far as the reader takes it. Lines beyond the buffer's limit
// are dropped; the next line written tells how many. Thread-safe.
void flush_log();

// Writes one structured line: `event key="value" ...`. Meant for changes of state; count frequent
// occurrences with a metric instead. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace jl
