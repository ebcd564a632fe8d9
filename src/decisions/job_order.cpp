#include "decisions/job_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace jl::decisions {

namespace {

// In the order in which jobs are started.
enum class urgency_class { long_running, on_time, late, beyond_rate, expired };

urgency_class classify(const job_demand& job)
{
    if (job.long_running) {
        return urgency_class::long_running;
    }
    if (job.critical_path > job.late_time_left) {
        return urgency_class::expired;
    }
    if (job.beyond_rate) {
        return urgency_class::beyond_rate;
    }
    return job.critical_path <= job.time_left ? urgency_class::on_time : urgency_class::late;
}

// Exceeds the largest priority that a configuration may hold, 1,000,000.
constexpr int priorities_per_class = 10000000;

} // namespace

std::vector<std::size_t> order_jobs(const std::vector<job_demand>& jobs)
{
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto key = [&](std::size_t index) {
        const auto& job = jobs[index];
        const auto urgency = classify(job);
        const auto time_left =
            urgency == urgency_class::on_time ? job.time_left : std::chrono::milliseconds(0);
        return std::make_tuple(urgency, job.priority, !job.started, time_left, job.core_seconds);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) { return key(left) < key(right); });
    for (auto& index : order) {
        index = jobs[index].job;
    }
    return order;
}

int order_rank(const job_demand& job)
{
    const int rank = static_cast<int>(classify(job)) * priorities_per_class + job.priority;
    return 2 * rank + (job.started ? 0 : 1);
}

} // namespace jl::decisions
