#include "net/http_framing.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

namespace jl::net {

namespace {

constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;

constexpr const char* content_length = "Content-Length";

// Two lengths would let a part of the body pass for a further message, here or at the process that
// the message is sent on to.
bool states_one_length_at_most(const Poco::Net::MessageHeader& message)
{
    const auto first = message.find(content_length);
    if (first == message.end()) {
        return true;
    }
    return std::none_of(std::next(first), message.end(), [](const auto& field) {
        return Poco::icompare(field.first, std::string(content_length)) == 0;
    });
}

http::header_map copy_headers(const Poco::Net::MessageHeader& message)
{
    http::header_map headers;
    for (const auto& [name, value] : message) {
        headers[name] = value;
    }
    return headers;
}

void append_headers(std::string& out, const http::header_map& headers, std::size_t body_size)
{
    for (const auto& [name, value] : headers) {
        if (Poco::icompare(name, std::string(content_length)) == 0) {
            continue;
        }
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    out += std::string(content_length) + ": " + std::to_string(body_size) + "\r\n";
}

} // namespace

message_buffer::message_buffer(std::size_t max_head_bytes, std::size_t max_body_bytes)
    : max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes)
{
}

void message_buffer::append(const char* data, std::size_t size)
{
    bytes_.append(data, size);
}

std::optional<std::size_t> message_buffer::head_size()
{
    const auto end = bytes_.find("\r\n\r\n");
    if (end != std::string::npos) {
        return end + 4;
    }
    if (bytes_.size() > max_head_bytes_) {
        error_ = framing_error::too_large;
    }
    return std::nullopt;
}

std::optional<std::string> message_buffer::take_body(std::size_t head_bytes, std::size_t length)
{
    if (length > max_body_bytes_) {
        error_ = framing_error::too_large;
        return std::nullopt;
    }
    if (bytes_.size() < head_bytes + length) {
        return std::nullopt;
    }
    std::string body = bytes_.substr(head_bytes, length);
    bytes_.erase(0, head_bytes + length);
    if (bytes_.capacity() > max_head_bytes_ + bytes_.size()) {
        bytes_.shrink_to_fit(); // a connection must not keep the memory of a large body
    }
    return body;
}

std::optional<http::request> message_buffer::take_request()
{
    const auto head_bytes = head_size();
    if (!head_bytes) {
        return std::nullopt;
    }
    try {
        Poco::Net::HTTPRequest parsed;
        std::istringstream input(bytes_.substr(0, *head_bytes));
        parsed.read(input);
        if (parsed.has("Transfer-Encoding")) {
            error_ = framing_error::length_required;
            return std::nullopt;
        }
        if (!states_one_length_at_most(parsed)) {
            error_ = framing_error::malformed;
            return std::nullopt;
        }
        const auto length = parsed.hasContentLength() ? parsed.getContentLength64() : 0;
        auto body = take_body(*head_bytes, static_cast<std::size_t>(length));
        if (!body) {
            return std::nullopt;
        }
        http::request request;
        request.method = parsed.getMethod();
        request.target = parsed.getURI();
        request.headers = copy_headers(parsed);
        request.body = std::move(*body);
        return request;
    }
    catch (const Poco::Exception&) {
        error_ = framing_error::malformed;
        return std::nullopt;
    }
}

std::optional<http::response> message_buffer::take_response()
{
    auto response = take_interim_or_final_response();
    while (response && response->status < first_final_status) {
        response = take_interim_or_final_response();
    }
    return response;
}

std::optional<http::response> message_buffer::take_interim_or_final_response()
{
    const auto head_bytes = head_size();
    if (!head_bytes) {
        return std::nullopt;
    }
    try {
        Poco::Net::HTTPResponse parsed;
        std::istringstream input(bytes_.substr(0, *head_bytes));
        parsed.read(input);
        const int status = parsed.getStatus();
        const bool bodyless =
            status < first_final_status || status == no_content || status == not_modified;
        if (!bodyless && !parsed.hasContentLength()) {
            error_ = framing_error::length_required;
            return std::nullopt;
        }
        if (!states_one_length_at_most(parsed)) {
            error_ = framing_error::malformed;
            return std::nullopt;
        }
        const auto length = bodyless ? 0 : parsed.getContentLength64();
        auto body = take_body(*head_bytes, static_cast<std::size_t>(length));
        if (!body) {
            return std::nullopt;
        }
        http::response response;
        response.status = status;
        response.headers = copy_headers(parsed);
        response.body = std::move(*body);
        return response;
    }
    catch (const Poco::Exception&) {
        error_ = framing_error::malformed;
        return std::nullopt;
    }
}

std::string serialize(const http::request& request)
{
    std::string out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    append_headers(out, request.headers, request.body.size());
    out += "\r\n";
    out += request.body;
    return out;
}

std::string serialize(const http::response& response, bool keep_alive)
{
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status);
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                      Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
    append_headers(out, response.headers, response.body.size());
    out += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    out += response.body;
    return out;
}

bool wants_close(const http::header_map& headers)
{
    const auto connection = http::find_header(headers, "Connection");
    return connection && Poco::icompare(*connection, std::string("close")) == 0;
}

} // namespace jl::net
