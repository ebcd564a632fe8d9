#include "base/settings.h"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace jl {

namespace {

using nlohmann::json;

const char* type_name(setting_type type)
{
    switch (type) {
    case setting_type::text:
        return "string";
    case setting_type::integer:
        return "integer";
    case setting_type::number:
        return "number";
    case setting_type::boolean:
        return "true or false";
    case setting_type::milliseconds:
        return "integer (milliseconds)";
    case setting_type::text_list:
        return "list of strings";
    }
    return "value";
}

bool has_type(const json& value, setting_type type)
{
    switch (type) {
    case setting_type::text:
        return value.is_string();
    case setting_type::integer:
    case setting_type::milliseconds:
        return value.is_number_integer();
    case setting_type::number:
        return value.is_number();
    case setting_type::boolean:
        return value.is_boolean();
    case setting_type::text_list:
        break;
    }
    if (!value.is_array()) {
        return false;
    }
    for (const auto& item : value) {
        if (!item.is_string()) {
            return false;
        }
    }
    return true;
}

std::string bounds_text(const setting_spec& spec)
{
    if (!spec.minimum && !spec.maximum) {
        return "";
    }
    return (spec.minimum ? std::to_string(*spec.minimum) : "") + ".." +
           (spec.maximum ? std::to_string(*spec.maximum) : "");
}

bool in_bounds(const json& value, const setting_spec& spec)
{
    if (!value.is_number()) {
        return true;
    }
    const auto number = value.get<double>();
    return (!spec.minimum || number >= static_cast<double>(*spec.minimum)) &&
           (!spec.maximum || number <= static_cast<double>(*spec.maximum));
}

// Flattens nested objects into dotted keys, so that errors can name the full path of a key.
void flatten(const json& value, const std::string& prefix, std::map<std::string, json>& flat)
{
    for (const auto& [key, item] : value.items()) {
        const std::string path = prefix.empty() ? key : prefix + "." + key;
        if (item.is_object()) {
            flatten(item, path, flat);
        }
        else {
            flat[path] = item;
        }
    }
}

const setting_spec* find_spec(const std::vector<setting_spec>& table, const std::string& key)
{
    for (const auto& spec : table) {
        if (spec.key == key) {
            return &spec;
        }
    }
    return nullptr;
}

} // namespace

const std::string& settings::text(const std::string& key) const
{
    return texts_.at(key);
}

std::int64_t settings::integer(const std::string& key) const
{
    return integers_.at(key);
}

double settings::number(const std::string& key) const
{
    return numbers_.at(key);
}

bool settings::boolean(const std::string& key) const
{
    return booleans_.at(key);
}

std::chrono::milliseconds settings::duration(const std::string& key) const
{
    return std::chrono::milliseconds(integers_.at(key));
}

const std::vector<std::string>& settings::list(const std::string& key) const
{
    return lists_.at(key);
}

std::optional<settings> parse_settings(std::string_view text, const std::string& file_name,
                                       const std::vector<setting_spec>& table,
                                       std::vector<std::string>& errors)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        errors.push_back(file_name + ": expected a JSON object");
        return std::nullopt;
    }
    std::map<std::string, json> flat;
    flatten(document, "", flat);
    const auto errors_before = errors.size();
    for (const auto& [key, value] : flat) {
        if (find_spec(table, key) == nullptr) {
            errors.push_back(file_name + ": unknown key \"" + key + "\"");
        }
    }
    settings result;
    for (const auto& spec : table) {
        const auto found = flat.find(spec.key);
        if (found == flat.end() && spec.default_value.empty()) {
            errors.push_back(file_name + ": missing key \"" + spec.key + "\", expected " +
                             type_name(spec.type) + " (" + spec.description + ")");
            continue;
        }
        const json value = found != flat.end() ? found->second : json::parse(spec.default_value);
        if (!has_type(value, spec.type)) {
            errors.push_back(file_name + ": key \"" + spec.key + "\": expected " +
                             type_name(spec.type) + ", found " + value.dump());
            continue;
        }
        if (!in_bounds(value, spec)) {
            errors.push_back(file_name + ": key \"" + spec.key + "\": expected a value in " +
                             bounds_text(spec) + ", found " + value.dump());
            continue;
        }
        switch (spec.type) {
        case setting_type::text:
            result.texts_[spec.key] = value.get<std::string>();
            break;
        case setting_type::integer:
        case setting_type::milliseconds:
            result.integers_[spec.key] = value.get<std::int64_t>();
            break;
        case setting_type::number:
            result.numbers_[spec.key] = value.get<double>();
            break;
        case setting_type::boolean:
            result.booleans_[spec.key] = value.get<bool>();
            break;
        case setting_type::text_list:
            result.lists_[spec.key] = value.get<std::vector<std::string>>();
            break;
        }
    }
    if (errors.size() != errors_before) {
        return std::nullopt;
    }
    return result;
}

std::optional<settings> load_settings(const std::string& path,
                                      const std::vector<setting_spec>& table,
                                      std::vector<std::string>& errors)
{
    const std::ifstream file(path);
    if (!file) {
        errors.push_back(path + ": cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), path, table, errors);
}

std::string describe_settings(const std::vector<setting_spec>& table)
{
    std::string text =
        "| key | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n";
    for (const auto& spec : table) {
        text += "| `" + spec.key + "` | " + type_name(spec.type) + " | " + spec.unit + " | " +
                (spec.default_value.empty() ? "required" : "`" + spec.default_value + "`") + " | " +
                bounds_text(spec) + " | " + spec.description + " |\n";
    }
    return text;
}

std::string endpoint::to_string() const
{
    return address + ":" + std::to_string(port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || text.size() - colon > 6) {
        return std::nullopt;
    }
    unsigned port = 0;
    for (const char c : text.substr(colon + 1)) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        port = port * 10 + static_cast<unsigned>(c - '0');
    }
    if (port == 0 || port > 65535) {
        return std::nullopt;
    }
    return endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

} // namespace jl
