// Audits what callers were told against what the targets executed, while entries are killed and
// paused, connections fall silent and the store fails. Real processes on 127.0.0.1.

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <getopt.h>
#include <nlohmann/json.hpp>

#include "records/records.h"
#include "tests/harness/deployment.h"

namespace {

using nlohmann::json;
using namespace std::chrono_literals;
namespace http = jl::http;
using jl::harness::deployment;

constexpr int entry_count = 3;
constexpr auto load_time = 38s;
constexpr auto call_timeout = 3s;
constexpr auto run_limit = 5s; // of a deferred request
constexpr auto drain_limit = 12s;
constexpr std::int64_t page_keys = 500;

struct bench_options {
    std::uint64_t seed = 1;
    std::string example = "co-op";
    std::string list_path; // file that gets the tokens with faults
};

// A service of the example and a team that may use it.
struct route {
    std::string service;
    std::string team;
};

std::vector<route> routes_of(const std::string& example)
{
    if (example == "head-office") {
        return {{"intake", "stations"}, {"matcher", "finders"}, {"movements", "partners"}};
    }
    return {{"rounds", "planning"}, {"calls", "booking"}, {"accounts", "payroll"}};
}

enum class kind { plain, keyed, deferred };

// What the caller of one request knows at the end.
struct told {
    kind type = kind::plain;
    bool idempotent = false;
    int sent = 0;
    int not_run = 0;
    bool answered = false;
    bool accepted = false;
    bool cancelled = false;
    bool wrong_answer = false; // cut, or the answer of another request
};

class ledger_of_callers {
public:
    void add(const std::string& token, const told& entry)
    {
        const std::lock_guard lock(mutex_);
        entries_[token] = entry;
    }
    void mark_cancelled(const std::string& token)
    {
        const std::lock_guard lock(mutex_);
        entries_[token].cancelled = true;
    }
    std::map<std::string, told> take()
    {
        const std::lock_guard lock(mutex_);
        return std::move(entries_);
    }
    std::size_t size()
    {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

private:
    std::mutex mutex_;
    std::map<std::string, told> entries_;
};

// One caller thread's work.
class caller {
public:
    caller(const deployment& deployment, ledger_of_callers& ledger, const bench_options& options,
           kind type, int number)
        : deployment_(deployment),
          ledger_(ledger),
          routes_(routes_of(options.example)),
          type_(type),
          number_(number),
          random_(options.seed * 1000 + static_cast<std::uint64_t>(number))
    {
    }

    void run(const std::atomic<bool>& stopping)
    {
        std::vector<std::string> cancellable;
        for (int count = 0; !stopping; ++count) {
            const auto token = "t" + std::to_string(number_) + "-" + std::to_string(count);
            if (type_ == kind::plain) {
                call(token);
            }
            else if (type_ == kind::keyed) {
                call_with_key(token);
            }
            else if (defer(token) && pick(20) == 0) {
                cancellable.push_back(token);
            }
            if (cancellable.size() >= 20) {
                cancel(cancellable);
                cancellable.clear();
            }
        }
    }

private:
    int pick(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }

    json make_body(const std::string& token)
    {
        expected_padding_ = static_cast<std::size_t>(pick(10) == 0 ? 20000 : 16);
        return {{"token", token}, {"work_ms", pick(4)}, {"answer_bytes", expected_padding_}};
    }

    http::header_map make_headers(const route& route, bool idempotent)
    {
        static constexpr std::array<const char*, 2> classes = {"normal", "urgent"};
        return {{"Jl-Team", route.team},
                {"Jl-Class", classes.at(static_cast<std::size_t>(pick(2)))},
                {"Jl-Idempotent", idempotent ? "true" : "false"},
                {"Jl-Timeout-Ms", std::to_string(std::chrono::milliseconds(call_timeout).count())}};
    }

    void note(const std::optional<http::response>& answer, const std::string& token, told& entry)
    {
        ++entry.sent;
        if (!answer) {
            // A refused connection is counted as sent: the caller cannot always tell.
            return;
        }
        const auto outcome = http::find_header(answer->headers, "Jl-Outcome").value_or("");
        if (outcome == "not-run") {
            ++entry.not_run;
        }
        if (outcome == "accepted") {
            entry.accepted = true;
        }
        if (outcome == "answered") {
            entry.answered = true;
            const auto body = json::parse(answer->body, nullptr, false);
            const bool whole = body.is_object() && body.value("token", "") == token &&
                               body.value("padding", "").size() == expected_padding_;
            entry.wrong_answer = entry.wrong_answer || !whole;
        }
    }

