#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "http/message.h"

namespace jl::net {

enum class framing_error { none, malformed, too_large, length_required };

// Buffers received bytes and extracts complete HTTP/1.1 messages whose body length is given by
// Content-Length. Chunked bodies are not supported. Not thread-safe.
class message_buffer {
public:
    message_buffer(std::size_t max_head_bytes, std::size_t max_body_bytes);

    void append(const char* data, std::size_t size);
    bool empty() const { return bytes_.empty(); }
    std::size_t size() const { return bytes_.size(); }

    // Removes the next complete message from the buffer and returns it. Returns nothing if more
    // bytes are needed (error() is `none`) or if the message is rejected (error() says why).
    // Skips interim responses (1xx).
    std::optional<http::request> take_request();
    std::optional<http::response> take_response();
    framing_error error() const { return error_; }

private:
    // Size of the start line and headers including the empty line; nothing if they are incomplete.
    std::optional<std::size_t> head_size();
    std::optional<http::response> take_interim_or_final_response();
    std::optional<std::string> take_body(std::size_t head_bytes, std::size_t length);

    std::size_t max_head_bytes_;
    std::size_t max_body_bytes_;
    std::string bytes_;
    framing_error error_ = framing_error::none;
};

// Returns the message in wire format, with a Content-Length header added.
std::string serialize(const http::request& request);
std::string serialize(const http::response& response, bool keep_alive);

// True if the peer asks to close the connection after this message.
bool wants_close(const http::header_map& headers);

} // namespace jl::net
