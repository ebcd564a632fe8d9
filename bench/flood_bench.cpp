// Service that other teams keep, and start of urgent work, while one team floods a service with the
// least urgent work and then with the most urgent work. Baselines: one FIFO queue for everything,
// and a fixed number of slots for each team.

#include <array>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>

#include <nlohmann/json.hpp>

#include "bench/request_load.h"
#include "http/client.h"
#include "tests/harness/deployment.h"

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int entry_count = 3;
constexpr int vms_per_pool = 4;
constexpr int slots_per_vm = 8;
constexpr int all_slots = vms_per_pool * slots_per_vm;
constexpr int urgent_quota = 16; // the crew's demand of 4 slots is within its quota
constexpr milliseconds call_timeout{10000};
constexpr milliseconds flood_timeout{4000};

// Shares that the configuration promises: classes as documented in docs/requests.md, teams by their
// weights, which are equal here.
enum class priority { urgent, normal, deferred };
constexpr std::array<const char*, 3> class_names = {"urgent", "normal", "deferred"};
constexpr std::array<double, 3> class_weights = {6, 3, 1};

struct team_load {
    std::string team;
    priority work_class;
    milliseconds work;
    jl::bench::load_source source;
};

constexpr std::size_t flood_index = 0;
constexpr std::size_t urgent_index = 1;

std::vector<team_load> make_loads(priority flood_class, milliseconds flood_work)
{
    return {{"bench-flood", flood_class, flood_work, {"flood", 120, 0}},
            {"bench-crew", priority::urgent, 50ms, {"crew", 48, 80}},      // 4 slots
            {"bench-quick", priority::normal, 50ms, {"quick", 80, 160}},   // 8 slots
            {"bench-batch", priority::normal, 200ms, {"batch", 48, 0}},    // more than its share
            {"bench-later", priority::deferred, 50ms, {"later", 24, 40}}}; // 2 slots
}

// Divides `total` by weighted max-min fairness: nobody gets more than its demand, and what is left
// is divided among the others by weight.
std::vector<double> max_min_shares(double total, const std::vector<double>& demands,
                                   const std::vector<double>& weights)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<bool> met(demands.size(), false);
    for (;;) {
        double open_weight = 0;
        double used = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            (met[i] ? used : open_weight) += met[i] ? demands[i] : weights[i];
        }
        bool changed = false;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (!met[i]) {
                shares[i] = (total - used) * weights[i] / open_weight;
            }
        }
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (!met[i] && shares[i] >= demands[i]) {
                shares[i] = demands[i];
                met[i] = true;
                changed = true;
            }
        }
        if (!changed) {
            return shares;
        }
    }
}

// Share of every team in slots: first among the classes, then among the teams of a class.
std::vector<double> fair_shares(const std::vector<team_load>& loads,
                                const std::vector<double>& demands)
{
    std::vector<double> class_demands(class_weights.size(), 0);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        class_demands[static_cast<std::size_t>(loads[i].work_class)] += demands[i];
    }
    const auto class_shares =
        max_min_shares(all_slots, class_demands, {class_weights.begin(), class_weights.end()});
    std::vector<double> shares(loads.size(), 0);
    for (std::size_t index = 0; index < class_weights.size(); ++index) {
        std::vector<std::size_t> members;
        std::vector<double> member_demands;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            if (static_cast<std::size_t>(loads[i].work_class) == index) {
                members.push_back(i);
                member_demands.push_back(demands[i]);
            }
        }
        const auto divided = max_min_shares(class_shares[index], member_demands,
                                            std::vector<double>(members.size(), 1));
        for (std::size_t i = 0; i < members.size(); ++i) {
            shares[members[i]] = divided[i];
        }
    }
    return shares;
}

struct flood_figures {
    double other_share_min = 0;
    std::optional<double> urgent_p99_start_s; // nothing: no urgent call was answered
    json teams = json::object();
};

flood_figures evaluate(const std::vector<team_load>& loads,
                       const std::vector<jl::bench::load_result>& results, milliseconds measured)
{
    const double seconds = std::chrono::duration<double>(measured).count();
    std::vector<double> demands;
    std::vector<double> used;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const double work = std::chrono::duration<double>(loads[i].work).count();
        used.push_back(static_cast<double>(results[i].answered()) * work / seconds);
        // What was offered in the measured part, so that the randomness of arrivals cancels out.
        demands.push_back(loads[i].source.rate > 0
                              ? static_cast<double>(results[i].offered) * work / seconds
                              : loads[i].source.threads);
    }
    const auto shares = fair_shares(loads, demands);
    flood_figures figures;
    figures.other_share_min = 1e9;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const double part = shares[i] > 0 ? used[i] / shares[i] : 1;
        figures.teams[loads[i].team] = {
            {"fair_slots", shares[i]}, {"used_slots", used[i]}, {"failed", results[i].failed}};
        if (i != flood_index) {
            figures.other_share_min = std::min(figures.other_share_min, part);
        }
    }
    const double work = std::chrono::duration<double>(loads[urgent_index].work).count();
    if (results[urgent_index].answered() > 0) {
        figures.urgent_p99_start_s =
            std::max(0.0, jl::bench::quantile(results[urgent_index].latencies, 0.99) - work);
    }
    return figures;
}

