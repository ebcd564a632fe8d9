#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jl::harness {

// A process started by a test or a bench; killed and reaped on destruction.
class child_process {
public:
    // Starts `program` with `arguments`; standard output and error go to `log_path`.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void pause();
    void resume();
    void kill();
    // Asks for a graceful stop and waits; returns the exit code, or -1 if a signal ended it.
    int terminate();
    // Waits until the process has ended by itself; returns as terminate().
    int wait_for_exit();
    bool running();
    // The exit code once it has ended, as terminate(); nothing while it runs.
    std::optional<int> poll_exit();
    pid_t pid() const { return pid_; }

    // Processor time used so far in seconds, and resident memory in MB.
    double cpu_seconds() const;
    double resident_mb() const;
    // The most resident memory so far in MB.
    double peak_resident_mb() const;
    std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
};

// Waits for the process to end by itself, at most `limit`.
std::optional<int> wait_for_exit(child_process& process, std::chrono::milliseconds limit);

} // namespace jl::harness
