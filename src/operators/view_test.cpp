#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "operators/test_support.h"
#include "operators/view.h"

namespace jl::operators {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr std::chrono::milliseconds period_start(1767571200000);

cluster_picture make_picture()
{
    std::vector<objects::object_error> errors;
    auto set = objects::parse_objects(testing::make_document(), errors);
    cluster_picture picture;
    picture.configuration = std::make_shared<const objects::object_set>(std::move(*set));
    for (int index = 1; index <= 4; ++index) {
        const auto number = std::to_string(index);
        picture.vms.push_back({testing::make_vm("vm-" + number, "rounds", "rack-1", "dc-1"), {}});
    }
    picture.members = {testing::make_member("entry-1", 1)};
    picture.now = period_start + std::chrono::hours(1);
    return picture;
}

void set_phase(vm_picture& vm, records::vm_phase phase)
{
    vm.state.phase = phase;
    vm.state.record_revision = 7;
    vm.record = records::vm_record{};
    vm.record->vm = vm.state.vm;
    vm.record->pool = vm.state.pool;
    vm.record->phase = phase;
    vm.record->reason = "wave monthly";
}

// Guards against showing headroom that a lost VM has already used up.
TEST(budget_headrooms, counts_planned_and_lost_vms)
{
    auto picture = make_picture();
    picture.vms[0].state.listed_live = false;
    set_phase(picture.vms[1], records::vm_phase::rebooting);
    const auto headrooms = budget_headrooms(picture);
    ASSERT_EQ(headrooms.size(), 1U);
    EXPECT_EQ(headrooms[0].vms, 4);
    EXPECT_EQ(headrooms[0].allowed, 1);
    EXPECT_EQ(headrooms[0].left(), -1);
    EXPECT_THAT(headrooms[0].unavailable_vms, ElementsAre("vm-1", "vm-2"));
}

// Guards against a wave that stands still without an operator being told why.
TEST(wave_progresses, tells_what_blocks_a_wave)
{
    auto picture = make_picture();
    EXPECT_THAT(wave_progresses(picture)[0].blocking, IsEmpty());
    picture.vms[0].state.listed_live = false;
    EXPECT_THAT(wave_progresses(picture)[0].blocking,
                ElementsAre(HasSubstr("budget rounds (service rounds) allows 1 unavailable VMs "
                                      "and has 1: vm-1")));
    picture.waves.push_back({"monthly", records::wave_state::paused, "ann", {}, "w1"});
    EXPECT_THAT(wave_progresses(picture)[0].blocking, ElementsAre("paused by ann"));
}

// Guards against an explanation that is silent about an entry that holds up all drains.
TEST(wave_progresses, names_entries_that_cannot_acknowledge)
{
    auto picture = make_picture();
    picture.members.push_back(testing::make_member("entry-2", 1));
    picture.members.back().alive = false;
    EXPECT_THAT(wave_progresses(picture)[0].blocking,
                ElementsAre("entry entry-2 is not heard of",
                            "not more than half of the entries are alive"));
}

// Guards against counting maintenance of an earlier period.
TEST(wave_progresses, counts_the_current_period_only)
{
    auto picture = make_picture();
    set_phase(picture.vms[0], records::vm_phase::in_service);
    picture.vms[0].record->maintained_at = period_start + std::chrono::minutes(1);
    set_phase(picture.vms[1], records::vm_phase::leaving);
    auto wave = wave_progresses(picture)[0];
    EXPECT_EQ(wave.done, 1);
    EXPECT_EQ(wave.remaining(), 3);
    EXPECT_THAT(wave.in_progress, ElementsAre("vm-2"));
    picture.now += std::chrono::hours(840);
    wave = wave_progresses(picture)[0];
    EXPECT_EQ(wave.done, 0);
    EXPECT_EQ(wave.period_start, period_start + std::chrono::hours(840));
}

// Guards against a stuck drain whose reason is not shown.
TEST(explain_vm, names_entries_that_hold_up_a_drain)
{
    auto picture = make_picture();
    set_phase(picture.vms[0], records::vm_phase::leaving);
    auto busy = testing::make_member("entry-1", 1);
    busy.acknowledgments.push_back({"vm-1", 7, 3});
    auto stale = testing::make_member("entry-2", 1);
    stale.acknowledgments.push_back({"vm-1", 6, 0}); // of an earlier record
    picture.members = {busy, stale};
    const auto explanation = explain_vm(picture, "vm-1");
    ASSERT_TRUE(explanation);
    EXPECT_EQ(explanation->service, "rounds");
    EXPECT_THAT(explanation->blocking,
                ElementsAre("entry entry-1 has 3 requests in flight to the VM",
                            "entry entry-2 has not acknowledged the drain"));
    EXPECT_FALSE(explain_vm(picture, "vm-9"));
}

// Guards against an operator waiting for a drain that a budget forbids.
TEST(explain_vm, names_the_exhausted_budget)
{
    auto picture = make_picture();
    picture.vms[1].state.listed_live = false;
    picture.drains.push_back({"vm-1", "ann", {}, "w1"});
    EXPECT_THAT(explain_vm(picture, "vm-1")->blocking, ElementsAre(HasSubstr("budget rounds")));
}

// Guards against reporting a configuration as in force that some entry has not acknowledged, or
// that no entry is known to have.
TEST(report_in_force, needs_every_live_entry)
{
    EXPECT_FALSE(report_in_force(3, {}, {}).in_force());
    auto dead = testing::make_member("entry-3", 1);
    dead.alive = false;
    const std::vector members = {testing::make_member("entry-1", 3),
                                 testing::make_member("entry-2", 2), dead};
    auto report = report_in_force(3, members, {});
    EXPECT_FALSE(report.in_force());
    EXPECT_THAT(report.behind, ElementsAre("entry-2 (generation 2)"));
    EXPECT_TRUE(report_in_force(2, members, {"entry-1", "entry-2"}).in_force());
    report = report_in_force(2, members, {"entry-1", "entry-4"});
    EXPECT_FALSE(report.in_force());
    EXPECT_EQ(report.entries, 3);
    EXPECT_THAT(report.behind, ElementsAre("entry-4 (not heard of)"));
}

} // namespace
} // namespace jl::operators
