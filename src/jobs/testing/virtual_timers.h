#pragma once

#include <chrono>
#include <map>
#include <utility>

#include "net/timer_service.h"

namespace jl::jobs::testing {

// Timers in virtual time, which advances only in run_for().
class virtual_timers final : public net::timer_service {
public:
    net::boot_time now() const override { return now_; }
    wall_time wall_now() const override
    {
        return wall_time(std::chrono::hours(24 * 365 * 56) + wall_clock_offset_ +
                         std::chrono::duration_cast<wall_time::duration>(now_.time_since_epoch()));
    }
    timer_id call_after(std::chrono::nanoseconds delay, callback function) override
    {
        const auto id = next_id_++;
        const auto due = now_ + std::max(delay, std::chrono::nanoseconds(0));
        timers_.emplace(std::make_pair(due, id), std::move(function));
        due_times_[id] = due;
        return id;
    }
    void cancel(timer_id timer) override
    {
        const auto found = due_times_.find(timer);
        if (found != due_times_.end()) {
            timers_.erase({found->second, timer});
            due_times_.erase(found);
        }
    }
    void defer(callback function) override
    {
        call_after(std::chrono::nanoseconds(0), std::move(function));
    }

    void run_for(std::chrono::nanoseconds elapsed)
    {
        const auto end = now_ + elapsed;
        while (!timers_.empty() && timers_.begin()->first.first <= end) {
            auto entry = timers_.extract(timers_.begin());
            due_times_.erase(entry.key().second);
            now_ = std::max(now_, entry.key().first);
            entry.mapped()();
        }
        now_ = end;
    }
    // Shifts the wall clock without advancing the boot clock.
    void step_wall_clock(std::chrono::milliseconds by) { wall_clock_offset_ += by; }

private:
    net::boot_time now_{std::chrono::hours(1)};
    std::chrono::milliseconds wall_clock_offset_{0};
    std::map<std::pair<net::boot_time, timer_id>, callback> timers_;
    std::map<timer_id, net::boot_time> due_times_;
    timer_id next_id_ = 1;
};

} // namespace jl::jobs::testing
