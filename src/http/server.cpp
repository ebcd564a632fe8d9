#include "http/server.h"

#include <array>
#include <atomic>
#include <optional>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace jl::http {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void send(const response& response, HTTPServerResponse& output)
{
    output.setStatusAndReason(static_cast<HTTPServerResponse::HTTPStatus>(response.status));
    for (const auto& [name, value] : response.headers) {
        output.set(name, value);
    }
    output.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
    output.sendBuffer(response.body.data(), response.body.size());
}

// POCO does not distinguish the end of a chunked body from a lost connection. Only if the
// connection is still open, the final chunk must have arrived.
bool has_ended_early(HTTPServerRequest& input)
{
    auto& session = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(input).session();
    if (session.networkException() != nullptr) {
        return true;
    }
    auto& socket = session.socket();
    char next = 0;
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.receiveBytes(&next, 1, MSG_PEEK) <= 0;
}

// Reads the body, or returns nothing if it exceeds the limit.
std::optional<std::string> read_body(HTTPServerRequest& input, std::size_t max_bytes)
{
    std::string body;
    if (!input.hasContentLength() && !input.getChunkedTransferEncoding()) {
        return body;
    }
    std::array<char, 16384> buffer{};
    auto& stream = input.stream();
    while (stream.good()) {
        stream.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes) {
            return std::nullopt;
        }
    }
    return body;
}

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
    request_handler(const server_limits& limits, const handler& handler,
                    const stream_handler& stream_handler)
        : limits_(limits), handler_(handler), stream_handler_(stream_handler)
    {
    }

    void handleRequest(HTTPServerRequest& input, HTTPServerResponse& output) override
    {
        if (input.hasContentLength() &&
            input.getContentLength64() > static_cast<Poco::Int64>(limits_.max_body_bytes)) {
            reject_request(output,
                           error_response(413, "body_too_large",
                                          "the body exceeds " +
                                              std::to_string(limits_.max_body_bytes) + " bytes",
                                          "Content-Length"));
            return;
        }
        auto body = read_body(input, limits_.max_body_bytes);
        if (!body) {
            reject_request(output,
                           error_response(413, "body_too_large", "the body exceeds the limit"));
            return;
        }
        if (input.hasContentLength() &&
            body->size() != static_cast<std::size_t>(input.getContentLength64())) {
            reject_request(output, error_response(400, "body_incomplete",
                                                  "the body is shorter than Content-Length"));
            return;
        }
        if (input.getChunkedTransferEncoding() && has_ended_early(input)) {
            reject_request(output, error_response(400, "body_incomplete",
                                                  "the connection ended before the body"));
            return;
        }
        request request;
        request.method = input.getMethod();
        request.target = input.getURI();
        request.body = std::move(*body);
        for (const auto& [name, value] : input) {
            request.headers[name] = value;
        }
        const auto start = [&]() -> std::ostream& {
            output.setChunkedTransferEncoding(true);
            output.setContentType("application/json");
            return output.send();
        };
        if (stream_handler_ && stream_handler_(request, start)) {
            return;
        }
        send(handler_(request), output);
    }

private:
    static void reject_request(HTTPServerResponse& output, const response& response)
    {
        // Closes the connection afterwards: the unread rest of the body would otherwise be parsed
        // as the next request.
        output.setKeepAlive(false);
        send(response, output);
    }

    const server_limits& limits_;
    const handler& handler_;
    const stream_handler& stream_handler_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    handler_factory(server_limits limits, handler handler, stream_handler stream_handler)
        : limits_(limits), handler_(std::move(handler)), stream_handler_(std::move(stream_handler))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
    {
        return new request_handler(limits_, handler_, stream_handler_);
    }

private:
    const server_limits limits_;
    const handler handler_;
    const stream_handler stream_handler_;
};

Poco::Net::HTTPServerParams::Ptr make_parameters(const server_limits& limits)
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(limits.max_threads);
    parameters->setMaxQueued(limits.max_queued_connections);
    parameters->setTimeout(Poco::Timespan(limits.receive_timeout.count() * 1000));
    parameters->setKeepAliveTimeout(Poco::Timespan(limits.keep_alive_timeout.count() * 1000));
    parameters->setKeepAlive(true);
    return parameters;
}

} // namespace

class server::implementation {
public:
    implementation(const endpoint& address, server_limits limits, handler handler,
                   stream_handler stream_handler)
        : threads_(2, limits.max_threads),
          socket_(Poco::Net::SocketAddress(address.address, address.port), 256),
          server_(new handler_factory(limits, std::move(handler), std::move(stream_handler)),
                  threads_, socket_, make_parameters(limits))
    {
        server_.start();
    }

    ~implementation()
    {
        // Closes idle keep-alive connections and lets running handlers finish.
        server_.stopAll(false);
        threads_.joinAll();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void abort() { server_.stopAll(true); }
    std::uint16_t port() const { return socket_.address().port(); }
    int current_connections() const { return server_.currentConnections(); }

private:
    Poco::ThreadPool threads_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};

server::server(const endpoint& address, server_limits limits, handler handler,
               stream_handler stream_handler)
    : implementation_(std::make_unique<implementation>(address, limits, std::move(handler),
                                                       std::move(stream_handler)))
{
}

server::~server() = default;

void server::abort()
{
    implementation_->abort();
}

std::uint16_t server::port() const
{
    return implementation_->port();
}

int server::current_connections() const
{
    return implementation_->current_connections();
}

} // namespace jl::http
