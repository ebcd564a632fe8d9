#include "http/message.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <strings.h>

namespace jl::http {

bool header_less::operator()(std::string_view left, std::string_view right) const
{
    const int order = strncasecmp(left.data(), right.data(), std::min(left.size(), right.size()));
    return order != 0 ? order < 0 : left.size() < right.size();
}

std::optional<std::string> find_header(const header_map& headers, std::string_view name)
{
    const auto found = headers.find(std::string(name));
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->second;
}

response error_response(int status, std::string_view code, std::string_view message,
                        std::string_view field)
{
    nlohmann::json error = {{"code", code}, {"message", message}};
    if (!field.empty()) {
        error["field"] = field;
    }
    // Messages may quote a caller's input, so invalid UTF-8 is replaced; by default dump() throws.
    return json_response(status, nlohmann::json{{"error", error}}.dump(
                                     -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

response json_response(int status, std::string body)
{
    response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace jl::http
