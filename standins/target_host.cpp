#include "standins/target_host.h"

#include <thread>

#include <Poco/Exception.h>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace jl::standins {

using nlohmann::json;

namespace {

constexpr int bind_attempts = 50;
constexpr std::chrono::milliseconds bind_retry{20};

} // namespace

void execution_ledger::started(const std::string& token, const std::string& vm)
{
    const std::lock_guard lock(mutex_);
    auto& entry = entries_[token];
    ++entry.starts;
    entry.vm = vm;
}

void execution_ledger::finished(const std::string& token)
{
    const std::lock_guard lock(mutex_);
    ++entries_[token].finishes;
}

void execution_ledger::cut()
{
    const std::lock_guard lock(mutex_);
    ++cut_;
}

void execution_ledger::overrun()
{
    const std::lock_guard lock(mutex_);
    ++overruns_;
}

std::string execution_ledger::to_text() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [token, entry] : entries_) {
        text += token + " " + std::to_string(entry.starts) + " " + std::to_string(entry.finishes) +
                " " + entry.vm + "\n";
    }
    return text;
}

std::string execution_ledger::summary_json() const
{
    const std::lock_guard lock(mutex_);
    return json{{"requests", entries_.size()}, {"cut", cut_}, {"overruns", overruns_}}.dump();
}

target_host::target_host(vm_definition vm, int slots, std::chrono::milliseconds default_work,
                         execution_ledger& ledger)
    : vm_(std::move(vm)), slots_(slots), default_work_(default_work), ledger_(ledger)
{
}

target_host::~target_host()
{
    stop();
}

void target_host::start()
{
    const std::lock_guard server_lock(server_mutex_);
    if (server_) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = false;
        mode_ = "normal";
    }
    http::server_limits limits;
    limits.max_threads = 64;
    limits.keep_alive_timeout = std::chrono::milliseconds(60000);
    limits.max_body_bytes = 16U << 20U;
    // The former socket may still hold the port for a moment after a stop.
    for (int attempt = 0; attempt < bind_attempts && !server_; ++attempt) {
        try {
            server_ = std::make_unique<http::server>(
                vm_.address, limits,
                [this](const http::request& request) { return handle(request); });
        }
        catch (const Poco::Exception&) {
            std::this_thread::sleep_for(bind_retry);
        }
    }
    if (!server_) {
        log_event(log_level::error, "target_bind_failed", {{"address", vm_.address.to_string()}});
    }
}

void target_host::stop()
{
    const std::lock_guard server_lock(server_mutex_);
    if (!server_) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (int i = 0; i < running_; ++i) {
            ledger_.cut();
        }
    }
    changed_.notify_all();
    server_->abort();
    server_.reset();
}

void target_host::set_mode(const std::string& mode)
{
    {
        const std::lock_guard lock(mutex_);
        mode_ = mode;
    }
    changed_.notify_all();
}

void target_host::acquire_slot()
{
    std::unique_lock lock(mutex_);
    if (running_ >= slots_) {
        ledger_.overrun();
    }
    changed_.wait(lock, [this] { return running_ < slots_ || stopping_; });
    ++running_;
}

void target_host::release_slot()
{
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    changed_.notify_all();
}

http::response target_host::handle(const http::request& request)
{
    std::string mode;
    {
        const std::lock_guard lock(mutex_);
        mode = mode_;
    }
    if (mode == "fail") {
        return http::error_response(500, "broken", "this target fails every request");
    }
    if (mode == "silent") {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return mode_ != "silent" || stopping_; });
    }
    const auto id = http::find_header(request.headers, "Jl-Request-Id").value_or("");
    const auto parsed = json::parse(request.body, nullptr, false);
    const json body = parsed.is_object() ? parsed : json::object();
    const auto token = body.value("token", id);
    const auto work = std::chrono::milliseconds(body.value("work_ms", default_work_.count()));
    acquire_slot();
    ledger_.started(token, vm_.vm);
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, work, [this] { return stopping_; });
    }
    ledger_.finished(token);
    release_slot();
    json answer = {{"token", token},
                   {"request_id", id},
                   {"vm", vm_.vm},
                   {"service", request.target.substr(1)}};
    if (body.contains("answer_bytes")) {
        answer["padding"] = std::string(body["answer_bytes"].get<std::size_t>(), 'x');
    }
    return http::json_response(body.value("status", 200), answer.dump());
}

} // namespace jl::standins
