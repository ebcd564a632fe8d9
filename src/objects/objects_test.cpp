#include <gtest/gtest.h>

#include "objects/objects.h"

namespace jl::objects {
namespace {

// Guards against a process that ends because a nested value exhausts its stack.
TEST(parse_objects, rejects_deeply_nested_values)
{
    constexpr std::size_t levels = 500000;
    const auto text = R"({"format": 1, "objects": [{"kind": "pool", "name": "a", "spare": )" +
                      std::string(levels, '[') + std::string(levels, ']') + "}]}";
    std::vector<object_error> errors;
    EXPECT_FALSE(parse_objects(text, errors));
    EXPECT_FALSE(errors.empty());
    EXPECT_FALSE(parse_published(text));
}

// Guards against publishing a set with dangling references: all faults are reported, none applied.
TEST(parse_objects, reports_every_fault)
{
    std::vector<object_error> errors;
    const auto set = parse_objects(R"({"format": 1, "objects": [
        {"kind": "pool", "name": "rounds", "min_vms": 9, "max_vms": 8},
        {"kind": "service", "name": "rounds", "pool": "round"},
        {"kind": "budget", "name": "b", "scope": "service", "scope_name": "rounds"}]})",
                                   errors);
    EXPECT_FALSE(set);
    ASSERT_EQ(errors.size(), 3U);
    EXPECT_EQ(errors[1].to_string(), "service rounds, field pool: no pool named \"round\"");
}

// Guards against reading half of a document that a newer version wrote.
TEST(parse_objects, refuses_other_formats_and_unknown_fields)
{
    std::vector<object_error> errors;
    EXPECT_FALSE(parse_objects(R"({"format": 2, "objects": []})", errors));
    errors.clear();
    EXPECT_FALSE(parse_objects(
        R"({"format": 1, "objects": [{"kind": "team", "name": "t", "color": 1}]})", errors));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].field, "color");
}

TEST(published_configuration, survives_a_round_trip)
{
    const published_configuration written{7, "ann", std::chrono::milliseconds(5), "w1", "{}"};
    const auto read = parse_published(to_json(written));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->generation, 7);
    EXPECT_EQ(read->document, "{}");
    EXPECT_FALSE(parse_published("{\"generation\": \"x\"}"));
}

} // namespace
} // namespace jl::objects
