#include <gtest/gtest.h>

#include "operators/configuration_service.h"
#include "operators/test_support.h"
#include "records/records.h"

namespace jl::operators {
namespace {

using testing::fast_configuration;
using testing::losing_store;
using testing::make_document;
using testing::manual_clock;

bool allow_all(const std::string& /*object*/, const std::string& /*owner*/)
{
    return true;
}

class configuration : public ::testing::Test {
protected:
    std::optional<publish_result> publish(const std::string& document, std::int64_t expected,
                                          const std::string& write_id,
                                          const std::string& author = "ann")
    {
        return service.publish({document, author, expected, write_id}, allow_all);
    }

    manual_clock clock;
    losing_store store{clock};
    configuration_service service{store, clock, fast_configuration()};
};

// Guards against a generation without its history entry, and against skipped generations.
TEST_F(configuration, publishes_with_history)
{
    const auto first = publish(make_document(), 0, "w1");
    ASSERT_TRUE(first) << configuration_service::last_error().message;
    EXPECT_EQ(first->generation, 1);
    ASSERT_TRUE(publish(make_document(6), 1, "w2"));
    const auto current = service.current();
    ASSERT_TRUE(current);
    EXPECT_EQ(current->generation, 2);
    EXPECT_EQ(current->author, "ann");
    const auto history = service.history(10);
    ASSERT_TRUE(history);
    ASSERT_EQ(history->size(), 2U);
    EXPECT_EQ(history->front().document, current->document);
    EXPECT_EQ(history->back().write_id, "w1");
}

// Guards against publishing any part of a document with a fault.
TEST_F(configuration, refuses_an_invalid_document_as_a_whole)
{
    EXPECT_FALSE(publish(make_document(1), 0, "w1"));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::invalid);
    EXPECT_FALSE(configuration_service::last_error().faults.empty());
    EXPECT_EQ(service.current()->generation, 0);
}

// Guards against one operator overwriting another's change without having seen it.
TEST_F(configuration, tells_the_losing_operator_what_changed)
{
    ASSERT_TRUE(publish(make_document(), 0, "w1"));
    ASSERT_TRUE(publish(make_document(6), 1, "w2", "bob"));
    EXPECT_FALSE(publish(make_document(4, 2), 1, "w3"));
    const auto& error = configuration_service::last_error();
    EXPECT_EQ(error.code, configuration_error_code::generation_conflict);
    EXPECT_EQ(error.generation, 2);
    EXPECT_EQ(error.author, "bob");
    ASSERT_EQ(error.changes.size(), 1U);
    EXPECT_EQ(error.changes[0].object, "pool rounds");
    EXPECT_EQ(error.changes[0].fields[0].after, "6");
}

// Guards against reporting a published configuration as failed, and against publishing it twice.
TEST_F(configuration, resolves_lost_answers_by_the_write_id)
{
    store.lose_answers(1);
    const auto result = publish(make_document(), 0, "w1");
    ASSERT_TRUE(result) << configuration_service::last_error().message;
    EXPECT_EQ(service.current()->generation, 1);

    store.drop_requests(2);
    ASSERT_TRUE(publish(make_document(6), 1, "w2"));
    EXPECT_EQ(service.current()->generation, 2);
}

// Guards against claiming success or failure while the outcome is open. Repeating the publish with
// the same write id settles it.
TEST_F(configuration, reports_an_open_outcome_and_accepts_the_repetition)
{
    store.drop_requests(100);
    EXPECT_FALSE(publish(make_document(), 0, "w1"));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::outcome_unknown);
    store.drop_requests(0);
    ASSERT_TRUE(publish(make_document(), 0, "w1"));
    const auto again = publish(make_document(), 0, "w1");
    ASSERT_TRUE(again);
    EXPECT_EQ(again->generation, 1);
    EXPECT_EQ(service.current()->generation, 1);
}

// Guards against reporting a publish as refused although an earlier attempt may have published it.
TEST_F(configuration, refusal_after_a_lost_answer_leaves_the_outcome_open)
{
    store.drop_requests(1);
    store.refuse_transactions = true;
    EXPECT_FALSE(publish(make_document(), 0, "w1"));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::outcome_unknown);
}

// Guards against taking another operator's generation for one's own after a lost request.
TEST_F(configuration, recognizes_a_lost_race_after_a_lost_request)
{
    ASSERT_TRUE(publish(make_document(), 0, "w1"));
    store.before_commit = [&] {
        configuration_service other(store.memory(), clock, fast_configuration());
        EXPECT_TRUE(other.publish({make_document(6), "bob", 1, "w2"}, allow_all));
    };
    store.drop_requests(1);
    EXPECT_FALSE(publish(make_document(8), 1, "w3"));
    const auto& error = configuration_service::last_error();
    EXPECT_EQ(error.code, configuration_error_code::generation_conflict);
    EXPECT_EQ(error.author, "bob");
}

// Guards against a publish that reports success while the store is down.
TEST_F(configuration, fails_while_the_store_is_down)
{
    store.memory().inject(standins::store_fault::unavailable);
    EXPECT_FALSE(publish(make_document(), 0, "w1"));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::unavailable);
    store.memory().inject(standins::store_fault::none);
    EXPECT_EQ(service.current()->generation, 0);
}

// Guards against one team changing, taking over or giving away the objects of another.
TEST_F(configuration, limits_teams_to_their_objects)
{
    ASSERT_TRUE(publish(make_document(), 0, "w1"));
    const auto only = [](const std::string& team) {
        return [team](const std::string&, const std::string& owner) { return owner == team; };
    };
    auto document = make_document();
    document.replace(document.find("\"owner\""), 0, "\"max_backlog\": 5, ");
    EXPECT_FALSE(service.publish({document, "bo", 1, "w2"}, only("booking")));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::forbidden);
    EXPECT_TRUE(service.publish({document, "sian", 1, "w3"}, only("planning")));

    document.replace(document.find(R"("owner": "planning")"), 19, R"("owner": "booking")");
    EXPECT_FALSE(service.publish({document, "bo", 2, "w4"}, only("booking")));
    EXPECT_FALSE(service.publish({document, "sian", 2, "w5"}, only("planning")));
}

// Guards against a history that grows without bound.
TEST_F(configuration, removes_old_generations)
{
    auto options = fast_configuration();
    options.history_kept = 3;
    configuration_service short_history(store, clock, options);
    for (int generation = 0; generation < 5; ++generation) {
        ASSERT_TRUE(short_history.publish(
            {make_document(4 + generation), "ann", generation, "w" + std::to_string(generation)},
            allow_all));
    }
    EXPECT_TRUE(short_history.generation(3));
    EXPECT_FALSE(short_history.generation(2));
    EXPECT_EQ(configuration_service::last_error().code, configuration_error_code::not_found);
}

} // namespace
} // namespace jl::operators
