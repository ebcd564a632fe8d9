#include "operators/control_service.h"

#include <algorithm>
#include <array>
#include <thread>

#include "base/log.h"

namespace jl::operators {

namespace {

using store::store_error_code;

constexpr std::chrono::hours lease_renewal{24};

control_error& thread_error()
{
    thread_local control_error error;
    return error;
}

std::nullopt_t fail(control_error_code code, std::string message)
{
    thread_error() = {code, std::move(message)};
    return std::nullopt;
}

std::nullopt_t fail_unavailable()
{
    return fail(control_error_code::unavailable,
                "the key-value service is unavailable: " + store::last_error().message);
}

std::string wave_write_id(const std::string& value)
{
    const auto record = records::parse_wave(value);
    return record ? record->write_id : "";
}

std::string drain_write_id(const std::string& value)
{
    const auto record = records::parse_operator_drain(value);
    return record ? record->write_id : "";
}

template <typename Record, typename Parser>
std::vector<Record> parse_all(const store::range_result& result, const std::string& prefix,
                              Parser parser, std::string Record::*name)
{
    std::vector<Record> parsed;
    for (const auto& item : result.items) {
        if (auto record = parser(item.value)) {
            record.value().*name = item.key.substr(prefix.size());
            parsed.push_back(std::move(*record));
        }
    }
    return parsed;
}

} // namespace

control_service::control_service(store::key_value_store& store, const clock_source& clock,
                                 control_options options)
    : store_(store), clock_(clock), options_(options)
{
}

const control_error& control_service::last_error()
{
    return thread_error();
}

steady_time control_service::call_deadline() const
{
    return clock_.steady_now() + options_.call_timeout;
}

std::optional<records::wave_record> control_service::set_wave(const std::string& wave,
                                                              records::wave_state state,
                                                              const std::string& operator_name,
                                                              const std::string& write_id)
{
    const auto now = to_unix(clock_.wall_now());
    const records::wave_record record{wave, state, operator_name, now, write_id};
    static constexpr std::array<const char*, 3> actions = {"resume", "pause", "cancel"};
    if (!write({records::waves_prefix + wave,
                records::to_json(record),
                {operator_name, actions.at(static_cast<std::size_t>(state)), "wave " + wave, now,
                 write_id},
                wave_write_id})) {
        return std::nullopt;
    }
    return record;
}

std::optional<records::operator_drain_record>
control_service::request_drain(const std::string& vm, const std::string& operator_name,
                               const std::string& write_id)
{
    const auto now = to_unix(clock_.wall_now());
    const records::operator_drain_record record{vm, operator_name, now, write_id};
    if (!write({records::operator_drains_prefix + vm,
                records::to_json(record),
                {operator_name, "drain", "vm " + vm, now, write_id},
                drain_write_id})) {
        return std::nullopt;
    }
    return record;
}

bool control_service::withdraw_drain(const std::string& vm, const std::string& operator_name,
                                     const std::string& write_id)
{
    const auto now = to_unix(clock_.wall_now());
    return write({records::operator_drains_prefix + vm,
                  std::nullopt,
                  {operator_name, "withdraw drain", "vm " + vm, now, write_id},
                  drain_write_id});
}

std::optional<std::int64_t> control_service::action_lease()
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.steady_now();
    if (lease_ != 0 && now - lease_granted_at_ < lease_renewal) {
        return lease_;
    }
    // Actions written just before the next renewal are kept for the full retention as well.
    const auto lease =
        store_.grant_lease(options_.action_retention + lease_renewal, call_deadline());
    if (!lease) {
        return fail_unavailable();
    }
    lease_ = *lease;
    lease_granted_at_ = now;
    return lease_;
}

std::optional<bool> control_service::exists(const std::string& key)
{
    const auto result = store_.range({key, "", 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    return !result->items.empty();
}

bool control_service::write(const change& change)
{
    const auto lease = action_lease();
    if (!lease) {
        return false;
    }
    const auto current = store_.range({change.key, "", 0}, call_deadline());
    if (!current) {
        fail_unavailable();
        return false;
    }
    const bool present = !current->items.empty();
    if (change.value
            ? present && change.write_id_of(current->items.front().value) == change.action.write_id
            : !present) {
        return true; // an earlier attempt took effect, or there is nothing to remove
    }
    const auto action_key = records::operator_action_key(change.action);
    store::transaction transaction;
    transaction.compares = {
        store::unchanged_since(change.key, present ? current->items.front().mod_revision : 0)};
    transaction.on_success = {change.value ? store::put(change.key, *change.value)
                                           : store::remove(change.key),
                              store::put(action_key, records::to_json(change.action), *lease)};
    if (!resolve(transaction, action_key, change.action.subject)) {
        return false;
    }
    log_event(log_level::info, "operator action",
              {{"operator", change.action.operator_name},
               {"action", change.action.action},
               {"subject", change.action.subject}});
    return true;
}

bool control_service::resolve(const store::transaction& transaction, const std::string& action_key,
                              const std::string& subject)
{
    bool may_have_taken_effect = false;
    // The compare lets the repeated transaction take effect at most once, and the action key, which
    // holds the write id, tells whether it did.
    for (int attempt = 0; attempt < options_.resolve_attempts; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(options_.resolve_pause);
        }
        const auto result = store_.commit(transaction, call_deadline());
        if (result && result->succeeded) {
            return true;
        }
        const auto code = store::last_error().code;
        if (!result && code == store_error_code::lease_not_found) {
            const std::lock_guard lock(mutex_);
            lease_ = 0;
        }
        if (!result &&
            (code == store_error_code::unavailable || code == store_error_code::lease_not_found) &&
            !may_have_taken_effect) {
            fail_unavailable();
            return false;
        }
        may_have_taken_effect = may_have_taken_effect || !result;
        const auto written = exists(action_key);
        if (written && *written) {
            return true;
        }
        if (result && written) {
            fail(control_error_code::conflict,
                 subject + " was changed by another operator at the same time; look again");
            return false;
        }
    }
    fail(control_error_code::outcome_unknown,
         "the key-value service did not say whether the change of " + subject + " took effect");
    return false;
}

std::optional<std::vector<records::wave_record>> control_service::waves()
{
    const std::string prefix = records::waves_prefix;
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    return parse_all(*result, prefix, records::parse_wave, &records::wave_record::wave);
}

std::optional<std::vector<records::operator_drain_record>> control_service::drains()
{
    const std::string prefix = records::operator_drains_prefix;
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    return parse_all(*result, prefix, records::parse_operator_drain,
                     &records::operator_drain_record::vm);
}

std::optional<std::vector<records::operator_action_record>>
control_service::actions(std::size_t limit)
{
    const std::string prefix = records::operator_actions_prefix;
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    if (!result) {
        return fail_unavailable();
    }
    std::vector<records::operator_action_record> actions;
    for (const auto& item : result->items) {
        if (auto action = records::parse_operator_action(item.value)) {
            actions.push_back(std::move(*action));
        }
    }
    std::reverse(actions.begin(), actions.end());
    actions.resize(std::min(actions.size(), limit));
    return actions;
}

const char* to_text(control_error_code code)
{
    switch (code) {
    case control_error_code::conflict:
        return "conflict";
    case control_error_code::unavailable:
        return "unavailable";
    case control_error_code::outcome_unknown:
        break;
    }
    return "outcome_unknown";
}

} // namespace jl::operators
