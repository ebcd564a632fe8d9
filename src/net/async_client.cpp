#include "net/async_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "net/http_framing.h"

namespace jl::net {

namespace {

constexpr std::size_t read_chunk_bytes = 16U << 10U;
constexpr std::size_t max_head_bytes = 16U << 10U;

unique_fd open_socket(const endpoint& server, bool& connected)
{
    unique_fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return {};
    }
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    if (inet_pton(AF_INET, server.address.c_str(), &address.sin_addr) != 1) {
        return {};
    }
    const int result =
        ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    connected = result == 0;
    if (result != 0 && errno != EINPROGRESS) {
        return {};
    }
    return socket;
}

// Makes the close of the socket reset the connection. Bytes that a partition holds up are dropped
// then; otherwise they would arrive once it has healed.
void discard_unsent_bytes(const unique_fd& socket)
{
    const linger abort{1, 0};
    setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

} // namespace

async_client_limits limits_with_max_connections(std::size_t max_connections)
{
    async_client_limits limits;
    limits.max_connections = max_connections;
    return limits;
}

class async_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, endpoint server, async_client_limits limits)
        : loop_(loop), server_(std::move(server)), limits_(limits)
    {
    }

    const endpoint& server() const { return server_; }

    bool has_idle_connection() const
    {
        return std::any_of(connections_.begin(), connections_.end(), [](const auto& conn) {
            return conn->connected && !conn->call && !conn->closed;
        });
    }

    void exchange(http::request request, std::chrono::milliseconds timeout, callback on_result)
    {
        auto call = std::make_shared<pending_exchange>();
        if (!http::find_header(request.headers, "Host")) {
            request.headers["Host"] = server_.to_string();
        }
        call->request_bytes = serialize(request);
        call->on_result = std::move(on_result);
        call->deadline = boot_clock::now() + timeout;
        const std::weak_ptr<implementation> weak_self = weak_from_this();
        const std::weak_ptr<pending_exchange> weak_call = call;
        call->timer = loop_.call_after(timeout, [weak_self, weak_call] {
            const auto client = weak_self.lock();
            const auto locked_call = weak_call.lock();
            if (client && locked_call) {
                client->handle_timeout(locked_call);
            }
        });
        queued_calls_.push_back(std::move(call));
        start_queued_calls();
    }

    void shut_down()
    {
        closing_ = true;
        for (const auto& call : queued_calls_) {
            loop_.cancel(call->timer);
        }
        queued_calls_.clear();
        for (const auto& conn : connections_) {
            if (conn->call) {
                loop_.cancel(conn->call->timer);
            }
            loop_.unwatch(conn->socket.get());
            conn->closed = true;
        }
        connections_.clear();
    }

