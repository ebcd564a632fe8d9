#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"

namespace jl::bench {

// One kind of requests that a bench sends.
struct load_source {
    std::string name;
    int threads = 1;
    // Requests per second of all threads with exponential gaps; 0: each thread sends its next
    // request as soon as it has the answer to the last.
    double rate = 0;
};

// What was seen of one source between two points in time.
struct load_result {
    std::vector<double> latencies; // seconds from the intended send time, answered requests only
    std::int64_t failed = 0;
    // Requests that should have been sent, also by threads that were held up; sources with a rate.
    std::int64_t offered = 0;

    std::int64_t answered() const { return static_cast<std::int64_t>(latencies.size()); }
};

// Sends one request of a thread of the source and returns whether it was answered.
using sender = std::function<bool(std::size_t source, int thread, std::mt19937_64& random)>;

// Value below which `part` of the sorted values lie.
inline double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto index = static_cast<std::ptrdiff_t>(std::lround(last * part));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

// Sends all sources at once and returns what was answered within the measured part, which lies
// `warm_up` after the start. A late thread does not skip its schedule: latency counts from the time
// the request should have been sent, so a stalled system cannot hide behind fewer requests.
inline std::vector<load_result> run_load(const std::vector<load_source>& sources,
                                         const sender& send, std::chrono::milliseconds warm_up,
                                         std::chrono::milliseconds measured, std::uint64_t seed)
{
    using clock = std::chrono::steady_clock;
    std::vector<load_result> results(sources.size());
    std::mutex mutex;
    const auto start = clock::now();
    const auto from = start + warm_up;
    const auto until = from + measured;
    std::vector<std::thread> threads;
    for (std::size_t source = 0; source < sources.size(); ++source) {
        for (int index = 0; index < sources[source].threads; ++index) {
            threads.emplace_back([&, source, index] {
                const auto& spec = sources[source];
                std::mt19937_64 random(seed * 1000003 + source * 1009 +
                                       static_cast<std::uint64_t>(index));
                std::exponential_distribution<double> gap(spec.rate > 0 ? spec.rate / spec.threads
                                                                        : 1);
                load_result local;
                auto planned = start;
                const auto plan_next = [&] {
                    planned += std::chrono::duration_cast<clock::duration>(
                        std::chrono::duration<double>(gap(random)));
                    local.offered += planned >= from && planned < until ? 1 : 0;
                };
                for (;;) {
                    if (spec.rate > 0) {
                        plan_next();
                        if (planned >= until) {
                            break;
                        }
                        std::this_thread::sleep_until(planned);
                    }
                    else {
                        planned = clock::now();
                    }
                    const bool answered = send(source, index, random);
                    const auto end = clock::now();
                    if (end >= until) {
                        break;
                    }
                    if (end < from) {
                        continue;
                    }
                    if (answered) {
                        local.latencies.push_back(
                            std::chrono::duration<double>(end - planned).count());
                    }
                    else {
                        ++local.failed;
                    }
                }
                while (spec.rate > 0 && planned < until) {
                    plan_next();
                }
                const std::lock_guard lock(mutex);
                auto& result = results[source];
                result.offered += local.offered;
                result.failed += local.failed;
                result.latencies.insert(result.latencies.end(), local.latencies.begin(),
                                        local.latencies.end());
            });
        }
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return results;
}

struct bench_arguments {
    std::uint64_t seed = 1;
    std::string deployment = "co-op";
};

// Reads --seed N and --deployment NAME; returns false after a message if they are wrong.
inline bool read_arguments(int argc, char** argv, bench_arguments& arguments)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    for (std::size_t i = 0; i + 1 < words.size(); i += 2) {
        if (words[i] == "--seed") {
            arguments.seed = std::strtoull(words[i + 1].c_str(), nullptr, 10);
        }
        else if (words[i] == "--deployment" &&
                 (words[i + 1] == "co-op" || words[i + 1] == "head-office")) {
            arguments.deployment = words[i + 1];
        }
        else {
            return false;
        }
    }
    return words.size() % 2 == 0;
}

} // namespace jl::bench
