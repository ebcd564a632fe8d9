#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_record.h"
#include "jobs/ports.h"
#include "jobs/record_writer.h"

namespace jl::jobs {

// The durable list of workers that may run tasks. A worker is added to it before the first task is
// started on it, so a new leader knows which workers to ask for their running tasks.
//
// The list is sharded over several records, so that adding one worker does not rewrite the entries
// of thousands. Not thread-safe.
class worker_roster {
public:
    static constexpr const char* prefix = "jl/roster/";
    static bool owns(const std::string& key);

    // Calls `on_changed` with the key of each record that has to be written.
    explicit worker_roster(std::function<void(const std::string& key)> on_changed);

    // Adds the entries of a record that was read from the store, and returns them.
    std::vector<roster_entry> load(const store_item& item);

    // Returns false if the entry is there already.
    bool set(const roster_entry& entry);
    void erase(const std::string& worker);
    std::size_t size() const;

    record_writer::record encode(const std::string& key) const;
    // Called when version `version` of a record is durable. Returns the workers whose current
    // entries that version contains.
    std::vector<std::string> on_durable(const std::string& key, std::int64_t version) const;

private:
    struct versioned_entry {
        roster_entry entry;
        std::int64_t first_version = 0; // of the record, with this entry
    };
    struct roster_record {
        std::int64_t version = 0;
        std::map<std::string, versioned_entry> members; // by worker
    };
    static std::string key_of(const std::string& worker);

    std::function<void(const std::string& key)> on_changed_;
    std::map<std::string, roster_record> records_; // by key
};

} // namespace jl::jobs
