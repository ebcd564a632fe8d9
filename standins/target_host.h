#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"
#include "standins/vm_file.h"

namespace jl::standins {

// What the targets of a deployment executed, by the token in the request body, for audits.
class execution_ledger {
public:
    void started(const std::string& token, const std::string& vm);
    void finished(const std::string& token);
    void cut();
    void overrun();
    // "token starts finishes vm" per line.
    std::string to_text() const;
    std::string summary_json() const;

private:
    struct entry {
        int starts = 0;
        int finishes = 0;
        std::string vm;
    };
    mutable std::mutex mutex_;
    std::map<std::string, entry> entries_;
    std::int64_t cut_ = 0;
    std::int64_t overruns_ = 0;
};

// One VM's target: POST /<service> with a JSON body {"token", "work_ms", "answer_bytes", "status"},
// all optional. It executes at most `slots` requests at a time; others wait for a slot, which
// counts as an overrun. The answer repeats the token and the request id.
class target_host {
public:
    target_host(vm_definition vm, int slots, std::chrono::milliseconds default_work,
                execution_ledger& ledger);
    ~target_host();
    target_host(const target_host&) = delete;
    target_host& operator=(const target_host&) = delete;

    void start();
    // Stops at once; requests in progress count as cut.
    void stop();
    // "normal", "fail" (answers 500 without executing), "silent" (reads and never answers).
    void set_mode(const std::string& mode);

private:
    http::response handle(const http::request& request);
    void acquire_slot();
    void release_slot();

    const vm_definition vm_;
    const int slots_;
    const std::chrono::milliseconds default_work_;
    execution_ledger& ledger_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    std::string mode_ = "normal";
    bool stopping_ = false;
    std::mutex server_mutex_;
    std::unique_ptr<http::server> server_;
};

} // namespace jl::standins
