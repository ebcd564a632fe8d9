#include <string>

#include <gtest/gtest.h>

#include "jobs/leadership.h"

namespace jl::jobs {
namespace {

store_item leader_item(const std::string& value)
{
    store_item item;
    item.value = value;
    item.revision = 7;
    return item;
}

TEST(leader_record, round_trip)
{
    const leader_record record{"node-1", {"127.0.0.1", 80}, 3, 7};
    EXPECT_EQ(decode_leader(leader_item(encode_leader(record))), record);
}

// Guards against a record of another version of the program that ends each process that reads it.
TEST(leader_record, with_fields_of_another_type_is_rejected)
{
    for (const auto* text : {R"({"address":5,"node":"n","term":1})",
                             R"({"address":"127.0.0.1:80","node":["n"],"term":1})",
                             R"({"address":"127.0.0.1:80","node":"n","term":"1"})",
                             R"({"address":"127.0.0.1:80","node":"n"})"}) {
        EXPECT_FALSE(decode_leader(leader_item(text))) << text;
    }
}

} // namespace
} // namespace jl::jobs
