// Time from the publication of a configuration until it is in force at every entry: healthy, with
// silent links and an entry cut off from the store, with a paused and with a restarted entry.
// Baseline: processes that only poll the store at 8 to 12 s, during the healthy part.

#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "bench/entry_metrics.h"
#include "bench/request_load.h"
#include "objects/objects.h"
#include "records/records.h"
#include "tests/harness/deployment.h"

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using jl::harness::deployment;
using nlohmann::json;

constexpr int entries = 7;
constexpr int healthy_rounds = 20;
constexpr auto settle_time = 5s;
constexpr auto give_up = 25s; // beyond the 17 s that are promised

double seconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

// Watches the generation in force of each entry.
class generation_watcher {
public:
    explicit generation_watcher(const deployment& deployment) : deployment_(deployment) {}

    std::int64_t read(int entry)
    {
        const auto value = jl::bench::read_metric(deployment_, entry, "jl_cluster_generation");
        if (!value) {
            return 0;
        }
        const auto generation = static_cast<std::int64_t>(*value);
        auto& highest = highest_.at(static_cast<std::size_t>(entry));
        reverts_ += generation < highest && generation > 0 ? 1 : 0;
        highest = std::max(highest, generation);
        return generation;
    }
    // A restarted process begins without a configuration.
    void forget(int entry) { highest_.at(static_cast<std::size_t>(entry)) = 0; }
    int reverts() const { return reverts_; }

    // Seconds until each of the entries has the generation.
    std::vector<double> wait(const std::vector<int>& waiting, std::int64_t generation,
                             clock_type::time_point start)
    {
        std::vector<double> times;
        auto left = waiting;
        while (!left.empty() && clock_type::now() - start < give_up) {
            std::vector<int> next;
            for (const int entry : left) {
                if (read(entry) >= generation) {
                    times.push_back(seconds_since(start));
                }
                else {
                    next.push_back(entry);
                }
            }
            left = next;
            std::this_thread::sleep_for(2ms);
        }
        times.insert(times.end(), left.size(), seconds_since(start));
        return times;
    }

private:
    const deployment& deployment_;
    std::vector<std::int64_t> highest_ = std::vector<std::int64_t>(entries, 0);
    int reverts_ = 0;
};

// Publication times by generation, for the pollers of the baseline.
struct publications {
    std::mutex mutex;
    std::map<std::int64_t, clock_type::time_point> times;
};

void poll_store(deployment& deployment, publications& published, const std::atomic<bool>& stop,
                std::uint64_t seed, std::vector<double>& delays)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> period(8000, 12000);
    // The first poll takes place at a random point of the period.
    auto next = clock_type::now() + std::chrono::milliseconds(random() % 10000);
    std::int64_t seen = 0;
    while (!stop) {
        if (clock_type::now() < next) {
            std::this_thread::sleep_for(5ms);
            continue;
        }
        next += std::chrono::milliseconds(period(random));
        const auto read = deployment.store().range({jl::records::configuration_key, "", 0},
                                                   clock_type::now() + 1s);
        if (!read || read->items.empty()) {
            continue;
        }
        const auto configuration = jl::objects::parse_published(read->items[0].value);
        const std::lock_guard lock(published.mutex);
        for (const auto& [generation, time] : published.times) {
            if (configuration && generation > seen && generation <= configuration->generation) {
                delays.push_back(seconds_since(time));
            }
        }
        seen = configuration ? configuration->generation : seen;
    }
}