    void call(const std::string& token)
    {
        told entry;
        entry.idempotent = pick(3) == 0;
        const auto& route = routes_[static_cast<std::size_t>(pick(3))];
        const auto body = make_body(token).dump();
        note(deployment_.call(pick(entry_count), route.service,
                              make_headers(route, entry.idempotent), body, call_timeout + 1s),
             token, entry);
        ledger_.add(token, entry);
    }

    // Repeats the call through other entries until it is answered, sometimes through two at once.
    void call_with_key(const std::string& token)
    {
        told entry;
        entry.type = kind::keyed;
        entry.idempotent = pick(3) == 0;
        const auto& route = routes_[static_cast<std::size_t>(pick(3))];
        const auto body = make_body(token).dump();
        auto headers = make_headers(route, entry.idempotent);
        headers["Idempotency-Key"] = token;
        const int first = pick(entry_count);
        for (int attempt = 0; attempt < 3 && !entry.answered; ++attempt) {
            std::optional<http::response> other;
            std::thread twin;
            if (attempt == 0 && pick(20) == 0) {
                twin = std::thread([&] {
                    other = deployment_.call((first + 1) % entry_count, route.service, headers,
                                             body, call_timeout + 1s);
                });
            }
            const auto answer = deployment_.call((first + attempt) % entry_count, route.service,
                                                 headers, body, call_timeout + 1s);
            note(answer, token, entry);
            if (twin.joinable()) {
                twin.join();
                note(other, token, entry);
            }
        }
        ledger_.add(token, entry);
    }

    bool defer(const std::string& token)
    {
        told entry;
        entry.type = kind::deferred;
        entry.idempotent = pick(3) == 0;
        const auto& route = routes_[static_cast<std::size_t>(pick(3))];
        auto headers = make_headers(route, entry.idempotent);
        headers.erase("Jl-Timeout-Ms");
        headers["Jl-Class"] = "deferred";
        headers["Idempotency-Key"] = token;
        const auto body = make_body(token).dump();
        for (int attempt = 0; attempt < 2 && !entry.accepted; ++attempt) {
            note(deployment_.request(deployment_.caller_address(pick(entry_count)), "POST",
                                     "/v1/services/" + route.service + "/deferred", body, headers,
                                     call_timeout + 1s),
                 token, entry);
        }
        ledger_.add(token, entry);
        return entry.accepted;
    }

    void cancel(const std::vector<std::string>& ids)
    {
        const auto answer =
            deployment_.request(deployment_.caller_address(pick(entry_count)), "POST",
                                "/v1/requests/cancel", json{{"ids", ids}}.dump());
        if (!answer || answer->status != 200) {
            return;
        }
        const auto body = json::parse(answer->body, nullptr, false);
        for (const auto& id : body.value("cancelled", json::array())) {
            ledger_.mark_cancelled(id.get<std::string>());
        }
    }

    const deployment& deployment_;
    ledger_of_callers& ledger_;
    const std::vector<route> routes_;
    const kind type_;
    const int number_;
    std::mt19937_64 random_;
    std::size_t expected_padding_ = 0;
};

// The faults of one run, at times that depend on the seed.
class fault_schedule {
public:
    fault_schedule(deployment& deployment, std::uint64_t seed)
        : deployment_(deployment), random_(seed)
    {
    }

    void run()
    {
        pause(3s);
        lose_store_answers();
        pause(2s);
        restart(pick());
        pause(2s);
        const int paused = pick();
        std::printf("pause entry %d for 7 s\n", paused);
        deployment_.entry(paused).pause();
        pause(7s);
        deployment_.entry(paused).resume();
        pause(2s);
        std::printf("store unavailable for 4 s\n");
        deployment_.store_fault({{"fault", "unavailable"}});
        pause(4s);
        deployment_.store_fault({{"fault", "none"}});
        pause(3s);
        silence();
        pause(3s);
        lose_store_answers();
        restart(pick());
        pause(2s);
        std::printf("store slow (60 ms) for 3 s\n");
        deployment_.store_fault({{"fault", "none"}, {"delay_ms", 60}});
        pause(3s);
        deployment_.store_fault({{"fault", "none"}});
        silence();
    }

private:
    int pick() { return std::uniform_int_distribution<int>(0, entry_count - 1)(random_); }

