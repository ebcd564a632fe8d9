#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "objects/objects.h"
#include "records/records.h"

namespace jl::requests {

enum class request_class { urgent, normal, deferred };

const char* to_text(request_class value);
std::optional<request_class> parse_request_class(std::string_view text);

// One request of a caller. `configuration` is the snapshot in force when the call was created. It
// applies until the call ends, even if the configuration changes in the meantime.
struct call {
    std::string id;
    std::string service;
    std::string team;
    request_class priority = request_class::normal;
    bool idempotent = false;
    // Whether the call, if idempotent, is repeated at another target after an attempt without an
    // answer.
    bool repeat_unanswered = true;
    std::string idempotency_key; // empty: none
    steady_time deadline;        // a deferred request expires if it has not started by then
    std::string content_type;
    std::string body;
    objects::object_set_ptr configuration;
};

// How a request ended. `not_run` guarantees that no byte of the request was sent to a target;
// `unknown` means that a target may have executed it.
enum class outcome { answered, accepted, not_run, unknown };

const char* to_text(outcome value);

struct call_result {
    outcome result = outcome::not_run;
    int status = 503;
    std::string content_type;
    std::string body;
    // Set for results other than `answered`.
    std::string error_code;
    std::string error_message;
    std::string error_field;
    std::chrono::milliseconds retry_after{};
};

// Executes calls on targets. Implementations are thread-safe.
class call_engine {
public:
    virtual ~call_engine() = default;
    // Waits for a slot under the admission rules, sends the call to a target and returns the whole
    // answer. Blocks the calling thread until the call has ended or its deadline has passed.
    virtual call_result execute(const call& call) = 0;
    // True if a deferred request of the service could start now. Starts nothing itself. The owner
    // of a deferred queue checks this before it executes the next request.
    virtual bool has_room_for_deferred(const std::string& service) const = 0;
    // Number of requests assigned to the VM's target that it may still execute, including those
    // whose answer is no longer awaited.
    virtual int in_flight(const std::string& vm) const = 0;
};

// Requests whose state is kept in the store: calls with an idempotency key and deferred requests.
// Implementations are thread-safe.
class durable_requests {
public:
    virtual ~durable_requests() = default;
    // Executes a call with an idempotency key at most once, even if it arrives at several entries.
    virtual call_result execute_once(const call& call) = 0;
    // Stores a deferred request. Returns `accepted` only after the request is durable.
    virtual call_result accept_deferred(const call& call) = 0;
    // Reads the state of a request. If it returns nothing, `reason` is "not_found" (there is no
    // such request) or "unavailable" (the store is unreachable).
    virtual std::optional<records::request_record> find(const std::string& id,
                                                        std::string& reason) = 0;
    // Cancels those of the requests that have not started. Returns the ids of all given
    // requests that are cancelled now, including those that were cancelled before.
    virtual std::vector<std::string> cancel(const std::vector<std::string>& ids) = 0;
};

} // namespace jl::requests
