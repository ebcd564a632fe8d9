#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jl {

enum class log_level { info, warning, error };

using log_field = std::pair<std::string_view, std::string>;

// Configures logging to standard error for the program. Call once at the start of main, before
// any other thread starts.
void init_logging(std::string_view program);

// Writes one structured line: `event key="value" ...`. Meant for changes of state; count frequent
// occurrences with a metric instead. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace jl
