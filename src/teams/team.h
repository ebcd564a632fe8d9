#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/task_resources.h"

namespace jl::teams {

using decisions::task_resources;

// A team as operators configure it.
struct team_config {
    std::string name;
    std::vector<std::string> api_keys; // each identifies the team
    // Share of a full pool relative to other teams, and the number of jobs a second that the team
    // is entitled to.
    double weight = 1.0;
    task_resources quota; // that its tasks may use at the same time; 0: no limit
};

// The teams of one configuration. Immutable; thread-safe.
//
//   const team_directory teams(std::move(configured));
//   if (const auto* team = teams.find_by_key(key)) { ... }
class team_directory {
public:
    team_directory() = default;
    // Of two teams with the same name or key, the first one counts.
    explicit team_directory(std::vector<team_config> teams);

    bool empty() const { return teams_.empty(); }
    const std::vector<team_config>& all() const { return teams_; }
    // Null if no team has this name.
    const team_config* find(std::string_view name) const;
    // Null if no team has this key.
    const team_config* find_by_key(std::string_view key) const;

private:
    std::vector<team_config> teams_;
    std::unordered_map<std::string, std::size_t> position_by_name_; // in `teams_`
    std::unordered_map<std::string, std::size_t> position_by_key_;  // in `teams_`
};

} // namespace jl::teams
