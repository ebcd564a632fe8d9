#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "store/key_value_store.h"

namespace jl::fleet {

// Changes of the keys in [begin, end): one full read, then a watch.
//
//   if (feed.load(deadline)) { use(feed.take()); } // first all keys as puts, then changes
//
// take() may return events that are older than the caller's own writes; compare mod revisions.
// Thread-safe.
class record_feed {
public:
    record_feed(store::key_value_store& store, std::string begin, std::string end);

    // Reads all keys and starts the watch. Events taken so far are discarded.
    bool load(steady_time deadline);
    // False if the watch has ended, so that load() is needed.
    bool active() const;
    std::vector<store::watch_event> take();
    void stop();

private:
    store::key_value_store& store_;
    const std::string begin_;
    const std::string end_;
    std::mutex mutex_;
    std::vector<store::watch_event> events_;
    std::unique_ptr<store::watch> watch_;
};

} // namespace jl::fleet
