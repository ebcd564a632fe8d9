#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "operators/ctl_commands.h"

// How jlctl shows the answers of the administration API.
namespace jl::operators::internal {

struct column {
    std::string title;
    std::string key; // of the field shown
};

// A value in one table cell; "-" if it is missing or empty.
std::string to_cell(const nlohmann::json& value);
// UTC, e.g. 2026-01-05T00:00:00Z.
std::string format_time(std::int64_t since_epoch_ms);

void print_rows(std::ostream& output, const nlohmann::json& rows,
                const std::vector<column>& columns);
void print_changes(std::ostream& output, const nlohmann::json& changes);
void print_budgets(std::ostream& output, const nlohmann::json& budgets);

using printer = std::function<void(std::ostream&, const nlohmann::json&)>;

// Prints a successful answer as JSON or with `print`, or reports its failure.
ctl_exit show(const invocation& invocation, const std::optional<http::response>& answer,
              const printer& print);

} // namespace jl::operators::internal
