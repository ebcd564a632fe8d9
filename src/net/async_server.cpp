#include "net/async_server.h"

#include <array>
#include <cerrno>
#include <exception>
#include <memory>
#include <unordered_map>
#include <utility>

#include <Poco/Net/ServerSocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/log.h"
#include "net/http_framing.h"

namespace jl::net {

namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t read_chunk_bytes = 16U << 10U;
constexpr int internal_error = 500;
// A peer that acknowledges nothing for this long is taken for gone.
constexpr unsigned int tcp_user_timeout_ms = 5000;

int status_of(framing_error error)
{
    switch (error) {
    case framing_error::too_large:
        return 413;
    case framing_error::length_required:
        return 411;
    default:
        return 400;
    }
}

} // namespace

class async_server::implementation {
public:
    implementation(event_loop& loop, const endpoint& address, async_server_limits limits,
                   async_handler handler)
        : loop_(loop), limits_(limits), handler_(std::move(handler))
    {
        listener_.bind(Poco::Net::SocketAddress(address.address, address.port), true);
        listener_.listen(listen_backlog);
        listener_.setBlocking(false);
        loop_.watch(listener_.impl()->sockfd(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
        schedule_sweep();
    }

    ~implementation()
    {
        loop_.cancel(sweep_timer_);
        loop_.unwatch(listener_.impl()->sockfd());
        for (auto& [descriptor, connection] : connections_) {
            loop_.unwatch(descriptor);
            connection->closed = true;
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void begin_shutdown()
    {
        shutting_down_ = true;
        std::vector<std::shared_ptr<connection>> idle;
        for (const auto& [descriptor, open] : connections_) {
            if (!open->busy && open->input.empty() && open->output.empty()) {
                idle.push_back(open);
            }
        }
        for (const auto& open : idle) {
            close(open);
        }
    }

    std::size_t open_requests() const { return open_requests_; }
    std::uint16_t port() const { return listener_.address().port(); }

private:
    struct connection {
        connection(unique_fd socket, const async_server_limits& limits)
            : socket(std::move(socket)), input(limits.max_head_bytes, limits.max_body_bytes)
        {
        }
        unique_fd socket;
        message_buffer input;
        std::string output;
        boot_time last_activity = boot_clock::now();
        bool busy = false; // a request is with the handler
        bool close_after_write = false;
        bool closed = false;
        bool writing = false; // EPOLLOUT is watched
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept_all()
    {
        while (true) {
            unique_fd socket(accept4(listener_.impl()->sockfd(), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!socket.valid()) {
                return;
            }
            if (connections_.size() >= limits_.max_connections) {
                continue; // closing tells the caller at once; it tries another entry VM
            }
            const int on = 1;
            setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
                       sizeof tcp_user_timeout_ms);
            const int descriptor = socket.get();
            auto open = std::make_shared<connection>(std::move(socket), limits_);
            connections_[descriptor] = open;
            loop_.watch(descriptor, EPOLLIN,
                        [this, open](std::uint32_t events) { on_event(open, events); });
        }
    }

    void on_event(const connection_ptr& open, std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0) {
            flush(open);
        }
        if (!open->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
            read(open);
        }
    }

    void read(const connection_ptr& open)
    {
        std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
        while (!open->closed) {
            const auto count = recv(open->socket.get(), chunk.data(), chunk.size(), 0);
            if (count > 0) {
                open->input.append(chunk.data(), static_cast<std::size_t>(count));
                open->last_activity = boot_clock::now();
                if (static_cast<std::size_t>(count) < chunk.size()) {
                    break;
                }
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                break;
            }
            close(open);
            return;
        }
        serve_next(open);
    }

    void serve_next(const connection_ptr& open)
    {
        if (open->busy || open->closed || open->close_after_write) {
            return;
        }
        auto request = open->input.take_request();
        if (!request) {
            if (open->input.error() != framing_error::none) {
                open->close_after_write = true;
                send(open, http::error_response(status_of(open->input.error()), "bad_request",
                                                "the request cannot be read"));
            }
            return;
        }
        open->busy = true;
        ++open_requests_;
        const bool close_requested = wants_close(request->headers);
        const auto respond = make_responder(open, close_requested);
        // One request that cannot be handled must not take down all others. The answer leaves open
        // whether it has been carried out.
        try {
            handler_(std::move(*request), respond);
        }
        catch (const std::exception& fault) {
            log_event(log_level::error, "request.failed", {{"reason", fault.what()}});
            respond(http::error_response(internal_error, "internal_error",
                                         "the request could not be handled"));
        }
    }

    // Answers the request that the connection is busy with; later calls do nothing.
    responder make_responder(const connection_ptr& open, bool close_requested)
    {
        const std::weak_ptr<connection> reference = open;
        return [this, reference, close_requested,
                answered = std::make_shared<bool>(false)](const http::response& answer) {
            if (std::exchange(*answered, true)) {
                return;
            }
            --open_requests_;
            const auto target = reference.lock();
            if (!target || target->closed) {
                return;
            }
            target->busy = false;
            target->close_after_write = close_requested || shutting_down_;
            send(target, answer);
            if (!target->input.empty()) {
                loop_.defer([this, target] { serve_next(target); });
            }
        };
    }

    void send(const connection_ptr& open, const http::response& answer)
    {
        open->output += serialize(answer, !open->close_after_write);
        flush(open);
    }

    void flush(const connection_ptr& open)
    {
        while (!open->output.empty()) {
            const auto count =
                ::send(open->socket.get(), open->output.data(), open->output.size(), MSG_NOSIGNAL);
            if (count > 0) {
                open->output.erase(0, static_cast<std::size_t>(count));
                open->last_activity = boot_clock::now();
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                set_writing(open, true);
                return;
            }
            close(open);
            return;
        }
        set_writing(open, false);
        if (open->close_after_write) {
            close(open);
        }
    }

    void set_writing(const connection_ptr& open, bool writing)
    {
        if (open->writing == writing) {
            return;
        }
        open->writing = writing;
        loop_.change(open->socket.get(), writing ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void close(const connection_ptr& open)
    {
        if (open->closed) {
            return;
        }
        open->closed = true;
        loop_.unwatch(open->socket.get());
        connections_.erase(open->socket.get());
        open->socket.reset();
    }

    void schedule_sweep()
    {
        sweep_timer_ = loop_.call_after(limits_.idle_timeout / 4, [this] {
            const auto oldest = boot_clock::now() - limits_.idle_timeout;
            std::vector<connection_ptr> idle;
            for (const auto& [descriptor, open] : connections_) {
                if (!open->busy && open->last_activity < oldest) {
                    idle.push_back(open);
                }
            }
            for (const auto& open : idle) {
                close(open);
            }
            schedule_sweep();
        });
    }

    event_loop& loop_;
    async_server_limits limits_;
    async_handler handler_;
    Poco::Net::ServerSocket listener_;
    std::unordered_map<int, connection_ptr> connections_;
    event_loop::timer_id sweep_timer_ = 0;
    std::size_t open_requests_ = 0;
    bool shutting_down_ = false;
};

async_server::async_server(event_loop& loop, const endpoint& address, async_server_limits limits,
                           async_handler handler)
    : implementation_(std::make_unique<implementation>(loop, address, limits, std::move(handler)))
{
}

async_server::~async_server() = default;

void async_server::begin_shutdown()
{
    implementation_->begin_shutdown();
}

std::size_t async_server::open_requests() const
{
    return implementation_->open_requests();
}

std::uint16_t async_server::port() const
{
    return implementation_->port();
}

} // namespace jl::net
