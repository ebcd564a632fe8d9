#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cluster/cluster_test_support.h"
#include "cluster/rendezvous.h"

namespace jl::cluster {
namespace {

using testing::UnorderedElementsAre;

// One entry with its own connections to the store and the VM list.
struct test_entry {
    test_entry(const std::string& name, std::int64_t incarnation, store::key_value_store& shared,
               const clock_source& clock, metrics& counters, fake_network& network)
        : store(shared),
          lease(store, clock, name, 5s),
          node(store, lease, list, clock, counters, make_options(name, incarnation),
               std::make_unique<fake_network::transport>(network, name))
    {
        node.start_links();
    }
    static cluster_options make_options(const std::string& name, std::int64_t incarnation)
    {
        cluster_options options;
        options.member = {name, incarnation, "dc-1", "127.0.0.1:8000", "127.0.0.1:8001"};
        return options;
    }
    void step()
    {
        node.lease_step();
        node.members_step();
        node.configuration_step();
        node.vm_records_step();
        node.vm_list_step();
        node.report_step();
    }
    void cut_from_platform(bool cut = true) { store.down = list.down = cut; }

    store_connection store;
    fake_vm_list list;
    store::process_lease lease;
    internal::node node;
};

class mesh_fixture : public testing::Test {
protected:
    void SetUp() override
    {
        write(records::configuration_key, make_configuration(1));
        for (const auto* name : {"a", "b", "c", "d", "e"}) {
            start(name);
        }
        link_all();
        // Everyone registers in the first round and reads the others in the second.
        settle();
        advance(5000ms);
    }
    test_entry& start(const std::string& name, std::int64_t incarnation = 1)
    {
        auto entry =
            std::make_unique<test_entry>(name, incarnation, shared, clock, counters, network);
        entry->list.vms = vms;
        return *(entries[name] = std::move(entry));
    }
    void link_all()
    {
        for (const auto& one : entries) {
            for (const auto& other : entries) {
                if (one.first < other.first) {
                    network.link(one.first, other.first);
                }
            }
        }
    }
    void settle(int rounds = 2)
    {
        for (int i = 0; i < rounds; ++i) {
            for (auto& [name, entry] : entries) {
                if (paused.count(name) == 0) {
                    entry->step();
                }
            }
            network.run();
        }
    }
    void advance(std::chrono::milliseconds time)
    {
        constexpr auto round = 250ms;
        for (auto passed = 0ms; passed < time; passed += round) {
            clock.elapsed += round;
            settle(1);
        }
    }
    void write(const std::string& key, const std::string& value)
    {
        ASSERT_TRUE(shared.commit({{}, {store::put(key, value)}, {}}, clock.steady_now()));
        const auto read = shared.range({key, "", 0}, clock.steady_now());
        for (auto& [name, entry] : entries) {
            if (paused.count(name) == 0) {
                entry->store.pass_on(read->items.at(0));
            }
        }
    }
    void write_vm(const std::string& vm, records::vm_phase phase)
    {
        records::vm_record record;
        record.vm = vm;
        record.pool = "rounds";
        record.phase = phase;
        write(records::vms_prefix + vm, records::to_json(record));
    }
    std::set<std::string> senders()
    {
        std::set<std::string> names;
        for (auto& [name, entry] : entries) {
            if (entry->node.may_send()) {
                names.insert(name);
            }
        }
        return names;
    }
    member_status status_of(const std::string& member, const std::string& at)
    {
        for (auto& status : entries.at(at)->node.members()) {
            if (status.member.member == member) {
                return status;
            }
        }
        ADD_FAILURE() << at << " does not know " << member;
        return {};
    }
    bool knows(const std::string& at, const std::string& member)
    {
        const auto statuses = entries.at(at)->node.members();
        return std::any_of(statuses.begin(), statuses.end(),
                           [&](const auto& status) { return status.member.member == member; });
    }
    void cut_from_peers(const std::string& name)
    {
        for (const auto& other : entries) {
            network.cut(name, other.first);
        }
    }
    std::int64_t generation_at(const std::string& name)
    {
        const auto configuration = entries.at(name)->node.configuration();
        return configuration ? configuration->generation : 0;
    }

