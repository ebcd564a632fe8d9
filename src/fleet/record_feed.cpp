#include "fleet/record_feed.h"

#include <utility>

namespace jl::fleet {

record_feed::record_feed(store::key_value_store& store, std::string begin, std::string end)
    : store_(store), begin_(std::move(begin)), end_(std::move(end))
{
}

bool record_feed::load(steady_time deadline)
{
    stop();
    const auto items = store_.range({begin_, end_, 0}, deadline);
    if (!items) {
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        for (const auto& item : items->items) {
            events_.push_back({store::watch_event::kind::put, item});
        }
    }
    watch_ = store_.start_watch(
        begin_, end_, items->revision + 1,
        [this](const std::vector<store::watch_event>& events, std::int64_t /*revision*/) {
            const std::lock_guard lock(mutex_);
            events_.insert(events_.end(), events.begin(), events.end());
        });
    return watch_ != nullptr;
}

bool record_feed::active() const
{
    return watch_ != nullptr && watch_->active();
}

std::vector<store::watch_event> record_feed::take()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, {});
}

void record_feed::stop()
{
    watch_.reset();
    const std::lock_guard lock(mutex_);
    events_.clear();
}

} // namespace jl::fleet
