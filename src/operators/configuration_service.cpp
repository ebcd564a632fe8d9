#include "operators/configuration_service.h"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "records/records.h"

namespace jl::operators {

namespace {

using objects::published_configuration;
using store::store_error_code;

// Values in the platform's key-value service are limited to 1 MB.
constexpr std::size_t max_value_bytes = 1U << 20U;

configuration_error& thread_error()
{
    thread_local configuration_error error;
    return error;
}

std::nullopt_t fail(configuration_error_code code, std::string message)
{
    thread_error() = {};
    thread_error().code = code;
    thread_error().message = std::move(message);
    return std::nullopt;
}

std::nullopt_t fail_faults(configuration_error_code code, std::string message,
                           std::vector<objects::object_error> faults)
{
    fail(code, std::move(message));
    thread_error().faults = std::move(faults);
    return std::nullopt;
}

std::nullopt_t fail_unavailable()
{
    return fail(configuration_error_code::unavailable,
                "the key-value service is unavailable: " + store::last_error().message);
}

std::string owner_of(const std::optional<objects::object_set>& set, const std::string& object)
{
    if (!set) {
        return "";
    }
    const auto found = set->owners.find(object);
    return found == set->owners.end() ? "" : found->second;
}

std::string describe_owner(const std::string& owner)
{
    return owner.empty() ? "may be changed by administrators only"
                         : "may be changed by team " + owner + " and administrators only";
}

// Lists the changes that the author may not make. The owner before and after the change both
// count, so that a team can neither take nor give away an object.
std::vector<objects::object_error>
find_forbidden(const std::vector<objects::object_change>& changes,
               const std::optional<objects::object_set>& before,
               const std::optional<objects::object_set>& after, const change_permission& may_change)
{
    std::vector<objects::object_error> faults;
    for (const auto& change : changes) {
        const auto old_owner = owner_of(before, change.object);
        const auto new_owner = owner_of(after, change.object);
        if (change.change != objects::change_kind::added && !may_change(change.object, old_owner)) {
            faults.push_back({change.object, "owner", describe_owner(old_owner)});
        }
        else if (change.change != objects::change_kind::removed &&
                 !may_change(change.object, new_owner)) {
            faults.push_back({change.object, "owner", describe_owner(new_owner)});
        }
    }
    return faults;
}

std::string compact(const std::string& document)
{
    return nlohmann::json::parse(document).dump();
}

} // namespace

configuration_service::configuration_service(store::key_value_store& store,
                                             const clock_source& clock,
                                             configuration_options options)
    : store_(store), clock_(clock), options_(options)
{
}

steady_time configuration_service::call_deadline() const
{
    return clock_.steady_now() + options_.call_timeout;
}

const configuration_error& configuration_service::last_error()
{
    return thread_error();
}

std::optional<configuration_service::stored_configuration> configuration_service::read_current()
{
    const auto result = store_.range({records::configuration_key, "", 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    if (result->items.empty()) {
        return stored_configuration{};
    }
    const auto& item = result->items.front();
    auto value = objects::parse_published(item.value);
    if (!value) {
        return fail(configuration_error_code::unavailable, std::string("the value of ") +
                                                               records::configuration_key +
                                                               " is not a published configuration");
    }
    return stored_configuration{std::move(*value), item.mod_revision};
}

std::optional<published_configuration> configuration_service::current()
{
    auto stored = read_current();
    if (!stored) {
        return std::nullopt;
    }
    return std::move(stored->value);
}

std::optional<published_configuration> configuration_service::read_key(const std::string& key)
{
    const auto result = store_.range({key, "", 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    if (result->items.empty()) {
        return fail(configuration_error_code::not_found, "no value at " + key);
    }
    auto value = objects::parse_published(result->items.front().value);
    if (!value) {
        return fail(configuration_error_code::not_found, "no published configuration at " + key);
    }
    return value;
}

std::optional<published_configuration> configuration_service::generation(std::int64_t number)
{
    auto value = read_key(records::configuration_history_key(number));
    if (!value && thread_error().code == configuration_error_code::not_found) {
        return fail(configuration_error_code::not_found,
                    "generation " + std::to_string(number) + " is not in the history");
    }
    return value;
}

std::optional<std::vector<published_configuration>>
configuration_service::history(std::int64_t limit)
{
    const auto newest = current();
    if (!newest) {
        return std::nullopt;
    }
    std::vector<published_configuration> entries;
    const auto oldest = std::max<std::int64_t>(1, newest->generation - limit + 1);
    if (newest->generation == 0) {
        return entries;
    }
    // The range is read by key, not by prefix, so that old entries are not transferred.
    const auto result =
        store_.range({records::configuration_history_key(oldest),
                      records::configuration_history_key(newest->generation + 1), limit},
                     call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    for (const auto& item : result->items) {
        if (auto entry = objects::parse_published(item.value)) {
            entries.push_back(std::move(*entry));
        }
    }
    std::reverse(entries.begin(), entries.end());
    return entries;
}

std::optional<std::vector<objects::object_change>>
configuration_service::check(const std::string& document)
{
    std::vector<objects::object_error> faults;
    if (!objects::parse_objects(document, faults)) {
        return fail_faults(configuration_error_code::invalid, "the document was refused",
                           std::move(faults));
    }
    const auto stored = read_current();
    if (!stored) {
        return std::nullopt;
    }
    return objects::diff_documents(stored->value.document, document);
}

std::nullopt_t configuration_service::fail_conflict(const publish_request& request,
                                                    const published_configuration& current)
{
    std::string base;
    if (request.expected_generation > 0) {
        if (const auto expected = generation(request.expected_generation)) {
            base = expected->document;
        }
    }
    fail(configuration_error_code::generation_conflict,
         "expected generation " + std::to_string(request.expected_generation) +
             ", but generation " + std::to_string(current.generation) + " was published by " +
             current.author);
    thread_error().generation = current.generation;
    thread_error().author = current.author;
    thread_error().changes = objects::diff_documents(base, current.document);
    return std::nullopt;
}

std::vector<objects::object_change>
configuration_service::changes_of(const published_configuration& published)
{
    const auto previous = generation(published.generation - 1);
    return objects::diff_documents(previous ? previous->document : "", published.document);
}

std::optional<publish_result> configuration_service::publish(const publish_request& request,
                                                             const change_permission& may_change)
{
    std::vector<objects::object_error> faults;
    const auto after = objects::parse_objects(request.document, faults);
    if (!after) {
        return fail_faults(configuration_error_code::invalid, "the document was refused",
                           std::move(faults));
    }
    const auto stored = read_current();
    if (!stored) {
        return std::nullopt;
    }
    if (stored->value.generation != request.expected_generation) {
        // A repeated publish whose first attempt took effect finds its own write id.
        const auto own = generation(request.expected_generation + 1);
        if (own && own->write_id == request.write_id &&
            own->document == compact(request.document)) {
            return publish_result{own->generation, changes_of(*own)};
        }
        return fail_conflict(request, stored->value);
    }
    auto changes = objects::diff_documents(stored->value.document, request.document);
    std::vector<objects::object_error> ignored;
    const auto before = stored->value.generation == 0
                            ? std::nullopt
                            : objects::parse_objects(stored->value.document, ignored);
    auto forbidden = find_forbidden(changes, before, after, may_change);
    if (!forbidden.empty()) {
        return fail_faults(configuration_error_code::forbidden,
                           "the operator may not make some of the changes", std::move(forbidden));
    }
    return commit(request, *stored, std::move(changes));
}

store::transaction
configuration_service::make_transaction(const published_configuration& next,
                                        const stored_configuration& current) const
{
    const auto value = objects::to_json(next);
    store::transaction transaction;
    // A revision of 0 is the condition that the key is absent.
    transaction.compares = {
        store::unchanged_since(records::configuration_key, current.mod_revision)};
    transaction.on_success = {
        store::put(records::configuration_key, value),
        store::put(records::configuration_history_key(next.generation), value)};
    if (next.generation > options_.history_kept) {
        transaction.on_success.push_back(store::remove(
            records::configuration_history_key(next.generation - options_.history_kept)));
    }
    return transaction;
}

std::optional<publish_result>
configuration_service::commit(const publish_request& request, const stored_configuration& current,
                              std::vector<objects::object_change> changes)
{
    published_configuration next;
    next.generation = current.value.generation + 1;
    next.author = request.author;
    next.published_at = to_unix(clock_.wall_now());
    next.write_id = request.write_id;
    next.document = compact(request.document);
    const auto transaction = make_transaction(next, current);
    if (transaction.on_success.front().value.size() > max_value_bytes) {
        return fail_faults(configuration_error_code::invalid, "the document is too large",
                           {{"document", "", "exceeds 1 MB in its stored form"}});
    }
    bool may_have_taken_effect = false;
    // The same transaction can be repeated: its compare lets it take effect at most once.
    for (int attempt = 1;; ++attempt) {
        const auto result = store_.commit(transaction, call_deadline());
        if (result && result->succeeded) {
            log_event(log_level::info, "configuration published",
                      {{"generation", std::to_string(next.generation)}, {"author", next.author}});
            return publish_result{next.generation, std::move(changes)};
        }
        if (result) {
            break; // another write came first, or an earlier attempt of this one
        }
        const auto& error = store::last_error();
        if (error.code == store_error_code::refused && !may_have_taken_effect) {
            return fail(configuration_error_code::unavailable,
                        "the key-value service refused the write: " + error.message);
        }
        may_have_taken_effect =
            may_have_taken_effect || error.code != store_error_code::unavailable;
        if (!may_have_taken_effect) {
            return fail_unavailable();
        }
        if (attempt >= options_.resolve_attempts) {
            return fail(configuration_error_code::outcome_unknown,
                        "the key-value service did not say whether generation " +
                            std::to_string(next.generation) +
                            " was published; repeat with write id " + request.write_id);
        }
        if (generation(next.generation)) {
            break; // the write id tells whose write it was
        }
        std::this_thread::sleep_for(options_.resolve_pause);
    }
    const auto written = generation(next.generation);
    if (written && written->write_id == request.write_id) {
        return publish_result{next.generation, std::move(changes)};
    }
    if (!written && may_have_taken_effect) {
        return fail(configuration_error_code::outcome_unknown,
                    "the outcome could not be read back; repeat with write id " + request.write_id);
    }
    const auto now_current = read_current();
    if (!now_current) {
        return std::nullopt;
    }
    return fail_conflict(request, now_current->value);
}

const char* to_text(configuration_error_code code)
{
    switch (code) {
    case configuration_error_code::invalid:
        return "invalid";
    case configuration_error_code::forbidden:
        return "forbidden";
    case configuration_error_code::generation_conflict:
        return "generation_conflict";
    case configuration_error_code::not_found:
        return "not_found";
    case configuration_error_code::unavailable:
        return "unavailable";
    case configuration_error_code::outcome_unknown:
        break;
    }
    return "outcome_unknown";
}

} // namespace jl::operators
