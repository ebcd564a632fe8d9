#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "store/key_value_store.h"

// JSON form of the etcd v3 gateway: bytes in base64, 64-bit integers as strings.
namespace jl::store::internal {

std::string encode_base64(std::string_view bytes);
// Returns nothing for text that is not base64.
std::optional<std::string> decode_base64(std::string_view text);

nlohmann::json encode(const range_request& request);
nlohmann::json encode(const transaction& transaction);

// These throw nlohmann::json::exception or std::invalid_argument on malformed input.
std::int64_t decode_integer(const nlohmann::json& object, const char* key);
// Revision in the header that every answer to a range or a transaction has.
std::int64_t decode_revision(const nlohmann::json& object);
key_value decode_key_value(const nlohmann::json& object);
range_result decode_range(const nlohmann::json& object);
transaction_result decode_transaction(const nlohmann::json& object);
std::vector<watch_event> decode_events(const nlohmann::json& watch_result);

} // namespace jl::store::internal
