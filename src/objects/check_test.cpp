#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "objects/diff.h"
#include "objects/feasibility.h"
#include "objects/fields.h"
#include "objects/objects.h"

namespace jl::objects {
namespace {

// A valid set whose objects the tests replace: {kind name: object}.
nlohmann::json make_set()
{
    return nlohmann::json::parse(R"({
        "data_centre a": {"kind": "data_centre", "name": "a", "region": "r"},
        "data_centre b": {"kind": "data_centre", "name": "b", "region": "r"},
        "pool p": {"kind": "pool", "name": "p", "min_vms": 8, "max_vms": 12},
        "service s": {"kind": "service", "name": "s", "pool": "p"},
        "team t": {"kind": "team", "name": "t", "quotas": {"p": 96}},
        "budget b": {"kind": "budget", "name": "b", "scope": "service", "scope_name": "s",
                     "max_unavailable": 2},
        "maintenance_wave w": {"kind": "maintenance_wave", "name": "w", "pools": ["p"]},
        "policy weights": {"kind": "policy", "name": "weights"}})");
}

std::string to_document(const nlohmann::json& set)
{
    nlohmann::json document = {{"format", 1}, {"objects", nlohmann::json::array()}};
    for (const auto& item : set) {
        document["objects"].push_back(item);
    }
    return document.dump();
}

std::vector<std::string> faults_of(const nlohmann::json& set)
{
    std::vector<object_error> errors;
    const auto parsed = parse_objects(to_document(set), errors);
    EXPECT_EQ(parsed.has_value(), errors.empty());
    std::vector<std::string> texts;
    texts.reserve(errors.size());
    for (const auto& error : errors) {
        texts.push_back(error.to_string());
    }
    return texts;
}

// Merges `patch` into one object and expects exactly one fault that starts with `expected`.
void expect_fault(const std::string& object, const char* patch, const std::string& expected)
{
    auto set = make_set();
    set[object].merge_patch(nlohmann::json::parse(patch));
    const auto faults = faults_of(set);
    ASSERT_EQ(faults.size(), 1U) << object << " " << patch;
    EXPECT_EQ(faults[0].substr(0, expected.size()), expected);
}

TEST(check_objects, accepts_the_base_set)
{
    EXPECT_TRUE(faults_of(make_set()).empty());
}

// Guards against publishing names that refer to nothing.
TEST(check_objects, refuses_dangling_references)
{
    expect_fault("team t", R"({"quotas": {"x": 1}})", "team t, field quotas: no pool named \"x\"");
    expect_fault("maintenance_wave w", R"({"pools": ["p", "x"]})",
                 "maintenance_wave w, field pools: no pool named \"x\"");
    expect_fault("budget b", R"({"scope_name": "x"})",
                 "budget b, field scope_name: nothing is named \"x\"");
    expect_fault("pool p", R"({"owner": "x"})", "pool p, field owner: no team named \"x\"");
}

// Guards against budgets that can never hold and that would stop all maintenance silently.
TEST(check_objects, refuses_budgets_that_cannot_hold)
{
    expect_fault("budget b", R"({"max_unavailable": null})",
                 "budget b: one of min_available, max_unavailable and");
    // One fault for the budget, and one for the wave that it stops.
    auto set = make_set();
    set["budget b"]["min_available"] = 13;
    const auto faults = faults_of(set);
    ASSERT_EQ(faults.size(), 2U);
    EXPECT_EQ(faults[0], "budget b, field min_available: 13 can never hold: the scope has at most "
                         "12 VMs");
}

// Guards against a wave that never drains a VM, by any kind of limit.
TEST(check_objects, refuses_waves_that_can_never_drain_a_vm)
{
    const std::string expected =
        "maintenance_wave w, field pools: no VM of pool p can ever be drained under budget b";
    expect_fault("budget b", R"({"min_available": 12})", expected);
    expect_fault("budget b", R"({"max_unavailable": 0})", expected);
    // 8% of 12 VMs is less than one VM.
    expect_fault("budget b", R"({"max_unavailable_percent": 8})", expected);
    expect_fault("budget b", R"({"scope": "rack", "scope_name": "*", "max_unavailable": 0})",
                 expected);
    auto set = make_set();
    set["budget b"]["min_available"] = 11;
    EXPECT_TRUE(faults_of(set).empty());
}

// Guards against a period that the budgets make impossible to keep.
TEST(check_objects, refuses_waves_longer_than_their_period)
{
    // 12 VMs, 2 at once, 1,200 s each: 7,200 s.
    expect_fault("maintenance_wave w", R"({"period_hours": 1, "drain_limit_s": 1200})",
                 "maintenance_wave w, field period_hours: the wave cannot be sure to end within "
                 "its period: 12 VMs with 2 at once and up to 1200 s each take up to 7200 s of "
                 "3600 s");
    auto set = make_set();
    set["maintenance_wave w"]["period_hours"] = 2;
    set["maintenance_wave w"]["drain_limit_s"] = 1200;
    EXPECT_TRUE(faults_of(set).empty());
}

// Guards against quotas that promise more than the pool can ever give.
TEST(check_objects, refuses_quotas_beyond_the_pool)
{
    expect_fault("team t", R"({"quotas": {"p": 97}})",
                 "team t, field quotas: the quota of 97 slots exceeds the 96 slots");
}

// Guards against values outside of the table's bounds and against ambiguous names.
TEST(check_objects, refuses_values_outside_of_their_bounds)
{
    expect_fault("pool p", R"({"max_vms": 2001})",
                 "pool p, field max_vms: expected a value in 1..2000, found 2001");
    expect_fault("pool p", R"({"max_vms": 18446744073709551615})", "pool p, field max_vms");
    expect_fault("pool p", R"({"spare": "yes"})",
                 "pool p, field spare: expected true or false, found \"yes\"");
    expect_fault("team t", R"({"weight": -1})", "team t, field weight");
    expect_fault("team t", R"({"quotas": {"p": -1}})", "team t, field quotas: p: expected");
    expect_fault("budget b", R"({"scope": "region"})",
                 "budget b, field scope: expected one of service, pool, rack, data_centre");
    expect_fault("policy weights", R"({"name": "no spaces"})", "policy no spaces, field name");
    expect_fault("maintenance_wave w", R"({"pools": ["p", "p"]})",
                 "maintenance_wave w, field pools: pool p is listed twice");
    auto set = make_set();
    set["again"] = set["team t"];
    EXPECT_EQ(faults_of(set).front(), "team t, field name: defined twice");
    set = make_set();
    set["policy other"] = {{"kind", "policy"}, {"name", "other"}};
    EXPECT_EQ(faults_of(set).size(), 1U);
}

// Guards against a table row that the checker or the defaults cannot use.
TEST(object_fields, defaults_keep_their_own_bounds)
{
    for (const auto& spec : object_fields()) {
        if (spec.default_value.empty() || spec.default_value == "null") {
            continue;
        }
        const auto value = nlohmann::json::parse(spec.default_value, nullptr, false);
        ASSERT_FALSE(value.is_discarded()) << spec.key;
        if (value.is_number() && spec.minimum) {
            EXPECT_GE(value.get<double>(), static_cast<double>(*spec.minimum)) << spec.key;
            EXPECT_LE(value.get<double>(), static_cast<double>(*spec.maximum)) << spec.key;
        }
    }
}

// Guards against a difference that hides a change, or shows one where there is none.
TEST(diff_documents, lists_objects_and_fields)
{
    auto before = make_set();
    auto after = make_set();
    after["pool p"]["spare"] = false; // the default, written out
    EXPECT_TRUE(diff_documents(to_document(before), to_document(after)).empty());
    after["pool p"]["max_vms"] = 14;
    after.erase("team t");
    after["team u"] = {{"kind", "team"}, {"name", "u"}};
    const auto changes = diff_documents(to_document(before), to_document(after));
    ASSERT_EQ(changes.size(), 3U);
    EXPECT_EQ(changes[0].object, "pool p");
    ASSERT_EQ(changes[0].fields.size(), 1U);
    EXPECT_EQ(changes[0].fields[0].before + changes[0].fields[0].after, "1214");
    EXPECT_EQ(changes[1].change, change_kind::removed);
    EXPECT_EQ(changes[2].change, change_kind::added);
}

// Guards against an estimate that ignores a budget over data centres.
TEST(estimate_wave, counts_all_budgets)
{
    auto set = make_set();
    set["budget c"] = {{"kind", "budget"},
                       {"name", "c"},
                       {"scope", "data_centre"},
                       {"scope_name", "*"},
                       {"max_unavailable", 1}};
    set["budget b"]["max_unavailable"] = 4;
    std::vector<object_error> errors;
    const auto parsed = parse_objects(to_document(set), errors);
    ASSERT_TRUE(parsed);
    const auto estimate = estimate_wave(*parsed, parsed->waves.front());
    EXPECT_EQ(estimate.vms, 12);
    EXPECT_EQ(estimate.at_once, 2); // one in each of the two data centres
    EXPECT_EQ(estimate.duration, std::chrono::seconds(6 * 600));
}

} // namespace
} // namespace jl::objects
