#include "standins/etcd_gateway.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "store/etcd_codec.h"

namespace jl::standins {

namespace {

using nlohmann::json;
using store::internal::decode_base64;
using store::internal::decode_integer;
using store::internal::encode_base64;

constexpr std::chrono::seconds unused_limit{10};
// etcd sends progress notifications on idle watches; ours come often enough for short tests.
constexpr std::chrono::seconds progress_interval{5};

steady_time deadline()
{
    return std::chrono::steady_clock::now() + unused_limit;
}

std::string bytes(const json& object, const char* key)
{
    return object.contains(key)
               ? decode_base64(object[key].get<std::string>()).value_or(std::string())
               : std::string();
}

json encode(const store::key_value& item)
{
    return {{"key", encode_base64(item.key)},
            {"value", encode_base64(item.value)},
            {"create_revision", std::to_string(item.create_revision)},
            {"mod_revision", std::to_string(item.mod_revision)},
            {"lease", std::to_string(item.lease)}};
}

json header(std::int64_t revision)
{
    return {{"revision", std::to_string(revision)}};
}

json encode(const store::range_result& result)
{
    json items = json::array();
    for (const auto& item : result.items) {
        items.push_back(encode(item));
    }
    return {{"header", header(result.revision)},
            {"kvs", items},
            {"count", std::to_string(result.count)},
            {"more", result.more}};
}

store::range_request decode_range_request(const json& object)
{
    return {bytes(object, "key"), bytes(object, "range_end"), decode_integer(object, "limit")};
}

store::operation decode_operation(const json& object)
{
    store::operation operation;
    const json* body = nullptr;
    if (object.contains("request_put")) {
        operation.type = store::operation::kind::put;
        body = &object["request_put"];
        operation.value = bytes(*body, "value");
        operation.lease = decode_integer(*body, "lease");
    }
    else if (object.contains("request_delete_range")) {
        operation.type = store::operation::kind::remove;
        body = &object["request_delete_range"];
    }
    else {
        operation.type = store::operation::kind::range;
        body = &object.at("request_range");
    }
    operation.key = bytes(*body, "key");
    operation.range_end = bytes(*body, "range_end");
    return operation;
}

store::transaction decode_transaction(const json& object)
{
    store::transaction transaction;
    for (const auto& item : object.value("compare", json::array())) {
        const bool by_create = item.at("target") == "CREATE";
        transaction.compares.push_back(
            {by_create ? store::compare::field::create_revision
                       : store::compare::field::mod_revision,
             bytes(item, "key"),
             decode_integer(item, by_create ? "create_revision" : "mod_revision")});
    }
    for (const auto& item : object.value("success", json::array())) {
        transaction.on_success.push_back(decode_operation(item));
    }
    for (const auto& item : object.value("failure", json::array())) {
        transaction.on_failure.push_back(decode_operation(item));
    }
    return transaction;
}

http::response failure()
{
    const auto& error = store::last_error();
    const json body = {{"error", error.message}, {"message", error.message}, {"code", 14}};
    switch (error.code) {
    case store::store_error_code::lease_not_found:
        return http::json_response(404, body.dump());
    case store::store_error_code::unavailable:
        return http::json_response(503, body.dump());
    case store::store_error_code::outcome_unknown:
        return http::json_response(504, body.dump());
    case store::store_error_code::compacted:
    case store::store_error_code::refused:
    case store::store_error_code::malformed:
        break;
    }
    return http::json_response(400, body.dump());
}

http::response transact(memory_store& store, const json& body)
{
    const auto result = store.commit(decode_transaction(body), deadline());
    if (!result) {
        return failure();
    }
    json responses = json::array();
    for (const auto& range : result->ranges) {
        responses.push_back({{"response_range", encode(range)}});
    }
    return http::json_response(200, json{{"header", header(result->revision)},
                                         {"succeeded", result->succeeded},
                                         {"responses", responses}}
                                        .dump());
}

http::response range(memory_store& store, const json& body)
{
    const auto result = store.range(decode_range_request(body), deadline());
    return result ? http::json_response(200, encode(*result).dump()) : failure();
}

http::response grant(memory_store& store, const json& body)
{
    const auto ttl = std::chrono::seconds(decode_integer(body, "TTL"));
    const auto lease = store.grant_lease(ttl, deadline());
    if (!lease) {
        return failure();
    }
    return http::json_response(
        200, json{{"ID", std::to_string(*lease)}, {"TTL", std::to_string(ttl.count())}}.dump());
}

http::response keep_alive(memory_store& store, const json& body)
{
    const auto lease = decode_integer(body, "ID");
    const auto ttl = store.keep_alive(lease, deadline());
    if (!ttl && store::last_error().code != store::store_error_code::lease_not_found) {
        return failure();
    }
    // The gateway reports an expired lease as a TTL of zero.
    const json result = {{"ID", std::to_string(lease)},
                         {"TTL", std::to_string(ttl ? ttl->count() : 0)}};
    return http::json_response(200, json{{"result", result}}.dump());
}

http::response revoke(memory_store& store, const json& body)
{
    return store.revoke_lease(decode_integer(body, "ID"), deadline())
               ? http::json_response(200, "{}")
               : failure();
}

// Hands the events of a watch from the store's thread to the connection's thread.
class event_queue {
public:
    void push(const std::vector<store::watch_event>& events, std::int64_t revision)
    {
        json list = json::array();
        for (const auto& event : events) {
            const bool removed = event.type == store::watch_event::kind::remove;
            list.push_back({{"type", removed ? "DELETE" : "PUT"}, {"kv", encode(event.item)}});
        }
        const std::lock_guard lock(mutex_);
        messages_.push_back(
            json{{"result", {{"header", header(revision)}, {"events", list}}}}.dump());
        revision_ = revision;
        changed_.notify_all();
    }

