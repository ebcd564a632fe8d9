#include "cluster/member_table.h"

#include <algorithm>
#include <set>

namespace jl::cluster {

namespace {

member_sight sight_of(const std::string& name, const known_member& member)
{
    return {name, member.heard_at, member.report.platform_reachable, member.report.known_members};
}

} // namespace

void member_table::replace(const std::vector<records::member_record>& records, steady_time now,
                           std::chrono::milliseconds retention)
{
    std::set<std::string> present;
    for (const auto& record : records) {
        present.insert(record.member);
        auto& member = members_[record.member];
        member.record = record;
        member.departed_at.reset();
    }
    for (auto at = members_.begin(); at != members_.end();) {
        auto& member = at->second;
        if (present.count(at->first) == 0 && !member.departed_at) {
            member.departed_at = now;
        }
        // A member that is still heard is there, whatever became of its lease.
        const bool gone = member.departed_at && now - *member.departed_at > retention &&
                          !is_alive(sight_of(at->first, member), now);
        at = gone ? members_.erase(at) : std::next(at);
    }
}

void member_table::link_up(const std::string& name, std::int64_t incarnation, steady_time now)
{
    auto* member = find(name);
    if (member == nullptr) {
        member = &members_[name];
        member->record.member = name;
        member->departed_at = now;
    }
    if (member->incarnation != incarnation) {
        known_member fresh;
        fresh.record = member->record;
        fresh.departed_at = member->departed_at;
        fresh.incarnation = incarnation;
        *member = fresh;
    }
    member->linked = true;
}

bool member_table::misses_records() const
{
    return std::any_of(members_.begin(), members_.end(), [](const auto& entry) {
        const auto& member = entry.second;
        return member.linked && member.record.incarnation != member.incarnation;
    });
}

void member_table::link_down(const std::string& name)
{
    if (auto* member = find(name)) {
        member->linked = false;
    }
}

known_member* member_table::find(const std::string& name)
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<std::string> member_table::linked() const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
        if (member.linked) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<member_sight> member_table::sights() const
{
    std::vector<member_sight> sights;
    sights.reserve(members_.size());
    for (const auto& [name, member] : members_) {
        sights.push_back(sight_of(name, member));
    }
    return sights;
}

std::vector<std::string> member_table::able(steady_time now) const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
        if (member.report.platform_reachable && is_alive(sight_of(name, member), now)) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace jl::cluster
