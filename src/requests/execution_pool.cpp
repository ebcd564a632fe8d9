#include "requests/execution_pool.h"

#include <utility>

namespace jl::requests::internal {

execution_pool::execution_pool(std::size_t max_threads) : max_threads_(max_threads) {}

execution_pool::~execution_pool()
{
    stop();
}

void execution_pool::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    tasks_changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void execution_pool::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
        if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_ && !stopping_) {
            threads_.emplace_back([this] { run_worker(); });
        }
    }
    tasks_changed_.notify_one();
}

bool execution_pool::run_posted_tasks()
{
    std::deque<std::function<void()>> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
    }
    for (auto& task : tasks) {
        task();
    }
    return !tasks.empty();
}

void execution_pool::run_worker()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_threads_;
        tasks_changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        --idle_threads_;
        if (tasks_.empty()) {
            return;
        }
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace jl::requests::internal
