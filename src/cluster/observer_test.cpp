#include <condition_variable>
#include <thread>

#include <gtest/gtest.h>

#include "cluster/cluster_test_support.h"

namespace jl::cluster {
namespace {

// Waits for a condition of other threads; the limit only bounds a failing test.
template <typename Condition>
bool eventually(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

endpoint free_endpoint()
{
    metrics counters;
    struct no_events final : peers::peer_events {
        peers::hello describe_self() override { return {}; }
        peers::member_report report(std::chrono::milliseconds& /*view_age*/) override { return {}; }
        void on_link_up(const peers::hello& /*peer*/) override {}
        void on_link_down(const std::string& /*member*/) override {}
        void on_pong(const std::string& /*member*/, steady_time /*sent_at*/,
                     std::chrono::milliseconds /*view_age*/,
                     const peers::member_report& /*report*/) override
        {
        }
        void on_message(const std::string& /*member*/, const peers::message& /*received*/) override
        {
        }
    } events;
    peers::transport_options options;
    options.listen = endpoint{"127.0.0.1", 0};
    const auto probe = peers::make_websocket_transport(system_clock_source(), counters, options);
    EXPECT_TRUE(probe->start(events));
    return probe->listening();
}

struct running_entry {
    running_entry(const std::string& name, store::key_value_store& store, const endpoint& address)
        : lease(store, system_clock_source(), name, 5s)
    {
        list.vms = {make_vm("vm-1"), make_vm("vm-2")};
        cluster_options options;
        options.member = {name, 1, "dc-1", "", address.to_string()};
        options.peer_listen = address;
        state = make_cluster(store, lease, list, system_clock_source(), counters, options);
        state->set_load_source([] { return std::vector<service_load>{{"rounds", 1, 2, 3.5, 4}}; });
        state->set_in_flight_source([](const std::string&) { return 6; });
        state->start();
    }
    metrics counters;
    store::process_lease lease;
    fake_vm_list list;
    std::unique_ptr<cluster_state> state;
};

// Guards the whole path over real links: two entries find each other in the store, and a process
// attached to one of them sees configuration, VMs, members, loads and acknowledgments of both.
TEST(attached_observer, sees_what_its_entry_sees)
{
    standins::memory_store store;
    const auto put = [&](const std::string& key, const std::string& value) {
        ASSERT_TRUE(store.commit({{}, {store::put(key, value)}, {}}, {}));
    };
    put(records::configuration_key, make_configuration(3));
    const auto address = free_endpoint();
    running_entry one("entry-1", store, address);
    metrics counters;
    const auto observer =
        make_attached_observer(address, "planner@entry-1", system_clock_source(), counters);
    EXPECT_NE(observer->vms(), nullptr);
    auto two = std::make_unique<running_entry>("entry-2", store, free_endpoint());
    EXPECT_TRUE(eventually([&] { return observer->configuration() != nullptr; }));
    EXPECT_EQ(observer->configuration()->generation, 3);
    records::vm_record record;
    record.vm = "vm-2";
    record.pool = "crews";
    record.phase = records::vm_phase::preparing;
    put("/jl/vms/vm-2", records::to_json(record));
    EXPECT_TRUE(eventually([&] {
        const auto members = observer->members();
        return members.size() == 2 &&
               std::all_of(members.begin(), members.end(), [](const auto& status) {
                   return status.alive && status.generation == 3 && status.store_reachable &&
                          status.loads.size() == 1 && status.loads[0].backlog == 4 &&
                          status.acknowledgments.size() == 1 &&
                          status.acknowledgments[0].in_flight == 6;
               });
    }));
    const auto snapshot = observer->vms();
    ASSERT_EQ(snapshot->vms.size(), 2U);
    EXPECT_TRUE(snapshot->vms[0].usable());
    EXPECT_EQ(snapshot->vms[1].pool, "crews");
    EXPECT_EQ(snapshot->vms[1].phase, records::vm_phase::preparing);
    put(records::configuration_key, make_configuration(4));
    EXPECT_TRUE(eventually([&] { return observer->configuration()->generation == 4; }));
    EXPECT_TRUE(one.state->may_send());
    two.reset();
    EXPECT_TRUE(eventually([&] {
        const auto members = observer->members();
        return std::any_of(members.begin(), members.end(),
                           [](const auto& status) { return !status.alive; });
    }));
}

} // namespace
} // namespace jl::cluster
