#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "net/http_framing.h"

namespace jl::net {
namespace {

constexpr std::size_t max_bytes = 1000;

framing_error error_of(const std::string& message)
{
    message_buffer requests(max_bytes, max_bytes);
    requests.append(message.data(), message.size());
    EXPECT_FALSE(requests.take_request());
    return requests.error();
}

// Guards against a length that wraps around and a buffer that then waits or reads beyond its end.
TEST(message_buffer, rejects_lengths_out_of_range)
{
    for (const auto* length : {"-1", "-5", "1001", "9223372036854775807", "18446744073709551615",
                               "99999999999999999999999", "0x10", "5x", ""}) {
        const auto head = std::string("POST /a HTTP/1.1\r\nContent-Length: ") + length + "\r\n\r\n";
        EXPECT_NE(error_of(head), framing_error::none) << length;
    }
}

// Guards against an exception, which would end the process, whatever a peer sends.
RC_GTEST_PROP(message_buffer, any_bytes_are_taken_or_rejected, ())
{
    const auto pieces = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "HTTP/1.1 200 OK", "HTTP/1.1 999999999999 X", "GET /a HTTP/1.1", "\r\n", "\r\n\r\n",
        "Content-Length: 2", "Content-Length: 99999999999999999999", "Transfer-Encoding: chunked",
        ": ", "\xff", "a", std::string(1, '\0')));
    std::string bytes;
    for (const auto& piece : pieces) {
        bytes += piece;
    }
    message_buffer requests(max_bytes, max_bytes);
    requests.append(bytes.data(), bytes.size());
    message_buffer responses(max_bytes, max_bytes);
    responses.append(bytes.data(), bytes.size());
    const auto request = requests.take_request();
    const auto response = responses.take_response();
    RC_ASSERT(!request || request->body.size() <= max_bytes);
    RC_ASSERT(!response || response->body.size() <= max_bytes);
}

} // namespace
} // namespace jl::net