// Slots given to callers in the order in which they ask.
class fifo_slots {
public:
    explicit fifo_slots(const std::vector<jl::endpoint>& slots) : free_(slots.begin(), slots.end())
    {
    }

    std::optional<jl::endpoint> acquire(steady_clock::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        waiter self;
        waiting_.push_back(&self);
        dispatch();
        if (!self.changed.wait_until(lock, deadline, [&] { return self.slot.has_value(); })) {
            waiting_.erase(std::find(waiting_.begin(), waiting_.end(), &self));
        }
        return self.slot;
    }

    void release(const jl::endpoint& slot)
    {
        const std::lock_guard lock(mutex_);
        free_.push_back(slot);
        dispatch();
    }

private:
    struct waiter {
        std::optional<jl::endpoint> slot;
        std::condition_variable changed;
    };

    void dispatch()
    {
        while (!waiting_.empty() && !free_.empty()) {
            waiting_.front()->slot = free_.front();
            waiting_.front()->changed.notify_one();
            waiting_.pop_front();
            free_.pop_front();
        }
    }

    std::mutex mutex_;
    std::deque<jl::endpoint> free_;
    std::deque<waiter*> waiting_;
};

struct service_choice {
    std::string service;
    std::string pool;
};

class flood_bench {
public:
    explicit flood_bench(const jl::bench::bench_arguments& arguments)
        : arguments_(arguments), deployment_(make_options(arguments))
    {
    }

    json run()
    {
        deployment_.start();
        publish_teams();
        // Head office floods with long matching tasks, the co-op with short plans.
        const auto work = arguments_.deployment == "head-office" ? 2500ms : 300ms;
        json figures = json::object();
        json baselines = json::object();
        for (const auto flood : {priority::deferred, priority::urgent}) {
            const std::string name = flood == priority::deferred ? "least_urgent" : "most_urgent";
            const auto loads = make_loads(flood, work);
            report(baselines["fifo"][name], run_baseline(loads, false));
            report(baselines["static_quotas"][name], run_baseline(loads, true));
        }
        double share = 1e9;
        double start = 0;
        for (const auto flood : {priority::deferred, priority::urgent}) {
            const std::string name = flood == priority::deferred ? "least_urgent" : "most_urgent";
            const auto result = run_entries(make_loads(flood, work));
            report(figures[name], result);
            share = std::min(share, result.other_share_min);
            start = std::max(start, result.urgent_p99_start_s.value_or(1e9));
        }
        figures["other_goodput_share_min"] = share;
        figures["urgent_p99_start_s"] = start;
        figures["overruns"] = deployment_.target_summary().value("overruns", -1);
        return {{"bench", "flood"},
                {"seed", arguments_.seed},
                {"figures", figures},
                {"baselines", baselines}};
    }

private:
    static jl::harness::deployment_options make_options(const jl::bench::bench_arguments& arguments)
    {
        jl::harness::deployment_options options;
        options.example = arguments.deployment;
        options.entries = entry_count;
        options.vms_per_pool = vms_per_pool;
        return options;
    }

    static void report(json& target, const flood_figures& figures)
    {
        target = {{"other_goodput_share_min", figures.other_share_min},
                  {"urgent_p99_start_s",
                   figures.urgent_p99_start_s ? json(*figures.urgent_p99_start_s) : json()},
                  {"teams", figures.teams}};
    }

    // Adds the bench's teams to the example and waits until the entries know them.
    void publish_teams()
    {
        auto document = json::parse(deployment_.example_document());
        for (const auto& object : document.at("objects")) {
            if (object.at("kind") == "service" && choice_.service.empty()) {
                choice_ = {object.at("name"), object.at("pool")};
            }
        }
        for (const auto& load : make_loads(priority::normal, 1ms)) {
            json team = {{"kind", "team"}, {"name", load.team}, {"weight", 1}};
            if (load.team == "bench-crew") {
                team["quotas"] = {{choice_.pool, urgent_quota}};
            }
            document["objects"].push_back(team);
        }
        const auto generation = deployment_.publish(document.dump());
        for (int entry = 0; entry < entry_count; ++entry) {
            const bool known = jl::harness::eventually([&] {
                const auto answer = deployment_.call(
                    entry, choice_.service, {{"Jl-Team", "bench-crew"}}, R"({"work_ms":0})");
                return answer && jl::http::find_header(answer->headers, "Jl-Generation") ==
                                     std::to_string(generation);
            });
            if (!known) {
                throw std::runtime_error("an entry does not use the bench's configuration");
            }
        }
    }

