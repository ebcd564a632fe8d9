#include "tests/soak/soak_clients.h"

#include <algorithm>
#include <cstdio>
#include <random>

#include "http/client.h"
#include "platform/testing/platform_standin.h"

namespace jl::soak {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto pause_between_calls = 60ms;
constexpr auto call_limit = 2500ms;
constexpr auto completion_poll = 100ms;
constexpr int attempts = 4;
constexpr int cancelled_share = 8;      // one of so many jobs is cancelled
constexpr unsigned crashing_share = 32; // one of so many jobs crashes its workers
constexpr unsigned long_share = 16;     // one of so many jobs has long tasks, if any has
constexpr auto short_estimate = 400ms;
constexpr std::size_t jobs_asked_for = 20;

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int too_many = 429;
constexpr int unavailable = 503;

unsigned long number_of(const std::string& id)
{
    return std::stoul(id.substr(8), nullptr, 16);
}

// True if a task of the job crashes each worker that starts it, by the number that ends its id.
bool crashes_workers(const std::string& id)
{
    return number_of(id) % crashing_share == crashing_share - 1;
}

std::string job_body(const std::string& id, bool long_tasks)
{
    const bool is_long = long_tasks && number_of(id) % long_share == 0;
    const auto estimate = is_long ? adapter::testing::long_task_duration : short_estimate;
    const char* specification = is_long ? adapter::testing::long_specification : "plan";
    if (crashes_workers(id)) {
        specification = adapter::testing::crash_specification;
    }
    const json step = {
        {"count", 3}, {"cpu", 2000}, {"memoryRequestMb", 1024}, {"estimatedMs", estimate.count()}};
    auto second = step;
    second["after"] = {0};
    return json{{"specification", specification}, {"steps", {step, second}}}.dump();
}

} // namespace

// One caller with a connection pool for each node.
class soak_clients::caller {
public:
    caller(const soak_fleet& fleet, std::uint64_t seed) : random(seed)
    {
        for (int node = 0; node < fleet.nodes(); ++node) {
            clients_.push_back(
                std::make_unique<http::client>(fleet.callers(node), http::client_limits{}));
        }
    }

    int number(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random); }

    // At a random node; 0 without an answer.
    int call(const std::string& method, const std::string& id, const std::string& body,
             std::string* answered = nullptr)
    {
        http::request request;
        request.method = method;
        request.target = "/plans/" + id;
        request.headers["Host"] = "plans.example";
        request.headers["X-Deadline-Remaining"] = std::to_string(milliseconds(call_limit).count());
        request.body = body;
        auto& client =
            *clients_[static_cast<std::size_t>(number(static_cast<int>(clients_.size())))];
        const auto answer = client.exchange(request, std::chrono::steady_clock::now() + call_limit);
        not_sent = !answer && http::client::last_error().not_sent();
        if (answer && answered != nullptr) {
            *answered = answer->body;
        }
        return answer ? answer->status : 0;
    }

    bool not_sent = false; // the last call certainly did not arrive
    std::mt19937_64 random;

private:
    std::vector<std::unique_ptr<http::client>> clients_;
};

soak_clients::soak_clients(const soak_fleet& fleet, std::uint64_t seed, int callers,
                           bool long_tasks)
    : fleet_(fleet), long_tasks_(long_tasks)
{
    for (int index = 0; index < callers; ++index) {
        threads_.emplace_back([this, index, seed] { run(static_cast<std::size_t>(index), seed); });
    }
}

soak_clients::~soak_clients()
{
    stop();
}

