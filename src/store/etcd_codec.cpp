#include "store/etcd_codec.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

namespace jl::store::internal {

namespace {

using nlohmann::json;

// nlohmann::json takes any value for an empty or a one-element container, which would turn a
// malformed answer into an empty one.
void require_object(const json& value)
{
    if (!value.is_object()) {
        throw std::invalid_argument("expected an object");
    }
}

// The elements of a list that may be left out when it is empty.
const json& list_field(const json& object, const char* key)
{
    static const json empty = json::array();
    require_object(object);
    const auto found = object.find(key);
    if (found == object.end()) {
        return empty;
    }
    if (!found->is_array()) {
        throw std::invalid_argument(std::string(key) + " is not a list");
    }
    return *found;
}

std::string bytes_field(const json& object, const char* key)
{
    require_object(object);
    const auto found = object.find(key);
    if (found == object.end()) {
        return "";
    }
    auto bytes = decode_base64(found->get<std::string>());
    if (!bytes) {
        throw std::invalid_argument(std::string(key) + " is not base64");
    }
    return std::move(*bytes);
}

json encode(const compare& compare)
{
    const bool by_create = compare.compared == compare::field::create_revision;
    return {{"key", encode_base64(compare.key)},
            {"result", "EQUAL"},
            {"target", by_create ? "CREATE" : "MOD"},
            {by_create ? "create_revision" : "mod_revision", std::to_string(compare.revision)}};
}

json encode(const operation& operation)
{
    json body = {{"key", encode_base64(operation.key)}};
    if (!operation.range_end.empty()) {
        body["range_end"] = encode_base64(operation.range_end);
    }
    switch (operation.type) {
    case operation::kind::put:
        body["value"] = encode_base64(operation.value);
        if (operation.lease != 0) {
            body["lease"] = std::to_string(operation.lease);
        }
        return {{"request_put", body}};
    case operation::kind::remove:
        return {{"request_delete_range", body}};
    case operation::kind::range:
        break;
    }
    return {{"request_range", body}};
}

json encode(const std::vector<operation>& operations)
{
    json list = json::array();
    for (const auto& operation : operations) {
        list.push_back(encode(operation));
    }
    return list;
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::ostringstream output;
    Poco::Base64Encoder encoder(output);
    encoder.rdbuf()->setLineLength(0);
    encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return output.str();
}

std::optional<std::string> decode_base64(std::string_view text)
{
    try {
        std::istringstream input{std::string(text)};
        Poco::Base64Decoder decoder(input);
        return std::string(std::istreambuf_iterator<char>(decoder), {});
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

json encode(const range_request& request)
{
    json body = {{"key", encode_base64(request.key)}};
    if (!request.range_end.empty()) {
        body["range_end"] = encode_base64(request.range_end);
    }
    if (request.limit > 0) {
        body["limit"] = std::to_string(request.limit);
    }
    return body;
}

json encode(const transaction& transaction)
{
    json compares = json::array();
    for (const auto& compare : transaction.compares) {
        compares.push_back(encode(compare));
    }
    return {{"compare", compares},
            {"success", encode(transaction.on_success)},
            {"failure", encode(transaction.on_failure)}};
}

std::int64_t decode_integer(const json& object, const char* key)
{
    require_object(object);
    const auto found = object.find(key);
    if (found == object.end()) {
        return 0; // the gateway leaves out zero values
    }
    if (!found->is_string()) {
        return found->get<std::int64_t>();
    }
    const auto text = found->get<std::string>();
    std::size_t used = 0;
    const auto value = std::stoll(text, &used);
    if (used != text.size()) {
        throw std::invalid_argument(std::string(key) + " is not an integer");
    }
    return value;
}

std::int64_t decode_revision(const json& object)
{
    const auto revision = decode_integer(object.at("header"), "revision");
    if (revision <= 0) {
        throw std::invalid_argument("the answer has no revision");
    }
    return revision;
}

key_value decode_key_value(const json& object)
{
    key_value item;
    item.key = bytes_field(object, "key");
    item.value = bytes_field(object, "value");
    item.create_revision = decode_integer(object, "create_revision");
    item.mod_revision = decode_integer(object, "mod_revision");
    item.lease = decode_integer(object, "lease");
    return item;
}

range_result decode_range(const json& object)
{
    range_result result;
    if (object.contains("header")) {
        result.revision = decode_integer(object["header"], "revision");
    }
    for (const auto& item : list_field(object, "kvs")) {
        result.items.push_back(decode_key_value(item));
    }
    result.more = object.value("more", false);
    const auto read = static_cast<std::int64_t>(result.items.size());
    result.count = std::max(decode_integer(object, "count"), read);
    return result;
}

transaction_result decode_transaction(const json& object)
{
    transaction_result result;
    result.revision = decode_revision(object);
    result.succeeded = object.value("succeeded", false);
    for (const auto& response : list_field(object, "responses")) {
        if (response.contains("response_range")) {
            result.ranges.push_back(decode_range(response["response_range"]));
        }
    }
    return result;
}

std::vector<watch_event> decode_events(const json& watch_result)
{
    std::vector<watch_event> events;
    for (const auto& event : list_field(watch_result, "events")) {
        const bool removed = event.value("type", "PUT") == "DELETE";
        events.push_back({removed ? watch_event::kind::remove : watch_event::kind::put,
                          decode_key_value(event.at("kv"))});
    }
    return events;
}

} // namespace jl::store::internal
