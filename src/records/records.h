#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Value types, keys and JSON form of the records below /jl/ in the platform's key-value service.
// Every record carries a write id, unique for each write, so that a write whose response was lost
// can be recognized by reading back.
namespace jl::records {

inline constexpr const char* configuration_key = "/jl/config/current";
inline constexpr const char* configuration_history_prefix = "/jl/config/history/";
// Entry processes that have started and may still have work at a target, with or without a lease.
// A process removes its key at a graceful stop; the planner removes that of a process that is
// provably silent.
inline constexpr const char* entries_prefix = "/jl/entries/";
inline constexpr const char* members_prefix = "/jl/members/";
inline constexpr const char* owners_prefix = "/jl/owners/";
inline constexpr const char* vms_prefix = "/jl/vms/";
inline constexpr const char* waves_prefix = "/jl/waves/";
inline constexpr const char* requests_prefix = "/jl/requests/";
inline constexpr const char* deferred_prefix = "/jl/deferred/";
inline constexpr const char* tasks_prefix = "/jl/tasks/";
inline constexpr const char* operator_drains_prefix = "/jl/operator_drains/";
inline constexpr const char* operator_actions_prefix = "/jl/operator_actions/";

// Key of a published generation, zero-padded so that keys sort by generation.
std::string configuration_history_key(std::int64_t generation);

struct member_record {
    std::string member;
    std::int64_t incarnation = 0; // start time in ms since the Unix epoch
    std::string data_centre;
    std::string caller_address;
    std::string peer_address;
};

enum class vm_phase { in_service, preparing, leaving, rebooting, returning };

struct vm_record {
    std::string vm;
    std::string pool;
    vm_phase phase = vm_phase::in_service;
    std::string operation_id; // of the current drain, reboot or move
    std::string reason;       // "wave <name>", "move <pool>" or "operator <name>"
    std::string move_to_pool; // set while a move is in progress
    std::string data_centre;  // kept for VMs that are missing from the VM list
    std::string rack;
    std::chrono::milliseconds phase_since{};   // since the Unix epoch
    std::chrono::milliseconds maintained_at{}; // end of the last maintenance
    std::int64_t boot_id = 0;                  // of the VM when its reboot was granted
    std::string write_id;
};

enum class request_state { queued, running, answered, unknown, cancelled, expired };

// State of a request with an id: a keyed call, or a deferred request.
struct request_record {
    std::string id;
    std::string service;
    std::string team;
    std::string request_class;
    request_state state = request_state::queued;
    bool idempotent = false;
    std::uint64_t body_hash = 0;
    std::string holder;                      // entry that dispatches it
    std::chrono::milliseconds accepted_at{}; // since the Unix epoch
    std::chrono::milliseconds expires_at{};  // not started after this time; 0: never expires
    std::string body;                        // deferred requests only, until started or answered
    std::string content_type;                // of the body
    int unanswered_attempts = 0;             // of an idempotent deferred request
    int answer_status = 0;
    std::string answer_content_type;
    std::string answer;
    std::string write_id;
};

enum class wave_state { running, paused, cancelled };

// An operator's decision about a maintenance wave. A wave without a record is running.
struct wave_record {
    std::string wave;
    wave_state state = wave_state::running;
    std::string changed_by;
    std::chrono::milliseconds changed_at{}; // since the Unix epoch
    std::string write_id;
};

// An operator's request to drain and reboot a VM, removed by the operator to withdraw it.
struct operator_drain_record {
    std::string vm;
    std::string requested_by;
    std::chrono::milliseconds requested_at{}; // since the Unix epoch
    std::string write_id;
};

// What an operator did besides publishing configurations. Never changed.
struct operator_action_record {
    std::string operator_name;
    std::string action;             // "pause", "drain", ...
    std::string subject;            // "wave monthly", "vm vm-1"
    std::chrono::milliseconds at{}; // since the Unix epoch
    std::string write_id;
};

// Key of an action, zero-padded so that keys sort by time.
std::string operator_action_key(const operator_action_record& record);

const char* to_text(wave_state state);
std::optional<wave_state> parse_wave_state(std::string_view text);
std::string to_json(const wave_record& record);
std::string to_json(const operator_drain_record& record);
std::string to_json(const operator_action_record& record);
std::optional<wave_record> parse_wave(std::string_view json);
std::optional<operator_drain_record> parse_operator_drain(std::string_view json);
std::optional<operator_action_record> parse_operator_action(std::string_view json);

const char* to_text(vm_phase phase);
const char* to_text(request_state state);
std::optional<vm_phase> parse_vm_phase(std::string_view text);
std::optional<request_state> parse_request_state(std::string_view text);

// Name of one process of an entry: "<member>/<incarnation>". It follows entries_prefix in its key.
std::string process_name(const member_record& record);

std::string to_json(const member_record& record);
std::string to_json(const vm_record& record);
std::string to_json(const request_record& record);

// Return nothing if the text is not such a record.
std::optional<member_record> parse_member(std::string_view json);
std::optional<vm_record> parse_vm(std::string_view json);
std::optional<request_record> parse_request(std::string_view json);

} // namespace jl::records
