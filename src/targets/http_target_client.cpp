#include <map>
#include <mutex>

#include "http/client.h"
#include "targets/target_client.h"

namespace jl::targets {

namespace {

target_error& thread_error()
{
    thread_local target_error error;
    return error;
}

target_error to_target_error(const http::client_error& error)
{
    switch (error.code) {
    case http::client_error_code::connect_failed:
    case http::client_error_code::no_connection:
        return {target_error_code::not_sent, error.message};
    case http::client_error_code::timed_out:
        return {target_error_code::timed_out, error.message};
    case http::client_error_code::disconnected:
        return {target_error_code::disconnected, error.message};
    case http::client_error_code::truncated:
    case http::client_error_code::too_large:
    case http::client_error_code::malformed:
        break;
    }
    return {target_error_code::invalid_answer, error.message};
}

class http_target_client final : public target_client {
public:
    explicit http_target_client(std::size_t max_connections) : max_connections_(max_connections) {}

    std::optional<target_answer> exchange(const endpoint& target, const target_request& request,
                                          steady_time deadline) override
    {
        http::request message;
        message.method = "POST";
        message.target = "/" + request.service;
        message.headers["Jl-Request-Id"] = request.id;
        message.headers["Jl-Timeout-Ms"] =
            std::to_string(time_left(deadline, std::chrono::steady_clock::now()).count());
        if (!request.content_type.empty()) {
            message.headers["Content-Type"] = request.content_type;
        }
        message.body = request.body;
        auto answer = find_client(target)->exchange(message, deadline);
        if (!answer) {
            set_last_error(to_target_error(http::client::last_error()));
            return std::nullopt;
        }
        return target_answer{answer->status,
                             http::find_header(answer->headers, "Content-Type").value_or(""),
                             std::move(answer->body)};
    }

    void close_connections(const endpoint& target) override
    {
        std::shared_ptr<http::client> removed;
        const std::lock_guard lock(mutex_);
        const auto found = clients_.find(target);
        if (found != clients_.end()) {
            removed = found->second;
            clients_.erase(found);
        }
    }

private:
    std::shared_ptr<http::client> find_client(const endpoint& target)
    {
        const std::lock_guard lock(mutex_);
        auto& client = clients_[target];
        if (!client) {
            http::client_limits limits;
            limits.max_connections = max_connections_;
            client = std::make_shared<http::client>(target, limits);
        }
        return client;
    }

    const std::size_t max_connections_;
    std::mutex mutex_;
    std::map<endpoint, std::shared_ptr<http::client>> clients_;
};

} // namespace

const target_error& last_error()
{
    return thread_error();
}

void set_last_error(target_error error)
{
    thread_error() = std::move(error);
}

std::unique_ptr<target_client> make_http_target_client(std::size_t max_connections)
{
    return std::make_unique<http_target_client>(max_connections);
}

} // namespace jl::targets
