#include "store/retention_lease.h"

#include <algorithm>

namespace jl::store {

namespace {

constexpr std::chrono::milliseconds call_limit{1000};
// After a failed grant, callers are refused for a while instead of each waiting for the store.
constexpr std::chrono::milliseconds min_retry_delay{500};
constexpr std::chrono::milliseconds max_retry_delay{4000};

} // namespace

retention_lease::retention_lease(key_value_store& store, const clock_source& clock,
                                 std::chrono::seconds retention, std::chrono::seconds rotation)
    : store_(store),
      clock_(clock),
      retention_(retention),
      rotation_(rotation),
      random_(std::random_device{}())
{
}

std::optional<std::int64_t> retention_lease::current()
{
    const auto held = [this]() -> std::optional<std::int64_t> {
        const std::lock_guard lock(mutex_);
        const bool fresh = lease_ != 0 && clock_.steady_now() - granted_at_ < rotation_;
        return fresh ? std::optional(lease_) : std::nullopt;
    };
    if (const auto lease = held()) {
        return lease;
    }
    const std::lock_guard granting(granting_);
    if (const auto lease = held()) {
        return lease;
    }
    // A grant whose answer is lost leaves an unused lease, which ends by itself.
    const auto sent_at = clock_.steady_now();
    if (sent_at < retry_at_) {
        return std::nullopt;
    }
    const auto granted = store_.grant_lease(retention_ + rotation_, sent_at + call_limit);
    if (!granted) {
        retry_delay_ = std::clamp(retry_delay_ * 2, min_retry_delay, max_retry_delay);
        std::uniform_int_distribution<std::int64_t> extra(0, retry_delay_.count() / 2);
        retry_at_ = sent_at + retry_delay_ / 2 + std::chrono::milliseconds(extra(random_));
        return std::nullopt;
    }
    retry_delay_ = {};
    const std::lock_guard lock(mutex_);
    lease_ = *granted;
    granted_at_ = sent_at;
    return lease_;
}

void retention_lease::forget(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    if (lease_ == lease) {
        lease_ = 0;
    }
}

} // namespace jl::store
