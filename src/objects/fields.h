#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl::objects {

enum class field_type { text, integer, number, boolean, text_list, integer_map };

// One field of a kind of object. The table of these rows is the only description of the object
// fields: the checker, the defaults, the difference between sets and the reference page use it.
struct field_spec {
    std::string kind; // empty: a field of every kind
    std::string key;
    field_type type = field_type::text;
    std::string unit;
    std::string default_value; // JSON text; empty: the field is required; "null": not set
    std::optional<std::int64_t> minimum;
    std::optional<std::int64_t> maximum;
    std::vector<std::string> choices; // allowed values of a text; empty: any
    std::string meaning;
};

struct kind_spec {
    std::string kind;
    std::string meaning;
};

const std::vector<kind_spec>& object_kinds();
const std::vector<field_spec>& object_fields();

// Fields of one kind, the common ones first.
std::vector<field_spec> fields_of(std::string_view kind);

// True if `name` can be part of a store key and of a URL path: 1 to 63 letters, digits, '.', '_'
// and '-', starting with a letter or digit.
bool valid_name(std::string_view name);

// The reference page of the objects in Markdown.
std::string describe_objects();

} // namespace jl::objects
