#pragma once

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
    pid_t pid() const { return pid_; }

    // Processor time used so far in seconds, and resident memory in MB.
    double cpu_seconds() const;
    double resident_mb() const;

private:
    pid_t pid_ = -1;
};

} // namespace jl::harness
