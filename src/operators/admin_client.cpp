#include "operators/admin_client.h"

#include "base/time.h"

namespace jl::operators {

namespace {

constexpr int attempts = 3;
constexpr int service_unavailable = 503; // this attempt changed nothing
constexpr int gateway_timeout = 504;     // the store did not say whether the write took effect

} // namespace

http_admin_transport::http_admin_transport(const std::vector<endpoint>& servers,
                                           std::chrono::milliseconds timeout)
    : timeout_(timeout)
{
    clients_.reserve(servers.size());
    for (const auto& server : servers) {
        clients_.push_back(std::make_unique<http::client>(server, http::client_limits{}));
    }
}

transport_error http_admin_transport::last_error() const
{
    return error_;
}

std::optional<http::response> http_admin_transport::exchange(const http::request& request)
{
    error_ = {transport_error_code::not_sent, "no server is given"};
    for (const auto& client : clients_) {
        auto answer = client->exchange(request, system_clock_source().steady_now() + timeout_);
        if (answer) {
            return answer;
        }
        const auto& error = http::client::last_error();
        error_ = {error.not_sent() ? transport_error_code::not_sent
                                   : transport_error_code::outcome_unknown,
                  client->server().to_string() + ": " + error.message};
        if (!error.not_sent()) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

admin_client::admin_client(admin_transport& transport, std::string token)
    : transport_(transport), token_(std::move(token))
{
}

transport_error admin_client::last_error() const
{
    return error_;
}

std::optional<http::response> admin_client::send(http::request request)
{
    request.headers["Authorization"] = "Bearer " + token_;
    std::optional<http::response> answer;
    bool may_have_been_carried_out = false;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        answer = transport_.exchange(request);
        if (answer && answer->status == gateway_timeout) {
            may_have_been_carried_out = true;
            continue;
        }
        if (answer && !(answer->status == service_unavailable && may_have_been_carried_out)) {
            return answer;
        }
        if (answer) {
            error_.message = "the last attempt was answered with 503, an earlier one is open";
            answer.reset();
            continue;
        }
        error_ = transport_.last_error();
        if (error_.code == transport_error_code::outcome_unknown) {
            may_have_been_carried_out = true;
        }
        else if (!may_have_been_carried_out) {
            return std::nullopt;
        }
    }
    // An attempt that was not sent does not undo an earlier one that may have arrived.
    error_.code = transport_error_code::outcome_unknown;
    return answer;
}

std::optional<http::response> admin_client::get(const std::string& path)
{
    return send({"GET", path, {}, ""});
}

std::optional<http::response> admin_client::post(const std::string& path, const std::string& body)
{
    return send({"POST", path, {{"Content-Type", "application/json"}}, body});
}

std::optional<http::response> admin_client::publish(const std::string& document,
                                                    std::int64_t expected_generation,
                                                    const std::string& write_id)
{
    return send({"PUT",
                 "/v1/configuration",
                 {{"Content-Type", "application/json"},
                  {"If-Match", std::to_string(expected_generation)},
                  {"Jl-Write-Id", write_id}},
                 document});
}

std::optional<http::response> admin_client::put(const std::string& path, const std::string& body,
                                                const std::string& write_id)
{
    return send(
        {"PUT", path, {{"Content-Type", "application/json"}, {"Jl-Write-Id", write_id}}, body});
}

std::optional<http::response> admin_client::remove(const std::string& path,
                                                   const std::string& write_id)
{
    return send({"DELETE", path, {{"Jl-Write-Id", write_id}}, ""});
}

} // namespace jl::operators
