#include "jobs/open_starts.h"

namespace jl::jobs {

void open_starts::on_sent(const task_name& task, std::int64_t run, net::boot_time now)
{
    auto& open = runs_[{task.to_string(), run}];
    open.task = task;
    ++open.attempts;
    open.last_sent_at = now;
}

void open_starts::on_answered(const task_name& task, std::int64_t run, order_status status)
{
    if (status == order_status::unanswered) {
        return;
    }
    const auto found = runs_.find({task.to_string(), run});
    if (found != runs_.end() && --found->second.attempts == 0) {
        runs_.erase(found);
    }
}

void open_starts::on_run_closed(const task_name& task, std::int64_t run)
{
    const auto found = runs_.find({task.to_string(), run});
    if (found != runs_.end()) {
        found->second.closed = true;
    }
}

int open_starts::attempts(const task_name& task, std::int64_t run) const
{
    const auto found = runs_.find({task.to_string(), run});
    return found == runs_.end() ? 0 : found->second.attempts;
}

std::vector<open_starts::task_run> open_starts::runs() const
{
    std::vector<task_run> result;
    result.reserve(runs_.size());
    for (const auto& [key, open] : runs_) {
        result.push_back({open.task, key.second});
    }
    return result;
}

std::vector<open_starts::task_run> open_starts::startable_runs() const
{
    std::vector<task_run> result;
    for (const auto& [key, open] : runs_) {
        if (!open.closed) {
            result.push_back({open.task, key.second});
        }
    }
    return result;
}

void open_starts::expire(net::boot_time sent_before)
{
    for (auto next = runs_.begin(); next != runs_.end();) {
        const bool expired = next->second.last_sent_at < sent_before;
        next = expired ? runs_.erase(next) : std::next(next);
    }
}

} // namespace jl::jobs
