#include "store/retention_lease.h"

#include <algorithm>

#include "base/scope_guard.h"

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
    const auto now = clock_.steady_now();
    {
        std::unique_lock lock(mutex_);
        granted_.wait(lock, [this] { return !granting_ || lease_ != 0; });
        const bool fresh = lease_ != 0 && now - granted_at_ < rotation_;
        if (fresh || granting_) {
            return lease_;
        }
        if (now < retry_at_) {
            return std::nullopt;
        }
        granting_ = true;
    }
    std::optional<std::int64_t> granted;
    const scope_guard done([&] {
        const std::lock_guard lock(mutex_);
        granting_ = false;
        keep(granted, now);
        granted_.notify_all();
    });
    // A grant whose answer is lost leaves an unused lease, which ends by itself.
    granted = store_.grant_lease(retention_ + rotation_, now + call_limit);
    return granted;
}

void retention_lease::keep(const std::optional<std::int64_t>& granted, steady_time sent_at)
{
    if (granted) {
        lease_ = *granted;
        granted_at_ = sent_at;
        retry_delay_ = {};
        return;
    }
    retry_delay_ = std::clamp(retry_delay_ * 2, min_retry_delay, max_retry_delay);
    std::uniform_int_distribution<std::int64_t> extra(0, retry_delay_.count() / 2);
    retry_at_ = sent_at + retry_delay_ / 2 + std::chrono::milliseconds(extra(random_));
}

void retention_lease::forget(std::int64_t lease)
{
    const std::lock_guard lock(mutex_);
    if (lease_ == lease) {
        lease_ = 0;
    }
}

} // namespace jl::store
