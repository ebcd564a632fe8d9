// Stand-in of a minion, one process each.
//
//   review-worker ADDRESS:PORT PLATFORM RECORD ID MACHINE SERVICE RACK MAX_HOLD_MS [TICKET]
//
// Each task's specification is a JSON text: {"ms": N, "each": M} ends task INDEX as `done` after
// N + M x INDEX ms, or as `failed` with "fail"; {"held": true} ends it when the driver says so
// (POST /standin/finish). POST /standin/cut {"ms": N} cuts the worker off for that time: nothing
// reaches it, and it runs on. On a queue with advice (the word TICKET at the end) a start needs a
// ticket.
#include "kit.h"

using namespace review;

namespace {

constexpr std::size_t page = 500;
constexpr auto heartbeat = 1500ms;

struct run {
    std::string task;
    std::int64_t number = 0;
    std::optional<steady::time_point> ends;
    bool fails = false;
};

struct ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::pair<std::string, std::int64_t>, run> running;
std::vector<ended> ends;
std::map<std::string, std::int64_t> closed; // highest run that was stopped or has ended
std::int64_t next_end = 1;
std::int64_t fence = 0;
std::int64_t last_seen = 0;
std::int64_t lease_until = 0;
std::int64_t max_hold_ms = 10000;
bool needs_ticket = false;
steady::time_point cut_until{};
const auto began = steady::now();
const auto born = unix_ms();
std::string id;
std::FILE* record = nullptr;

std::int64_t clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began).count();
}

void note(const char* what, const std::string& task, std::int64_t number, const std::string& more)
{
    std::fprintf(record, "%lld %s %s %s %lld %s\n", static_cast<long long>(unix_ms()), id.c_str(),
                 what, task.c_str(), static_cast<long long>(number), more.c_str());
    std::fflush(record);
}

void finish(const run& gone, const std::string& how)
{
    note("end", gone.task, gone.number, how);
    ends.push_back({next_end++, gone.task, gone.number, how});
    closed[gone.task] = std::max(closed[gone.task], gone.number);
    changed.notify_all();
}

template <typename Predicate>
void finish_if(Predicate predicate, const std::string& how)
{
    for (auto next = running.begin(); next != running.end();) {
        if (predicate(next->second)) {
            const auto gone = next->second;
            next = running.erase(next);
            finish(gone, how);
        }
        else {
            ++next;
        }
    }
}

void work()
{
    while (true) {
        pause_for(2ms);
        const std::lock_guard lock(mutex);
        const auto now = steady::now();
        const auto is_over = [&](const run& one, bool failed) {
            return one.ends && *one.ends <= now && one.fails == failed;
        };
        finish_if([&](const run& one) { return is_over(one, false); }, "done");
        finish_if([&](const run& one) { return is_over(one, true); }, "failed");
        if (lease_until != 0 && clock_ms() >= lease_until) {
            finish_if([](const run&) { return true; }, "lapsed");
            note("lapse", "-", 0, "");
            lease_until = 0;
        }
    }
}

json base()
{
    return {{"clockMs", clock_ms()}, {"born", born}};
}

response refuse(const char* reason)
{
    auto body = base();
    body["reason"] = reason;
    return {409, body};
}

bool extend(const json& body)
{
    if (!body.contains("untilMs")) {
        return true;
    }
    const auto until = body["untilMs"].get<std::int64_t>();
    if (until <= clock_ms()) {
        return false;
    }
    lease_until = std::max(lease_until, std::min(until, clock_ms() + max_hold_ms));
    return true;
}

response start(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    if (!extend(body)) {
        return refuse("late");
    }
    if (needs_ticket &&
        body.value("ticket", "") != "t-" + task.substr(0, task.rfind('.')) + "-" + id) {
        note("refused", task, number, "ticket");
        return refuse("ticket");
    }
    if (running.count({task, number}) != 0) {
        return {200, base()};
    }
    if (closed.count(task) != 0 && number <= closed[task]) {
        return refuse("old");
    }
    auto plan = json::parse(body.value("specification", ""), nullptr, false);
    run begun{task, number, std::nullopt, plan.is_object() && plan.value("fail", false)};
    if (plan.is_object() && plan.contains("ms")) {
        const auto index = std::atoll(task.substr(task.rfind('.') + 1).c_str());
        begun.ends = steady::now() + std::chrono::milliseconds(plan.value("ms", 0)) +
                     std::chrono::microseconds(static_cast<std::int64_t>(
                         plan.value("each", 0.0) * 1000.0 * static_cast<double>(index)));
    }
    running[{task, number}] = begun;
    note("start", task, number, "until " + std::to_string(lease_until - clock_ms()));
    return {200, base()};
}

