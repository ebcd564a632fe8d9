#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "records/records.h"
#include "store/key_value_store.h"

namespace jl::operators {

enum class control_error_code {
    conflict,        // another operator changed the same record meanwhile
    unavailable,     // the store did not answer; nothing was changed
    outcome_unknown, // the store did not say whether the write took effect
};

struct control_error {
    control_error_code code = control_error_code::unavailable;
    std::string message;
};

struct control_options {
    std::chrono::milliseconds call_timeout{1000};
    int resolve_attempts = 5;
    std::chrono::milliseconds resolve_pause{100};
    // Actions stay readable for at least this long.
    std::chrono::hours action_retention{24 * 35};
};

// Operators' decisions about waves and VMs, stored as records that the planner reads. Each change
// is written in one transaction with an action record that tells who did what and when.
//
// A request that is repeated with the same write id takes effect once. Thread-safe; last_error() is
// that of the calling thread.
class control_service {
public:
    control_service(store::key_value_store& store, const clock_source& clock,
                    control_options options);

    std::optional<records::wave_record> set_wave(const std::string& wave, records::wave_state state,
                                                 const std::string& operator_name,
                                                 const std::string& write_id);
    std::optional<records::operator_drain_record> request_drain(const std::string& vm,
                                                                const std::string& operator_name,
                                                                const std::string& write_id);
    // Succeeds also if no drain was requested.
    bool withdraw_drain(const std::string& vm, const std::string& operator_name,
                        const std::string& write_id);

    std::optional<std::vector<records::wave_record>> waves();
    std::optional<std::vector<records::operator_drain_record>> drains();
    // The latest actions, newest first.
    std::optional<std::vector<records::operator_action_record>> actions(std::size_t limit);

    static const control_error& last_error();

private:
    struct change {
        std::string key;
        std::optional<std::string> value; // nothing: remove the key
        records::operator_action_record action;
        // Write id of a value at the key, to recognize a repeated request.
        std::string (*write_id_of)(const std::string& value);
    };

    bool write(const change& change);
    bool resolve(const store::transaction& transaction, const std::string& action_key,
                 const std::string& subject);
    std::optional<std::int64_t> action_lease();
    std::optional<bool> exists(const std::string& key);
    steady_time call_deadline() const;

    store::key_value_store& store_;
    const clock_source& clock_;
    const control_options options_;
    std::mutex mutex_;
    std::int64_t lease_ = 0; // of the action records; renewed by a new lease each day
    steady_time lease_granted_at_;
};

const char* to_text(control_error_code code);

} // namespace jl::operators