void soak_clients::stop()
{
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void soak_clients::run(std::size_t index, std::uint64_t seed)
{
    caller caller(fleet_, seed * 1000 + index);
    std::vector<std::string> ids;
    for (unsigned number = 0; !stopping_; ++number) {
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(index) + 1, number);
        ids.emplace_back(id);
        submit(caller, ids.back());
        const auto recent = std::min(ids.size(), jobs_asked_for);
        ask(caller, ids[ids.size() - 1 -
                        static_cast<std::size_t>(caller.number(static_cast<int>(recent)))]);
        if (caller.number(cancelled_share) == 0) {
            cancel(caller, ids.back());
        }
        std::this_thread::sleep_for(pause_between_calls);
    }
}

void soak_clients::submit(caller& caller, const std::string& id)
{
    bool maybe = false; // some attempt may have been accepted
    for (int attempt = 0; attempt < attempts && !stopping_; ++attempt) {
        const int status = caller.call("POST", id, job_body(id, long_tasks_));
        if (status == ok) {
            set_fate(id, fate::accepted);
            return;
        }
        const bool refused = status == too_many || status == unavailable;
        maybe = maybe || !(refused || caller.not_sent);
        if (refused && !maybe) {
            break; // a caller comes back with a new job
        }
    }
    set_fate(id, maybe ? fate::unknown : fate::refused);
}

void soak_clients::ask(caller& caller, const std::string& id)
{
    const auto known = fate_of(id);
    std::string body;
    const int status = caller.call("GET", id, "", &body);
    const bool must_exist = known == fate::accepted || known == fate::ended;
    if (status == gone && must_exist) {
        complain("job " + id + " was accepted and is not known");
    }
    if (status != ok || !must_exist) {
        return;
    }
    const auto document = json::parse(body, nullptr, false);
    const auto state = document.is_object() ? document.value("state", "") : "";
    const std::string expected_end = crashes_workers(id) ? "failed" : "completed";
    if (known == fate::ended && state != expected_end) {
        complain("job " + id + " was " + expected_end + " and is shown as " + state);
    }
    if (state == expected_end) {
        set_fate(id, fate::ended);
    }
    else if (state == "failed" || state == "completed" || state == "cancelled") {
        complain("job " + id + " is shown as " + state + " without cause");
    }
}

void soak_clients::cancel(caller& caller, const std::string& id)
{
    const auto known = fate_of(id);
    if (known == fate::accepted || known == fate::ended) {
        set_fate(id, fate::cancelling);
        caller.call("DELETE", id, "");
    }
}

bool soak_clients::await_completion(milliseconds limit)
{
    caller caller(fleet_, 1);
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::vector<std::string> open;
    do {
        open.clear();
        {
            const std::lock_guard lock(mutex_);
            for (const auto& [id, fate] : jobs_) {
                if (fate == fate::accepted) {
                    open.push_back(id);
                }
            }
        }
        for (const auto& id : open) {
            ask(caller, id);
        }
        if (!open.empty()) {
            std::this_thread::sleep_for(completion_poll);
        }
    } while (!open.empty() && std::chrono::steady_clock::now() < deadline);
    for (const auto& id : open) {
        if (fate_of(id) == fate::accepted) {
            complain("job " + id + " was accepted and has not ended");
        }
    }
    return open.empty();
}

void soak_clients::check_refused(const json& starts)
{
    for (const auto& [task, count] : starts.items()) {
        const auto id = task.substr(0, task.find('.'));
        if (fate_of(id) == fate::refused) {
            complain("job " + id + " was refused and " + task + " has run");
        }
    }
}

void soak_clients::complain(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    complaints_.push_back(text);
}

std::vector<std::string> soak_clients::complaints() const
{
    const std::lock_guard lock(mutex_);
    return complaints_;
}

soak_clients::fate soak_clients::fate_of(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? fate::unknown : found->second;
}

void soak_clients::set_fate(const std::string& id, fate fate)
{
    const std::lock_guard lock(mutex_);
    jobs_[id] = fate;
}

int soak_clients::accepted() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        return entry.second != fate::unknown && entry.second != fate::refused;
    }));
}

int soak_clients::refused() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        return entry.second == fate::refused;
    }));
}

} // namespace jl::soak
