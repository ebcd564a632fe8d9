#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/record_writer.h"
#include "jobs/testing/virtual_timers.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;
using testing::virtual_timers;

constexpr const char* leader_key = "leader";
constexpr const char* record_key = "record";
constexpr std::int64_t leader_revision = 7;

// The writer calls commit() only.
class commit_store : public store_port {
public:
    void get(const std::string&, callback<store_item>) override {}
    void list(const std::string&, callback<store_listing>) override {}
    void watch(const std::string&, std::int64_t, milliseconds, callback<store_listing>) override {}
    void grant_lease(milliseconds, callback<store_lease>) override {}
    void renew_lease(std::int64_t, callback<milliseconds>) override {}
    void end_lease(std::int64_t, std::function<void()>) override {}
};

// Answers each commit after a while and notes how many bytes it was sent at which time.
class counting_store final : public commit_store {
public:
    explicit counting_store(virtual_timers& timers) : timers_(timers) {}

    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        for (const auto& write : transaction.writes) {
            bytes_sent[timers_.now()] += write.value.size();
        }
        timers_.call_after(2ms, [this, done = std::move(done)] {
            store_result<commit_outcome> result;
            result.value.emplace();
            result.value->committed = true;
            result.value->revision = ++revision_;
            done(result);
        });
    }

    std::map<net::boot_time, std::size_t> bytes_sent;

private:
    virtual_timers& timers_;
    std::int64_t revision_ = 0;
};

// A store with one record. The test decides which commits are answered.
class lossy_store final : public commit_store {
public:
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        ++commits;
        store_result<commit_outcome> result;
        if (delay_commits > 0) {
            --delay_commits;
            delayed.push_back(transaction);
            result.error = store_error::outcome_unknown;
            done(result);
            return;
        }
        const bool refused = refuse_commits > 0;
        refuse_commits -= refused ? 1 : 0;
        result.value.emplace();
        result.value->committed = !refused && execute(transaction);
        if (result.value->committed) {
            result.value->revision = item.revision;
            if (lose_answers > 0) {
                --lose_answers;
                result.value.reset();
                result.error = store_error::outcome_unknown;
            }
        }
        else {
            result.value->current = {{leader_key, "", leader_revision}, item};
        }
        done(result);
    }

    int commits = 0;
    int lose_answers = 0;   // of the next commits, which are executed
    int delay_commits = 0;  // the next commits get no answer and wait in `delayed`
    int refuse_commits = 0; // the next commits fail because of another record
    std::vector<store_transaction> delayed;
    store_item item{record_key, "", 0};

    bool execute(const store_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            if (condition.key == record_key && condition.revision != item.revision) {
                return false;
            }
        }
        item.value = transaction.writes.front().value;
        ++item.revision;
        return true;
    }
};

class record_writer_test : public ::testing::Test {
protected:
    record_writer_test()
    {
        record_writer::callbacks callbacks;
        callbacks.encode = [this](const std::string&) {
            return record_writer::record{content.value_or("content " + std::to_string(version)),
                                         version, false};
        };
        callbacks.durable = [this](const std::string&, std::int64_t stored) {
            durable_version = stored;
        };
        callbacks.batch_done = [] {};
        callbacks.write_failed = [](store_error) {};
        callbacks.fenced = [this] { fenced = true; };
        writer.emplace(timers, store, store_condition{leader_key, leader_revision},
                       std::move(callbacks));
    }

    void write_version(std::int64_t next)
    {
        version = next;
        writer->mark_dirty(record_key);
    }

    virtual_timers timers;
    lossy_store store;
    std::int64_t version = 0;
    std::optional<std::string> content; // of each version from now on
    std::int64_t durable_version = 0;
    bool fenced = false;
    std::optional<record_writer> writer;
};

