#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "jobs/ports.h"

namespace jl::jobs {

// The progress of a maintenance wave as it is kept in the store for the next leader.
struct wave_record {
    static constexpr const char* prefix = "jl/wave/";

    std::int64_t wave = 0;
    std::set<std::string> finished; // VMs
    // VMs of which an order may have been sent, or may still be. An order is sent only after a
    // record that names its VM has been stored.
    std::set<std::string> ordered;
    std::set<std::string> accepted; // of these, the ones whose order was accepted
    // False if the record does not tell which VMs were ordered.
    bool orders_known = true;

    static std::string key_of(std::int64_t wave);
    std::string encode() const;
};

// Decodes what the item tells, and logs an error if that is not all. Returns nothing if its key
// names no wave.
std::optional<wave_record> decode_wave_record(const store_item& item);

} // namespace jl::jobs
