#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Messages between our own processes, encoded as CBOR.
namespace jl::peers {

inline constexpr int protocol_version = 1;
// A larger message closes the link before it is parsed. A configuration document has at most 1 MB.
inline constexpr std::size_t max_message_bytes = 2U << 20U;

struct hello {
    int version = protocol_version;
    std::string member;
    std::int64_t incarnation = 0;
    std::int64_t generation = 0;
};

struct ping {
    std::uint64_t sequence = 0;
};

struct pong {
    std::uint64_t sequence = 0;
};

// Requests were added to a deferred queue.
struct queue_notice {
    std::string service;
};

// A published configuration, in its stored form.
struct configuration_push {
    std::int64_t generation = 0;
    std::string published; // objects::to_json(published_configuration)
};

using message = std::variant<hello, ping, pong, queue_notice, configuration_push>;

std::string encode(const message& message);

// Returns nothing if the bytes are not a valid message.
std::optional<message> decode(std::string_view bytes);

} // namespace jl::peers
