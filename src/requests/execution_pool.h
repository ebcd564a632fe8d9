#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jl::requests::internal {

// A thread pool that executes deferred requests. Threads are started on demand, up to
// `max_threads`. With `max_threads` 0, tasks run only in run_posted_tasks(), on the thread that
// calls it. Thread-safe.
class execution_pool {
public:
    explicit execution_pool(std::size_t max_threads);
    ~execution_pool();
    execution_pool(const execution_pool&) = delete;
    execution_pool& operator=(const execution_pool&) = delete;

    void post(std::function<void()> task);
    // Waits until all posted tasks have run, then ends the threads.
    void stop();
    // Runs the queued tasks on the calling thread. Returns false if there were none.
    bool run_posted_tasks();

private:
    void run_worker();

    const std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable tasks_changed_;
    std::deque<std::function<void()>> tasks_;
    std::size_t idle_threads_ = 0;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace jl::requests::internal
