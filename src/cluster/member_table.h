#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/liveness.h"
#include "peers/messages.h"
#include "records/records.h"

namespace jl::cluster {

// What an entry knows of one other member.
struct known_member {
    records::member_record record;
    // Set while the member has no record in the store.
    std::optional<steady_time> departed_at;
    bool linked = false;
    // Process that the following come from; a restart discards them.
    std::int64_t incarnation = 0;
    std::optional<steady_time> heard_at; // see member_sight
    peers::member_report report;
    std::vector<peers::service_load> loads;
    std::vector<peers::drain_acknowledgment> acknowledgments;
    // Pongs in a row whose digest differed from ours.
    int list_mismatches = 0;
    int records_mismatches = 0;
};

// The other members: those with a record in the store, and for some time those that lost it. Not
// thread-safe.
class member_table {
public:
    // Takes over the records read from the store. Members without a record are kept for
    // `retention`: their requests may still be in flight.
    void replace(const std::vector<records::member_record>& records, steady_time now,
                 std::chrono::milliseconds retention);

    // Called for the hello of a link. A member without a known record is added without one: during
    // an outage of the store, a restarted entry knows the others from their links only.
    void link_up(const std::string& member, std::int64_t incarnation, steady_time now);
    void link_down(const std::string& member);

    // True if the record of a linked process has not been read.
    bool misses_records() const;

    known_member* find(const std::string& member);
    const std::map<std::string, known_member>& all() const { return members_; }

    std::vector<std::string> linked() const;
    std::vector<member_sight> sights() const;
    // Members that are alive and reach the platform, candidates for watching and polling.
    std::vector<std::string> able(steady_time now) const;

private:
    std::map<std::string, known_member> members_;
};

} // namespace jl::cluster
