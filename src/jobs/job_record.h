#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "jobs/job_table.h"

namespace jl::jobs {

// Encodes the durable state of a job as CBOR: its state and, while it is unfinished, its
// specification and which of its tasks are done.
std::string encode_job(const job& source);
// Decodes a job into `target`, whose spec.id is set. Marks unfinished tasks as unresolved, because
// a former leader may have started them. Returns false if the value is malformed.
bool decode_job(const std::string& value, job& target);

// The roster lists the workers that may run tasks. A new leader asks each of them which tasks it
// runs before it starts a task again.
struct roster_entry {
    std::string worker;
    std::string service;
    endpoint address;
    std::string vm;                 // empty: not known
    std::int64_t started_at_ms = 0; // 0: not known
    // An order to a former incarnation may have granted the present one the longest lease.
    bool longest_lease = false;
    // Such an order may still be carried out, see worker_session::earlier_orders_open().
    bool earlier_orders_open = false;

    bool operator==(const roster_entry& other) const
    {
        return worker == other.worker && service == other.service && address == other.address &&
               vm == other.vm && started_at_ms == other.started_at_ms &&
               longest_lease == other.longest_lease &&
               earlier_orders_open == other.earlier_orders_open;
    }
};
std::string encode_roster(const std::vector<roster_entry>& roster);
std::optional<std::vector<roster_entry>> decode_roster(const std::string& value);

constexpr const char* job_prefix = "jl/job/";

} // namespace jl::jobs
