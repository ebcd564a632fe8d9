#include "peers/messages.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace jl::peers {

namespace {

using nlohmann::json;

json to_json(const hello& message)
{
    return {{"t", "hello"},
            {"v", message.version},
            {"m", message.member},
            {"i", message.incarnation},
            {"g", message.generation}};
}

json to_json(const ping& message)
{
    return {{"t", "ping"}, {"s", message.sequence}};
}

json to_json(const pong& message)
{
    return {{"t", "pong"}, {"s", message.sequence}};
}

json to_json(const queue_notice& message)
{
    return {{"t", "queue"}, {"n", message.service}};
}

json to_json(const configuration_push& message)
{
    return {{"t", "config"}, {"g", message.generation}, {"p", message.published}};
}

message read(const json& value)
{
    const auto type = value.at("t").get<std::string>();
    if (type == "hello") {
        return hello{value.at("v").get<int>(), value.at("m").get<std::string>(),
                     value.at("i").get<std::int64_t>(), value.at("g").get<std::int64_t>()};
    }
    if (type == "ping") {
        return ping{value.at("s").get<std::uint64_t>()};
    }
    if (type == "pong") {
        return pong{value.at("s").get<std::uint64_t>()};
    }
    if (type == "queue") {
        return queue_notice{value.at("n").get<std::string>()};
    }
    if (type == "config") {
        return configuration_push{value.at("g").get<std::int64_t>(),
                                  value.at("p").get<std::string>()};
    }
    throw std::invalid_argument("unknown message type");
}

} // namespace

std::string encode(const message& message)
{
    const json value = std::visit([](const auto& typed) { return to_json(typed); }, message);
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<message> decode(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes) {
        return std::nullopt;
    }
    const json value = json::from_cbor(bytes, true, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        return read(value);
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace jl::peers
