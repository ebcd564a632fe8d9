#include "decisions/fair_shares.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <utility>

namespace jl::decisions {

namespace {

// Weights of zero would let a team wait for ever.
constexpr double min_weight = 1e-3;

double part(std::int64_t used, std::int64_t total)
{
    return total <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
}

double weighted_share(const team_share& team, const task_resources& pool_size)
{
    const double dominant = std::max({part(team.used.millicores, pool_size.millicores),
                                      part(team.used.memory_mb, pool_size.memory_mb),
                                      part(team.used.accelerators, pool_size.accelerators)});
    return dominant / std::max(team.weight, min_weight);
}

using job_iterator = std::vector<team_job>::const_iterator;

// Appends the jobs of one rank to `order` and counts them as started in `teams`.
void append_rank(job_iterator first, job_iterator last, std::vector<team_share>& teams,
                 const task_resources& pool_size, std::vector<std::size_t>& order)
{
    std::vector<std::deque<const team_job*>> waiting(teams.size());
    for (auto job = first; job != last; ++job) {
        waiting[job->team].push_back(&*job);
    }
    // Of teams with equal shares, the first in the list comes first.
    using entry = std::pair<double, std::size_t>; // weighted share, team
    std::priority_queue<entry, std::vector<entry>, std::greater<>> next_team;
    for (std::size_t team = 0; team < teams.size(); ++team) {
        if (!waiting[team].empty()) {
            next_team.push({weighted_share(teams[team], pool_size), team});
        }
    }
    while (!next_team.empty()) {
        const auto team = next_team.top().second;
        next_team.pop();
        const auto* const job = waiting[team].front();
        waiting[team].pop_front();
        order.push_back(job->job);
        teams[team].used += job->demand;
        if (!waiting[team].empty()) {
            next_team.push({weighted_share(teams[team], pool_size), team});
        }
    }
}

} // namespace

std::vector<std::size_t> order_by_share(const std::vector<team_job>& jobs,
                                        std::vector<team_share> teams,
                                        const task_resources& pool_size)
{
    std::vector<std::size_t> order;
    order.reserve(jobs.size());
    for (auto first = jobs.begin(); first != jobs.end();) {
        const auto last = std::find_if(
            first, jobs.end(), [first](const team_job& job) { return job.rank != first->rank; });
        append_rank(first, last, teams, pool_size, order);
        first = last;
    }
    return order;
}

} // namespace jl::decisions
