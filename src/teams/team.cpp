#include "teams/team.h"

#include <utility>

namespace jl::teams {

namespace {

const team_config* at_position(const std::vector<team_config>& teams,
                               const std::unordered_map<std::string, std::size_t>& positions,
                               std::string_view text)
{
    const auto found = positions.find(std::string(text));
    return found == positions.end() ? nullptr : &teams[found->second];
}

} // namespace

team_directory::team_directory(std::vector<team_config> teams) : teams_(std::move(teams))
{
    for (std::size_t position = 0; position < teams_.size(); ++position) {
        position_by_name_.emplace(teams_[position].name, position);
        for (const auto& key : teams_[position].api_keys) {
            position_by_key_.emplace(key, position);
        }
    }
}

const team_config* team_directory::find(std::string_view name) const
{
    return at_position(teams_, position_by_name_, name);
}

const team_config* team_directory::find_by_key(std::string_view key) const
{
    return at_position(teams_, position_by_key_, key);
}

} // namespace jl::teams
