#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jl {

// Returns a new identifier of 32 hexadecimal digits: 64 bits of wall clock time in nanoseconds and
// 64 random bits. Ids sort by creation time. Thread-safe.
std::string new_id();

// 64-bit hash (XXH64) that is the same in every process.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Rendezvous hashing (highest random weight): the score of `member` for `key`. A key belongs to the
// member with the highest score, so removing a member reassigns only the keys of that member.
std::uint64_t rendezvous_score(std::string_view member, std::string_view key);

} // namespace jl