// Load pattern: three writes in ten are done and not answered. Guards against a record that is
// written anew after the refusal that shows it to be stored: that write may be lost again, and the
// caller waits.
TEST_F(record_writer_test, refused_repetition_shows_that_the_write_was_executed)
{
    store.lose_answers = 1;
    write_version(1);
    timers.run_for(100ms);
    EXPECT_EQ(durable_version, 1);
    EXPECT_EQ(store.commits, 2);
    EXPECT_TRUE(writer->all_written());
    EXPECT_FALSE(writer->writes_failing());
    EXPECT_FALSE(fenced);
}

// Guards against taking a later version for stored because an earlier one is.
TEST_F(record_writer_test, version_after_an_unanswered_write_is_written)
{
    store.lose_answers = 1;
    write_version(1);
    timers.run_for(1ms);
    write_version(2);
    timers.run_for(100ms);
    EXPECT_EQ(durable_version, 2);
    EXPECT_EQ(store.item.value, "content 2");
    EXPECT_EQ(store.commits, 3);
    EXPECT_TRUE(writer->all_written());
}

// Guards against a foreign change of the record that is taken for the unanswered write.
TEST_F(record_writer_test, other_content_in_the_store_is_replaced)
{
    store.lose_answers = 1;
    write_version(1);
    timers.run_for(1ms);
    store.item.value = "other content";
    ++store.item.revision;
    timers.run_for(100ms);
    EXPECT_EQ(durable_version, 1);
    EXPECT_EQ(store.item.value, "content 1");
}

// Guards against a write that is executed late and replaces content that was reported durable: that
// content equals the one before the write, so the store held it without having executed anything.
TEST_F(record_writer_test, unchanged_record_is_not_taken_for_an_executed_write)
{
    store.item = {record_key, "content 1", 5};
    writer->set_revision(record_key, 5);
    store.delay_commits = 2;
    write_version(2);
    timers.run_for(1ms);
    content = "content 1";
    write_version(3);
    store.refuse_commits = 1;
    timers.run_for(100ms);
    ASSERT_EQ(store.delayed.size(), 2U);
    EXPECT_EQ(durable_version, 3);
    for (const auto& late : store.delayed) {
        store.execute(late);
    }
    EXPECT_EQ(store.item.value, "content 1");
}

// Load pattern: jobs with large records change all the time. Guards against an event loop that does
// nothing but encode them, and against other records that never get their turn.
TEST(paced_record_writer, large_records_are_written_in_parts_and_delay_no_other)
{
    constexpr int large_records = 40;
    constexpr std::size_t large_size = 50000;
    virtual_timers timers;
    counting_store store(timers);
    std::optional<record_writer> writer;
    net::boot_time small_record_stored{};
    record_writer::callbacks callbacks;
    callbacks.encode = [](const std::string& key) {
        return record_writer::record{std::string(key == "z" ? 100 : large_size, 'x'), 1, false};
    };
    callbacks.durable = [&](const std::string& key, std::int64_t) {
        if (key == "z") {
            small_record_stored = timers.now();
        }
        else {
            writer->mark_dirty(key); // it has changed again
        }
    };
    callbacks.batch_done = [] {};
    callbacks.write_failed = [](store_error) {};
    callbacks.fenced = [] {};
    writer.emplace(timers, store, store_condition{leader_key, leader_revision},
                   std::move(callbacks));
    for (int record = 0; record < large_records; ++record) {
        writer->mark_dirty("a" + std::to_string(record));
    }
    const auto start = timers.now();
    timers.run_for(1s);
    writer->mark_dirty("z");
    timers.run_for(1s);
    std::size_t total = 0;
    for (const auto& [at, bytes] : store.bytes_sent) {
        EXPECT_LE(bytes, (128U << 10U) + large_size);
        total += bytes;
    }
    EXPECT_LE(total, 2 * 8U << 20U);
    EXPECT_GT(total, 4U << 20U);
    ASSERT_NE(small_record_stored, net::boot_time{});
    EXPECT_LT(small_record_stored - start, 1600ms);
}

} // namespace
} // namespace jl::jobs
