#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/leadership.h"
#include "jobs/testing/virtual_timers.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

constexpr std::int64_t claim_revision = 2;

// A store that elects whoever claims the leader key. The test answers the listings.
class slow_reading_store final : public store_port {
public:
    void list(const std::string&, callback<store_listing> done) override
    {
        listings.push_back(std::move(done));
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        claimed = {transaction.writes.front().key, transaction.writes.front().value,
                   claim_revision};
        store_result<commit_outcome> result;
        result.value = commit_outcome{true, claim_revision, {}};
        done(result);
    }
    void grant_lease(milliseconds ttl, callback<store_lease> done) override
    {
        store_result<store_lease> result;
        result.value = store_lease{1, ttl};
        done(result);
    }
    void get(const std::string&, callback<store_item>) override {}
    void watch(const std::string&, std::int64_t, milliseconds, callback<store_listing>) override {}
    void renew_lease(std::int64_t, callback<milliseconds>) override {}
    void end_lease(std::int64_t, std::function<void()>) override {}

    // Answers the oldest listing that has no answer yet.
    void answer_listing(store_listing listing)
    {
        ASSERT_FALSE(listings.empty());
        auto done = std::move(listings.front());
        listings.erase(listings.begin());
        store_result<store_listing> result;
        result.value = std::move(listing);
        done(result);
    }

    std::vector<callback<store_listing>> listings;
    std::optional<store_item> claimed;
};

// Guards against a new leader that steps down because of a listing that the store read before the
// election and that is answered after it.
TEST(leadership, listing_from_before_the_election_does_not_depose_the_leader)
{
    virtual_timers timers;
    slow_reading_store store;
    leadership_settings settings;
    settings.node = "a";
    settings.address = {"127.0.0.1", 1};
    settings.candidacy_delay = 100ms;
    leadership election(timers, store, settings,
                        {[](const leader_record&) {}, [](const std::string&) {}, [] {}});
    election.start();
    store.answer_listing({{}, claim_revision - 1});
    timers.run_for(50ms);
    election.refresh();
    timers.run_for(100ms);
    ASSERT_TRUE(election.holds_lease());
    store.answer_listing({{}, claim_revision - 1});
    EXPECT_TRUE(election.holds_lease());
    timers.run_for(300ms);
    store.answer_listing({{*store.claimed}, claim_revision});
    EXPECT_TRUE(election.holds_lease());
}

// Guards against a leader that stays although its key has been removed since the election.
TEST(leadership, listing_from_after_the_election_without_its_key_deposes_the_leader)
{
    virtual_timers timers;
    slow_reading_store store;
    leadership_settings settings;
    settings.node = "a";
    settings.address = {"127.0.0.1", 1};
    leadership election(timers, store, settings,
                        {[](const leader_record&) {}, [](const std::string&) {}, [] {}});
    election.start();
    store.answer_listing({{}, claim_revision - 1});
    timers.run_for(10ms);
    ASSERT_TRUE(election.holds_lease());
    election.refresh();
    timers.run_for(10ms);
    store.answer_listing({{}, claim_revision + 1});
    EXPECT_FALSE(election.holds_lease());
}

} // namespace
} // namespace jl::jobs
