#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jl {

// Deepest nesting of lists and objects in a document from outside the process. Copies and output of
// a JSON value are recursive, so a deeper one could overflow the stack.
constexpr std::size_t max_json_depth = 32;

// Parses JSON text that any other process or a person may have written. Returns a discarded value
// if it is not JSON or nested beyond max_json_depth.
nlohmann::json parse_json(std::string_view text);

// The same. Returns nothing if the text is not a JSON object.
std::optional<nlohmann::json> parse_json_object(std::string_view text);

// The same for CBOR. Returns nothing if `bytes` are not one value of any type within the limit.
std::optional<nlohmann::json> parse_cbor(std::string_view bytes);

// Returns the list under `key`, or an empty one if the field is missing or has another type.
const nlohmann::json& list_or_empty(const nlohmann::json& object, const char* key);

} // namespace jl
