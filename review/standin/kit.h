// Small tools of the review's stand-ins and drivers: HTTP/1.1 server and client, processes,
// records.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_for(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const
    {
        const auto mark = target.find('?');
        std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
        std::istringstream parts(rest);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                std::string value;
                const auto raw = part.substr(name.size() + 1);
                for (std::size_t i = 0; i < raw.size(); ++i) {
                    if (raw[i] == '%' && i + 2 < raw.size()) {
                        value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    }
                    else {
                        value += raw[i];
                    }
                }
                return value;
            }
        }
        return "";
    }
    json content() const
    {
        auto parsed = json::parse(body, nullptr, false);
        return parsed.is_object() ? parsed : json::object();
    }
};

struct response {
    int status = 0; // of a server: 0 closes the connection without an answer
    json body = json::object();
};

struct address {
    std::string ip = "127.0.0.1";
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
    return result;
}

// Ports that were free a moment ago, all different.
inline std::vector<address> free_addresses(int count)
{
    std::vector<address> result;
    std::vector<int> sockets;
    for (int i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto any = to_sockaddr({});
        socklen_t size = sizeof any;
        if (bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof any) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        result.push_back({"127.0.0.1", ntohs(any.sin_port)});
        sockets.push_back(fd);
    }
    for (const int fd : sockets) {
        close(fd);
    }
    return result;
}

// Reads one message. `first_line` gets the request or status line.
inline bool read_message(int fd, std::string& buffer, std::string& first_line,
                         std::map<std::string, std::string>& headers, std::string& body)
{
    const auto fill = [&] {
        char chunk[16384];
        const auto count = recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, first_line);
    if (!first_line.empty() && first_line.back() == '\r') {
        first_line.pop_back();
    }
    headers.clear();
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers[lower(line.substr(0, colon))] = value;
        }
    }
    std::size_t length = 0;
    if (headers.count("content-length") != 0) {
        length = static_cast<std::size_t>(std::stoull(headers["content-length"]));
    }
    while (buffer.size() < end + 4 + length) {
        if (!fill()) {
            return false;
        }
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// One thread a connection. The handler may block.
inline void serve(const address& at, std::function<response(const request&)> handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_sockaddr(at);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        listen(listener, 256) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, handler] {
            std::string buffer;
            request asked;
            std::string line;
            while (read_message(fd, buffer, line, asked.headers, asked.body)) {
                std::istringstream words(line);
                words >> asked.method >> asked.target;
                const auto answer = handler(asked);
                if (answer.status == 0) {
                    break;
                }
                const auto text = answer.body.dump();
                if (!send_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(text.size()) + "\r\n\r\n" + text)) {
                    break;
                }
            }
            close(fd);
        }).detach();
    }
}

// One exchange on a connection of its own. Nothing if no complete answer came in time.
inline std::optional<response> exchange(const address& server, const std::string& method,
                                        const std::string& target, const json& body,
                                        std::chrono::milliseconds timeout,
                                        const std::string& host = "")
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto where = to_sockaddr(server);
    std::optional<response> result;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) {
        const auto text = body.is_null() ? std::string() : body.dump();
        std::string head =
            method + " " + target + " HTTP/1.1\r\nHost: " + (host.empty() ? server.text() : host) +
            "\r\nX-Deadline-Remaining: " + std::to_string(timeout.count()) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
            "\r\n\r\n";
        std::string buffer;
        std::string line;
        std::string content;
        std::map<std::string, std::string> headers;
        if (send_all(fd, head + text) && read_message(fd, buffer, line, headers, content)) {
            response answer;
            answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
            auto parsed = json::parse(content, nullptr, false);
            answer.body = parsed.is_discarded() ? json(content) : parsed;
            result = std::move(answer);
        }
    }
    close(fd);
    return result;
}

// --- Processes -----------------------------------------------------------------------------------

inline std::vector<pid_t>& children()
{
    static std::vector<pid_t> all;
    return all;
}

inline pid_t spawn(const std::vector<std::string>& command,
                   const std::map<std::string, std::string>& environment, const std::string& log)
{
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // none outlives the driver
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        for (const auto& [name, value] : environment) {
            setenv(name.c_str(), value.c_str(), 1);
        }
        std::vector<char*> words;
        for (const auto& word : command) {
            words.push_back(const_cast<char*>(word.c_str()));
        }
        words.push_back(nullptr);
        execv(words[0], words.data());
        _exit(127);
    }
    children().push_back(child);
    return child;
}

inline void end_process(pid_t child)
{
    auto& all = children();
    const auto found = std::find(all.begin(), all.end(), child);
    if (found == all.end()) {
        return;
    }
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    all.erase(found);
}

inline void end_all()
{
    const auto all = children();
    for (const auto child : all) {
        end_process(child);
    }
}

} // namespace review