    void pause(std::chrono::milliseconds time)
    {
        std::uniform_int_distribution<int> extra(0, 500);
        std::this_thread::sleep_for(time + std::chrono::milliseconds(extra(random_)));
    }

    void lose_store_answers()
    {
        std::printf("lose 15 store answers\n");
        deployment_.store_fault({{"fault", "lost_answer"}, {"count", 15}});
    }

    void restart(int entry)
    {
        std::printf("kill entry %d, start it after 1 s\n", entry);
        deployment_.entry(entry).kill();
        pause(1s);
        deployment_.restart_entry(entry);
    }

    void silence()
    {
        const int entry = pick();
        std::printf("silence connections of entry %d to store and peers, and of some targets\n",
                    entry);
        deployment_.proxy_action("store-" + std::to_string(entry), "silence-existing");
        deployment_.proxy_action("peer-" + std::to_string(entry), "silence-existing");
        for (const auto& vm : deployment_.vms()) {
            if (pick() == 0) {
                deployment_.proxy_action("target-" + vm, "silence-existing");
            }
        }
    }

    deployment& deployment_;
    std::mt19937_64 random_;
};

std::map<std::string, jl::records::request_record> read_records(deployment& deployment,
                                                                const std::string& prefix)
{
    std::map<std::string, jl::records::request_record> found;
    std::string next = prefix;
    for (bool more = true; more;) {
        const auto page = deployment.store().range({next, jl::store::prefix_end(prefix), page_keys},
                                                   std::chrono::steady_clock::now() + 5s);
        if (!page) {
            throw std::runtime_error("the records cannot be read");
        }
        for (const auto& item : page->items) {
            if (auto record = jl::records::parse_request(item.value)) {
                found[record->id] = std::move(*record);
            }
            next = item.key + '\0';
        }
        more = page->more;
    }
    return found;
}

// The example's objects with short run limits. A request on a connection that falls silent ends
// only at its run limit, and the audit waits until every request has ended.
std::string document_with_short_limits(const deployment& deployment)
{
    auto document = json::parse(deployment.example_document());
    for (auto& object : document["objects"]) {
        if (object["kind"] == "service") {
            object["default_timeout_ms"] = std::chrono::milliseconds(call_timeout).count();
            object["max_timeout_ms"] = std::chrono::milliseconds(run_limit).count();
        }
    }
    return document.dump();
}

bool queues_empty(deployment& deployment)
{
    const std::string prefix = jl::records::deferred_prefix;
    const auto left = deployment.store().range({prefix, jl::store::prefix_end(prefix), 1},
                                               std::chrono::steady_clock::now() + 5s);
    return left && left->items.empty();
}

// Compares the callers' and the targets' ledgers.
class audit {
public:
    audit(std::map<std::string, told> callers, std::map<std::string, deployment::execution> targets,
          std::map<std::string, jl::records::request_record> records)
        : callers_(std::move(callers)), targets_(std::move(targets)), records_(std::move(records))
    {
        for (const auto& [token, entry] : callers_) {
            check(token, entry);
        }
    }

    json figures() const { return figures_; }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    void count(const char* figure) { figures_[figure] = figures_.value(figure, 0) + 1; }

    void fault(const char* figure, const std::string& token, const told& entry, int starts)
    {
        count(figure);
        const auto record = records_.find(token);
        faults_.push_back(
            std::string(figure) + " " + token + " type " +
            std::to_string(static_cast<int>(entry.type)) + " idempotent " +
            std::to_string(entry.idempotent) + " sent " + std::to_string(entry.sent) + " not_run " +
            std::to_string(entry.not_run) + " starts " + std::to_string(starts) + " state " +
            (record == records_.end() ? "none" : jl::records::to_text(record->second.state)));
    }

    void check(const std::string& token, const told& entry)
    {
        const auto execution = targets_.find(token);
        const int starts = execution == targets_.end() ? 0 : execution->second.starts;
        figures_["requests"] = figures_["requests"].get<int>() + entry.sent;
        if (!entry.idempotent && starts > 1) {
            fault("doubled", token, entry, starts);
        }
        if (starts > 0 && entry.not_run == entry.sent) {
            fault("false_not_run", token, entry, starts);
        }
        if (starts > 0 && entry.cancelled && !entry.idempotent) {
            fault("false_not_run", token, entry, starts);
        }
        if (entry.wrong_answer || (entry.answered && starts == 0)) {
            fault("crossed_or_cut", token, entry, starts);
        }
        if (entry.accepted) {
            check_accepted(token, entry, starts);
        }
        if (entry.answered) {
            count("answered");
        }
        if (entry.type == kind::keyed) {
            count("keyed");
        }
    }

