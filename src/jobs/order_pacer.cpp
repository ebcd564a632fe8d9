#include "jobs/order_pacer.h"

#include <utility>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Some 10 ms of work on a quarter of a core.
constexpr std::size_t max_orders_per_pass = 64;
// Orders that wait for a later pass. Lets a burst be decided on in one pass of the scheduler.
constexpr std::size_t max_waiting_orders = 512;

} // namespace

order_pacer::order_pacer(net::timer_service& timers, std::function<void()> drained)
    : timers_(timers), drained_(std::move(drained))
{
}

order_pacer::~order_pacer()
{
    timers_.cancel(pass_timer_);
}

bool order_pacer::accepts_more() const
{
    return waiting_.size() < max_waiting_orders;
}

void order_pacer::send(std::function<void()> order)
{
    if (pass_timer_ == 0) {
        pass_timer_ = timers_.call_after(0ns, [this] { begin_next_pass(); });
    }
    if (sent_in_pass_ >= max_orders_per_pass || !waiting_.empty()) {
        waiting_.push_back(std::move(order));
        return;
    }
    ++sent_in_pass_;
    order();
}

void order_pacer::begin_next_pass()
{
    pass_timer_ = 0;
    sent_in_pass_ = 0;
    if (waiting_.empty()) {
        return;
    }
    pass_timer_ = timers_.call_after(0ns, [this] { begin_next_pass(); });
    while (!waiting_.empty() && sent_in_pass_ < max_orders_per_pass) {
        const auto order = std::move(waiting_.front());
        waiting_.pop_front();
        ++sent_in_pass_;
        order();
    }
    if (waiting_.empty()) {
        drained_();
    }
}

} // namespace jl::jobs
