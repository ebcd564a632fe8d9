#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/json.h"

namespace jl {
namespace {

std::string nested_lists(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

TEST(json, parses_objects_only)
{
    EXPECT_TRUE(parse_json_object(R"({"a": [1, {"b": "c"}]})"));
    for (const auto* text : {"", "[]", "1", "null", "{", R"({"a":})", "{\"a\":\"\xff\"}"}) {
        EXPECT_FALSE(parse_json_object(text)) << text;
    }
}

// Guards against values whose copies exhaust the stack, and against brackets in strings counted as
// levels.
TEST(json, limits_the_depth_of_any_value)
{
    EXPECT_FALSE(parse_json(nested_lists(max_json_depth)).is_discarded());
    EXPECT_TRUE(parse_json(nested_lists(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(nested_lists(500000)).is_discarded());
    const std::string brackets = "\\\"" + std::string(1000, '[');
    const auto value = parse_json("[\"" + brackets + "\", {}]");
    ASSERT_FALSE(value.is_discarded());
    EXPECT_EQ(value[0].get<std::string>(), "\"" + std::string(1000, '['));
    // A string that never ends hides brackets from the count, but is no JSON.
    EXPECT_TRUE(parse_json("\"" + nested_lists(1000)).is_discarded());
    EXPECT_TRUE(parse_json("[1,]").is_discarded());
}

// Guards against documents whose copy, destruction or output overflows the stack.
TEST(json, rejects_documents_beyond_the_nesting_limit)
{
    const auto document_of_depth = [](std::size_t depth) {
        return R"({"a":)" + nested_lists(depth - 1) + "}";
    };
    EXPECT_TRUE(parse_json_object(document_of_depth(max_json_depth)));
    EXPECT_FALSE(parse_json_object(document_of_depth(max_json_depth + 1)));
    EXPECT_FALSE(parse_json_object(document_of_depth(1000000)));
    EXPECT_FALSE(parse_json_object(std::string(1000000, '[')));
}

// Guards against brackets in strings that count as nesting.
TEST(json, brackets_in_strings_are_no_nesting)
{
    const std::string brackets(1000, '[');
    EXPECT_TRUE(parse_json_object(R"({"a":")" + brackets + R"("})"));
    EXPECT_TRUE(parse_json_object(R"({"a":"\")" + brackets + R"(\\"})"));
    EXPECT_FALSE(parse_json_object(R"({"a":"\\",)" + ("\"b\":" + nested_lists(1000)) + "}"));
}

// Guards against a parser of CBOR that recurses for each level.
TEST(json, rejects_cbor_beyond_the_nesting_limit)
{
    const auto one_value_lists = [](std::size_t depth) {
        return std::string(depth, '\x81') + '\x01';
    };
    EXPECT_TRUE(parse_cbor(one_value_lists(max_json_depth)));
    EXPECT_FALSE(parse_cbor(one_value_lists(max_json_depth + 1)));
    EXPECT_FALSE(parse_cbor(one_value_lists(1000000)));
}

TEST(json, list_of_another_type_is_empty)
{
    const auto document = parse_json_object(R"({"a":[1,2],"b":{"c":1},"d":"text"})");
    ASSERT_TRUE(document);
    EXPECT_EQ(list_or_empty(*document, "a").size(), 2U);
    for (const auto* key : {"b", "d", "missing"}) {
        EXPECT_TRUE(list_or_empty(*document, key).empty()) << key;
    }
}

// Guards against an exception, which would end the process, whatever the text is.
RC_GTEST_PROP(json, any_text_is_parsed_or_rejected, ())
{
    const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "{", "}", "[", "]", "\"", "\\", ":", ",", "\"a\"", "1e999", "-9e18", "18446744073709551616",
        "null", "\xff", "\xc3", "\x01", "NaN", "\"\":"));
    std::string text = "{";
    for (const auto& piece : pieces) {
        text += piece;
    }
    const auto document = parse_json_object(text);
    RC_ASSERT(!document || document->is_object());
}

} // namespace
} // namespace jl
