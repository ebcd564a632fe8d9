#include "base/periodic_task.h"

#include <random>
#include <utility>

namespace jl {

periodic_task::periodic_task(std::chrono::milliseconds period, std::chrono::milliseconds jitter,
                             std::function<void()> function)
    : period_(period), jitter_(jitter), function_(std::move(function)), thread_([this] { run(); })
{
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_condition_.notify_all();
    thread_.join();
}

void periodic_task::wake()
{
    {
        const std::lock_guard lock(mutex_);
        woken_ = true;
    }
    wake_condition_.notify_all();
}

void periodic_task::run()
{
    std::mt19937_64 generator{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> extra_delay_ms(0, jitter_.count());
    for (;;) {
        function_();
        std::unique_lock lock(mutex_);
        const auto wait = period_ + std::chrono::milliseconds(extra_delay_ms(generator));
        wake_condition_.wait_for(lock, wait, [this] { return stopping_ || woken_; });
        if (stopping_) {
            return;
        }
        woken_ = false;
    }
}

} // namespace jl
