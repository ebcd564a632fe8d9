#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jl::requests::internal {

// Threads that execute deferred requests, started as they are needed. Without threads
// (`max_threads` 0), run_posted() executes what was posted. Thread-safe.
class execution_pool {
public:
    explicit execution_pool(std::size_t max_threads);
    ~execution_pool();
    execution_pool(const execution_pool&) = delete;
    execution_pool& operator=(const execution_pool&) = delete;

    void post(std::function<void()> task);
    // Runs everything posted before, then ends the threads.
    void stop();
    // Returns false if nothing was posted.
    bool run_posted();

private:
    void run();

    const std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace jl::requests::internal
