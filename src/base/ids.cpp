#include "base/ids.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <random>

#include <xxhash.h>

namespace jl {

std::string new_id()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(nanoseconds),
                  static_cast<unsigned long long>(generator()));
    return text.data();
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view member, std::string_view key)
{
    return stable_hash(key, stable_hash(member));
}

} // namespace jl
