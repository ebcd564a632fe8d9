#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jl::objects {

enum class change_kind { added, removed, changed };

// Values are JSON text; a field that is not set is "null".
struct field_change {
    std::string field;
    std::string before;
    std::string after;
};

struct object_change {
    change_kind change = change_kind::changed;
    std::string object; // "kind name"
    std::vector<field_change> fields;
};

const char* to_text(change_kind change);

// Differences between two documents accepted by parse_objects, ordered by object. A field that is
// left out equals its default. A document that cannot be read counts as empty.
std::vector<object_change> diff_documents(std::string_view before, std::string_view after);

} // namespace jl::objects
