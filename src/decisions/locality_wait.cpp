#include "decisions/locality_wait.h"

#include <algorithm>

namespace jl::decisions {

namespace {

// Whatever it saves, no task waits for longer, since the expected wait may prove wrong and a job
// must not stand still while other workers have capacity for it.
constexpr std::chrono::seconds max_wait{2};

bool covers(const task_resources& available, const task_resources& request)
{
    // What is free may be negative because of claims, which must not delay tasks that need none.
    const auto covered = [](std::int64_t free, std::int64_t needed) {
        return needed == 0 || free >= needed;
    };
    return covered(available.millicores, request.millicores) &&
           covered(available.memory_mb, request.memory_mb) &&
           covered(available.accelerators, request.accelerators);
}

} // namespace

bool waits_for_preferred_rack(const locality_choice& choice)
{
    if (!choice.preferred_wait || choice.remote_factor <= 1.0) {
        return false;
    }
    const std::chrono::duration<double, std::nano> preferred = choice.preferred_duration;
    const auto remote_duration =
        std::chrono::duration_cast<std::chrono::nanoseconds>(preferred * choice.remote_factor);
    const auto saving = remote_duration - choice.preferred_duration;
    if (*choice.preferred_wait >= saving || choice.waited >= saving) {
        return false;
    }
    if (choice.waited >= max_wait || choice.waited + *choice.preferred_wait > max_wait) {
        return false; // the limit would end the wait before it has paid
    }
    // A start elsewhere must still be on time if the rack is not free after the expected wait,
    // unless it is late already.
    const auto remote_end = remote_duration + choice.later_steps;
    const bool fallback_on_time = *choice.preferred_wait + remote_end <= choice.time_left;
    return fallback_on_time || remote_end > choice.time_left;
}

void rack_forecast::add_end(std::chrono::nanoseconds in, const task_resources& amount)
{
    releases_.push_back({in, amount});
    sorted_ = false;
}

void rack_forecast::sort_releases()
{
    if (!sorted_) {
        std::sort(releases_.begin(), releases_.end(),
                  [](const release& left, const release& right) { return left.in < right.in; });
        sorted_ = true;
    }
}

std::optional<std::chrono::nanoseconds>
rack_forecast::time_until_free(const task_resources& request)
{
    sort_releases();
    auto available = free_;
    if (covers(available, request)) {
        return std::chrono::nanoseconds(0);
    }
    for (const auto& release : releases_) {
        available += release.amount;
        if (covers(available, request)) {
            return release.in;
        }
    }
    return std::nullopt;
}

std::optional<std::chrono::nanoseconds> rack_forecast::claim(const task_resources& request)
{
    const auto wait = time_until_free(request);
    if (wait) {
        // May become negative until later releases have happened, which they cover.
        free_ += task_resources{-request.millicores, -request.memory_mb, -request.accelerators};
    }
    return wait;
}

} // namespace jl::decisions
