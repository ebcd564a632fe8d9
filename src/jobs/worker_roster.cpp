#include "jobs/worker_roster.h"

#include <utility>

#include <xxhash.h>

#include "base/log.h"

namespace jl::jobs {

namespace {

// At 3,000 workers a record holds about 190 entries, 17 KB.
constexpr std::uint64_t record_count = 16;

} // namespace

bool worker_roster::owns(const std::string& key)
{
    return key.rfind(prefix, 0) == 0;
}

worker_roster::worker_roster(std::function<void(const std::string& key)> mark)
    : mark_(std::move(mark))
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
    for (const auto& entry : *decoded) {
        entries_[entry.worker] = entry;
        members_[item.key][entry.worker] = 0;
    }
    return std::move(*decoded);
}

void worker_roster::change(const std::string& key)
{
    ++versions_[key];
    mark_(key);
}

void worker_roster::set(const roster_entry& entry)
{
    const auto found = entries_.find(entry.worker);
    if (found != entries_.end() && found->second == entry) {
        return;
    }
    const auto key = key_of(entry.worker);
    change(key);
    entries_[entry.worker] = entry;
    members_[key][entry.worker] = versions_[key];
}

void worker_roster::erase(const std::string& worker)
{
    if (entries_.erase(worker) != 0) {
        const auto key = key_of(worker);
        members_[key].erase(worker);
        change(key);
    }
}

record_writer::record worker_roster::encode(const std::string& key) const
{
    record_writer::record record;
    const auto members = members_.find(key);
    if (members == members_.end() || members->second.empty()) {
        record.removed = true;
    }
    else {
        std::vector<roster_entry> entries;
        for (const auto& [worker, version] : members->second) {
            entries.push_back(entries_.at(worker));
        }
        record.value = encode_roster(entries);
    }
    const auto version = versions_.find(key);
    record.version = version == versions_.end() ? 0 : version->second;
    return record;
}

std::vector<std::string> worker_roster::on_durable(const std::string& key,
                                                   std::int64_t version) const
{
    std::vector<std::string> workers;
    const auto members = members_.find(key);
    if (members == members_.end()) {
        return workers;
    }
    for (const auto& [worker, named_since] : members->second) {
        if (named_since <= version) {
            workers.push_back(worker);
        }
    }
    return workers;
}

} // namespace jl::jobs
