#include "jobs/record_loader.h"

#include <utility>

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

// Work of one part. A byte of a record counts as one, a task that it holds, done or not, as
// `work_per_task`. A part takes a quarter of a core some 20 ms; a larger record is a part of its
// own.
constexpr std::size_t max_work_per_part = 128U << 10U;
constexpr std::size_t work_per_task = 32;

} // namespace

record_loader::record_loader(net::timer_service& timers, std::vector<store_item> items,
                             load_function load, std::function<void()> done)
    : timers_(timers), items_(std::move(items)), load_(std::move(load)), done_(std::move(done))
{
    schedule_part();
}

record_loader::~record_loader()
{
    timers_.cancel(timer_);
}

void record_loader::schedule_part()
{
    timer_ = timers_.call_after(0ns, [this] {
        timer_ = 0;
        load_part();
    });
}

void record_loader::load_part()
{
    std::size_t work = 0;
    while (next_ < items_.size() && work < max_work_per_part) {
        const auto& item = items_[next_++];
        work += item.value.size() + load_(item) * work_per_task;
    }
    if (next_ < items_.size()) {
        schedule_part();
        return;
    }
    const auto done = std::move(done_);
    done();
}

} // namespace jl::jobs