    // Returns the next message, or nothing after `wait`.
    std::optional<std::string> pop(std::chrono::milliseconds wait)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [this] { return !messages_.empty(); });
        if (messages_.empty()) {
            return std::nullopt;
        }
        auto message = std::move(messages_.front());
        messages_.pop_front();
        return message;
    }

    std::string progress() const
    {
        const std::lock_guard lock(mutex_);
        return json{{"result", {{"header", header(revision_)}}}}.dump();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> messages_;
    std::int64_t revision_ = 0;
};

} // namespace

std::optional<http::response> etcd_gateway::handle(const http::request& request)
{
    using function = http::response (*)(memory_store&, const json&);
    static const std::map<std::string, function> functions = {{"/v3/kv/range", range},
                                                              {"/v3/kv/txn", transact},
                                                              {"/v3/lease/grant", grant},
                                                              {"/v3/lease/keepalive", keep_alive},
                                                              {"/v3/lease/revoke", revoke}};
    const auto found = functions.find(request.target);
    if (found == functions.end()) {
        return std::nullopt;
    }
    const auto delay = delay_.load();
    if (delay.count() > 0) {
        std::this_thread::sleep_for(delay);
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return http::error_response(400, "malformed", "the body is not a JSON object");
    }
    try {
        return found->second(store_, body);
    }
    catch (const std::exception& error) {
        return http::error_response(400, "malformed", error.what());
    }
}

bool etcd_gateway::handle_watch(const http::request& request,
                                const std::function<std::ostream&()>& start)
{
    if (request.target != "/v3/watch") {
        return false;
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("create_request")) {
        return false;
    }
    const auto& create = body["create_request"];
    event_queue events;
    const auto watch = store_.start_watch(
        bytes(create, "key"), bytes(create, "range_end"), decode_integer(create, "start_revision"),
        [&](const auto& list, std::int64_t revision) { events.push(list, revision); });
    if (!watch) {
        return false;
    }
    auto& stream = start();
    stream << json{{"result", {{"header", header(0)}, {"created", true}}}}.dump() << std::endl;
    auto last_sent = std::chrono::steady_clock::now();
    while (stream.good() && watch->active() && !stopping_) {
        const auto message = events.pop(std::chrono::milliseconds(200));
        const auto now = std::chrono::steady_clock::now();
        if (!message && now - last_sent < progress_interval) {
            continue;
        }
        stream << (message ? *message : events.progress()) << std::endl;
        last_sent = now;
    }
    return true;
}

} // namespace jl::standins