    void check_accepted(const std::string& token, const told& entry, int starts)
    {
        using jl::records::request_state;
        count("accepted");
        const auto record = records_.find(token);
        const auto state = record == records_.end() ? request_state::queued : record->second.state;
        const bool answered = state == request_state::answered && starts > 0;
        const bool cancelled = state == request_state::cancelled;
        if (!answered && !cancelled && state != request_state::unknown) {
            fault("lost", token, entry, starts);
        }
        if (state == request_state::unknown) {
            count("accepted_unknown");
        }
    }

    std::map<std::string, told> callers_;
    std::map<std::string, deployment::execution> targets_;
    std::map<std::string, jl::records::request_record> records_;
    json figures_ = {{"requests", 0},      {"lost", 0},           {"doubled", 0},
                     {"false_not_run", 0}, {"crossed_or_cut", 0}, {"answered", 0},
                     {"keyed", 0},         {"accepted", 0},       {"accepted_unknown", 0}};
    std::vector<std::string> faults_;
};

std::vector<std::thread> start_callers(const deployment& deployment, ledger_of_callers& ledger,
                                       const bench_options& options,
                                       const std::atomic<bool>& stopping)
{
    constexpr int plain_callers = 24;
    constexpr int keyed_callers = 32;
    constexpr int deferring_callers = 16;
    std::vector<std::thread> threads;
    for (int number = 0; number < plain_callers + keyed_callers + deferring_callers; ++number) {
        const auto type = number < plain_callers                   ? kind::plain
                          : number < plain_callers + keyed_callers ? kind::keyed
                                                                   : kind::deferred;
        threads.emplace_back([&deployment, &ledger, &options, &stopping, type, number] {
            caller(deployment, ledger, options, type, number).run(stopping);
        });
    }
    return threads;
}

int run(const bench_options& options)
{
    jl::harness::deployment_options deployed;
    deployed.example = options.example;
    deployed.entries = entry_count;
    deployed.proxies = true;
    deployment deployment(deployed);
    deployment.start();
    deployment.publish(document_with_short_limits(deployment));
    ledger_of_callers callers;
    std::atomic<bool> stopping{false};
    auto threads = start_callers(deployment, callers, options, stopping);
    const auto end = std::chrono::steady_clock::now() + load_time;
    fault_schedule(deployment, options.seed).run();
    std::this_thread::sleep_until(end);
    stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const bool drained =
        jl::harness::eventually([&] { return queues_empty(deployment); }, drain_limit);
    std::printf("%zu tokens, queues %s\n", callers.size(), drained ? "empty" : "not empty");
    const auto executed = deployment.ledger();
    if (const auto unnamed = executed.find(""); unnamed != executed.end()) {
        std::printf("%d executions without a token\n", unnamed->second.starts);
    }
    const audit result(callers.take(), executed,
                       read_records(deployment, jl::records::requests_prefix));
    std::FILE* list =
        options.list_path.empty() ? nullptr : std::fopen(options.list_path.c_str(), "w");
    for (const auto& fault : result.faults()) {
        std::fprintf(list != nullptr ? list : stdout, "%s\n", fault.c_str());
    }
    if (list != nullptr) {
        std::fclose(list);
    }
    const json line = {{"bench", "audit"},
                       {"seed", options.seed},
                       {"figures", result.figures()},
                       {"baselines", json::object()}};
    std::printf("%s\n", line.dump().c_str());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    const std::array<option, 4> long_options = {{{"seed", required_argument, nullptr, 's'},
                                                 {"deployment", required_argument, nullptr, 'd'},
                                                 {"list", required_argument, nullptr, 'l'},
                                                 {nullptr, 0, nullptr, 0}}};
    for (int flag = 0; (flag = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1;) {
        switch (flag) {
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'd':
            options.example = optarg;
            break;
        case 'l':
            options.list_path = optarg;
            break;
        default:
            std::fprintf(stderr,
                         "usage: audit_bench [--seed N] [--deployment NAME] [--list FILE]\n");
            return 2;
        }
    }
    return run(options);
}
