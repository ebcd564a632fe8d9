#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jl {

// Returns a new identifier of 32 hexadecimal digits: 64 bits of time and 64 random bits, so ids
// sort by creation time. Thread-safe.
std::string new_id();

// Stable 64-bit hash (xxHash), identical in every process.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Rendezvous (highest random weight) score of `member` for `key`. The member with the highest
// score is preferred; a member that leaves moves only its own keys.
std::uint64_t rendezvous_score(std::string_view member, std::string_view key);

} // namespace jl
