// Which items of the store name a worker to use.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/testing/test_fleet.h"
#include "jobs/worker_registry.h"

namespace jl::jobs {
namespace {

using testing::test_documents;
using events = std::vector<std::string>;

fleet_config make_config(const std::vector<std::string>& services)
{
    fleet_config config;
    for (const auto& name : services) {
        config.services.push_back({name, false, true});
    }
    return config;
}

class worker_registry_test : public ::testing::Test {
protected:
    void put(const std::string& worker, const std::string& service,
             registration_source source = registration_source::renewal)
    {
        auto& info = documents.workers[worker];
        info.id = worker;
        info.service = service;
        registry.apply({"servers/" + worker, "", 1, 0}, source);
    }
    void put_unreadable(const std::string& worker)
    {
        documents.workers.erase(worker);
        registry.apply({"servers/" + worker, "", 1, 0}, registration_source::renewal);
    }
    events take_seen() { return std::exchange(seen, {}); }

    test_documents documents;
    events seen; // "+worker" for a registration, "-worker" for the lack of one
    worker_registry registry{documents,
                             {[this](const worker_registration& info, registration_source source) {
                                  seen.push_back('+' + info.id);
                                  last_source = source;
                              },
                              [this](const std::string& worker) { seen.push_back('-' + worker); }}};
    registration_source last_source = registration_source::roster;
};

// Guards against the use of a worker whose service no configuration names.
TEST_F(worker_registry_test, registration_of_a_service_that_is_not_configured_is_left_out)
{
    registry.config_changed(make_config({"rounds"}));
    put("w1", "rounds");
    put("w2", "inventory");
    put_unreadable("w3");
    EXPECT_EQ(take_seen(), (events{"+w1", "-w2", "-w3"}));
}

// Guards against a worker that stays unused though the configuration names its service by now, and
// against a capacity in use that was stated long ago as if it were new.
TEST_F(worker_registry_test, registration_comes_into_use_once_its_service_is_configured)
{
    put("w1", "rounds", registration_source::listing);
    EXPECT_EQ(take_seen(), events{});
    registry.config_changed(make_config({"rounds"}));
    EXPECT_EQ(take_seen(), events{"+w1"});
    put("w2", "crews");
    EXPECT_EQ(take_seen(), events{"-w2"});
    registry.config_changed(make_config({"rounds", "crews"}));
    EXPECT_EQ(take_seen(), events{"+w2"});
    EXPECT_EQ(last_source, registration_source::listing);
    registry.config_changed(make_config({"rounds", "crews"}));
    EXPECT_EQ(take_seen(), events{});
}

// Guards against the use of a registration that was removed, or replaced by another writer, before
// its service was configured.
TEST_F(worker_registry_test, removed_or_replaced_registration_does_not_come_into_use)
{
    put("w1", "rounds");
    put("w2", "rounds");
    registry.apply({"servers/w1", "", 0, 0}, registration_source::renewal);
    put_unreadable("w2");
    take_seen();
    registry.config_changed(make_config({"rounds"}));
    EXPECT_EQ(take_seen(), events{});
}

// Guards against the use of a worker after the configuration has ceased to name its service. Its
// tasks go on, see odd_entries.
TEST_F(worker_registry_test, renewal_for_a_service_that_is_gone_is_left_out)
{
    registry.config_changed(make_config({"rounds", "crews"}));
    put("w1", "crews");
    registry.config_changed(make_config({"rounds"}));
    put("w1", "crews");
    EXPECT_EQ(take_seen(), (events{"+w1", "-w1"}));
    registry.config_changed(make_config({"rounds", "crews"}));
    EXPECT_EQ(take_seen(), events{"+w1"});
}

// Guards against a log line for each renewal of an item that is left out.
TEST_F(worker_registry_test, item_that_is_left_out_is_logged_once)
{
    registry.config_changed(make_config({"rounds"}));
    ::testing::internal::CaptureStdout();
    for (int renewal = 0; renewal < 20; ++renewal) {
        put("w1", "inventory");
        put_unreadable("w2");
    }
    registry.config_changed(make_config({"rounds", "crews"}));
    const auto text = ::testing::internal::GetCapturedStdout();
    const std::string event = "worker.registration_unused";
    std::size_t lines = 0;
    for (auto at = text.find(event); at != std::string::npos; at = text.find(event, at + 1)) {
        ++lines;
    }
    EXPECT_EQ(lines, 2U) << text;
}

} // namespace
} // namespace jl::jobs
