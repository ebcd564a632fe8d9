#include "tests/harness/child_process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace jl::harness {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_path)
{
    std::vector<std::string> words = {program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        pid_ = -1;
        throw std::runtime_error("cannot start " + program);
    }
}

child_process::~child_process()
{
    if (pid_ > 0) {
        kill();
    }
}

void child_process::pause()
{
    ::kill(pid_, SIGSTOP);
}

void child_process::resume()
{
    ::kill(pid_, SIGCONT);
}

void child_process::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        wait_for_exit();
    }
}

int child_process::terminate()
{
    if (pid_ <= 0) {
        return -1;
    }
    ::kill(pid_, SIGTERM);
    return wait_for_exit();
}

int child_process::wait_for_exit()
{
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool child_process::running()
{
    if (pid_ <= 0) {
        return false;
    }
    return !poll_exit().has_value();
}

std::optional<int> child_process::poll_exit()
{
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
        return std::nullopt;
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::optional<int> wait_for_exit(child_process& process, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds poll_interval{10};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    do {
        if (const auto code = process.poll_exit()) {
            return code;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    return std::nullopt;
}

double child_process::cpu_seconds() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // Fields are counted behind the command name, which may contain spaces.
    const auto end_of_name = text.rfind(')');
    if (end_of_name == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(end_of_name + 1));
    std::string skipped;
    constexpr int fields_before_utime = 11;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double child_process::resident_mb() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double child_process::peak_resident_mb() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    double kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:") {
            file >> kilobytes;
            break;
        }
    }
    return kilobytes / (1 << 10);
}

std::size_t child_process::open_descriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace jl::harness
