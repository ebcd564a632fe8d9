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

// One request of a caller. It keeps the configuration it started with until it ends.
struct call {
    std::string id;
    std::string service;
    std::string team;
    request_class priority = request_class::normal;
    bool idempotent = false;
    std::string idempotency_key; // empty: none
    steady_time deadline;        // a deferred request expires if it has not started by then
    std::string content_type;
    std::string body;
    objects::object_set_ptr configuration;
};

// What became of a request. `not_run` is used only if no byte of it was handed to the network
// towards a target.
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

// Executes calls: waits for a slot under the admission rules, sends to a target, returns the whole
// answer. Blocks the calling thread until the call has ended or its deadline has passed.
// Implementations are thread-safe.
class call_engine {
public:
    virtual ~call_engine() = default;
    virtual call_result execute(const call& call) = 0;
    // Starts at most one execution now if a slot is free for deferred work of the service;
    // otherwise returns at once with nothing. Used by the owner of a deferred queue.
    virtual bool has_room_for_deferred(const std::string& service) const = 0;
    // Requests handed to the VM's target whose answer is outstanding.
    virtual int in_flight(const std::string& vm) const = 0;
};

// Requests whose state lasts: calls with an idempotency key and deferred requests.
// Implementations are thread-safe.
class durable_requests {
public:
    virtual ~durable_requests() = default;
    // Executes a call with an idempotency key at most once, whichever entries it reaches.
    virtual call_result execute_once(const call& call) = 0;
    // Commits a deferred request; `accepted` only once it is durable.
    virtual call_result accept_deferred(const call& call) = 0;
    // Reads the state of a request. Nothing: no such request, or the store is unreachable; see
    // `reason`, which is "not_found" or "unavailable".
    virtual std::optional<records::request_record> find(const std::string& id,
                                                        std::string& reason) = 0;
    // Cancels requests that have not started; returns the ids that are cancelled now.
    virtual std::vector<std::string> cancel(const std::vector<std::string>& ids) = 0;
};

} // namespace jl::requests
