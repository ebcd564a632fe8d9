#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jl {

// Runs a function repeatedly on a dedicated thread until destroyed: once immediately, and again
// `period` plus a random delay of up to `jitter` after each run ends. `wake()` makes the next run
// start without waiting.
//
//   periodic_task poll(500ms, 100ms, [&] { refresh(); });
//
// Thread-safe. The destructor waits for a run in progress to finish.
class periodic_task {
public:
    periodic_task(std::chrono::milliseconds period, std::chrono::milliseconds jitter,
                  std::function<void()> function);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

    void wake();

private:
    void run();

    std::chrono::milliseconds period_;
    std::chrono::milliseconds jitter_;
    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable wake_condition_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace jl
