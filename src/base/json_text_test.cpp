#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace jl {
namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// Guards against values whose copies exhaust the stack, and against brackets in strings counted as
// levels.
TEST(parse_json, limits_the_depth)
{
    EXPECT_FALSE(parse_json(nested(max_json_depth)).is_discarded());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(nested(500000)).is_discarded());
    const std::string brackets = "\\\"" + std::string(1000, '[');
    const auto value = parse_json("[\"" + brackets + "\", {}]");
    ASSERT_FALSE(value.is_discarded());
    EXPECT_EQ(value[0].get<std::string>(), "\"" + std::string(1000, '['));
    // A string that never ends hides brackets from the count, but is no JSON.
    EXPECT_TRUE(parse_json("\"" + nested(1000)).is_discarded());
    EXPECT_TRUE(parse_json("[1,]").is_discarded());
}

} // namespace
} // namespace jl