    flood_figures run_entries(const std::vector<team_load>& loads)
    {
        constexpr milliseconds warm_up{2500};
        constexpr milliseconds measured{10000};
        wait_until_idle();
        const auto end = steady_clock::now() + warm_up + measured;
        // Every thread keeps one connection to one entry, as callers behind the platform's load
        // balancer do.
        const auto send = [&](std::size_t index, int thread, std::mt19937_64&) {
            const auto& load = loads[index];
            const auto timeout = index == flood_index ? flood_timeout : call_timeout;
            const auto left = jl::time_left(end, steady_clock::now()) + 50ms;
            const auto answer = deployment_.call(
                thread % entry_count, choice_.service,
                {{"Jl-Team", load.team},
                 {"Jl-Class", class_names[static_cast<std::size_t>(load.work_class)]},
                 {"Jl-Timeout-Ms", std::to_string(timeout.count())}},
                make_body(load), std::min(timeout, left));
            return answer && answer->status == 200;
        };
        return evaluate(
            loads, jl::bench::run_load(sources_of(loads), send, warm_up, measured, arguments_.seed),
            measured);
    }

    flood_figures run_baseline(const std::vector<team_load>& loads, bool static_quotas)
    {
        constexpr milliseconds warm_up{1000};
        constexpr milliseconds measured{2500};
        const auto end = steady_clock::now() + warm_up + measured;
        std::vector<std::vector<jl::endpoint>> slots(static_quotas ? loads.size() : 1);
        const auto targets = read_targets();
        for (int slot = 0; slot < all_slots; ++slot) {
            slots[static_cast<std::size_t>(slot) % slots.size()].push_back(
                targets[static_cast<std::size_t>(slot) % targets.size()]);
        }
        std::vector<std::unique_ptr<fifo_slots>> queues;
        queues.reserve(slots.size());
        for (auto& part : slots) {
            queues.push_back(std::make_unique<fifo_slots>(part));
        }
        // One pool of connections for each target, as in an entry.
        std::map<jl::endpoint, std::unique_ptr<jl::http::client>> clients;
        for (const auto& target : targets) {
            clients[target] = std::make_unique<jl::http::client>(target, jl::http::client_limits{});
        }
        const auto send = [&](std::size_t index, int, std::mt19937_64&) {
            auto& queue = *queues[index % queues.size()];
            const auto slot = queue.acquire(std::min(end, steady_clock::now() + flood_timeout));
            if (!slot) {
                return false;
            }
            jl::http::request request;
            request.method = "POST";
            request.target = "/" + choice_.service;
            request.body = make_body(loads[index]);
            const auto answer =
                clients.at(*slot)->exchange(request, steady_clock::now() + call_timeout);
            queue.release(*slot);
            return answer && answer->status == 200;
        };
        return evaluate(
            loads, jl::bench::run_load(sources_of(loads), send, warm_up, measured, arguments_.seed),
            measured);
    }

    // Calls of the phase before, whose callers have gone, must not count in this one.
    void wait_until_idle() const
    {
        const auto is_idle = [&](int entry) {
            const auto answer =
                deployment_.request(deployment_.caller_address(entry), "GET", "/metrics");
            const auto label = "{service=\"" + choice_.service + "\"} 0\n";
            return answer && answer->body.find("jl_waiting_calls" + label) != std::string::npos &&
                   answer->body.find("jl_running_calls" + label) != std::string::npos;
        };
        for (int entry = 0; entry < entry_count; ++entry) {
            if (!jl::harness::eventually([&] { return is_idle(entry); }, 8s)) {
                throw std::runtime_error("an entry still executes calls of the phase before");
            }
        }
    }

    static std::vector<jl::bench::load_source> sources_of(const std::vector<team_load>& loads)
    {
        std::vector<jl::bench::load_source> sources;
        sources.reserve(loads.size());
        for (const auto& load : loads) {
            sources.push_back(load.source);
        }
        return sources;
    }

    static std::string make_body(const team_load& load)
    {
        return json{{"work_ms", load.work.count()}}.dump();
    }

    std::vector<jl::endpoint> read_targets() const
    {
        std::ifstream file(deployment_.directory() + "/target-vms.json");
        std::vector<jl::endpoint> targets;
        const auto document = json::parse(file);
        for (const auto& vm : document.at("vms")) {
            if (vm.at("pool") == choice_.pool) {
                targets.push_back(*jl::parse_endpoint(vm.at("address").get<std::string>()));
            }
        }
        return targets;
    }

    const jl::bench::bench_arguments arguments_;
    jl::harness::deployment deployment_;
    service_choice choice_;
};

} // namespace

int main(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::cerr << "usage: flood_bench [--seed N] [--deployment co-op|head-office]\n";
        return 2;
    }
    flood_bench bench(arguments);
    std::cout << bench.run().dump() << std::endl;
    return 0;
}
