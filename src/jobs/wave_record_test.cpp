#include <string>

#include <gtest/gtest.h>

#include "jobs/wave_record.h"

namespace jl::jobs {
namespace {

TEST(wave_record, is_decoded_as_it_was_encoded)
{
    wave_record record;
    record.wave = 7;
    record.finished = {"m0"};
    record.ordered = {"m1", "m2"};
    record.accepted = {"m2"};
    const auto decoded = decode_wave_record({wave_record::key_of(7), record.encode(), 1, 0});
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->wave, 7);
    EXPECT_EQ(decoded->finished, record.finished);
    EXPECT_EQ(decoded->ordered, record.ordered);
    EXPECT_EQ(decoded->accepted, record.accepted);
    EXPECT_TRUE(decoded->orders_known);
}

// Guards against a damaged record, or one of an earlier version, that is read as "nothing ordered".
TEST(wave_record, says_so_if_the_orders_are_not_known)
{
    for (const auto* text : {"", "no record", "[]", "{}", R"({"wave":7,"finished":["m0"]})",
                             R"({"finished":["m0"],"ordered":"m1"})"}) {
        const auto decoded = decode_wave_record({wave_record::key_of(7), text, 1, 0});
        ASSERT_TRUE(decoded) << text;
        EXPECT_FALSE(decoded->orders_known) << text;
    }
}

TEST(wave_record, key_without_a_number_names_no_wave)
{
    for (const auto* key :
         {"jl/wave/", "jl/wave/x", "jl/wave/7x", "jl/wave/99999999999999999999"}) {
        EXPECT_FALSE(decode_wave_record({key, "{}", 1, 0})) << key;
    }
}

} // namespace
} // namespace jl::jobs