int run(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::cerr << "usage: config_bench [--seed N] [--deployment co-op|head-office]\n";
        return 2;
    }
    jl::harness::deployment_options options;
    options.example = arguments.deployment;
    options.entries = entries;
    options.proxies = true;
    deployment deployment(options);
    deployment.start();
    const auto document = deployment.example_document();
    generation_watcher watcher(deployment);
    std::vector<int> all(entries);
    for (int entry = 0; entry < entries; ++entry) {
        all[static_cast<std::size_t>(entry)] = entry;
    }
    std::this_thread::sleep_for(settle_time); // links and watches are being set up

    publications published;
    std::atomic<bool> stop{false};
    std::vector<std::vector<double>> baseline(entries);
    std::vector<std::thread> pollers;
    for (std::size_t i = 0; i < entries; ++i) {
        pollers.emplace_back(
            [&, i] { poll_store(deployment, published, stop, arguments.seed + i, baseline[i]); });
    }
    std::mt19937_64 random(arguments.seed);
    const auto publish = [&] {
        const auto start = clock_type::now();
        const auto generation = deployment.publish(document);
        const std::lock_guard lock(published.mutex);
        published.times[generation] = start;
        return std::pair(generation, start);
    };
    std::vector<double> healthy;
    for (int round = 0; round < healthy_rounds; ++round) {
        const auto [generation, start] = publish();
        const auto times = watcher.wait(all, generation, start);
        healthy.insert(healthy.end(), times.begin(), times.end());
        std::this_thread::sleep_for(std::chrono::milliseconds(300 + random() % 400));
    }
    stop = true;
    for (auto& poller : pollers) {
        poller.join();
    }

    json faults;
    double worst = jl::bench::quantile(healthy, 1);
    const auto record = [&](const char* name, const std::vector<double>& times) {
        faults[name] = jl::bench::quantile(times, 1);
        worst = std::max(worst, jl::bench::quantile(times, 1));
    };
    const int victim = static_cast<int>(random() % entries);
    const auto store_route = "store-" + std::to_string(victim);
    {
        // Every open link goes silent, and one entry loses the store.
        deployment.proxy_control(store_route, {{"fault", "refuse"}});
        deployment.proxy_action(store_route, "reset-existing");
        for (int entry = 0; entry < entries; ++entry) {
            deployment.proxy_action("peer-" + std::to_string(entry), "silence-existing");
        }
        const auto [generation, start] = publish();
        record("silent_links_and_no_store_max_s", watcher.wait(all, generation, start));
        deployment.proxy_control(store_route, {{"fault", "none"}});
        std::this_thread::sleep_for(settle_time); // links and watches as before
    }
    {
        // No links at all for everyone: only watches and polls.
        for (int entry = 0; entry < entries; ++entry) {
            deployment.proxy_control("peer-" + std::to_string(entry), {{"fault", "refuse"}});
            deployment.proxy_action("peer-" + std::to_string(entry), "reset-existing");
        }
        const auto [generation, start] = publish();
        record("no_links_max_s", watcher.wait(all, generation, start));
        for (int entry = 0; entry < entries; ++entry) {
            deployment.proxy_control("peer-" + std::to_string(entry), {{"fault", "none"}});
        }
    }
    {
        deployment.entry(victim).pause();
        publish();
        std::this_thread::sleep_for(4s);
        const auto generation = publish().first;
        const auto resumed_at = clock_type::now();
        deployment.entry(victim).resume();
        record("paused_after_resume_s", watcher.wait({victim}, generation, resumed_at));
    }
    {
        deployment.entry(victim).kill();
        const auto generation = publish().first;
        const auto restarted_at = clock_type::now();
        deployment.restart_entry(victim);
        watcher.forget(victim);
        record("restarted_s", watcher.wait({victim}, generation, restarted_at));
    }

    std::vector<double> polled;
    for (const auto& delays : baseline) {
        polled.insert(polled.end(), delays.begin(), delays.end());
    }
    const json line = {{"bench", "config"},
                       {"seed", arguments.seed},
                       {"figures",
                        {{"in_force_p50_s", jl::bench::quantile(healthy, 0.5)},
                         {"in_force_p99_s", jl::bench::quantile(healthy, 0.99)},
                         {"in_force_max_s", worst},
                         {"reverts", watcher.reverts()},
                         {"publications", healthy_rounds + 5},
                         {"faults", faults}}},
                       {"baselines",
                        {{"poll_only",
                          {{"in_force_p50_s", jl::bench::quantile(polled, 0.5)},
                           {"in_force_p99_s", jl::bench::quantile(polled, 0.99)},
                           {"samples", polled.size()}}}}}};
    std::cout << line.dump() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Without a handler, an exception would end the program before the harness ends its processes.
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "config_bench: " << error.what() << "\n";
        return 1;
    }
}