response stop(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    finish_if([&](const run& one) { return one.task == task && one.number == number; }, "stopped");
    closed[task] = std::max(closed[task], number);
    return {200, base()};
}

response hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    const auto seen = body.value("lastSeen", std::int64_t{0});
    if (seen > last_seen) {
        last_seen = seen;
        note("noted", "-", seen, "");
    }
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                              [&](const ended& one) { return one.number <= seen; }),
               ends.end());
    extend(body);
    const auto wait = std::min<std::int64_t>(body.value("waitMs", 0), 2000);
    changed.wait_for(lock, std::chrono::milliseconds(wait),
                     [] { return !ends.empty() || steady::now() < cut_until; });
    auto answer = base();
    answer["running"] = json::array();
    for (const auto& [key, one] : running) {
        answer["running"].push_back(json::array({one.task, one.number, "", 50, 0}));
    }
    answer["ended"] = json::array();
    for (std::size_t index = 0; index < ends.size() && index < page; ++index) {
        const auto& one = ends[index];
        answer["ended"].push_back(json::array({one.number, one.task, one.run, one.how, ""}));
        note("listed", one.task, one.run, std::to_string(one.number));
    }
    return {200, answer};
}

// The sender gets no answer; the connection is of no use any more.
response silence(std::unique_lock<std::mutex>& lock)
{
    while (steady::now() < cut_until) {
        const auto left = cut_until - steady::now();
        lock.unlock();
        std::this_thread::sleep_for(left);
        lock.lock();
    }
    return {0, {}};
}

response handle(const request& asked)
{
    std::unique_lock lock(mutex);
    const auto path = asked.path();
    const auto body = asked.content();
    if (path == "/standin/finish") {
        const auto job = body.value("job", "");
        finish_if([&](const run& one) { return one.task.compare(0, job.size(), job) == 0; },
                  "done");
        return {200, json::object()};
    }
    if (path == "/standin/cut") {
        cut_until = steady::now() + std::chrono::milliseconds(body.value("ms", 0));
        note("cut", "-", body.value("ms", 0), "");
        changed.notify_all();
        return {200, json::object()};
    }
    if (steady::now() < cut_until) {
        return silence(lock);
    }
    const auto expected = asked.headers.find("x-expected-instance");
    if (expected != asked.headers.end() && expected->second != id) {
        return {421, json::object()};
    }
    const auto token = body.value("fencingToken", std::int64_t{0});
    if (token < fence) {
        return refuse("fence");
    }
    fence = token;
    if (path == "/api/run-start") {
        return start(body);
    }
    if (path == "/api/run-stop") {
        return stop(body);
    }
    if (path == "/api/hold") {
        const auto answer = hold(body, lock);
        return steady::now() < cut_until ? silence(lock) : answer;
    }
    return {404, json::object()};
}

} // namespace

int main(int count, char** words)
{
    if (count < 8) {
        return 2;
    }
    const auto at = parse_address(words[1]);
    const auto platform = parse_address(words[2]);
    record = std::fopen(words[3], "a");
    id = words[4];
    if (count > 8) {
        max_hold_ms = std::atoll(words[8]);
    }
    needs_ticket = count > 9;
    note("born", "-", born, "");
    const json entry = {{"service", words[6]},
                        {"address", at.text()},
                        {"zone", "north"},
                        {"version", "1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"machine", words[5]},
                        {"born", born},
                        {"capacity", {{"cpu", 64000}, {"memoryRequestMb", 131072}, {"gpu", 0}}},
                        {"labels", {"a", words[7]}},
                        {"coldRemainingMs", 0}};
    std::thread([entry, platform] {
        std::int64_t sequence = 0;
        while (true) {
            auto beat = entry;
            beat["sequence"] = ++sequence;
            std::this_thread::sleep_until(cut_until); // the store is not reached either
            exchange(platform, "POST", "/standin/server", {{"id", id}, {"entry", beat}}, 1000ms);
            pause_for(heartbeat);
        }
    }).detach();
    std::thread(work).detach();
    serve(at, handle);
}
