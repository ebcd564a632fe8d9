#include "objects/fields.h"

#include <algorithm>

namespace jl::objects {

namespace {

constexpr std::int64_t max_vms_per_pool = 2000;
constexpr std::int64_t max_timeout_ms = 3600000;
constexpr std::int64_t max_weight = 1000;
constexpr std::size_t max_name_length = 63;

const char* type_name(field_type type)
{
    switch (type) {
    case field_type::text:
        return "string";
    case field_type::integer:
        return "integer";
    case field_type::number:
        return "number";
    case field_type::boolean:
        return "true or false";
    case field_type::text_list:
        return "list of strings";
    case field_type::integer_map:
        return "object of integers";
    }
    return "";
}

std::string bounds_text(const field_spec& spec)
{
    if (!spec.choices.empty()) {
        std::string text;
        for (const auto& choice : spec.choices) {
            text += (text.empty() ? "`" : ", `") + choice + "`";
        }
        return text;
    }
    if (!spec.minimum && !spec.maximum) {
        return "";
    }
    return (spec.minimum ? std::to_string(*spec.minimum) : "") + ".." +
           (spec.maximum ? std::to_string(*spec.maximum) : "");
}

std::string default_text(const field_spec& spec)
{
    if (spec.default_value.empty()) {
        return "required";
    }
    return spec.default_value == "null" ? "not set" : "`" + spec.default_value + "`";
}

std::string describe_field(const field_spec& spec)
{
    return "| `" + spec.key + "` | " + type_name(spec.type) + " | " + spec.unit + " | " +
           default_text(spec) + " | " + bounds_text(spec) + " | " + spec.meaning + " |\n";
}

constexpr const char* table_head =
    "| field | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n";

std::vector<field_spec> make_fields()
{
    const auto text = field_type::text;
    const auto integer = field_type::integer;
    const auto number = field_type::number;
    return {
        {"", "kind", text, "", "", {}, {}, {}, "kind of the object"},
        {"",
         "name",
         text,
         "",
         "",
         {},
         {},
         {},
         "unique within the kind; 1 to 63 letters, digits, `.`, `_` and `-`"},
        {"",
         "owner",
         text,
         "",
         "\"\"",
         {},
         {},
         {},
         "team whose operators may change the object; empty: administrators only"},

        {"data_centre", "region", text, "", "", {}, {}, {}, "region that holds the data centre"},

        {"pool",
         "spare",
         field_type::boolean,
         "",
         "false",
         {},
         {},
         {},
         "its VMs may be lent to other pools"},
        {"pool",
         "min_vms",
         integer,
         "VMs",
         "",
         0,
         max_vms_per_pool,
         {},
         "the pool never lends below this number"},
        {"pool",
         "max_vms",
         integer,
         "VMs",
         "",
         1,
         max_vms_per_pool,
         {},
         "the pool never borrows above this number"},

        {"service",
         "pool",
         text,
         "",
         "",
         {},
         {},
         {},
         "pool whose VMs host the instances; a pool has one service"},
        {"service",
         "slots_per_instance",
         integer,
         "requests",
         "8",
         1,
         1024,
         {},
         "requests that an instance runs at once"},
        {"service",
         "connections_per_instance",
         integer,
         "connections",
         "64",
         1,
         65536,
         {},
         "connections that an instance accepts"},
        {"service",
         "default_timeout_ms",
         integer,
         "ms",
         "10000",
         1,
         max_timeout_ms,
         {},
         "deadline of a request without `Jl-Timeout-Ms`"},
        {"service",
         "max_timeout_ms",
         integer,
         "ms",
         "60000",
         1,
         max_timeout_ms,
         {},
         "longest deadline a caller may ask for; a planner that takes over starts no drain before "
         "the "
         "longest of these has passed, because requests of lost entries may still run"},
        {"service",
         "max_backlog",
         integer,
         "requests",
         "100000",
         0,
         10000000,
         {},
         "deferred requests kept at most; further ones are refused with \"not run\""},
        {"service",
         "max_waiting",
         integer,
         "requests",
         "1000",
         0,
         1000000,
         {},
         "calls that wait for a slot in one entry at most"},

        {"team",
         "weight",
         number,
         "",
         "1",
         0,
         max_weight,
         {},
         "share of a class relative to the other teams"},
        {"team",
         "quotas",
         field_type::integer_map,
         "slots",
         "{}",
         0,
         2000000,
         {},
         "slots (for tasks: cores) the team may hold, by pool; a pool without a number is "
         "unlimited"},

        {"budget",
         "scope",
         text,
         "",
         "",
         {},
         {},
         {"service", "pool", "rack", "data_centre"},
         "what the limit applies to"},
        {"budget",
         "scope_name",
         text,
         "",
         "",
         {},
         {},
         {},
         "name within the scope; `*` applies the limit to each rack or data centre separately"},
        {"budget",
         "min_available",
         integer,
         "VMs",
         "null",
         0,
         max_vms_per_pool,
         {},
         "VMs that stay available"},
        {"budget",
         "max_unavailable",
         integer,
         "VMs",
         "null",
         0,
         max_vms_per_pool,
         {},
         "VMs that may be unavailable at once"},
        {"budget",
         "max_unavailable_percent",
         integer,
         "%",
         "null",
         0,
         100,
         {},
         "share of the VMs that may be unavailable at once, rounded down to whole VMs"},

        {"maintenance_wave",
         "pools",
         field_type::text_list,
         "",
         "",
         {},
         {},
         {},
         "pools whose VMs are maintained"},
        {"maintenance_wave",
         "period_hours",
         integer,
         "h",
         "840",
         1,
         24 * 366,
         {},
         "every VM is maintained once per period"},
        {"maintenance_wave",
         "starts_at_unix_s",
         integer,
         "s since 1970",
         "0",
         0,
         4102444800,
         {},
         "start of the first period"},
        {"maintenance_wave",
         "drain_limit_s",
         integer,
         "s",
         "600",
         1,
         86400,
         {},
         "a drain that takes longer is withdrawn and reported"},

        {"policy",
         "buffer_cost",
         number,
         "",
         "1",
         0,
         max_weight,
         {},
         "weight of spare capacity held as buffer"},
        {"policy", "moves", number, "", "1", 0, max_weight, {}, "weight of VM moves"},
        {"policy",
         "rollout_time",
         number,
         "",
         "1",
         0,
         max_weight,
         {},
         "weight of the duration of a rollout"},
        {"policy",
         "flood_service",
         number,
         "",
         "1",
         0,
         max_weight,
         {},
         "weight of the service that other work keeps during a flood"},
    };
}

} // namespace

const std::vector<kind_spec>& object_kinds()
{
    static const std::vector<kind_spec> kinds = {
        {"data_centre", "A data centre with VMs."},
        {"pool", "A set of VMs that serve one service and run its tasks."},
        {"service", "Work that callers ask for, served by the instances on the VMs of one pool."},
        {"team", "Callers that share a weight and quotas."},
        {"budget", "Limits how many VMs of a scope may be unavailable at once. At least one of the "
                   "three limits is required."},
        {"maintenance_wave", "Maintains every VM of the pools once per period."},
        {"policy", "Weights of the measures that decisions trade against each other. At most one "
                   "object of this kind."}};
    return kinds;
}

const std::vector<field_spec>& object_fields()
{
    static const std::vector<field_spec> fields = make_fields();
    return fields;
}

std::vector<field_spec> fields_of(std::string_view kind)
{
    std::vector<field_spec> fields;
    for (const auto& spec : object_fields()) {
        if (spec.kind.empty() || spec.kind == kind) {
            fields.push_back(spec);
        }
    }
    return fields;
}

bool valid_name(std::string_view name)
{
    const auto alphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    if (name.empty() || name.size() > max_name_length || !alphanumeric(name.front())) {
        return false;
    }
    return std::all_of(name.begin(), name.end(),
                       [&](char c) { return alphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

std::string describe_objects()
{
    std::string text = "# Objects\n\n"
                       "Generated by `jlctl docs objects`; a test compares this page with the "
                       "table in the code.\n\n"
                       "A document is `{\"format\": 1, \"objects\": [...]}`. Each object names its "
                       "`kind` and `name`. Unknown kinds and fields are refused.\n\n"
                       "## Fields of every kind\n\n";
    text += table_head;
    for (const auto& spec : object_fields()) {
        if (spec.kind.empty()) {
            text += describe_field(spec);
        }
    }
    for (const auto& kind : object_kinds()) {
        text += "\n## `" + kind.kind + "`\n\n" + kind.meaning + "\n\n" + table_head;
        for (const auto& spec : object_fields()) {
            if (spec.kind == kind.kind) {
                text += describe_field(spec);
            }
        }
    }
    return text;
}

} // namespace jl::objects
