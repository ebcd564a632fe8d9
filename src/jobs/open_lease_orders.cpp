#include "jobs/open_lease_orders.h"

#include "jobs/ports.h"

namespace jl::jobs {

void open_lease_orders::on_sent(net::boot_time now)
{
    sent_at_.erase(sent_at_.begin(), sent_at_.lower_bound(now - late_execution_limit));
    sent_at_.insert(now);
}

void open_lease_orders::on_closed(net::boot_time sent_at)
{
    const auto found = sent_at_.find(sent_at);
    if (found != sent_at_.end()) {
        sent_at_.erase(found);
    }
}

std::optional<net::boot_time> open_lease_orders::open_until(net::boot_time now) const
{
    if (sent_at_.empty() || *sent_at_.rbegin() + late_execution_limit <= now) {
        return std::nullopt;
    }
    return *sent_at_.rbegin() + late_execution_limit;
}

} // namespace jl::jobs
