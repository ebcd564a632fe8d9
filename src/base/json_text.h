#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace jl {

// Deepest nesting of arrays and objects that parse_json() accepts.
constexpr std::size_t max_json_depth = 64;

// Parses JSON text that another process or a person wrote. Returns a discarded value if the text is
// not JSON or is nested more deeply than max_json_depth: copies and dumps of nested values are
// recursive, so a deeply nested one could exhaust the stack.
nlohmann::json parse_json(std::string_view text);

} // namespace jl
