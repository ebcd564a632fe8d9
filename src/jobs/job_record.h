#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "jobs/job_table.h"

namespace jl::jobs {

// The durable form of a job: its specification while it is unfinished, which tasks have ended, and
// its state. Encoded as CBOR.
std::string encode_job(const job& source);
// Restores a job into `target`, whose spec.id is set. Unfinished tasks are unresolved. Returns
// false if the value cannot be understood.
bool decode_job(const std::string& value, job& target);

// Workers that may run something: a new leader asks each of them before it starts a task again.
struct roster_entry {
    std::string worker;
    std::string service;
    endpoint address;
    std::string vm;        // empty: not told
    std::int64_t born = 0; // 0: not told

    bool operator==(const roster_entry& other) const
    {
        return worker == other.worker && service == other.service && address == other.address &&
               vm == other.vm && born == other.born;
    }
};
std::string encode_roster(const std::vector<roster_entry>& roster);
std::optional<std::vector<roster_entry>> decode_roster(const std::string& value);

constexpr const char* job_prefix = "jl/job/";

} // namespace jl::jobs
