#include "callers/caller_api.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/ids.h"
#include "base/json.h"

namespace jl::callers {

namespace {

using nlohmann::json;
using requests::outcome;

// Maximum and default timeout of a deferred request. Equals the retention time of answers
// (docs/design.md, section 4).
constexpr std::chrono::hours max_deferred_timeout{24};

constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

// Error response to a request that is refused before any work starts for it.
struct refusal {
    int status = status_bad_request;
    std::string code;
    std::string message;
    std::string field;
};

http::response refuse(const refusal& reason)
{
    auto answer = http::error_response(reason.status, reason.code, reason.message, reason.field);
    answer.headers["Jl-Outcome"] = requests::to_text(outcome::not_run);
    return answer;
}

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> parts;
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        path.remove_prefix(1); // leading '/'
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

bool is_id_character(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.' || character == ':';
}

// Request ids are part of store keys and URL paths, so only characters that need no escaping there
// are accepted.
bool is_valid_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_request_id_bytes &&
           std::all_of(id.begin(), id.end(), is_id_character);
}

std::string valid_id_description()
{
    return "expected 1 to " + std::to_string(max_request_id_bytes) +
           " characters out of letters, digits and - _ . :";
}

std::string seconds_rounded_up(std::chrono::milliseconds time)
{
    return std::to_string(std::max<std::int64_t>((time.count() + 999) / 1000, 1));
}

// Parses the headers of one call. Parsing stops at the first invalid header.
class call_parser {
public:
    call_parser(const http::request& request, objects::object_set_ptr configuration, bool deferred)
        : request_(request), configuration_(std::move(configuration)), deferred_(deferred)
    {
    }

    std::optional<requests::call> read(const std::string& service_name, steady_time now)
    {
        const auto* service = configuration_->find_service(service_name);
        if (service == nullptr) {
            fail(status_not_found, "unknown_service", "no service has this name", "service");
            return std::nullopt;
        }
        requests::call call;
        call.service = service_name;
        if (!parse_team(call) || !parse_class(call) || !parse_idempotent(call) || !parse_id(call) ||
            !parse_timeout(call, *service, now)) {
            return std::nullopt;
        }
        call.content_type = http::find_header(request_.headers, "Content-Type").value_or("");
        call.body = request_.body;
        call.configuration = std::move(configuration_);
        return call;
    }

    const refusal& reason() const { return reason_; }

private:
    bool fail(int status, std::string code, std::string message, std::string field)
    {
        reason_ = {status, std::move(code), std::move(message), std::move(field)};
        return false;
    }

    bool parse_team(requests::call& call)
    {
        auto team = http::find_header(request_.headers, "Jl-Team");
        if (!team || team->empty()) {
            return fail(status_bad_request, "missing_header", "the header is required", "Jl-Team");
        }
        if (configuration_->find_team(*team) == nullptr) {
            return fail(status_bad_request, "unknown_team", "no team has this name", "Jl-Team");
        }
        call.team = std::move(*team);
        return true;
    }

    bool parse_class(requests::call& call)
    {
        const auto text = http::find_header(request_.headers, "Jl-Class");
        if (!text) {
            call.priority =
                deferred_ ? requests::request_class::deferred : requests::request_class::normal;
            return true;
        }
        const auto priority = requests::parse_request_class(*text);
        if (!priority) {
            return fail(status_bad_request, "invalid_header", "expected urgent, normal or deferred",
                        "Jl-Class");
        }
        call.priority = *priority;
        return true;
    }

    bool parse_idempotent(requests::call& call)
    {
        const auto text = http::find_header(request_.headers, "Jl-Idempotent").value_or("false");
        if (text != "true" && text != "false") {
            return fail(status_bad_request, "invalid_header", "expected true or false",
                        "Jl-Idempotent");
        }
        call.idempotent = text == "true";
        return true;
    }

    bool parse_id(requests::call& call)
    {
        const auto key = http::find_header(request_.headers, "Idempotency-Key");
        if (!key) {
            call.id = new_id();
            return true;
        }
        if (!is_valid_id(*key)) {
            return fail(status_bad_request, "invalid_id", valid_id_description(),
                        "Idempotency-Key");
        }
        call.idempotency_key = *key;
        call.id = *key;
        return true;
    }

