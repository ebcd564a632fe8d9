#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "base/settings.h"

namespace jl {
namespace {

using testing::HasSubstr;

const std::vector<setting_spec> table = {
    {"member.id", setting_type::text, "", "", {}, {}, "name of this entry"},
    {"store.timeout_ms", setting_type::milliseconds, "ms", "500", 10, 10000, "limit of a call"},
    {"platform.addresses", setting_type::text_list, "", "[]", {}, {}, "platform addresses"},
};

// Guards against reporting only the first error, and against accepting a partly invalid file.
TEST(settings, reports_all_errors_in_one_run)
{
    std::vector<std::string> errors;
    const auto loaded = parse_settings(
        R"({"store": {"timeout_ms": 5, "retries": 1}, "platform": {"addresses": "x"}})", "e.json",
        table, errors);
    EXPECT_FALSE(loaded);
    ASSERT_EQ(errors.size(), 4U);
    EXPECT_THAT(errors[0], HasSubstr("unknown key \"store.retries\""));
    EXPECT_THAT(errors[1], HasSubstr("missing key \"member.id\""));
    EXPECT_THAT(errors[2], HasSubstr("10..10000"));
    EXPECT_THAT(errors[3], HasSubstr("expected list of strings"));
}

TEST(settings, applies_defaults)
{
    std::vector<std::string> errors;
    const auto loaded = parse_settings(R"({"member": {"id": "a"}})", "e.json", table, errors);
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->text("member.id"), "a");
    EXPECT_EQ(loaded->duration("store.timeout_ms"), std::chrono::milliseconds(500));
}

// Guards against a crash on a truncated file.
TEST(settings, rejects_malformed_json)
{
    std::vector<std::string> errors;
    EXPECT_FALSE(parse_settings("{\"member\":", "e.json", table, errors));
    EXPECT_EQ(errors.size(), 1U);
}

TEST(endpoint, parses_only_address_and_port)
{
    EXPECT_EQ(parse_endpoint("127.0.0.1:80")->port, 80);
    for (const auto* text :
         {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "h:70000", "h:8a"}) {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

} // namespace
} // namespace jl