    std::vector<platform::listed_vm> vms = {make_vm("vm-1"), make_vm("vm-2")};
    manual_clock clock;
    standins::memory_store shared{clock};
    metrics counters;
    fake_network network{clock};
    std::set<std::string> paused;
    std::map<std::string, std::unique_ptr<test_entry>> entries;
};

// Guards against store traffic that grows with the number of entries.
TEST_F(mesh_fixture, two_entries_watch_and_two_poll_the_list)
{
    const auto watching = [&] {
        return std::count_if(entries.begin(), entries.end(),
                             [](const auto& entry) { return entry.second->store.watching(); });
    };
    EXPECT_GE(watching(), 2);
    EXPECT_LE(watching(), 4); // two for the configuration, two for the VM records
    for (auto& [name, entry] : entries) {
        entry->list.fetches = 0;
    }
    advance(5000ms);
    EXPECT_EQ(std::count_if(entries.begin(), entries.end(),
                            [](const auto& entry) { return entry.second->list.fetches > 0; }),
              2);
    EXPECT_EQ(senders().size(), 5U);
}

// Guards promise P8: a change is in force everywhere at once, also where the store is out of
// reach, and an older document heard later changes nothing.
TEST_F(mesh_fixture, configuration_reaches_entries_without_store)
{
    entries.at("b")->store.down = true;
    entries.at("d")->store.down = true;
    advance(3000ms);
    write(records::configuration_key, make_configuration(2));
    settle(3);
    for (const auto& entry : entries) {
        EXPECT_EQ(generation_at(entry.first), 2) << entry.first;
    }
    entries.at("b")->node.on_message("a", peers::configuration_push{9, make_configuration(1)});
    EXPECT_EQ(generation_at("b"), 2);
    EXPECT_EQ(status_of("b", "a").generation, 2);
}

// Guards the bound of 17 s without any link and with watches that stay silent.
TEST_F(mesh_fixture, configuration_arrives_by_poll_without_links_and_watches)
{
    for (const auto& entry : entries) {
        cut_from_peers(entry.first);
    }
    ASSERT_TRUE(shared.commit(
        {{}, {store::put(records::configuration_key, make_configuration(2))}, {}}, {}));
    advance(12500ms);
    for (const auto& entry : entries) {
        EXPECT_EQ(generation_at(entry.first), 2) << entry.first;
    }
}

// Guards against serving stops while one entry is cut off from the platform but not from peers,
// and against serving on a stale view once it is cut off from both.
TEST_F(mesh_fixture, peers_keep_the_view_fresh_until_the_links_go_silent)
{
    entries.at("c")->cut_from_platform();
    advance(10000ms);
    EXPECT_EQ(senders().count("c"), 1U);
    network.silence("c");
    advance(2500ms);
    EXPECT_EQ(senders().count("c"), 0U);
    EXPECT_EQ(senders().size(), 4U);
    network.resume("c");
    settle();
    EXPECT_EQ(senders().count("c"), 1U);
}

// Guards section 4 of the design: with the platform down, the part with more than half of the
// members continues on its last view and the other part stops.
TEST_F(mesh_fixture, majority_continues_while_the_platform_is_down)
{
    for (auto& [name, entry] : entries) {
        entry->cut_from_platform();
    }
    advance(60000ms);
    EXPECT_EQ(senders().size(), 5U);
    for (const auto* minority : {"a", "b"}) {
        for (const auto* majority : {"c", "d", "e"}) {
            network.cut(minority, majority);
        }
    }
    advance(3000ms);
    EXPECT_THAT(senders(), UnorderedElementsAre("c", "d", "e"));
}

// Guards against a part without the platform that continues while an entry it hears reaches it: a
// planner could then drain VMs.
TEST_F(mesh_fixture, side_without_platform_stops_if_the_other_reaches_it)
{
    for (const auto* majority : {"a", "b", "c"}) {
        entries.at(majority)->cut_from_platform();
        entries.at(majority)->list.vms = {make_vm("vm-1")};
    }
    advance(3000ms);
    EXPECT_EQ(senders().size(), 5U);
    // The lists of d and e change without reaching the others.
    network.silence("d");
    network.silence("e");
    advance(2000ms);
    EXPECT_EQ(senders().count("d"), 1U);
    // a, b and c are three of five and none of them reaches the platform.
    EXPECT_EQ(senders().count("a"), 1U);
    entries.at("a")->list.down = false;
    advance(2000ms);
    // Now a reaches it and confirms the view for b and c.
    EXPECT_EQ(senders().size(), 5U);
}

// Guards promise P6: a drain is known and acknowledged with its revision within one exchange, and
// an entry that cannot hear of it gives no acknowledgment.
TEST_F(mesh_fixture, drain_is_acknowledged_by_everyone_who_heard_of_it)
{
    entries.at("b")->node.set_in_flight_source([](const std::string&) { return 3; });
    network.silence("e");
    entries.at("e")->store.down = true;
    settle();
    write_vm("vm-1", records::vm_phase::preparing);
    const auto revision = shared.range({"/jl/vms/vm-1", "", 0}, {})->items.at(0).mod_revision;
    settle(3);
    for (const auto* name : {"a", "b", "c", "d"}) {
        EXPECT_FALSE(entries.at(name)->node.vms()->vms.at(0).usable()) << name;
        const auto status = status_of(name, name[0] == 'a' ? "c" : "a");
        ASSERT_EQ(status.acknowledgments.size(), 1U) << name;
        EXPECT_EQ(status.acknowledgments[0].record_revision, revision);
        EXPECT_EQ(status.acknowledgments[0].in_flight, name[0] == 'b' ? 3 : 0);
    }
    EXPECT_TRUE(status_of("e", "a").acknowledgments.empty());
    advance(3500ms);
    EXPECT_FALSE(status_of("e", "a").alive);
    EXPECT_FALSE(entries.at("e")->node.may_send() && !entries.at("e")->list.down &&
                 entries.at("e")->node.vms()->vms.at(0).record_revision == revision);
    network.resume("e");
    settle(4);
    EXPECT_EQ(status_of("e", "a").acknowledgments.size(), 1U);
}

// Guards against a paused member that sends on its old view when it resumes.
TEST_F(mesh_fixture, paused_member_is_detected_and_waits_for_a_fresh_view)
{
    paused.insert("c");
    network.silence("c");
    advance(10000ms);
    EXPECT_FALSE(status_of("c", "a").alive);
    EXPECT_TRUE(knows("a", "c"));
    write_vm("vm-1", records::vm_phase::leaving);
    EXPECT_EQ(senders().count("c"), 0U);
    paused.erase("c");
    network.resume("c");
    settle(3);
    EXPECT_EQ(senders().count("c"), 1U);
    EXPECT_FALSE(entries.at("c")->node.vms()->vms.at(0).usable());
    EXPECT_TRUE(status_of("c", "a").alive);
}

// Guards the drain rule for members that vanish: they stay listed until their requests have
// reached the longest deadline. With no service configured, that leaves the 2 s of the view.
TEST_F(mesh_fixture, crashed_member_stays_listed_until_it_is_provably_silent)
{
    entries.erase("c");
    advance(6000ms);
    EXPECT_TRUE(shared.range({"/jl/members/c", "", 0}, {})->items.empty());
    EXPECT_TRUE(knows("a", "c"));
    EXPECT_FALSE(status_of("c", "a").alive);
    advance(12000ms);
    EXPECT_FALSE(knows("a", "c"));
}

// Guards against counting acknowledgments of the process that ran before a restart.
TEST_F(mesh_fixture, restart_discards_acknowledgments_of_the_former_process)
{
    write_vm("vm-1", records::vm_phase::preparing);
    settle(3);
    EXPECT_EQ(status_of("c", "a").acknowledgments.size(), 1U);
    entries.erase("c");
    start("c", 2);
    for (const auto* other : {"a", "b", "d", "e"}) {
        network.link("c", other);
    }
    EXPECT_TRUE(status_of("c", "a").acknowledgments.empty());
    EXPECT_FALSE(entries.at("c")->node.may_send());
    advance(1000ms);
    EXPECT_TRUE(entries.at("c")->node.may_send());
    EXPECT_EQ(status_of("c", "a").acknowledgments.size(), 1U);
}

// Guards a restart that cannot reach store and VM list: everything comes from the peers. While the
// others reach the platform, a planner could stop a VM without waiting for this process, which has
// not been able to register, so it sends nothing until the platform is down for all.
TEST_F(mesh_fixture, entry_restarted_without_platform_learns_everything_from_peers)
{
    write_vm("vm-2", records::vm_phase::leaving);
    settle(3);
    entries.erase("c");
    auto& restarted = start("c", 2);
    restarted.cut_from_platform();
    for (const auto* other : {"a", "b", "d", "e"}) {
        network.link("c", other);
    }
    EXPECT_FALSE(restarted.node.may_send());
    advance(1500ms);
    EXPECT_EQ(generation_at("c"), 1);
    EXPECT_FALSE(restarted.node.may_send());
    for (const auto* other : {"a", "b", "d", "e"}) {
        entries.at(other)->cut_from_platform();
    }
    advance(3000ms);
    EXPECT_TRUE(restarted.node.may_send());
    ASSERT_EQ(restarted.node.vms()->vms.size(), 2U);
    EXPECT_TRUE(restarted.node.vms()->vms[0].usable());
    EXPECT_FALSE(restarted.node.vms()->vms[1].usable());
}

// Guards against a restarted entry that takes the few members it hears for all of them.
TEST_F(mesh_fixture, entry_restarted_in_a_minority_does_not_send)
{
    for (auto& [name, entry] : entries) {
        entry->cut_from_platform();
    }
    entries.erase("c");
    auto& restarted = start("c", 2);
    restarted.cut_from_platform();
    network.link("c", "d");
    for (const auto* other : {"a", "b", "e"}) {
        network.cut("d", other);
    }
    advance(5000ms);
    EXPECT_EQ(restarted.node.vms()->vms.size(), 2U);
    EXPECT_THAT(senders(), UnorderedElementsAre("a", "b", "e"));
}

// Guards against lost pushes of VM list changes: the digests in the pongs reveal them.
TEST_F(mesh_fixture, list_change_reaches_all_even_if_its_push_is_lost)
{
    for (auto& [name, entry] : entries) {
        entry->list.vms = {make_vm("vm-1", true), make_vm("vm-2"), make_vm("vm-3")};
    }
    advance(1000ms);
    for (auto& [name, entry] : entries) {
        EXPECT_EQ(entry->node.vms()->vms.size(), 3U) << name;
    }
    network.silence("c");
    entries.at("c")->list.down = true;
    for (auto& [name, entry] : entries) {
        entry->list.vms = {make_vm("vm-2")};
    }
    advance(1000ms);
    EXPECT_EQ(entries.at("c")->node.vms()->vms.size(), 3U);
    network.resume("c");
    advance(1500ms);
    EXPECT_EQ(entries.at("c")->node.vms()->vms.size(), 1U);
}

TEST_F(mesh_fixture, queue_notice_reaches_the_preferred_owner_only)
{
    std::multiset<std::string> told;
    for (auto& [name, entry] : entries) {
        const auto self = name;
        entry->node.set_queue_notice_handler(
            [&told, self](const std::string& service) { told.insert(self + " " + service); });
    }
    for (int i = 0; i < 1000; ++i) {
        entries.at("a")->node.notify_queue("rounds");
    }
    settle(1);
    std::string owner;
    for (const auto& entry : entries) {
        if (is_selected(entry.first, {"a", "b", "c", "d", "e"}, "queue/rounds", 2) &&
            (owner.empty() || is_selected(entry.first, {owner}, "queue/rounds", 1))) {
            owner = entry.first;
        }
    }
    EXPECT_THAT(told, UnorderedElementsAre(owner + " rounds"));
}

rc::Gen<cluster_sight> make_sight(steady_time now)
{
    const auto time = rc::gen::map(rc::gen::inRange(0, 6000), [now](int age) {
        return std::optional<steady_time>(now - std::chrono::milliseconds(age));
    });
    const auto maybe = rc::gen::oneOf(rc::gen::just(std::optional<steady_time>{}), time);
    const auto member = rc::gen::build<member_sight>(
        rc::gen::set(&member_sight::heard_at, maybe),
        rc::gen::set(&member_sight::reaches_platform, rc::gen::arbitrary<bool>()),
        rc::gen::set(&member_sight::known_members, rc::gen::inRange(0, 12)));
    return rc::gen::build<cluster_sight>(
        rc::gen::set(&cluster_sight::configuration_known, rc::gen::arbitrary<bool>()),
        rc::gen::set(&cluster_sight::view_confirmed_at, maybe),
        rc::gen::set(&cluster_sight::reaches_platform, rc::gen::arbitrary<bool>()),
        rc::gen::set(&cluster_sight::members_known, rc::gen::arbitrary<bool>()),
        rc::gen::set(&cluster_sight::others,
                     rc::gen::container<std::vector<member_sight>>(member)));
}

// Guards the rule itself, restated: sending on a view older than 2 s needs more than half of the
// members heard within 2 s, and neither they nor this entry reaching the platform.
RC_GTEST_PROP(liveness, stale_view_needs_a_majority_without_platform, ())
{
    const steady_time now(1000s);
    const auto sight = *make_sight(now);
    if (!allows_sending(decide_sending(sight, now))) {
        return;
    }
    RC_ASSERT(sight.configuration_known);
    RC_ASSERT(sight.view_confirmed_at.has_value());
    if (now - *sight.view_confirmed_at <= 2s) {
        return;
    }
    RC_ASSERT(!sight.reaches_platform);
    RC_ASSERT(sight.members_known);
    int heard = 1;
    for (const auto& other : sight.others) {
        if (other.heard_at && now - *other.heard_at <= 2s) {
            RC_ASSERT(!other.reaches_platform);
            ++heard;
        }
    }
    RC_ASSERT(heard > static_cast<int>(sight.others.size() + 1) - heard);
    for (const auto& other : sight.others) {
        RC_ASSERT(heard > other.known_members - heard || !other.heard_at ||
                  now - *other.heard_at > 2s);
    }
}

// Guards against an entry that begins to send again although it heard nothing new.
RC_GTEST_PROP(liveness, passing_time_alone_never_permits_sending_to_isolated_entries, ())
{
    const steady_time now(1000s);
    auto sight = *make_sight(now);
    RC_PRE(!sight.others.empty());
    const auto later = now + std::chrono::milliseconds(*rc::gen::inRange(6001, 100000));
    RC_ASSERT(!allows_sending(decide_sending(sight, later)) || sight.others.empty());
    for (const auto& other : sight.others) {
        RC_ASSERT(!is_alive(other, later));
    }
}

} // namespace
} // namespace jl::cluster
