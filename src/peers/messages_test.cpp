#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peers/cbor_depth.h"
#include "peers/messages.h"

namespace jl::peers {
namespace {

using namespace std::chrono_literals;

std::vector<message> make_samples()
{
    platform::listed_vm vm{"vm-1", {"127.0.0.1", 9000}, "dc-1", "rack-1", "rounds", true,
                           7,      {64, 128, 1}};
    vm_mark mark{"vm-1", "rounds", records::vm_phase::leaving, 42};
    service_load load{"rounds", 3, 8, 12.5, 100};
    drain_acknowledgment acknowledgment{"vm-1", 42, 2};
    observed_member member{"{}", true, 5, true, 250ms, {load}, {acknowledgment}};
    return {hello{protocol_version, "entry-1", 1000, 5, false},
            ping{1},
            pong{1, 300ms, std::nullopt},
            pong{2, 0ms, member_report{5, true, true, true, 7, ~0ULL, 1}},
            load_report{{load, load}},
            drain_report{{acknowledgment}},
            queue_notice{"rounds"},
            state_request{true, false, true},
            generation_notice{5},
            configuration_push{5, "{}"},
            vm_list_push{true, {vm}, {"vm-2"}},
            vm_records_push{false, 43, {mark}},
            observe{9, 4, 8},
            observation{9, "{}", 8, true, {vm}, {mark}, {member}}};
}

// Guards against a field that is written and not read, or the reverse.
TEST(messages, every_type_survives_encoding)
{
    for (const auto& sample : make_samples()) {
        const auto bytes = encode(sample);
        const auto read = decode(bytes);
        ASSERT_TRUE(read) << type_name(sample);
        EXPECT_EQ(read->index(), sample.index());
        EXPECT_EQ(encode(*read), bytes) << type_name(sample);
    }
}

// Guards against a stack overflow in the parser: each level of nesting is one recursion.
TEST(messages, deep_nesting_is_refused)
{
    EXPECT_FALSE(decode(std::string(max_message_bytes, '\x81')));
    EXPECT_FALSE(decode(std::string(max_message_bytes, '\xa1')));
    EXPECT_FALSE(decode(std::string(max_message_bytes, '\xc1')));
    EXPECT_FALSE(decode(std::string(max_message_bytes, '\x9f')));
    EXPECT_TRUE(internal::has_bounded_depth("\x81\x81\x01", 2));
    EXPECT_FALSE(internal::has_bounded_depth("\x81\x81\x01", 1));
}

// Guards against values that would be cut when stored in a narrower type.
TEST(messages, numbers_out_of_range_are_refused)
{
    // An array of type number 1 (ping) and a negative sequence.
    EXPECT_FALSE(decode(std::string("\x82\x01\x20", 3)));
    // A phase beyond the last one.
    auto bytes = encode(vm_records_push{false, 1, {{"v", "p", records::vm_phase::returning, 1}}});
    bytes[bytes.size() - 2] = 0x05;
    EXPECT_FALSE(decode(bytes));
}

// Guards against input of a faulty or foreign process that ends ours.
RC_GTEST_PROP(messages, arbitrary_bytes_are_refused_or_read, (const std::string& bytes))
{
    const auto read = decode(bytes);
    if (read) {
        RC_ASSERT(decode(encode(*read)));
    }
}

// Guards against the same for input that is nearly valid: changed, inserted and removed bytes.
RC_GTEST_PROP(messages, mutated_messages_are_refused_or_read, ())
{
    const auto samples = make_samples();
    auto bytes = encode(*rc::gen::elementOf(samples));
    const auto edits = *rc::gen::inRange(1, 5);
    for (int i = 0; i < edits; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        const auto value = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes.insert(at, 1, value);
            break;
        case 1:
            bytes.erase(at, 1 + *rc::gen::inRange<std::size_t>(0, 4));
            break;
        default:
            if (at < bytes.size()) {
                bytes[at] = value;
            }
        }
    }
    const auto read = decode(bytes);
    if (read) {
        RC_ASSERT(decode(encode(*read)));
    }
}

} // namespace
} // namespace jl::peers
