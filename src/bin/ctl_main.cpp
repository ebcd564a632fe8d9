// jlctl: the operators' command line.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>

#include "base/ids.h"
#include "http/client.h"
#include "operators/ctl.h"

namespace {

constexpr std::chrono::seconds metrics_timeout{5};

std::optional<std::string> read_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

bool write_file(const std::string& path, const std::string& content)
{
    std::ofstream file(path);
    file << content;
    file.close();
    return file.good();
}

std::optional<std::string> fetch_metrics(const jl::endpoint& server)
{
    jl::http::client client(server, {});
    const auto answer = client.exchange({"GET", "/metrics", {}, ""},
                                        std::chrono::steady_clock::now() + metrics_timeout);
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    return answer->body;
}

// Ids are not secret, so secrets come from the operating system's random numbers instead.
std::string new_secret()
{
    Poco::DigestEngine::Digest bytes(16);
    Poco::RandomInputStream random;
    random.read(reinterpret_cast<char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
    return Poco::DigestEngine::digestToHex(bytes);
}

} // namespace

int main(int argc, char** argv)
{
    // A closed connection must surface as an error of the write, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const jl::operators::ctl_environment environment{
        std::cout,
        std::cerr,
        [](const std::vector<jl::endpoint>& servers, std::chrono::milliseconds timeout) {
            return std::make_unique<jl::operators::http_admin_transport>(servers, timeout);
        },
        read_file,
        write_file,
        [](const std::string& name) {
            const char* value = std::getenv(name.c_str());
            return std::string(value == nullptr ? "" : value);
        },
        jl::new_id,
        new_secret,
        [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); },
        fetch_metrics};
    return static_cast<int>(
        jl::operators::run_ctl(std::vector<std::string>(argv + 1, argv + argc), environment));
}
