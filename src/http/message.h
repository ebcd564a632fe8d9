#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jl::http {

// Compares header names case-insensitively.
struct header_less {
    bool operator()(std::string_view left, std::string_view right) const;
};
using header_map = std::map<std::string, std::string, header_less>;

struct request {
    std::string method = "GET";
    std::string target = "/"; // path and query
    header_map headers;
    std::string body;
};

struct response {
    int status = 200;
    header_map headers;
    std::string body;
};

std::optional<std::string> find_header(const header_map& headers, std::string_view name);

// Builds the error response of all HTTP interfaces of this project:
// {"error": {"code": ..., "message": ..., "field": ...}}; "field" is omitted if empty.
response error_response(int status, std::string_view code, std::string_view message,
                        std::string_view field = "");

response json_response(int status, std::string body);

} // namespace jl::http
