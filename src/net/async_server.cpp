#include "net/async_server.h"

#include <algorithm>
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
constexpr int service_unavailable_status = 503;
// Estimated memory of a parsed request and its bookkeeping, in addition to its bytes.
constexpr std::size_t request_overhead_bytes = 2U << 10U;
constexpr int max_discarded_chunks = 64; // bounds the time for a client that keeps sending
constexpr const char* overload_retry_after_s = "1";
// Pause of accept() after the process has run out of descriptors.
constexpr std::chrono::milliseconds accept_pause{100};
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

// The request has not been handed to the handler, so it has no effect.
http::response overload_response()
{
    auto response = http::error_response(service_unavailable_status, "overloaded",
                                         "the request has not been carried out; try again");
    response.headers["Retry-After"] = overload_retry_after_s;
    return response;
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
        watch_listener();
        schedule_idle_check();
    }

    ~implementation()
    {
        loop_.cancel(idle_check_timer_);
        if (accept_timer_ != 0) {
            loop_.cancel(accept_timer_);
        }
        else {
            loop_.unwatch(listener_.impl()->sockfd());
        }
        for (auto& [descriptor, connection] : connections_) {
            loop_.unwatch(descriptor);
            connection->closed = true;
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void close_after_responses() { closes_after_responses_ = true; }

    void begin_shutdown()
    {
        closes_after_responses_ = true;
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

    bool busy() const
    {
        return open_requests_ > 0 ||
               std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
                   return !entry.second->output.empty() || entry.second->next_request_scheduled;
               });
    }

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
        boot_time receiving_since{};         // see async_server_limits::max_receive_time
        std::size_t bytes_being_handled = 0; // size of the current request
        std::uint32_t watched_events = EPOLLIN;
        bool busy = false;                   // the handler has not answered the current request yet
        bool next_request_scheduled = false; // a deferred call handles the next buffered request
        bool close_after_write = false;
        bool closed = false;

        // False while a response waits or the next buffered request is scheduled, which keeps a
        // client that does not read its responses from filling the memory.
        bool accepts_input() const
        {
            return !busy && !next_request_scheduled && output.empty() && !close_after_write;
        }
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept_pending_connections()
    {
        while (true) {
            unique_fd socket(accept4(listener_.impl()->sockfd(), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!socket.valid()) {
                if (errno == EMFILE || errno == ENFILE) {
                    make_descriptor_available();
                }
                return;
            }
            if (connections_.size() >= limits_.max_connections && !close_least_active()) {
                continue; // closes the socket, so that the caller tries another entry VM at once
            }
            add_connection(std::move(socket));
        }
    }

    void add_connection(unique_fd socket)
    {
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

    // The process has no descriptor left. A pause keeps the pending connection, which the listener
    // would report again and again, from occupying the loop.
    void make_descriptor_available()
    {
        log_event(log_level::warning, "server.out_of_descriptors",
                  {{"connections", std::to_string(connections_.size())}});
        close_least_active();
        loop_.unwatch(listener_.impl()->sockfd());
        accept_timer_ = loop_.call_after(accept_pause, [this] { watch_listener(); });
    }

    void watch_listener()
    {
        accept_timer_ = 0;
        loop_.watch(listener_.impl()->sockfd(), EPOLLIN,
                    [this](std::uint32_t) { accept_pending_connections(); });
    }

    // Closes the connection that has been inactive for longest and has no request being handled.
    // Returns false if there is none.
    bool close_least_active()
    {
        connection_ptr least_active;
        for (const auto& [descriptor, conn] : connections_) {
            if (!conn->busy &&
                (!least_active || conn->last_activity < least_active->last_activity)) {
                least_active = conn;
            }
        }
        if (least_active) {
            close(least_active);
        }
        return least_active != nullptr;
    }

    void on_event(const connection_ptr& conn, std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0) {
            flush(conn);
        }
        if (conn->closed || (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0) {
            return;
        }
        if (conn->accepts_input()) {
            read(conn);
        }
        else if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
            close(conn); // no response can be delivered, and the loop would report it again
        }
        else {
            pause_or_close(conn);
        }
    }

    // The client has sent more than its current request, or has closed the connection.
    void pause_or_close(const connection_ptr& conn)
    {
        char next = 0;
        const auto count = recv(conn->socket.get(), &next, sizeof next, MSG_PEEK);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
            close(conn);
            return;
        }
        watch_events(conn, conn->watched_events & ~static_cast<std::uint32_t>(EPOLLIN));
    }

    // Reads until a request is complete or nothing more has been received.
    void read(const connection_ptr& conn)
    {
        std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
        while (!conn->closed && conn->accepts_input()) {
            const auto count = recv(conn->socket.get(), chunk.data(), chunk.size(), 0);
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                return;
            }
            if (count <= 0) {
                close(conn);
                return;
            }
            const auto size = static_cast<std::size_t>(count);
            append_input(conn, chunk.data(), size);
            if (conn->closed) {
                return;
            }
            handle_next_request(conn);
            if (size < chunk.size()) {
                return;
            }
        }
    }

    void append_input(const connection_ptr& conn, const char* data, std::size_t size)
    {
        conn->last_activity = boot_clock::now();
        if (conn->input.empty()) {
            conn->receiving_since = conn->last_activity;
        }
        conn->input.append(data, size);
        buffered_bytes_ += size;
        enforce_memory_limit();
    }

    void enforce_memory_limit()
    {
        while (buffered_bytes_ > limits_.max_buffered_bytes && close_to_free_memory()) {
        }
    }

    // Clients that do not read their responses, or never complete their requests, must not keep
    // those of others out. Closes the connection with an unsent response that has been inactive
    // longest; if there is none, the one whose buffered request began first. Returns false if there
    // is neither.
    bool close_to_free_memory()
    {
        connection_ptr unread;
        connection_ptr partial;
        for (const auto& [descriptor, conn] : connections_) {
            if (!conn->output.empty()) {
                if (!unread || conn->last_activity < unread->last_activity) {
                    unread = conn;
                }
            }
            else if (!conn->busy && !conn->input.empty()) {
                if (!partial || conn->receiving_since < partial->receiving_since) {
                    partial = conn;
                }
            }
        }
        const auto& victim = unread ? unread : partial;
        if (!victim) {
            return false;
        }
        log_event(log_level::info, "server.connection_dropped",
                  {{"reason", unread ? "unread response" : "unhandled request"},
                   {"received_bytes", std::to_string(victim->input.size())},
                   {"unsent_bytes", std::to_string(victim->output.size())}});
        close(victim);
        return true;
    }

    void handle_next_request(const connection_ptr& conn)
    {
        if (conn->closed || !conn->accepts_input()) {
            return;
        }
        const auto size_before = conn->input.size();
        auto request = conn->input.take_request();
        if (!request) {
            if (conn->input.error() != framing_error::none) {
                conn->close_after_write = true;
                discard_received(conn);
                send(conn, http::error_response(http_status_for(conn->input.error()), "bad_request",
                                                "the request cannot be read"));
            }
            return;
        }
        conn->bytes_being_handled = size_before - conn->input.size() + request_overhead_bytes;
        bytes_being_handled_ += conn->bytes_being_handled;
        buffered_bytes_ += request_overhead_bytes;
        conn->busy = true;
        ++open_requests_;
        const auto respond = make_responder(conn, wants_close(request->headers));
        if (bytes_being_handled_ > limits_.max_buffered_bytes / 2) {
            respond(overload_response());
            return;
        }
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

    // Closing a socket with unread bytes resets the connection, and the client may lose the
    // response.
    static void discard_received(const connection_ptr& conn)
    {
        std::array<char, read_chunk_bytes> chunk; // NOLINT: filled by recv
        for (int count = 0; count < max_discarded_chunks; ++count) {
            if (recv(conn->socket.get(), chunk.data(), chunk.size(), 0) <= 0) {
                return;
            }
        }
    }

    // Returns the function that answers the connection's current request. Only its first call has
    // an effect.
    responder make_responder(const connection_ptr& conn, bool close_requested)
    {
        const std::weak_ptr<connection> weak_conn = conn;
        return [this, weak_conn, close_requested, size = conn->bytes_being_handled,
                answered = std::make_shared<bool>(false)](const http::response& response) {
            if (std::exchange(*answered, true)) {
                return;
            }
            --open_requests_;
            bytes_being_handled_ -= size;
            buffered_bytes_ -= size;
            const auto locked_conn = weak_conn.lock();
            if (!locked_conn || locked_conn->closed) {
                return;
            }
            locked_conn->busy = false;
            locked_conn->bytes_being_handled = 0;
            const bool last_response = closes_after_responses_ && locked_conn->input.empty();
            locked_conn->close_after_write = close_requested || last_response;
            send(locked_conn, response);
        };
    }

    void send(const connection_ptr& conn, const http::response& response)
    {
        const auto bytes = serialize(response, !conn->close_after_write);
        conn->output += bytes;
        buffered_bytes_ += bytes.size();
        flush(conn);
        enforce_memory_limit();
    }

    void flush(const connection_ptr& conn)
    {
        std::size_t sent = 0;
        while (sent < conn->output.size()) {
            const auto count = ::send(conn->socket.get(), conn->output.data() + sent,
                                      conn->output.size() - sent, MSG_NOSIGNAL);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                conn->last_activity = boot_clock::now();
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                conn->output.erase(0, sent);
                conn->output.shrink_to_fit();
                buffered_bytes_ -= sent;
                watch_events(conn, conn->watched_events | EPOLLOUT);
                return;
            }
            close(conn);
            return;
        }
        buffered_bytes_ -= sent;
        std::string().swap(conn->output); // also releases its memory
        watch_events(conn, conn->watched_events & ~static_cast<std::uint32_t>(EPOLLOUT));
        if (conn->close_after_write) {
            close(conn);
            return;
        }
        continue_after_response(conn);
    }

    // A complete request may have been received already. It is handled from the loop, because a
    // handler that responds at once would call this function again.
    void continue_after_response(const connection_ptr& conn)
    {
        if (conn->busy) {
            return;
        }
        if (conn->input.empty()) {
            watch_events(conn, EPOLLIN);
            return;
        }
        conn->receiving_since = boot_clock::now();
        conn->next_request_scheduled = true;
        loop_.defer([this, conn] {
            conn->next_request_scheduled = false;
            handle_next_request(conn);
            if (!conn->closed && conn->accepts_input()) {
                watch_events(conn, EPOLLIN); // the rest of the request has not been received
            }
        });
    }

    void watch_events(const connection_ptr& conn, std::uint32_t events)
    {
        if (conn->watched_events != events) {
            conn->watched_events = events;
            loop_.modify(conn->socket.get(), events);
        }
    }

    void close(const connection_ptr& conn)
    {
        if (conn->closed) {
            return;
        }
        conn->closed = true;
        // A request being handled counts until its response.
        buffered_bytes_ -= conn->input.size() + conn->output.size();
        loop_.unwatch(conn->socket.get());
        connections_.erase(conn->socket.get());
        conn->socket.reset();
    }

    bool is_overdue(const connection& conn, boot_time now) const
    {
        const bool receiving = conn.accepts_input() && !conn.input.empty();
        return !conn.busy && (conn.last_activity < now - limits_.idle_timeout ||
                              (receiving && conn.receiving_since < now - limits_.max_receive_time));
    }

    void schedule_idle_check()
    {
        idle_check_timer_ = loop_.call_after(limits_.idle_timeout / 4, [this] {
            const auto now = boot_clock::now();
            std::vector<connection_ptr> overdue;
            for (const auto& [descriptor, conn] : connections_) {
                if (is_overdue(*conn, now)) {
                    overdue.push_back(conn);
                }
            }
            for (const auto& conn : overdue) {
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
    event_loop::timer_id accept_timer_ = 0; // 0 while the listener is watched
    std::size_t open_requests_ = 0;
    // See async_server_limits::max_buffered_bytes.
    std::size_t buffered_bytes_ = 0;
    std::size_t bytes_being_handled_ = 0;
    bool closes_after_responses_ = false;
};

async_server::async_server(event_loop& loop, const endpoint& address, async_server_limits limits,
                           async_handler handler)
    : implementation_(std::make_unique<implementation>(loop, address, limits, std::move(handler)))
{
}

async_server::~async_server() = default;

void async_server::close_after_responses()
{
    implementation_->close_after_responses();
}

bool async_server::busy() const
{
    return implementation_->busy();
}

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
