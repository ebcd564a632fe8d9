#include "base/json_text.h"

#include <nlohmann/json.hpp>

namespace jl {

namespace {

bool has_bounded_depth(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (in_string) {
            // An escaped character does not end the string.
            at += character == '\\' ? 1 : 0;
            in_string = character != '"';
            continue;
        }
        in_string = character == '"';
        if ((character == '[' || character == '{') && ++depth > limit) {
            return false;
        }
        if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    if (!has_bounded_depth(text, max_json_depth)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace jl
