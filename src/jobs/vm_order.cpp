#include "jobs/vm_order.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto repeat_interval = 300ms;

} // namespace

void vm_order::sent(net::boot_time now, const worker_incarnation& worker)
{
    if (!given_) {
        former_worker_ = worker;
    }
    given_ = true;
    in_flight_ = true;
    at_ = now;
}

vm_order::outcome vm_order::answered(vm_order_status status, net::boot_time now)
{
    in_flight_ = false;
    answered_at_ = now;
    switch (status) {
    case vm_order_status::accepted:
        uncertain_ = false;
        at_ = now;
        return outcome::carried_out;
    case vm_order_status::unanswered:
        uncertain_ = true;
        return outcome::open;
    case vm_order_status::busy:
    case vm_order_status::throttled:
        // Holds for this copy only: an earlier one may be what keeps the VM busy.
        return uncertain_ ? outcome::open : outcome::not_carried_out;
    case vm_order_status::fenced:
    case vm_order_status::wrong_wave:
    case vm_order_status::rejected:
        uncertain_ = false;
        return outcome::not_carried_out;
    }
    return outcome::open;
}

bool vm_order::must_repeat(net::boot_time now) const
{
    return given_ && !in_flight_ && uncertain_ && now >= answered_at_ + repeat_interval;
}

} // namespace jl::jobs
