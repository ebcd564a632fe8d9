#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "objects/diff.h"
#include "objects/objects.h"
#include "store/key_value_store.h"

namespace jl::operators {

enum class configuration_error_code {
    invalid,             // the document was refused as a whole; see `faults`
    forbidden,           // the author may not change some of the objects; see `faults`
    generation_conflict, // another operator published first; see `changes`
    not_found,           // no such generation
    unavailable,         // the store did not answer; nothing was published
    outcome_unknown,     // the store did not say whether the write took effect
};

struct configuration_error {
    configuration_error_code code = configuration_error_code::unavailable;
    std::string message;
    std::vector<objects::object_error> faults;
    // After a conflict: the generation in the store, and what it changed since the expected one.
    std::int64_t generation = 0;
    std::string author;
    std::vector<objects::object_change> changes;
};

struct publish_request {
    std::string document;
    std::string author;
    std::int64_t expected_generation = 0; // 0: nothing has been published yet
    // Unique for each publish. A repeated publish with the same id takes effect once.
    std::string write_id;
};

struct publish_result {
    std::int64_t generation = 0;
    std::vector<objects::object_change> changes;
};

// Tells whether the author may change an object, given the team that owns it.
using change_permission =
    std::function<bool(const std::string& object, const std::string& owner_team)>;

struct configuration_options {
    // Generations kept in the history; older entries are removed as new ones are published.
    std::int64_t history_kept = 2000;
    std::chrono::milliseconds call_timeout{1000};
    // Attempts to find out whether a write with a lost answer took effect, and the pause between
    // two of them.
    int resolve_attempts = 5;
    std::chrono::milliseconds resolve_pause{100};
};

// Checks and publishes the configuration, one document that is replaced as a whole.
//
//   configuration_service service(store, clock, {});
//   auto result = service.publish({document, "ann", 7, new_id()}, may_change);
//   if (!result) { service.last_error().code ... }
//
// Holds no state. Thread-safe; last_error() is that of the calling thread.
class configuration_service {
public:
    configuration_service(store::key_value_store& store, const clock_source& clock,
                          configuration_options options);

    // The configuration in the store; generation 0 if nothing has been published.
    std::optional<objects::published_configuration> current();
    std::optional<objects::published_configuration> generation(std::int64_t number);
    // The latest generations, newest first.
    std::optional<std::vector<objects::published_configuration>> history(std::int64_t limit);
    // Checks the whole document and returns what it would change.
    std::optional<std::vector<objects::object_change>> check(const std::string& document);
    // Publishes in one transaction: the generation is compared, and the history entry is written
    // with the document. A transaction whose answer was lost is resolved by its write id.
    std::optional<publish_result> publish(const publish_request& request,
                                          const change_permission& may_change);

    static const configuration_error& last_error();

private:
    struct stored_configuration {
        objects::published_configuration value;
        std::int64_t mod_revision = 0;
    };

    std::optional<stored_configuration> read_current();
    std::optional<objects::published_configuration> read_key(const std::string& key);
    std::nullopt_t fail_conflict(const publish_request& request,
                                 const objects::published_configuration& current);
    // What a generation changed compared with the one before it.
    std::vector<objects::object_change>
    changes_of(const objects::published_configuration& published);
    std::optional<publish_result> commit(const publish_request& request,
                                         const stored_configuration& current,
                                         std::vector<objects::object_change> changes);
    store::transaction make_transaction(const objects::published_configuration& next,
                                        const stored_configuration& current) const;
    steady_time call_deadline() const;

    store::key_value_store& store_;
    const clock_source& clock_;
    const configuration_options options_;
};

const char* to_text(configuration_error_code code);

} // namespace jl::operators
