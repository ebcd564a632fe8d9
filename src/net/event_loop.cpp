#include "net/event_loop.h"

#include <array>
#include <cerrno>
#include <system_error>

#include <sys/epoll.h>

namespace jl::net {

namespace {

constexpr int max_events_per_wait = 128;

} // namespace

event_loop::event_loop() : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    if (!epoll_.valid()) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

void event_loop::watch(int descriptor, std::uint32_t events, io_callback handler)
{
    handlers_[descriptor] = std::make_shared<io_callback>(std::move(handler));
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
    }
}

void event_loop::modify(int descriptor, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    if (epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl mod");
    }
}

void event_loop::unwatch(int descriptor)
{
    if (handlers_.erase(descriptor) != 0) {
        epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

boot_time event_loop::now() const
{
    return boot_clock::now();
}

wall_time event_loop::wall_now() const
{
    return std::chrono::system_clock::now();
}

event_loop::timer_id event_loop::call_after(std::chrono::nanoseconds delay, callback function)
{
    const auto id = next_timer_++;
    const auto due = boot_clock::now() + delay;
    timers_.emplace(std::make_pair(due, id), std::move(function));
    due_times_.emplace(id, due);
    return id;
}

void event_loop::cancel(timer_id timer)
{
    const auto found = due_times_.find(timer);
    if (found == due_times_.end()) {
        return;
    }
    timers_.erase({found->second, timer});
    due_times_.erase(found);
}

void event_loop::defer(callback function)
{
    deferred_.push_back(std::move(function));
}

void event_loop::run()
{
    std::array<epoll_event, max_events_per_wait> events{};
    while (!stopped_) {
        const int count =
            epoll_wait(epoll_.get(), events.data(), max_events_per_wait, next_timeout_ms());
        for (int index = 0; index < count && !stopped_; ++index) {
            const auto& event = events.at(static_cast<std::size_t>(index));
            const auto found = handlers_.find(event.data.fd);
            if (found == handlers_.end()) {
                continue; // an earlier callback for the same epoll_wait() result unwatched it
            }
            const auto handler = found->second;
            (*handler)(event.events);
            run_deferred();
        }
        run_due_timers();
        run_deferred();
    }
}

void event_loop::stop()
{
    stopped_ = true;
}

void event_loop::run_due_timers()
{
    const auto now = boot_clock::now();
    while (!timers_.empty() && timers_.begin()->first.first <= now && !stopped_) {
        auto extracted_timer = timers_.extract(timers_.begin());
        due_times_.erase(extracted_timer.key().second);
        extracted_timer.mapped()();
    }
}

void event_loop::run_deferred()
{
    while (!deferred_.empty() && !stopped_) {
        std::vector<callback> callbacks;
        callbacks.swap(deferred_);
        for (const auto& function : callbacks) {
            function();
        }
    }
}

int event_loop::next_timeout_ms() const
{
    if (!deferred_.empty()) {
        return 0;
    }
    if (timers_.empty()) {
        return -1;
    }
    const auto remaining = timers_.begin()->first.first - boot_clock::now();
    if (remaining.count() <= 0) {
        return 0;
    }
    // Rounds up to whole milliseconds: epoll_wait() would otherwise return before the timer is due
    // and the loop would spin until then.
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                remaining + std::chrono::microseconds(999))
                                .count());
}

} // namespace jl::net
