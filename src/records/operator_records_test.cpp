#include <gtest/gtest.h>

#include "records/records.h"

namespace jl::records {
namespace {

using std::chrono::milliseconds;

// Guards against operators' decisions that the planner cannot read.
TEST(operator_records, survive_a_round_trip)
{
    const auto wave = parse_wave(
        to_json(wave_record{"monthly", wave_state::paused, "ann", milliseconds(5), "w"}));
    ASSERT_TRUE(wave);
    EXPECT_EQ(wave->wave, "monthly");
    EXPECT_EQ(wave->state, wave_state::paused);
    EXPECT_EQ(wave->changed_by, "ann");
    EXPECT_EQ(wave->changed_at, milliseconds(5));

    const auto drain =
        parse_operator_drain(to_json(operator_drain_record{"vm-1", "bob", milliseconds(6), "w"}));
    ASSERT_TRUE(drain);
    EXPECT_EQ(drain->requested_by, "bob");
    EXPECT_EQ(drain->requested_at, milliseconds(6));

    const operator_action_record action{"ann", "pause", "wave monthly", milliseconds(7), "w"};
    const auto read = parse_operator_action(to_json(action));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->subject, "wave monthly");
    EXPECT_EQ(operator_action_key(action), "/jl/operator_actions/0000000000000007-w");
}

// Guards against a wave that drains VMs because a newer version wrote a state unknown here.
TEST(operator_records, an_unknown_wave_state_pauses)
{
    EXPECT_EQ(parse_wave(R"({"state": "slowed"})")->state, wave_state::paused);
    EXPECT_FALSE(parse_wave(R"({"state": 1})"));
    EXPECT_FALSE(parse_wave("{"));
    EXPECT_FALSE(parse_operator_drain(R"({"requested_by": "ann"})"));
}

} // namespace
} // namespace jl::records
