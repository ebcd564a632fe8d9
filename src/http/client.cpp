#include "http/client.h"

#include <array>
#include <mutex>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>

namespace jl::http {

namespace {

using Poco::Net::HTTPClientSession;

client_error& thread_last_error()
{
    thread_local client_error error;
    return error;
}

std::nullopt_t fail(client_error_code code, std::string message)
{
    thread_last_error() = {code, std::move(message)};
    return std::nullopt;
}

Poco::Timespan to_timespan(std::chrono::milliseconds time)
{
    // POCO takes a zero timeout as "no timeout".
    return Poco::Timespan(std::max<std::int64_t>(time.count(), 1) * Poco::Timespan::MILLISECONDS);
}

class client_session final : public HTTPClientSession {
public:
    using HTTPClientSession::HTTPClientSession;

    // True if the socket is readable while no response is expected: the peer has closed the
    // connection or sent unexpected bytes.
    bool has_pending_input()
    {
        return socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    // True if bytes that followed a response have been read with it. They would pass for the
    // response to the next request.
    bool has_surplus_input() const { return buffered() > 0; }
};

struct connection {
    std::unique_ptr<client_session> session;
    steady_time idle_since;
};

} // namespace

class client::pool {
public:
    pool(endpoint server, client_limits limits) : server_(std::move(server)), limits_(limits) {}

    std::unique_ptr<client_session> acquire()
    {
        const auto now = std::chrono::steady_clock::now();
        for (;;) {
            connection candidate;
            {
                const std::lock_guard lock(mutex_);
                if (idle_.empty()) {
                    if (in_use_ >= limits_.max_connections) {
                        return nullptr;
                    }
                    ++in_use_;
                    break;
                }
                candidate = std::move(idle_.back());
                idle_.pop_back();
                ++in_use_;
            }
            if (now - candidate.idle_since < limits_.max_idle_time &&
                !candidate.session->has_pending_input()) {
                return std::move(candidate.session);
            }
            candidate.session->reset();
            release_slot();
        }
        auto session = std::make_unique<client_session>(server_.address, server_.port);
        session->setKeepAlive(true);
        // The pool decides whether a connection is reused. POCO reconnects a session older than its
        // keep-alive timeout, so the timeout is set to 1 day.
        session->setKeepAliveTimeout(Poco::Timespan(1, 0, 0, 0, 0));
        return session;
    }

    void release(std::unique_ptr<client_session> session)
    {
        const std::lock_guard lock(mutex_);
        --in_use_;
        idle_.push_back({std::move(session), std::chrono::steady_clock::now()});
    }

    void release_slot()
    {
        const std::lock_guard lock(mutex_);
        --in_use_;
    }

    void close_idle()
    {
        std::vector<connection> closing;
        const std::lock_guard lock(mutex_);
        closing.swap(idle_);
    }

    const endpoint& server() const { return server_; }
    const client_limits& limits() const { return limits_; }

private:
    const endpoint server_;
    const client_limits limits_;
    std::mutex mutex_;
    std::vector<connection> idle_;
    std::size_t in_use_ = 0;
};

namespace {

// Reads the body. Sets the thread's last error and returns false if the body is incomplete or
// exceeds the deadline or the size limit.
bool read_body(client_session& session, std::istream& stream, const Poco::Net::HTTPResponse& head,
               std::size_t max_bytes, steady_time deadline, std::string& body)
{
    std::array<char, 16384> buffer{};
    for (;;) {
        const auto remaining = time_left(deadline, std::chrono::steady_clock::now());
        if (remaining == std::chrono::milliseconds::zero()) {
            fail(client_error_code::timed_out, "deadline passed while reading the answer");
            return false;
        }
        session.socket().setReceiveTimeout(to_timespan(remaining));
        stream.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes) {
            fail(client_error_code::too_large, "answer exceeds the size limit");
            return false;
        }
        if (!stream.good()) {
            break;
        }
    }
    if (session.networkException() != nullptr) {
        const bool timeout =
            dynamic_cast<const Poco::TimeoutException*>(session.networkException()) != nullptr;
        fail(timeout ? client_error_code::timed_out : client_error_code::disconnected,
             session.networkException()->displayText());
        return false;
    }
    if (head.getContentLength64() >= 0) {
        if (body.size() != static_cast<std::size_t>(head.getContentLength64())) {
            fail(client_error_code::truncated, "connection closed before the end of the answer");
            return false;
        }
        return true;
    }
    // POCO does not distinguish the end of a chunked body from a lost connection. Only if the
    // connection is still open, the final chunk must have arrived.
    if (!head.getChunkedTransferEncoding() || session.has_pending_input()) {
        fail(client_error_code::truncated, "the end of the answer cannot be verified");
        return false;
    }
    return true;
}

bool body_expected(const std::string& method, int status)
{
    return method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

} // namespace

client::client(endpoint server, client_limits limits)
    : pool_(std::make_unique<pool>(std::move(server), limits))
{
}

client::~client() = default;

const client_error& client::last_error()
{
    return thread_last_error();
}

const endpoint& client::server() const
{
    return pool_->server();
}

void client::close_idle()
{
    pool_->close_idle();
}

std::optional<response> client::exchange(const request& request, steady_time deadline)
{
    const auto remaining = time_left(deadline, std::chrono::steady_clock::now());
    if (remaining == std::chrono::milliseconds::zero()) {
        return fail(client_error_code::no_connection, "deadline passed before sending");
    }
    auto session = pool_->acquire();
    if (!session) {
        return fail(client_error_code::no_connection, "connection limit reached");
    }
    const auto& limits = pool_->limits();
    bool connected = session->connected();
    try {
        const auto connect_timeout =
            connected ? remaining : std::min(remaining, limits.connect_timeout);
        session->setTimeout(to_timespan(connect_timeout), to_timespan(remaining),
                            to_timespan(remaining));
        Poco::Net::HTTPRequest head(request.method, request.target, "HTTP/1.1");
        for (const auto& [name, value] : request.headers) {
            head.set(name, value);
        }
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        head.setKeepAlive(true);
        auto& output = session->sendRequest(head);
        connected = true;
        output.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        output.flush();
        Poco::Net::HTTPResponse response_head;
        session->socket().setReceiveTimeout(
            to_timespan(time_left(deadline, std::chrono::steady_clock::now())));
        auto& input = session->receiveResponse(response_head);
        response response;
        response.status = response_head.getStatus();
        for (const auto& [name, value] : response_head) {
            response.headers[name] = value;
        }
        if (body_expected(request.method, response.status) &&
            !read_body(*session, input, response_head, limits.max_answer_bytes, deadline,
                       response.body)) {
            pool_->release_slot();
            return std::nullopt;
        }
        if (response_head.getKeepAlive() && !session->has_surplus_input()) {
            pool_->release(std::move(session));
        }
        else {
            pool_->release_slot();
        }
        return response;
    }
    catch (const Poco::TimeoutException& error) {
        pool_->release_slot();
        return fail(connected ? client_error_code::timed_out : client_error_code::connect_failed,
                    error.displayText());
    }
    catch (const Poco::Net::MessageException& error) {
        pool_->release_slot();
        return fail(client_error_code::malformed, error.displayText());
    }
    catch (const std::exception& error) {
        pool_->release_slot();
        return fail(connected ? client_error_code::disconnected : client_error_code::connect_failed,
                    error.what());
    }
}

} // namespace jl::http
