#include "fleet/member_tracker.h"

namespace jl::fleet {

member_tracker::member_tracker(steady_time started_at) : started_at_(started_at) {}

void member_tracker::observe(const std::vector<cluster::member_status>& members, steady_time now)
{
    for (const auto& status : members) {
        last_leased_[status.member.member] = now;
    }
}

void member_tracker::observe_leases(const std::set<std::string>& members, steady_time now)
{
    for (const auto& member : members) {
        last_leased_[member] = now;
    }
}

std::vector<decisions::entry_view>
member_tracker::entries(const std::vector<cluster::member_status>& members, steady_time now,
                        std::chrono::milliseconds acknowledgment,
                        std::chrono::milliseconds silence) const
{
    std::vector<decisions::entry_view> result;
    std::map<std::string, const cluster::member_status*> statuses;
    for (const auto& status : members) {
        statuses[status.member.member] = &status;
    }
    for (const auto& [member, leased_at] : last_leased_) {
        decisions::entry_view entry;
        entry.member = member;
        entry.provably_silent = now - leased_at >= silence;
        const auto found = statuses.find(member);
        if (found != statuses.end()) {
            const auto& status = *found->second;
            entry.live = status.alive && status.report_age <= acknowledgment;
            for (const auto& item : status.acknowledgments) {
                entry.reports[item.vm] = {item.record_revision, item.in_flight};
            }
        }
        // A former member says nothing about the majority of the present ones.
        if (entry.live || !entry.provably_silent) {
            result.push_back(std::move(entry));
        }
    }
    if (now - started_at_ < silence) {
        decisions::entry_view unknown;
        unknown.member = "(entries that left before this planner started)";
        result.push_back(std::move(unknown));
    }
    return result;
}

} // namespace jl::fleet
