#include "requests/types.h"

namespace jl::requests {

const char* to_text(request_class value)
{
    switch (value) {
    case request_class::urgent:
        return "urgent";
    case request_class::normal:
        return "normal";
    case request_class::deferred:
        break;
    }
    return "deferred";
}

std::optional<request_class> parse_request_class(std::string_view text)
{
    for (const auto value :
         {request_class::urgent, request_class::normal, request_class::deferred}) {
        if (text == to_text(value)) {
            return value;
        }
    }
    return std::nullopt;
}

const char* to_text(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::accepted:
        return "accepted";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace jl::requests
