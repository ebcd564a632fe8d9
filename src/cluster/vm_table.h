#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "peers/messages.h"
#include "platform/platform.h"

namespace jl::cluster {

using peers::vm_mark;

// The VM list combined with the planner's VM records. Not thread-safe.
class vm_table {
public:
    // Replaces the VM list. Returns the VMs that were added or changed, and the names of those
    // that are no longer listed.
    struct list_change {
        std::vector<platform::listed_vm> changed;
        std::vector<std::string> removed;
        bool empty() const { return changed.empty() && removed.empty(); }
    };
    list_change replace_list(const std::vector<platform::listed_vm>& list);
    void apply(const list_change& change);

    // Takes over a record if its revision is higher than the known one. Returns true if it is.
    bool apply(const vm_mark& mark);
    // Removes the record if the known revision is lower than `revision`.
    bool remove_record(const std::string& vm, std::int64_t revision);
    // Takes over all records as read from the store at `revision` and forgets older ones that are
    // not among them. Returns the records that changed.
    std::vector<vm_mark> replace_records(const std::vector<vm_mark>& marks, std::int64_t revision);

    // Hashes of the content, equal in two processes if and only if (but for collisions) their
    // lists or records are the same.
    std::uint64_t list_digest() const { return list_digest_; }
    std::uint64_t records_digest() const { return records_digest_; }

    std::vector<platform::listed_vm> list() const;
    std::vector<vm_mark> records() const;
    vm_snapshot_ptr snapshot() const;

private:
    void put_listed(const platform::listed_vm& vm);
    void erase_listed(const std::string& vm);

    struct listed_entry {
        platform::listed_vm vm;
        bool listed = true; // false: removed from the list; kept for its address and rack
    };
    std::map<std::string, listed_entry> listed_;
    std::map<std::string, vm_mark> records_;
    std::uint64_t list_digest_ = 0;
    std::uint64_t records_digest_ = 0;
};

} // namespace jl::cluster
