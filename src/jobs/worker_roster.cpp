#include "jobs/worker_roster.h"

#include <numeric>
#include <utility>

#include <xxhash.h>

#include "base/log.h"

namespace jl::jobs {

namespace {

// With 3,000 workers a record has about 190 entries (17 KB).
constexpr std::uint64_t record_count = 16;

} // namespace

bool worker_roster::owns(const std::string& key)
{
    return key.rfind(prefix, 0) == 0;
}

worker_roster::worker_roster(std::function<void(const std::string& key)> on_changed)
    : on_changed_(std::move(on_changed))
{
}

std::string worker_roster::key_of(const std::string& worker)
{
    const auto hash = XXH64(worker.data(), worker.size(), 0);
    return prefix + std::to_string(hash % record_count);
}

std::vector<roster_entry> worker_roster::load(const store_item& item)
{
    auto decoded = decode_roster(item.value);
    if (!decoded) {
        log_event(log_level::error, "roster.record_unreadable", {{"key", item.key}});
        return {};
    }
    auto& members = records_[item.key].members;
    for (const auto& entry : *decoded) {
        members[entry.worker] = {entry, 0};
    }
    return std::move(*decoded);
}

std::size_t worker_roster::size() const
{
    return std::accumulate(
        records_.begin(), records_.end(), std::size_t{0},
        [](std::size_t sum, const auto& record) { return sum + record.second.members.size(); });
}

bool worker_roster::set(const roster_entry& entry)
{
    const auto key = key_of(entry.worker);
    auto& record = records_[key];
    const auto found = record.members.find(entry.worker);
    if (found != record.members.end() && found->second.entry == entry) {
        return false;
    }
    record.members[entry.worker] = {entry, ++record.version};
    on_changed_(key);
    return true;
}

void worker_roster::erase(const std::string& worker)
{
    const auto key = key_of(worker);
    auto& record = records_[key];
    if (record.members.erase(worker) != 0) {
        ++record.version;
        on_changed_(key);
    }
}

record_writer::record worker_roster::encode(const std::string& key) const
{
    record_writer::record encoded;
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.members.empty()) {
        encoded.removed = true;
    }
    else {
        std::vector<roster_entry> entries;
        for (const auto& [worker, versioned_entry] : found->second.members) {
            entries.push_back(versioned_entry.entry);
        }
        encoded.value = encode_roster(entries);
    }
    encoded.version = found == records_.end() ? 0 : found->second.version;
    return encoded;
}

std::vector<std::string> worker_roster::on_durable(const std::string& key,
                                                   std::int64_t version) const
{
    std::vector<std::string> workers;
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return workers;
    }
    for (const auto& [worker, versioned_entry] : found->second.members) {
        if (versioned_entry.first_version <= version) {
            workers.push_back(worker);
        }
    }
    return workers;
}

} // namespace jl::jobs