    bool parse_timeout(requests::call& call, const objects::service& service, steady_time now)
    {
        const std::chrono::milliseconds longest_timeout =
            deferred_ ? std::chrono::milliseconds(max_deferred_timeout) : service.max_timeout;
        std::chrono::milliseconds timeout = deferred_ ? longest_timeout : service.default_timeout;
        if (const auto text = http::find_header(request_.headers, "Jl-Timeout-Ms")) {
            std::int64_t value = 0;
            const auto* end = text->data() + text->size();
            const auto parsed = std::from_chars(text->data(), end, value);
            if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
                value > longest_timeout.count()) {
                return fail(status_bad_request, "invalid_timeout",
                            "expected an integer in 1.." + std::to_string(longest_timeout.count()) +
                                " (milliseconds)",
                            "Jl-Timeout-Ms");
            }
            timeout = std::chrono::milliseconds(value);
        }
        call.deadline = now + timeout;
        return true;
    }

    const http::request& request_;
    objects::object_set_ptr configuration_;
    const bool deferred_;
    refusal reason_;
};

http::response to_response(const requests::call_result& result, const requests::call& call)
{
    http::response answer;
    if (result.result == outcome::answered) {
        answer.status = result.status;
        answer.body = result.body;
        if (!result.content_type.empty()) {
            answer.headers["Content-Type"] = result.content_type;
        }
    }
    else if (result.result == outcome::accepted) {
        answer =
            http::json_response(status_accepted, json{{"id", call.id}, {"state", "queued"}}.dump());
    }
    else {
        const int status = result.result == outcome::unknown ? status_timeout : result.status;
        answer = http::error_response(status, result.error_code, result.error_message,
                                      result.error_field);
        if (result.retry_after.count() > 0) {
            answer.headers["Retry-After"] = seconds_rounded_up(result.retry_after);
        }
        if (result.error_code == "queue_full" || result.error_code == "displaced") {
            // Each open connection occupies a server thread. Closing it makes the callers of an
            // overloading team wait for a new connection behind other callers.
            answer.headers["Connection"] = "close";
        }
    }
    answer.headers["Jl-Request-Id"] = call.id;
    answer.headers["Jl-Outcome"] = requests::to_text(result.result);
    answer.headers["Jl-Generation"] = std::to_string(call.configuration->generation);
    return answer;
}

class caller_api {
public:
    explicit caller_api(const caller_api_dependencies& parts) : dependencies_(parts) {}

    http::response handle(const http::request& request) const
    {
        const auto path = split_path(request.target);
        if (path.size() == 1) {
            return serve_monitoring_path(path[0]);
        }
        if (path.size() >= 2 && path[0] == "v1") {
            if (path[1] == "services" && path.size() == 4 &&
                (path[3] == "call" || path[3] == "deferred")) {
                return serve_call(request, path[2], path[3] == "deferred");
            }
            if (path[1] == "requests" && path.size() == 3) {
                return path[2] == "cancel" && request.method == "POST"
                           ? cancel_many(request)
                           : serve_request_record(request, path[2]);
            }
            if (path[1] == "requests" && path.size() == 4 && path[3] == "answer") {
                return serve_answer(request, path[2]);
            }
        }
        return http::error_response(status_not_found, "not_found", "no resource has this path",
                                    "path");
    }

private:
    http::response serve_monitoring_path(const std::string& name) const
    {
        if (name == "healthz") {
            return http::json_response(200, R"({"status":"ok"})");
        }
        if (name == "readyz") {
            if (!dependencies_.state.configuration()) {
                return http::error_response(status_unavailable, "no_configuration",
                                            "no configuration has been read yet");
            }
            if (!dependencies_.state.may_send()) {
                return http::error_response(status_unavailable, "vm_view_old",
                                            "the VM view is too old to send to targets");
            }
            return http::json_response(200, R"({"status":"ready"})");
        }
        if (name == "metrics") {
            http::response answer;
            answer.headers["Content-Type"] = "text/plain; version=0.0.4";
            answer.body = dependencies_.metrics.to_text();
            return answer;
        }
        return http::error_response(status_not_found, "not_found", "no resource has this path",
                                    "path");
    }

    static http::response method_not_allowed(const char* allowed)
    {
        auto answer = http::error_response(status_method_not_allowed, "method_not_allowed",
                                           std::string("this path supports ") + allowed, "method");
        answer.headers["Allow"] = allowed;
        return answer;
    }

    http::response refuse_call(const refusal& reason) const
    {
        // The label is one of a fixed set of codes. Names sent by callers are not used as labels
        // because they would create an unbounded number of time series.
        dependencies_.metrics.count(
            "jl_caller_refusals_total",
            "Requests refused by the callers' API before admission, by code",
            {{"code", reason.code}});
        return refuse(reason);
    }

