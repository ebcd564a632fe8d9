#include "decisions/job_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace jl::decisions {

namespace {

enum class standing { long_running, in_time, late, hopeless };

standing standing_of(const job_demand& job)
{
    if (job.long_running) {
        return standing::long_running;
    }
    if (job.chain <= job.time_left) {
        return standing::in_time;
    }
    return job.chain <= job.late_time_left ? standing::late : standing::hopeless;
}

} // namespace

std::vector<std::size_t> order_jobs(const std::vector<job_demand>& jobs)
{
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto key = [&](std::size_t index) {
        const auto& job = jobs[index];
        return std::make_tuple(standing_of(job), job.priority, !job.started, job.core_seconds);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) { return key(left) < key(right); });
    for (auto& index : order) {
        index = jobs[index].job;
    }
    return order;
}

} // namespace jl::decisions
