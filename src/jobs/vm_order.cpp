#include "jobs/vm_order.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto repeat_interval = 300ms;

} // namespace

void vm_order::on_sent(net::boot_time now, const worker_incarnation& worker)
{
    if (!ever_sent_) {
        former_worker_ = worker;
    }
    ever_sent_ = true;
    in_flight_ = true;
    sent_or_executed_at_ = now;
}

vm_order::outcome vm_order::on_answered(vm_order_status status, net::boot_time now)
{
    in_flight_ = false;
    answered_at_ = now;
    switch (status) {
    case vm_order_status::accepted:
        uncertain_ = false;
        sent_or_executed_at_ = now;
        return outcome::executed;
    case vm_order_status::unanswered:
        uncertain_ = true;
        unanswered_sent_at_ = sent_or_executed_at_;
        return outcome::unknown;
    case vm_order_status::busy:
    case vm_order_status::throttled:
        // Applies to this attempt only: the VM may be busy with an earlier attempt.
        return uncertain_ ? outcome::unknown : outcome::not_executed;
    case vm_order_status::wrong_wave:
    case vm_order_status::rejected:
        uncertain_ = uncertain_ && may_execute_late(now);
        return uncertain_ ? outcome::unknown : outcome::not_executed;
    case vm_order_status::fenced:
        // Holds for earlier attempts too: their token is no higher.
        uncertain_ = false;
        return outcome::not_executed;
    }
    return outcome::unknown;
}

bool vm_order::may_execute_late(net::boot_time now) const
{
    return unanswered_sent_at_ && now <= *unanswered_sent_at_ + late_execution_limit;
}

bool vm_order::repeat_due(net::boot_time now) const
{
    return ever_sent_ && !in_flight_ && uncertain_ && now >= answered_at_ + repeat_interval;
}

} // namespace jl::jobs
