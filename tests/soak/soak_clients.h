#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/soak_fleet.h"

namespace jl::soak {

// Callers that submit, ask for and cancel jobs at random nodes, and check what they are told:
//
// - an accepted job is known from then on, until it has ended or is cancelled,
// - it is shown as completed, or as failed if a task of it crashes its workers, and stays so,
// - a job all of whose attempts were refused never runs.
//
// Each caller keeps its connections open until they fail.
class soak_clients {
public:
    // With `long_tasks`, the tasks of some jobs run for several seconds.
    soak_clients(const soak_fleet& fleet, std::uint64_t seed, int callers, bool long_tasks);
    ~soak_clients();
    soak_clients(const soak_clients&) = delete;
    soak_clients& operator=(const soak_clients&) = delete;

    // Ends the callers. Called before the results are read.
    void stop();
    // Waits until each accepted job that was not cancelled has ended; true if all have.
    bool await_completion(std::chrono::milliseconds limit);
    // Checks that no refused job has run, by the starts that the stand-in saw.
    void check_refused(const nlohmann::json& starts);

    int accepted() const;
    int refused() const;
    std::vector<std::string> complaints() const;

private:
    enum class fate { unknown, refused, accepted, cancelling, ended };
    class caller;

    void run(std::size_t index, std::uint64_t seed);
    void submit(caller& caller, const std::string& id);
    void ask(caller& caller, const std::string& id);
    void cancel(caller& caller, const std::string& id);
    void complain(const std::string& text);
    fate fate_of(const std::string& id) const;
    void set_fate(const std::string& id, fate fate);

    const soak_fleet& fleet_;
    const bool long_tasks_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::map<std::string, fate> jobs_; // by id
    std::vector<std::string> complaints_;
    std::vector<std::thread> threads_;
};

} // namespace jl::soak
