#include "store/etcd_store.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "base/json.h"
#include "http/client.h"
#include "store/etcd_codec.h"

namespace jl::store {

namespace {

using internal::fail;
using nlohmann::json;

http::client_limits make_limits(const etcd_options& options)
{
    http::client_limits limits;
    limits.max_connections = options.max_connections;
    limits.max_answer_bytes = 64U << 20U;
    return limits;
}

store_error_code convert(const http::client_error& error)
{
    return error.not_sent() ? store_error_code::unavailable : store_error_code::outcome_unknown;
}

std::size_t count_ranges(const transaction& transaction, bool succeeded)
{
    const auto& operations = succeeded ? transaction.on_success : transaction.on_failure;
    return static_cast<std::size_t>(
        std::count_if(operations.begin(), operations.end(),
                      [](const operation& one) { return one.type == operation::kind::range; }));
}

// etcd reports a write that it has proposed but not seen applied with the same status as a write
// that it does not accept; only the text differs.
bool may_have_been_proposed(const std::string& body)
{
    return body.find("timed out") != std::string::npos ||
           body.find("leader changed") != std::string::npos ||
           body.find("server stopped") != std::string::npos;
}

// Streams one watch call on a connection and a thread of its own.
class etcd_watch final : public watch {
public:
    etcd_watch(const endpoint& server, std::chrono::milliseconds silence, const json& call,
               watch_callback callback)
        : session_(server.address, server.port), callback_(std::move(callback))
    {
        session_.setTimeout(Poco::Timespan(1, 0), Poco::Timespan(5, 0),
                            Poco::Timespan(silence.count() * Poco::Timespan::MILLISECONDS));
        thread_ = std::thread([this, body = call.dump()] { run(body); });
    }

    ~etcd_watch() override
    {
        active_ = false;
        try {
            // Ends a read in progress in the watch's thread.
            session_.socket().shutdown();
        }
        catch (const std::exception&) {
            // Not connected yet: the thread sees active_ after connecting.
            active_ = false;
        }
        thread_.join();
    }
    etcd_watch(const etcd_watch&) = delete;
    etcd_watch& operator=(const etcd_watch&) = delete;

    bool active() const override { return active_; }

private:
    void run(const std::string& body)
    {
        try {
            Poco::Net::HTTPRequest request("POST", "/v3/watch", "HTTP/1.1");
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
            session_.sendRequest(request) << body;
            Poco::Net::HTTPResponse head;
            auto& stream = session_.receiveResponse(head);
            std::string line;
            while (active_ && std::getline(stream, line)) {
                if (!handle(parse_json(line))) {
                    break;
                }
            }
        }
        catch (const std::exception&) {
            active_ = false;
        }
        active_ = false;
    }

    // Returns false if the watch was cancelled by the store.
    bool handle(const json& message)
    {
        const auto& result = message.at("result");
        if (result.value("canceled", false)) {
            return false;
        }
        const auto revision = internal::decode_integer(result.at("header"), "revision");
        callback_(internal::decode_events(result), revision);
        return true;
    }

    std::atomic<bool> active_{true};
    Poco::Net::HTTPClientSession session_;
    watch_callback callback_;
    std::thread thread_;
};

class etcd_store final : public key_value_store {
public:
    explicit etcd_store(etcd_options options) : options_(std::move(options))
    {
        for (const auto& server : options_.endpoints) {
            clients_.push_back(std::make_unique<http::client>(server, make_limits(options_)));
        }
    }

    std::optional<range_result> range(const range_request& request, steady_time deadline) override
    {
        const auto answer = call("/v3/kv/range", internal::encode(request), deadline);
        return decode<range_result>(answer, [](const json& value) {
            internal::decode_revision(value);
            return internal::decode_range(value);
        });
    }

