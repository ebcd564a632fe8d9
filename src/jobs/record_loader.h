#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "jobs/ports.h"
#include "net/timer_service.h"

namespace jl::jobs {

// Gives the records of a listing to a function, a limited amount of work in one pass of the event
// loop: a new leader may have to load thousands of tasks while it renews its lease.
//
//   record_loader loader(timers, items, [](const store_item& item) { return work; }, [] { ... });
//
// The first part is loaded after the constructor has returned. Not thread-safe.
class record_loader {
public:
    // Loads the record and returns the number of tasks that it holds.
    using load_function = std::function<std::size_t(const store_item& item)>;

    // Calls `done`, which may destroy the loader, after the last record.
    record_loader(net::timer_service& timers, std::vector<store_item> items, load_function load,
                  std::function<void()> done);
    ~record_loader();
    record_loader(const record_loader&) = delete;
    record_loader& operator=(const record_loader&) = delete;

private:
    void schedule_part();
    void load_part();

    net::timer_service& timers_;
    std::vector<store_item> items_;
    load_function load_;
    std::function<void()> done_;
    std::size_t next_ = 0; // index in `items_`
    net::timer_service::timer_id timer_ = 0;
};

} // namespace jl::jobs
