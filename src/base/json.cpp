#include "base/json.h"

namespace jl {

namespace {

using nlohmann::json;

// Checked before parsing, because a deeply nested document takes up many times its length.
bool nested_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char c = text[position];
        if (in_string && c == '\\') {
            ++position; // skips the escaped character
        }
        else if (c == '"') {
            in_string = !in_string;
        }
        else if (!in_string && (c == '[' || c == '{')) {
            if (++depth > max_json_depth) {
                return true;
            }
        }
        else if (!in_string && (c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

// Stops at the first value beyond the nesting limit. The parser of CBOR is recursive itself.
class depth_checker final : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= max_json_depth; }
    bool start_array(std::size_t) override { return ++depth_ <= max_json_depth; }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override
    {
        return false;
    }

private:
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

} // namespace

json parse_json(std::string_view text)
{
    return nested_too_deeply(text) ? json(json::value_t::discarded)
                                   : json::parse(text, nullptr, false);
}

std::optional<json> parse_json_object(std::string_view text)
{
    auto document = parse_json(text);
    if (!document.is_object()) {
        return std::nullopt;
    }
    return document;
}

std::optional<json> parse_cbor(std::string_view bytes)
{
    depth_checker checker;
    if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    return json::from_cbor(bytes, true, false);
}

const json& list_or_empty(const json& object, const char* key)
{
    static const json empty = json::array();
    const auto found = object.find(key);
    return found != object.end() && found->is_array() ? *found : empty;
}

} // namespace jl