    http::response serve_call(const http::request& request, const std::string& service,
                              bool deferred) const
    {
        if (request.method != "POST") {
            return method_not_allowed("POST");
        }
        auto configuration = dependencies_.state.configuration();
        if (!configuration) {
            auto answer = refuse_call(
                {status_unavailable, "no_configuration", "no configuration has been read yet", ""});
            answer.headers["Retry-After"] = "1";
            return answer;
        }
        call_parser reader(request, std::move(configuration), deferred);
        const auto call = reader.read(service, dependencies_.clock.steady_now());
        if (!call) {
            return refuse_call(reader.reason());
        }
        if (deferred) {
            return to_response(dependencies_.durable.accept_deferred(*call), *call);
        }
        return to_response(call->idempotency_key.empty()
                               ? dependencies_.engine.execute(*call)
                               : dependencies_.durable.execute_once(*call),
                           *call);
    }

    // Returns the record of the request, or sets `failure` to the error response.
    std::optional<records::request_record> find(const std::string& id,
                                                http::response& failure) const
    {
        if (!is_valid_id(id)) {
            failure = http::error_response(status_bad_request, "invalid_id", valid_id_description(),
                                           "id");
            return std::nullopt;
        }
        std::string reason;
        auto record = dependencies_.durable.find(id, reason);
        if (!record) {
            failure =
                reason == "not_found"
                    ? http::error_response(status_not_found, "unknown_request",
                                           "no request with this id is recorded", "id")
                    : http::error_response(status_unavailable, "store_unavailable",
                                           "the state of the request cannot be read now; retry");
        }
        return record;
    }

    http::response serve_request_record(const http::request& request, const std::string& id) const
    {
        if (request.method == "DELETE") {
            return cancel_one(id);
        }
        if (request.method != "GET") {
            return method_not_allowed("GET, DELETE");
        }
        http::response failure;
        const auto record = find(id, failure);
        if (!record) {
            return failure;
        }
        return http::json_response(200, json{{"id", record->id},
                                             {"service", record->service},
                                             {"team", record->team},
                                             {"class", record->request_class},
                                             {"state", records::to_text(record->state)}}
                                            .dump());
    }

    http::response serve_answer(const http::request& request, const std::string& id) const
    {
        if (request.method != "GET") {
            return method_not_allowed("GET");
        }
        http::response failure;
        const auto record = find(id, failure);
        if (!record) {
            return failure;
        }
        if (record->state != records::request_state::answered) {
            return http::error_response(
                status_conflict, "not_answered",
                std::string("the request is ") + records::to_text(record->state), "id");
        }
        http::response answer;
        answer.status = record->answer_status;
        answer.body = record->answer;
        if (!record->answer_content_type.empty()) {
            answer.headers["Content-Type"] = record->answer_content_type;
        }
        answer.headers["Jl-Request-Id"] = id;
        answer.headers["Jl-Outcome"] = requests::to_text(outcome::answered);
        return answer;
    }

    http::response cancel_one(const std::string& id) const
    {
        if (!is_valid_id(id)) {
            return http::error_response(status_bad_request, "invalid_id", valid_id_description(),
                                        "id");
        }
        if (!dependencies_.durable.cancel({id}).empty()) {
            return http::json_response(200, json{{"cancelled", {id}}}.dump());
        }
        return http::error_response(status_conflict, "not_cancelled",
                                    "the request is not queued, or its state cannot be changed "
                                    "now",
                                    "id");
    }

    http::response cancel_many(const http::request& request) const
    {
        const auto document = parse_json(request.body);
        const auto list = document.is_object() ? document.find("ids") : document.end();
        if (!document.is_object() || list == document.end() || !list->is_array() ||
            list->size() > max_ids_per_cancellation) {
            return http::error_response(status_bad_request, "invalid_body",
                                        R"(expected {"ids": [...]} with at most )" +
                                            std::to_string(max_ids_per_cancellation) + " ids",
                                        "ids");
        }
        std::vector<std::string> ids;
        for (const auto& id : *list) {
            if (!id.is_string() || !is_valid_id(id.get_ref<const std::string&>())) {
                return http::error_response(status_bad_request, "invalid_id",
                                            valid_id_description(), "ids");
            }
            ids.push_back(id.get<std::string>());
        }
        const auto cancelled = dependencies_.durable.cancel(ids);
        const std::set<std::string> cancelled_ids(cancelled.begin(), cancelled.end());
        std::vector<std::string> not_cancelled;
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(not_cancelled),
                     [&](const std::string& id) { return cancelled_ids.count(id) == 0; });
        return http::json_response(
            200, json{{"cancelled", cancelled}, {"not_cancelled", not_cancelled}}.dump());
    }

    const caller_api_dependencies dependencies_;
};

} // namespace

http::handler make_caller_api(const caller_api_dependencies& parts)
{
    return [api = caller_api(parts)](const http::request& request) { return api.handle(request); };
}

} // namespace jl::callers
