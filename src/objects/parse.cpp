#include <functional>
#include <set>

#include <nlohmann/json.hpp>

#include "objects/objects.h"

namespace jl::objects {

namespace {

using nlohmann::json;

// Reads the fields of one object, recording faults and the keys that were read, so that unknown
// keys can be reported afterwards.
class field_reader {
public:
    field_reader(const json& value, std::string label, std::vector<object_error>& errors)
        : value_(value), label_(std::move(label)), errors_(errors)
    {
        known_ = {"kind", "name"};
    }

    template <typename Value>
    bool read(const char* key, Value& target, bool required = false)
    {
        known_.insert(key);
        const auto found = value_.find(key);
        if (found == value_.end()) {
            if (required) {
                fault(key, "missing");
            }
            return false;
        }
        try {
            target = found->template get<Value>();
            return true;
        }
        catch (const json::exception&) {
            fault(key, std::string("has the wrong type (found ") + found->type_name() + ")");
            return false;
        }
    }

    void read_integer(const char* key, int& target, int minimum, int maximum, bool required = false)
    {
        json number;
        if (!read(key, number, required)) {
            return;
        }
        if (!number.is_number_integer() || number.get<std::int64_t>() < minimum ||
            number.get<std::int64_t>() > maximum) {
            fault(key, "expected an integer in " + std::to_string(minimum) + ".." +
                           std::to_string(maximum) + ", found " + number.dump());
            return;
        }
        target = number.get<int>();
    }

    void read_optional_integer(const char* key, std::optional<int>& target, int minimum,
                               int maximum)
    {
        known_.insert(key);
        if (value_.contains(key)) {
            int number = 0;
            read_integer(key, number, minimum, maximum);
            target = number;
        }
    }

    template <typename Duration>
    void read_duration(const char* key, Duration& target, int minimum, int maximum)
    {
        int number = static_cast<int>(target.count());
        read_integer(key, number, minimum, maximum);
        target = Duration(number);
    }

    void read_weight(const char* key, double& target)
    {
        if (read(key, target) && !(target >= 0 && target <= 1000)) {
            fault(key, "expected a number in 0..1000");
        }
    }

    void fault(const std::string& field, std::string reason)
    {
        errors_.push_back({label_, field, std::move(reason)});
    }

    void report_unknown_keys()
    {
        for (const auto& [key, item] : value_.items()) {
            if (known_.count(key) == 0) {
                fault(key, "unknown field");
            }
        }
    }

private:
    const json& value_;
    const std::string label_;
    std::vector<object_error>& errors_;
    std::set<std::string> known_;
};

constexpr int max_vms_per_pool = 2000;
constexpr int max_timeout_ms = 3600000;

void read_data_centre(field_reader& reader, const std::string& name, object_set& set)
{
    data_centre item{name, ""};
    reader.read("region", item.region, true);
    set.data_centres.push_back(std::move(item));
}

void read_pool(field_reader& reader, const std::string& name, object_set& set)
{
    pool item;
    item.name = name;
    reader.read("spare", item.spare);
    reader.read_integer("min_vms", item.min_vms, 0, max_vms_per_pool, true);
    reader.read_integer("max_vms", item.max_vms, 1, max_vms_per_pool, true);
    set.pools.push_back(std::move(item));
}

void read_service(field_reader& reader, const std::string& name, object_set& set)
{
    service item;
    item.name = name;
    reader.read("pool", item.pool, true);
    reader.read_integer("slots_per_instance", item.slots_per_instance, 1, 1024);
    reader.read_integer("connections_per_instance", item.connections_per_instance, 1, 65536);
    reader.read_duration("default_timeout_ms", item.default_timeout, 1, max_timeout_ms);
    reader.read_duration("max_timeout_ms", item.max_timeout, 1, max_timeout_ms);
    reader.read_integer("max_backlog", item.max_backlog, 0, 10000000);
    reader.read_integer("max_waiting", item.max_waiting, 0, 1000000);
    set.services.push_back(std::move(item));
}

void read_team(field_reader& reader, const std::string& name, object_set& set)
{
    team item;
    item.name = name;
    reader.read_weight("weight", item.weight);
    reader.read("quotas", item.quotas);
    set.teams.push_back(std::move(item));
}

void read_budget(field_reader& reader, const std::string& name, object_set& set)
{
    static const std::map<std::string, budget_scope> scopes = {
        {"service", budget_scope::service},
        {"pool", budget_scope::pool},
        {"rack", budget_scope::rack},
        {"data_centre", budget_scope::data_centre}};
    budget item;
    item.name = name;
    std::string scope;
    if (reader.read("scope", scope, true)) {
        const auto found = scopes.find(scope);
        if (found == scopes.end()) {
            reader.fault("scope",
                         "expected service, pool, rack or data_centre, found \"" + scope + "\"");
        }
        else {
            item.scope = found->second;
        }
    }
    reader.read("scope_name", item.scope_name, true);
    reader.read_optional_integer("min_available", item.min_available, 0, max_vms_per_pool);
    reader.read_optional_integer("max_unavailable", item.max_unavailable, 0, max_vms_per_pool);
    reader.read_optional_integer("max_unavailable_percent", item.max_unavailable_percent, 0, 100);
    set.budgets.push_back(std::move(item));
}

void read_wave(field_reader& reader, const std::string& name, object_set& set)
{
    maintenance_wave item;
    item.name = name;
    reader.read("pools", item.pools, true);
    reader.read_duration("period_hours", item.period, 1, 24 * 366);
    reader.read_duration("drain_limit_s", item.drain_limit, 1, 86400);
    std::int64_t starts_at_s = 0;
    reader.read("starts_at_unix_s", starts_at_s);
    item.starts_at = std::chrono::system_clock::time_point(std::chrono::seconds(starts_at_s));
    set.waves.push_back(std::move(item));
}

void read_policy(field_reader& reader, const std::string& /*name*/, object_set& set)
{
    reader.read_weight("buffer_cost", set.policy.buffer_cost);
    reader.read_weight("moves", set.policy.moves);
    reader.read_weight("rollout_time", set.policy.rollout_time);
    reader.read_weight("flood_service", set.policy.flood_service);
}

using object_function = void (*)(field_reader&, const std::string&, object_set&);

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
    if (name == value.end() || !name->is_string() || name->get<std::string>().empty()) {
        errors.push_back({position, "name", "missing or not a non-empty string"});
        return;
    }
    const std::string label = kind->get<std::string>() + " " + name->get<std::string>();
    const auto reader_function = readers.find(kind->get<std::string>());
    if (reader_function == readers.end()) {
        errors.push_back({label, "kind", "unknown kind"});
        return;
    }
    if (!labels.insert(label).second) {
        errors.push_back({label, "name", "defined twice"});
        return;
    }
    field_reader reader(value, label, errors);
    reader_function->second(reader, name->get<std::string>(), set);
    reader.report_unknown_keys();
}

} // namespace

std::optional<object_set> parse_objects(std::string_view text, std::vector<object_error>& errors)
{
    const auto errors_before = errors.size();
    const json document = json::parse(text, nullptr, false);
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
    if (errors.size() == errors_before) {
        check_objects(set, errors);
    }
    if (errors.size() != errors_before) {
        return std::nullopt;
    }
    return set;
}

} // namespace jl::objects
