#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jl::http {

// Header names compare without regard to case.
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

// Builds the error answer used by all of our HTTP interfaces:
// {"error": {"code": ..., "message": ..., "field": ...}}; an empty field is left out.
response error_response(int status, std::string_view code, std::string_view message,
                        std::string_view field = "");

response json_response(int status, std::string body);

} // namespace jl::http
