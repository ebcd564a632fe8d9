#include "teams/usage.h"

namespace jl::teams {

namespace {

bool within(std::int64_t quota, std::int64_t used, std::int64_t request, int count)
{
    return quota == 0 || request == 0 || used + request * count <= quota;
}

bool within_quota(const task_resources& quota, const task_resources& used,
                  const task_resources& request, int count)
{
    return within(quota.millicores, used.millicores, request.millicores, count) &&
           within(quota.memory_mb, used.memory_mb, request.memory_mb, count) &&
           within(quota.accelerators, used.accelerators, request.accelerators, count);
}

} // namespace

void usage_account::add(const std::string& team, const task_resources& request)
{
    if (!team.empty()) {
        used_[team] += request;
    }
}

bool usage_account::allows(const std::string& team, const task_resources& request, int count) const
{
    const auto* const config = teams_->find(team);
    if (config == nullptr) {
        return true;
    }
    const auto in_use = used(team);
    const bool alone = count == 1 && in_use == task_resources{};
    return alone || within_quota(config->quota, in_use, request, count);
}

task_resources usage_account::used(const std::string& team) const
{
    const auto found = used_.find(team);
    return found == used_.end() ? task_resources{} : found->second;
}

bool fits_quota(const task_resources& quota, const task_resources& request, int count)
{
    return count <= 1 || within_quota(quota, {}, request, count);
}

} // namespace jl::teams
