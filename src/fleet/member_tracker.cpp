#include "fleet/member_tracker.h"

#include <iterator>

namespace jl::fleet {

void member_tracker::observe(const std::vector<cluster::member_status>& members, steady_time now)
{
    for (const auto& status : members) {
        last_leased_[records::process_name(status.member)] = now;
    }
}

void member_tracker::observe_leases(const std::set<std::string>& processes, steady_time now)
{
    for (const auto& process : processes) {
        last_leased_[process] = now;
    }
}

void member_tracker::observe_processes(const std::set<std::string>& processes,
                                       const std::vector<cluster::member_status>& members,
                                       steady_time now)
{
    std::set<std::string> alive;
    for (const auto& status : members) {
        if (status.alive) {
            alive.insert(records::process_name(status.member));
        }
    }
    for (const auto& process : processes) {
        last_leased_.emplace(process, now);
    }
    for (auto at = last_leased_.begin(); at != last_leased_.end();) {
        const bool present = processes.count(at->first) != 0 || alive.count(at->first) != 0;
        at = present ? std::next(at) : last_leased_.erase(at);
    }
}

std::vector<std::string> member_tracker::silent(steady_time now,
                                                std::chrono::milliseconds silence) const
{
    std::vector<std::string> result;
    for (const auto& [process, leased_at] : last_leased_) {
        if (now - leased_at >= silence) {
            result.push_back(process);
        }
    }
    return result;
}

std::vector<decisions::entry_view>
member_tracker::entries(const std::vector<cluster::member_status>& members, steady_time now,
                        std::chrono::milliseconds acknowledgment,
                        std::chrono::milliseconds silence) const
{
    std::vector<decisions::entry_view> result;
    std::map<std::string, const cluster::member_status*> statuses;
    for (const auto& status : members) {
        statuses[records::process_name(status.member)] = &status;
    }
    for (const auto& [process, leased_at] : last_leased_) {
        decisions::entry_view entry;
        entry.member = process;
        entry.provably_inactive = now - leased_at >= silence;
        const auto found = statuses.find(process);
        if (found != statuses.end()) {
            const auto& status = *found->second;
            entry.live = status.alive && status.report_age <= acknowledgment;
            for (const auto& item : status.acknowledgments) {
                entry.reports[item.vm] = {item.record_revision, item.in_flight};
            }
        }
        // A former process says nothing about the majority of the present ones.
        if (entry.live || !entry.provably_inactive) {
            result.push_back(std::move(entry));
        }
    }
    return result;
}

} // namespace jl::fleet
