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
constexpr int internal_server_error_status = 500;
// The kernel closes a connection whose sent data stays unacknowledged for this long.
constexpr unsigned int tcp_user_timeout_ms = 5000;

int http_status_for(framing_error error)
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
        loop_.watch(listener_.impl()->sockfd(), EPOLLIN,
                    [this](std::uint32_t) { accept_pending_connections(); });
        schedule_idle_check();
    }

    ~implementation()
    {
        loop_.cancel(idle_check_timer_);
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
        for (const auto& [descriptor, conn] : connections_) {
            if (!conn->busy && conn->input.empty() && conn->output.empty()) {
                idle.push_back(conn);
            }
        }
        for (const auto& conn : idle) {
            close(conn);
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
        bool busy = false; // the handler has not answered the current request yet
        bool close_after_write = false;
        bool closed = false;
        bool write_watched = false; // the loop watches EPOLLOUT
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept_pending_connections()
    {
        while (true) {
            unique_fd socket(accept4(listener_.impl()->sockfd(), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!socket.valid()) {
                return;
            }
            if (connections_.size() >= limits_.max_connections) {
                continue; // closes the socket, so that the caller tries another entry VM at once
            }
            const int on = 1;
            setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
                       sizeof tcp_user_timeout_ms);
            const int descriptor = socket.get();
            auto conn = std::make_shared<connection>(std::move(socket), limits_);
            connections_[descriptor] = conn;
            loop_.watch(descriptor, EPOLLIN,
                        [this, conn](std::uint32_t events) { on_event(conn, events); });
        }
    }

    void on_event(const connection_ptr& conn, std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0) {
            flush(conn);
        }
        if (!conn->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
            read(conn);
        }
    }

    void read(const connection_ptr& conn)
    {
        std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
        while (!conn->closed) {
            const auto count = recv(conn->socket.get(), chunk.data(), chunk.size(), 0);
            if (count > 0) {
                conn->input.append(chunk.data(), static_cast<std::size_t>(count));
                conn->last_activity = boot_clock::now();
                if (static_cast<std::size_t>(count) < chunk.size()) {
                    break;
                }
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                break;
            }
            close(conn);
            return;
        }
        handle_next_request(conn);
    }

    void handle_next_request(const connection_ptr& conn)
    {
        if (conn->busy || conn->closed || conn->close_after_write) {
            return;
        }
        auto request = conn->input.take_request();
        if (!request) {
            if (conn->input.error() != framing_error::none) {
                conn->close_after_write = true;
                send(conn, http::error_response(http_status_for(conn->input.error()), "bad_request",
                                                "the request cannot be read"));
            }
            return;
        }
        conn->busy = true;
        ++open_requests_;
        const bool close_requested = wants_close(request->headers);
        const auto respond = make_responder(conn, close_requested);
        // An exception from the handler must not end the process, which serves other requests. The
        // error response does not say whether the request took effect.
        try {
            handler_(std::move(*request), respond);
        }
        catch (const std::exception& fault) {
            log_event(log_level::error, "request.failed", {{"reason", fault.what()}});
            respond(http::error_response(internal_server_error_status, "internal_error",
                                         "the request could not be handled"));
        }
    }

    // Returns the function that answers the connection's current request. Only its first call has
    // an effect.
    responder make_responder(const connection_ptr& conn, bool close_requested)
    {
        const std::weak_ptr<connection> weak_conn = conn;
        return [this, weak_conn, close_requested,
                answered = std::make_shared<bool>(false)](const http::response& response) {
            if (std::exchange(*answered, true)) {
                return;
            }
            --open_requests_;
            const auto locked_conn = weak_conn.lock();
            if (!locked_conn || locked_conn->closed) {
                return;
            }
            locked_conn->busy = false;
            locked_conn->close_after_write = close_requested || shutting_down_;
            send(locked_conn, response);
            if (!locked_conn->input.empty()) {
                loop_.defer([this, locked_conn] { handle_next_request(locked_conn); });
            }
        };
    }

    void send(const connection_ptr& conn, const http::response& response)
    {
        conn->output += serialize(response, !conn->close_after_write);
        flush(conn);
    }

    void flush(const connection_ptr& conn)
    {
        while (!conn->output.empty()) {
            const auto count =
                ::send(conn->socket.get(), conn->output.data(), conn->output.size(), MSG_NOSIGNAL);
            if (count > 0) {
                conn->output.erase(0, static_cast<std::size_t>(count));
                conn->last_activity = boot_clock::now();
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                watch_writable(conn, true);
                return;
            }
            close(conn);
            return;
        }
        watch_writable(conn, false);
        if (conn->close_after_write) {
            close(conn);
        }
    }

    void watch_writable(const connection_ptr& conn, bool write_watched)
    {
        if (conn->write_watched == write_watched) {
            return;
        }
        conn->write_watched = write_watched;
        loop_.modify(conn->socket.get(), write_watched ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void close(const connection_ptr& conn)
    {
        if (conn->closed) {
            return;
        }
        conn->closed = true;
        loop_.unwatch(conn->socket.get());
        connections_.erase(conn->socket.get());
        conn->socket.reset();
    }

    void schedule_idle_check()
    {
        idle_check_timer_ = loop_.call_after(limits_.idle_timeout / 4, [this] {
            const auto oldest = boot_clock::now() - limits_.idle_timeout;
            std::vector<connection_ptr> idle;
            for (const auto& [descriptor, conn] : connections_) {
                if (!conn->busy && conn->last_activity < oldest) {
                    idle.push_back(conn);
                }
            }
            for (const auto& conn : idle) {
                close(conn);
            }
            schedule_idle_check();
        });
    }

    event_loop& loop_;
    async_server_limits limits_;
    async_handler handler_;
    Poco::Net::ServerSocket listener_;
    std::unordered_map<int, connection_ptr> connections_;
    event_loop::timer_id idle_check_timer_ = 0;
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
