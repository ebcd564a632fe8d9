#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "http/client.h"
#include "http/message.h"

namespace jl::operators {

enum class transport_error_code {
    not_sent,        // no server could be reached; nothing was changed
    outcome_unknown, // the request may have been carried out
};

struct transport_error {
    transport_error_code code = transport_error_code::not_sent;
    std::string message;
};

// Carries a request to some jl-admin.
class admin_transport {
public:
    virtual ~admin_transport() = default;
    virtual std::optional<http::response> exchange(const http::request& request) = 0;
    virtual transport_error last_error() const = 0;
};

// Tries the servers in order until one can be reached. Not thread-safe.
class http_admin_transport final : public admin_transport {
public:
    http_admin_transport(const std::vector<endpoint>& servers, std::chrono::milliseconds timeout);

    std::optional<http::response> exchange(const http::request& request) override;
    transport_error last_error() const override;

private:
    std::vector<std::unique_ptr<http::client>> clients_;
    const std::chrono::milliseconds timeout_;
    transport_error error_;
};

// Client of the administration API.
//
//   admin_client client(transport, token);
//   auto answer = client.publish(document, 7, new_id());
//
// A request that changes something carries a write id. It is repeated with the same write id when
// its answer was lost, so it takes effect at most once. An empty result means that no answer
// arrived; last_error() tells whether the request may have been carried out. Not thread-safe.
class admin_client {
public:
    admin_client(admin_transport& transport, std::string token);

    std::optional<http::response> get(const std::string& path);
    std::optional<http::response> post(const std::string& path, const std::string& body);
    std::optional<http::response> publish(const std::string& document,
                                          std::int64_t expected_generation,
                                          const std::string& write_id);
    std::optional<http::response> put(const std::string& path, const std::string& body,
                                      const std::string& write_id);
    std::optional<http::response> remove(const std::string& path, const std::string& write_id);
    transport_error last_error() const;

private:
    std::optional<http::response> send(http::request request);

    admin_transport& transport_;
    const std::string token_;
    transport_error error_;
};

} // namespace jl::operators
