#include <algorithm>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "objects/fields.h"
#include "objects/objects.h"

namespace jl::objects {

namespace {

using nlohmann::json;

bool has_type(const json& value, field_type type)
{
    switch (type) {
    case field_type::text:
        return value.is_string();
    case field_type::integer:
        return value.is_number_integer();
    case field_type::number:
        return value.is_number();
    case field_type::boolean:
        return value.is_boolean();
    case field_type::text_list:
        return value.is_array() && std::all_of(value.begin(), value.end(),
                                               [](const json& item) { return item.is_string(); });
    case field_type::integer_map:
        return value.is_object() && std::all_of(value.begin(), value.end(), [](const json& item) {
                   return item.is_number_integer();
               });
    }
    return false;
}

const char* expected_text(field_type type)
{
    switch (type) {
    case field_type::text:
        return "a string";
    case field_type::integer:
        return "an integer";
    case field_type::number:
        return "a number";
    case field_type::boolean:
        return "true or false";
    case field_type::text_list:
        return "a list of strings";
    case field_type::integer_map:
        return "an object of integers";
    }
    return "another type";
}

bool in_bounds(const json& number, const field_spec& spec)
{
    // Unsigned integers above the signed range would wrap in get<std::int64_t>().
    const auto value = number.get<double>();
    return (!spec.minimum || value >= static_cast<double>(*spec.minimum)) &&
           (!spec.maximum || value <= static_cast<double>(*spec.maximum));
}

// Checks a value against its row of the field table; returns the fault or an empty text.
std::string check_value(const json& value, const field_spec& spec)
{
    if (value.is_null() && spec.default_value == "null") {
        return "";
    }
    if (!has_type(value, spec.type)) {
        return std::string("expected ") + expected_text(spec.type) + ", found " + value.dump();
    }
    if (!spec.choices.empty() && std::find(spec.choices.begin(), spec.choices.end(),
                                           value.get<std::string>()) == spec.choices.end()) {
        std::string expected;
        for (const auto& choice : spec.choices) {
            expected += (expected.empty() ? "" : ", ") + choice;
        }
        return "expected one of " + expected + ", found " + value.dump();
    }
    const auto check_number = [&](const json& number, const std::string& where) {
        if (in_bounds(number, spec)) {
            return std::string();
        }
        return where + "expected a value in " + std::to_string(spec.minimum.value_or(0)) + ".." +
               std::to_string(spec.maximum.value_or(0)) + ", found " + number.dump();
    };
    if (value.is_number()) {
        return check_number(value, "");
    }
    if (spec.type == field_type::integer_map) {
        for (const auto& [key, item] : value.items()) {
            if (auto fault = check_number(item, key + ": "); !fault.empty()) {
                return fault;
            }
        }
    }
    return "";
}

// Checks every field of an object and completes it with the defaults.
std::optional<json> check_fields(const json& value, const std::string& kind,
                                 const std::string& label, std::vector<object_error>& errors)
{
    const auto errors_before = errors.size();
    json complete = json::object();
    std::set<std::string> known;
    for (const auto& spec : fields_of(kind)) {
        known.insert(spec.key);
        const auto found = value.find(spec.key);
        if (found == value.end()) {
            if (spec.default_value.empty()) {
                errors.push_back({label, spec.key, "missing"});
            }
            else {
                complete[spec.key] = json::parse(spec.default_value);
            }
            continue;
        }
        if (auto fault = check_value(*found, spec); !fault.empty()) {
            errors.push_back({label, spec.key, std::move(fault)});
        }
        complete[spec.key] = *found;
    }
    for (const auto& item : value.items()) {
        if (known.count(item.key()) == 0) {
            errors.push_back({label, item.key(), "unknown field"});
        }
    }
    if (errors.size() != errors_before) {
        return std::nullopt;
    }
    return complete;
}

std::optional<int> optional_integer(const json& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    return value.get<int>();
}

void read_data_centre(const json& value, const std::string& name, object_set& set)
{
    set.data_centres.push_back({name, value["region"].get<std::string>()});
}

void read_pool(const json& value, const std::string& name, object_set& set)
{
    set.pools.push_back({name, value["spare"].get<bool>(), value["min_vms"].get<int>(),
                         value["max_vms"].get<int>()});
}

void read_service(const json& value, const std::string& name, object_set& set)
{
    service item;
    item.name = name;
    item.pool = value["pool"].get<std::string>();
    item.slots_per_instance = value["slots_per_instance"].get<int>();
    item.connections_per_instance = value["connections_per_instance"].get<int>();
    item.default_timeout = std::chrono::milliseconds(value["default_timeout_ms"].get<int>());
    item.max_timeout = std::chrono::milliseconds(value["max_timeout_ms"].get<int>());
    item.max_backlog = value["max_backlog"].get<int>();
    item.max_waiting = value["max_waiting"].get<int>();
    set.services.push_back(std::move(item));
}

void read_team(const json& value, const std::string& name, object_set& set)
{
    set.teams.push_back(
        {name, value["weight"].get<double>(), value["quotas"].get<std::map<std::string, int>>()});
}

void read_budget(const json& value, const std::string& name, object_set& set)
{
    static const std::map<std::string, budget_scope> scopes = {
        {"service", budget_scope::service},
        {"pool", budget_scope::pool},
        {"rack", budget_scope::rack},
        {"data_centre", budget_scope::data_centre}};
    budget item;
    item.name = name;
    item.scope = scopes.at(value["scope"].get<std::string>());
    item.scope_name = value["scope_name"].get<std::string>();
    item.min_available = optional_integer(value["min_available"]);
    item.max_unavailable = optional_integer(value["max_unavailable"]);
    item.max_unavailable_percent = optional_integer(value["max_unavailable_percent"]);
    set.budgets.push_back(std::move(item));
}

void read_wave(const json& value, const std::string& name, object_set& set)
{
    maintenance_wave item;
    item.name = name;
    item.pools = value["pools"].get<std::vector<std::string>>();
    item.period = std::chrono::hours(value["period_hours"].get<int>());
    item.starts_at = std::chrono::system_clock::time_point(
        std::chrono::seconds(value["starts_at_unix_s"].get<std::int64_t>()));
    item.drain_limit = std::chrono::seconds(value["drain_limit_s"].get<int>());
    set.waves.push_back(std::move(item));
}

void read_policy(const json& value, const std::string& /*name*/, object_set& set)
{
    set.policy = {value["buffer_cost"].get<double>(), value["moves"].get<double>(),
                  value["rollout_time"].get<double>(), value["flood_service"].get<double>()};
}

using object_function = void (*)(const json&, const std::string&, object_set&);

const std::map<std::string, object_function> readers = {{"data_centre", read_data_centre},
                                                        {"pool", read_pool},
                                                        {"service", read_service},
                                                        {"team", read_team},
                                                        {"budget", read_budget},
                                                        {"maintenance_wave", read_wave},
                                                        {"policy", read_policy}};

void read_object(const json& value, std::size_t index, object_set& set,
                 std::set<std::string>& labels, std::vector<object_error>& errors)
{
    const std::string position = "object #" + std::to_string(index + 1);
    if (!value.is_object()) {
        errors.push_back({position, "", "expected a JSON object"});
        return;
    }
    const auto kind = value.find("kind");
    const auto name = value.find("name");
    if (kind == value.end() || !kind->is_string()) {
        errors.push_back({position, "kind", "missing or not a string"});
        return;
    }
    if (name == value.end() || !name->is_string()) {
        errors.push_back({position, "name", "missing or not a string"});
        return;
    }
    const auto kind_name = kind->get<std::string>();
    const auto object_name = name->get<std::string>();
    const std::string label = kind_name + " " + object_name;
    const auto reader = readers.find(kind_name);
    if (reader == readers.end()) {
        errors.push_back({label, "kind", "unknown kind"});
        return;
    }
    if (!valid_name(object_name)) {
        errors.push_back({label, "name",
                          "expected 1 to 63 letters, digits, '.', '_' and '-', starting with a "
                          "letter or digit"});
        return;
    }
    if (!labels.insert(label).second) {
        errors.push_back({label, "name", "defined twice"});
        return;
    }
    if (const auto complete = check_fields(value, kind_name, label, errors)) {
        reader->second(*complete, object_name, set);
        set.owners[label] = (*complete)["owner"].get<std::string>();
    }
}

void check_single_policy(const std::set<std::string>& labels, std::vector<object_error>& errors)
{
    const std::string prefix = "policy ";
    const auto first = labels.lower_bound(prefix);
    if (first == labels.end() || first->compare(0, prefix.size(), prefix) != 0) {
        return;
    }
    const auto second = std::next(first);
    if (second != labels.end() && second->compare(0, prefix.size(), prefix) == 0) {
        errors.push_back({*second, "", "a set has one policy; the other one is " + *first});
    }
}

} // namespace

std::optional<object_set> parse_objects(std::string_view text, std::vector<object_error>& errors)
{
    const auto errors_before = errors.size();
    const json document = parse_json(text);
    if (!document.is_object()) {
        errors.push_back({"document", "", "expected a JSON object"});
        return std::nullopt;
    }
    const auto format = document.find("format");
    if (format == document.end() || *format != document_format) {
        errors.push_back({"document", "format", "expected " + std::to_string(document_format)});
        return std::nullopt;
    }
    const auto items = document.find("objects");
    if (items == document.end() || !items->is_array()) {
        errors.push_back({"document", "objects", "expected a list"});
        return std::nullopt;
    }
    object_set set;
    std::set<std::string> labels;
    for (std::size_t index = 0; index < items->size(); ++index) {
        read_object((*items)[index], index, set, labels, errors);
    }
    for (const auto& [key, value] : document.items()) {
        if (key != "format" && key != "objects") {
            errors.push_back({"document", key, "unknown field"});
        }
    }
    check_single_policy(labels, errors);
    if (errors.size() == errors_before) {
        check_objects(set, errors);
    }
    if (errors.size() != errors_before) {
        return std::nullopt;
    }
    return set;
}

} // namespace jl::objects