private:
    struct pending_exchange {
        std::string request_bytes;
        callback on_result;
        boot_time deadline;
        event_loop::timer_id timer = 0;
    };
    using pending_exchange_ptr = std::shared_ptr<pending_exchange>;

    struct connection {
        explicit connection(std::size_t max_answer_bytes) : input(max_head_bytes, max_answer_bytes)
        {
        }
        unique_fd socket;
        message_buffer input;
        std::size_t bytes_written = 0;
        pending_exchange_ptr call; // null while the connection is idle
        boot_time call_began{};
        bool connected = false;
        bool any_byte_sent = false;
        bool closed = false;
        std::uint32_t watched_events = 0;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void start_queued_calls()
    {
        while (!queued_calls_.empty() && !closing_) {
            auto conn = idle_connection();
            if (!conn && connections_.size() >= limits_.max_connections + silent_connections()) {
                schedule_silence_check();
                return;
            }
            auto call = queued_calls_.front();
            queued_calls_.pop_front();
            if (!conn) {
                conn = connect();
            }
            if (!conn) {
                report_failure(call, http::client_error_code::connect_failed,
                               "cannot open a socket or start connecting");
                continue;
            }
            conn->call = call;
            conn->call_began = boot_clock::now();
            conn->bytes_written = 0;
            conn->any_byte_sent = false;
            if (conn->connected && has_unread_bytes(*conn)) {
                close_and_report(conn, http::client_error_code::malformed,
                                 "received bytes before the request");
            }
            else if (conn->connected) {
                write(conn);
            }
        }
    }

    // Bytes that arrived before a request cannot be its answer.
    static bool has_unread_bytes(const connection& conn)
    {
        char byte = 0;
        return recv(conn.socket.get(), &byte, sizeof byte, MSG_PEEK) > 0;
    }

    connection_ptr idle_connection()
    {
        for (const auto& conn : connections_) {
            if (!conn->call) {
                return conn;
            }
        }
        return nullptr;
    }

    std::size_t silent_connections() const
    {
        if (!limits_.silent_after) {
            return 0;
        }
        const auto silent_since = boot_clock::now() - *limits_.silent_after;
        const auto silent =
            std::count_if(connections_.begin(), connections_.end(), [&](const auto& conn) {
                return conn->call && conn->call_began <= silent_since;
            });
        return std::min(static_cast<std::size_t>(silent), limits_.max_silent_connections);
    }

    // Exchanges wait: looks for connections that have turned silent once that can be the case.
    void schedule_silence_check()
    {
        if (!limits_.silent_after || silence_check_scheduled_) {
            return;
        }
        silence_check_scheduled_ = true;
        loop_.call_after(*limits_.silent_after, [weak_self = weak_from_this()] {
            if (const auto client = weak_self.lock()) {
                client->silence_check_scheduled_ = false;
                client->start_queued_calls();
            }
        });
    }

    connection_ptr connect()
    {
        auto conn = std::make_shared<connection>(limits_.max_answer_bytes);
        conn->socket = open_socket(server_, conn->connected);
        if (!conn->socket.valid()) {
            return nullptr;
        }
        const std::weak_ptr<implementation> weak_self = weak_from_this();
        conn->watched_events = EPOLLIN | EPOLLOUT;
        loop_.watch(conn->socket.get(), conn->watched_events,
                    [weak_self, conn](std::uint32_t events) {
                        if (const auto client = weak_self.lock()) {
                            client->on_event(conn, events);
                        }
                    });
        connections_.push_back(conn);
        if (!conn->connected) {
            schedule_connect_timeout(conn);
        }
        return conn;
    }

    void schedule_connect_timeout(const connection_ptr& conn)
    {
        const std::weak_ptr<implementation> weak_self = weak_from_this();
        const std::weak_ptr<connection> weak_conn = conn;
        loop_.call_after(limits_.connect_timeout, [weak_self, weak_conn] {
            const auto client = weak_self.lock();
            const auto locked_conn = weak_conn.lock();
            if (client && locked_conn && !locked_conn->connected && !locked_conn->closed) {
                client->close_and_report(locked_conn, http::client_error_code::connect_failed,
                                         "connect timed out");
            }
        });
    }

    void on_event(const connection_ptr& conn, std::uint32_t events)
    {
        if (conn->closed) {
            return;
        }
        if (!conn->connected) {
            finish_connect(conn);
        }
        else if ((events & EPOLLOUT) != 0) {
            write(conn);
        }
        if (!conn->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
            read(conn);
        }
    }

    void finish_connect(const connection_ptr& conn)
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(conn->socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close_and_report(conn, http::client_error_code::connect_failed, "connect failed");
            return;
        }
        conn->connected = true;
        write(conn);
    }

    void write(const connection_ptr& conn)
    {
        // This process may have been suspended since the caller decided to send the request.
        if (conn->call && boot_clock::now() >= conn->call->deadline) {
            close_and_report(conn, http::client_error_code::timed_out,
                             "not sent before its deadline");
            return;
        }
        while (conn->call && conn->bytes_written < conn->call->request_bytes.size()) {
            const auto& request_bytes = conn->call->request_bytes;
            const auto count =
                ::send(conn->socket.get(), request_bytes.data() + conn->bytes_written,
                       request_bytes.size() - conn->bytes_written, MSG_NOSIGNAL);
            if (count > 0) {
                conn->bytes_written += static_cast<std::size_t>(count);
                conn->any_byte_sent = true;
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                set_watched_events(conn, EPOLLIN | EPOLLOUT);
                return;
            }
            close_and_report(conn, http::client_error_code::disconnected,
                             "connection closed while sending");
            return;
        }
        set_watched_events(conn, EPOLLIN);
    }

    void set_watched_events(const connection_ptr& conn, std::uint32_t events)
    {
        if (conn->watched_events != events) {
            conn->watched_events = events;
            loop_.modify(conn->socket.get(), events);
        }
    }

    void read(const connection_ptr& conn)
    {
        std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
        while (true) {
            const auto count = recv(conn->socket.get(), chunk.data(), chunk.size(), 0);
            if (count > 0) {
                conn->input.append(chunk.data(), static_cast<std::size_t>(count));
                // A server that keeps sending must not fill the memory before its answer is judged.
                const bool full = conn->input.size() > max_head_bytes + limits_.max_answer_bytes;
                if (full || static_cast<std::size_t>(count) < chunk.size()) {
                    break;
                }
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                break;
            }
            close_and_report(conn, http::client_error_code::disconnected,
                             "connection closed by the server");
            return;
        }
        handle_response(conn);
    }

    void handle_response(const connection_ptr& conn)
    {
        if (!conn->call || !conn->any_byte_sent) {
            if (!conn->input.empty()) {
                close_and_report(conn, http::client_error_code::malformed,
                                 "received bytes without a request");
            }
            return;
        }
        auto response = conn->input.take_response();
        if (!response) {
            if (conn->input.error() != framing_error::none) {
                close_and_report(conn, http::client_error_code::malformed,
                                 "the response is malformed, too large or has no Content-Length");
            }
            return;
        }
        const auto call = std::move(conn->call);
        conn->call = nullptr;
        loop_.cancel(call->timer);
        const bool sent_to_its_end = conn->bytes_written == call->request_bytes.size();
        if (!sent_to_its_end || wants_close(response->headers) || !conn->input.empty()) {
            close(conn);
        }
        exchange_result result;
        result.answer = std::move(response);
        const auto keep_alive = shared_from_this();
        call->on_result(result);
        start_queued_calls();
    }

    void handle_timeout(const pending_exchange_ptr& call)
    {
        const auto conn = connection_of(call);
        if (!conn) {
            queued_calls_.remove(call);
            report_failure(call, http::client_error_code::no_connection,
                           "no connection became free in time");
            return;
        }
        if (conn->connected) {
            // The answer may have arrived while the loop was busy with other events.
            read(conn);
        }
        if (conn->call == call) {
            // The fault that stopped this connection may also affect the idle ones, so none is
            // reused.
            close_idle();
            discard_unsent_bytes(conn->socket);
            close_and_report(conn, http::client_error_code::timed_out, "no answer in time");
        }
    }

    // Returns the connection with the exchange in progress; null if it has none yet.
    connection_ptr connection_of(const pending_exchange_ptr& call) const
    {
        const auto found = std::find_if(connections_.begin(), connections_.end(),
                                        [&](const auto& conn) { return conn->call == call; });
        return found == connections_.end() ? nullptr : *found;
    }

    // Closes the connection and reports the error to the exchange in progress on it, if any.
    void close_and_report(const connection_ptr& conn, http::client_error_code code,
                          const char* message)
    {
        if (conn->closed) {
            return;
        }
        close(conn);
        if (!conn->call) {
            return;
        }
        const auto call = std::move(conn->call);
        conn->call = nullptr;
        const auto keep_alive = shared_from_this();
        report_failure(call, conn->any_byte_sent ? code : http::client_error_code::connect_failed,
                       message);
        start_queued_calls();
    }

    void report_failure(const pending_exchange_ptr& call, http::client_error_code code,
                        const char* message)
    {
        loop_.cancel(call->timer);
        exchange_result result;
        result.error = {code, message};
        loop_.defer([weak_self = weak_from_this(), call, result] {
            if (weak_self.lock()) {
                call->on_result(result);
            }
        });
    }

    void close_idle()
    {
        std::vector<connection_ptr> idle;
        for (const auto& conn : connections_) {
            if (!conn->call) {
                idle.push_back(conn);
            }
        }
        for (const auto& conn : idle) {
            close(conn);
        }
    }

    void close(const connection_ptr& conn)
    {
        if (conn->closed) {
            return;
        }
        conn->closed = true;
        loop_.unwatch(conn->socket.get());
        conn->socket.reset();
        connections_.remove(conn);
    }

    event_loop& loop_;
    endpoint server_;
    async_client_limits limits_;
    std::list<pending_exchange_ptr> queued_calls_;
    std::list<connection_ptr> connections_;
    bool closing_ = false;
    bool silence_check_scheduled_ = false;
};

async_client::async_client(event_loop& loop, endpoint server, async_client_limits limits)
    : implementation_(std::make_shared<implementation>(loop, std::move(server), limits))
{
}

async_client::~async_client()
{
    implementation_->shut_down();
}

void async_client::exchange(http::request request, std::chrono::milliseconds timeout,
                            callback on_result)
{
    implementation_->exchange(std::move(request), timeout, std::move(on_result));
}

bool async_client::has_idle_connection() const
{
    return implementation_->has_idle_connection();
}

const endpoint& async_client::server() const
{
    return implementation_->server();
}

} // namespace jl::net
