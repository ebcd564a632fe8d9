#include "objects/diff.h"

#include <map>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "objects/fields.h"

namespace jl::objects {

namespace {

using nlohmann::json;
using object_fields_map = std::map<std::string, json>;

object_fields_map complete_fields(const json& object, const std::string& kind)
{
    object_fields_map fields;
    for (const auto& spec : fields_of(kind)) {
        if (spec.key == "kind" || spec.key == "name") {
            continue;
        }
        const auto found = object.find(spec.key);
        if (found != object.end()) {
            fields[spec.key] = *found;
        }
        else if (!spec.default_value.empty()) {
            fields[spec.key] = json::parse(spec.default_value);
        }
    }
    return fields;
}

std::map<std::string, object_fields_map> read_document(std::string_view text)
{
    std::map<std::string, object_fields_map> objects;
    const auto document = parse_json(text);
    if (!document.is_object() || !document.contains("objects")) {
        return objects;
    }
    for (const auto& object : document["objects"]) {
        if (object.is_object() && object.contains("kind") && object["kind"].is_string() &&
            object.contains("name") && object["name"].is_string()) {
            const auto kind = object["kind"].get<std::string>();
            objects[kind + " " + object["name"].get<std::string>()] = complete_fields(object, kind);
        }
    }
    return objects;
}

std::vector<field_change> diff_fields(const object_fields_map& before,
                                      const object_fields_map& after)
{
    std::vector<field_change> changes;
    auto all = before;
    all.insert(after.begin(), after.end());
    for (const auto& entry : all) {
        const auto old_value = before.find(entry.first);
        const auto new_value = after.find(entry.first);
        const json old_json = old_value == before.end() ? json() : old_value->second;
        const json new_json = new_value == after.end() ? json() : new_value->second;
        if (old_json != new_json) {
            changes.push_back({entry.first, old_json.dump(), new_json.dump()});
        }
    }
    return changes;
}

} // namespace

const char* to_text(change_kind change)
{
    switch (change) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        break;
    }
    return "changed";
}

std::vector<object_change> diff_documents(std::string_view before, std::string_view after)
{
    const auto old_objects = read_document(before);
    const auto new_objects = read_document(after);
    auto all = old_objects;
    all.insert(new_objects.begin(), new_objects.end());
    std::vector<object_change> changes;
    for (const auto& entry : all) {
        const auto old_object = old_objects.find(entry.first);
        const auto new_object = new_objects.find(entry.first);
        if (old_object == old_objects.end()) {
            changes.push_back({change_kind::added, entry.first, {}});
        }
        else if (new_object == new_objects.end()) {
            changes.push_back({change_kind::removed, entry.first, {}});
        }
        else if (auto fields = diff_fields(old_object->second, new_object->second);
                 !fields.empty()) {
            changes.push_back({change_kind::changed, entry.first, std::move(fields)});
        }
    }
    return changes;
}

} // namespace jl::objects