    std::optional<transaction_result> commit(const transaction& transaction,
                                             steady_time deadline) override
    {
        const auto answer = call("/v3/kv/txn", internal::encode(transaction), deadline);
        auto result = decode<transaction_result>(answer, internal::decode_transaction);
        if (result && result->ranges.size() != count_ranges(transaction, result->succeeded)) {
            return fail(store_error_code::malformed, "the answer lacks values");
        }
        return result;
    }

    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl, steady_time deadline) override
    {
        const json body = {{"TTL", std::to_string(ttl.count())}, {"ID", "0"}};
        const auto answer = call("/v3/lease/grant", body, deadline);
        const auto lease = decode<std::int64_t>(
            answer, [](const json& value) { return internal::decode_integer(value, "ID"); });
        if (lease && *lease <= 0) {
            return fail(store_error_code::malformed, "the answer has no lease");
        }
        return lease;
    }

    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override
    {
        const json body = {{"ID", std::to_string(lease)}};
        const auto answer = call("/v3/lease/keepalive", body, deadline);
        const auto ttl = decode<std::chrono::seconds>(answer, [](const json& value) {
            return std::chrono::seconds(internal::decode_integer(value.at("result"), "TTL"));
        });
        if (ttl && ttl->count() <= 0) {
            return fail(store_error_code::lease_not_found, "the lease has expired");
        }
        return ttl;
    }

    bool revoke_lease(std::int64_t lease, steady_time deadline) override
    {
        const json body = {{"ID", std::to_string(lease)}};
        return call("/v3/lease/revoke", body, deadline).has_value();
    }

    std::unique_ptr<watch> start_watch(const std::string& key, const std::string& range_end,
                                       std::int64_t start_revision,
                                       watch_callback callback) override
    {
        json request = internal::encode(range_request{key, range_end, 0});
        request["start_revision"] = std::to_string(start_revision);
        request["progress_notify"] = true;
        return std::make_unique<etcd_watch>(clients_[preferred_ % clients_.size()]->server(),
                                            options_.watch_silence,
                                            json{{"create_request", request}}, std::move(callback));
    }

private:
    // Posts one call; moves to the next endpoint only if nothing was sent to the present one.
    std::optional<json> call(const std::string& path, const json& body, steady_time deadline)
    {
        http::request request;
        request.method = "POST";
        request.target = path;
        request.headers["Content-Type"] = "application/json";
        request.body = body.dump();
        for (std::size_t attempt = 0; attempt < clients_.size(); ++attempt) {
            const std::size_t index = preferred_;
            auto answer = clients_[index % clients_.size()]->exchange(request, deadline);
            if (answer) {
                return read_answer(*answer);
            }
            preferred_ = index + 1;
            if (!http::client::last_error().not_sent()) {
                break;
            }
        }
        const auto& error = http::client::last_error();
        return fail(convert(error), path + ": " + error.message);
    }

    static std::optional<json> read_answer(const http::response& answer)
    {
        auto value = parse_json(answer.body);
        if (answer.status == 200 && value.is_object()) {
            return value;
        }
        if (answer.status == 200) {
            return fail(store_error_code::malformed, "the answer is not JSON");
        }
        if (answer.status == 404) {
            return fail(store_error_code::lease_not_found, answer.body);
        }
        if (answer.status == 503 && !may_have_been_proposed(answer.body)) {
            return fail(store_error_code::unavailable, answer.body);
        }
        // Lack of space or too many calls: the same call may be accepted later.
        if (answer.status == 429) {
            return fail(store_error_code::unavailable, answer.body);
        }
        // A gateway reports a lost connection to its store in this way.
        if (answer.status >= 500) {
            return fail(store_error_code::outcome_unknown, answer.body);
        }
        return fail(store_error_code::refused, answer.body);
    }

    template <typename Result, typename Function>
    static std::optional<Result> decode(const std::optional<json>& answer, Function function)
    {
        if (!answer) {
            return std::nullopt;
        }
        try {
            return function(*answer);
        }
        catch (const std::exception& error) {
            return fail(store_error_code::malformed, error.what());
        }
    }

    const etcd_options options_;
    std::vector<std::unique_ptr<http::client>> clients_;
    std::atomic<std::size_t> preferred_{0};
};

} // namespace

std::unique_ptr<key_value_store> make_etcd_store(etcd_options options)
{
    return std::make_unique<etcd_store>(std::move(options));
}

} // namespace jl::store
