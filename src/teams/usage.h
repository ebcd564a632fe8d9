#pragma once

#include <string>
#include <unordered_map>

#include "decisions/task_resources.h"
#include "teams/team.h"

namespace jl::teams {

// What the tasks of each team use or may use on all workers together, against the team's quota.
//
//   usage_account account(teams);
//   account.add(task.team, task.request); // for each task that runs or may run
//   if (account.allows(team, request, 1)) { ... start it, then account.add(team, request); }
//
// Tasks without a team, and teams that the configuration does not name, have no quota. Not
// thread-safe.
class usage_account {
public:
    explicit usage_account(const team_directory& teams) : teams_(&teams) {}

    void add(const std::string& team, const task_resources& request);
    // True if `count` more tasks that request this much each may run at the same time. A single
    // task larger than the quota may run while nothing else of its team does.
    bool allows(const std::string& team, const task_resources& request, int count) const;
    task_resources used(const std::string& team) const;

private:
    const team_directory* teams_;
    std::unordered_map<std::string, task_resources> used_; // by team
};

// True if `count` tasks that request this much each can ever run at the same time under the quota.
bool fits_quota(const task_resources& quota, const task_resources& request, int count);

} // namespace jl::teams
