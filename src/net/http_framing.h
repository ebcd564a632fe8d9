#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "http/message.h"

namespace jl::net {

enum class framing_error { none, malformed, too_large, length_required };

// Collects received bytes until a whole HTTP/1.1 message with a Content-Length body is there.
// POCO parses the head. Not thread-safe.
class message_buffer {
public:
    message_buffer(std::size_t max_head_bytes, std::size_t max_body_bytes);

    void append(const char* data, std::size_t size);
    bool empty() const { return bytes_.empty(); }

    // Takes the next whole message out of the buffer; nothing if more bytes are needed or the
    // message is not acceptable (see error()).
    std::optional<http::request> take_request();
    std::optional<http::response> take_response();
    framing_error error() const { return error_; }

private:
    // Finds the end of the head; nothing if it is incomplete.
    std::optional<std::size_t> head_size();
    std::optional<std::string> take_body(std::size_t head, std::size_t length);

    std::size_t max_head_bytes_;
    std::size_t max_body_bytes_;
    std::string bytes_;
    framing_error error_ = framing_error::none;
};

// The bytes of a message. Content-Length is added.
std::string serialize(const http::request& request);
std::string serialize(const http::response& response, bool keep_alive);

// True if the peer asks to close the connection after this message.
bool wants_close(const http::header_map& headers);

} // namespace jl::net
