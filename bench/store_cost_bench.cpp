// Measures the calls to the key-value service by number of entries and by load. Every request is
// deferred and non-idempotent, which costs the most writes: acceptance, start mark, answer.

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "bench/request_load.h"
#include "tests/harness/deployment.h"

namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using jl::harness::deployment;

// Section 5 of the design page: mean demand of a queue; at its peak it is five times as high.
constexpr int mean_rate = 480;
constexpr int peak_factor = 5;
constexpr int vms_per_pool = 12;
constexpr auto settle_time = 1500ms; // from the start of the load to the first sample
constexpr auto sample_time = 1s;
constexpr int samples = 3;
// Each caller waits for its answer, which takes up to two commit windows.
constexpr int callers = 448;

struct bench_options {
    std::uint64_t seed = 1;
    std::string example = "co-op";
};

struct measurement {
    int entries = 0;
    int factor = 0;
    double writes = 0; // per second, the highest sample
    double reads = 0;
    double watches = 0;
    double accepted = 0; // per second
    double finished = 0; // per second, executions that ended at a target
    int refused = 0;
    int failed = 0;

    json to_json() const
    {
        return {{"entries", entries},     {"load", factor},
                {"writes_per_s", writes}, {"reads_per_s", reads},
                {"watches", watches},     {"accepted_per_s", accepted},
                {"refused", refused},     {"finished_per_s", finished},
                {"failed", failed}};
    }
};

// Sends deferred requests at a constant rate.
class load {
public:
    load(const deployment& deployment, const bench_options& options, int entries, int factor)
        : deployment_(deployment),
          prefix_(std::to_string(factor) + "x-"),
          service_(options.example == "head-office" ? "intake" : "rounds"),
          team_(options.example == "head-office" ? "stations" : "planning"),
          entries_(entries),
          interval_(std::chrono::duration_cast<std::chrono::nanoseconds>(
              std::chrono::duration<double>(static_cast<double>(callers) / (mean_rate * factor)))),
          start_(std::chrono::steady_clock::now())
    {
        for (int number = 0; number < callers; ++number) {
            threads_.emplace_back([this, number] { run(number); });
        }
    }

    ~load()
    {
        stopping_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    int accepted() const { return accepted_; }
    int refused() const { return refused_; }
    int failed() const { return failed_; }

private:
    void run(int number)
    {
        const jl::http::header_map headers = {
            {"Jl-Team", team_}, {"Jl-Class", "deferred"}, {"Jl-Idempotent", "false"}};
        auto next = start_ + interval_ * number / callers;
        for (int count = 0; !stopping_; ++count, next += interval_) {
            std::this_thread::sleep_until(next);
            const json body = {
                {"token", prefix_ + std::to_string(number) + "-" + std::to_string(count)},
                {"work_ms", 50}};
            const auto answer =
                deployment_.request(deployment_.caller_address(number % entries_), "POST",
                                    "/v1/services/" + service_ + "/deferred", body.dump(), headers);
            if (!answer) {
                ++failed_;
                continue;
            }
            ++(answer->status == 202 ? accepted_ : refused_);
        }
    }

    const deployment& deployment_;
    const std::string prefix_; // of the tokens, which the targets' ledger counts
    const std::string service_;
    const std::string team_;
    const int entries_;
    const std::chrono::nanoseconds interval_;
    const std::chrono::steady_clock::time_point start_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> accepted_{0};
    std::atomic<int> refused_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> threads_;
};

double count_of(const json& counts, const char* name)
{
    return counts.is_object() ? counts.value(name, 0.0) : 0.0;
}

// Requests that targets have executed so far.
double executions(const deployment& deployment)
{
    return deployment.target_summary().value("requests", 0.0);
}

measurement measure(deployment& deployment, const bench_options& options, int entries, int factor)
{
    measurement result;
    result.entries = entries;
    result.factor = factor;
    const load load(deployment, options, entries, factor);
    std::this_thread::sleep_for(settle_time);
    const auto started = std::chrono::steady_clock::now();
    const int accepted = load.accepted();
    const double executed = executions(deployment);
    auto before = deployment.store_counts();
    auto before_at = std::chrono::steady_clock::now();
    for (int sample = 0; sample < samples; ++sample) {
        std::this_thread::sleep_for(sample_time);
        const auto after = deployment.store_counts();
        const auto after_at = std::chrono::steady_clock::now();
        const double seconds = std::chrono::duration<double>(after_at - before_at).count();
        const auto rate = [&](const char* name) {
            return (count_of(after, name) - count_of(before, name)) / seconds;
        };
        result.writes = std::max(result.writes, rate("writes"));
        result.reads = std::max(result.reads, rate("reads"));
        result.watches = std::max(result.watches, count_of(after, "watches"));
        before = after;
        before_at = after_at;
    }
    const double elapsed =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    result.accepted = (load.accepted() - accepted) / elapsed;
    result.finished = (executions(deployment) - executed) / elapsed;
    result.refused = load.refused();
    result.failed = load.failed();
    std::printf("%s\n", result.to_json().dump().c_str());
    std::fflush(stdout);
    return result;
}

std::vector<measurement> measure_entries(const bench_options& options, int entries)
{
    jl::harness::deployment_options deployed;
    deployed.example = options.example;
    deployed.entries = entries;
    deployed.vms_per_pool = vms_per_pool;
    deployment deployment(deployed);
    deployment.start();
    std::vector<measurement> results;
    for (const int factor : {1, peak_factor}) {
        results.push_back(measure(deployment, options, entries, factor));
    }
    return results;
}

const measurement& find(const std::vector<measurement>& all, int entries, int factor)
{
    return *std::find_if(all.begin(), all.end(), [&](const measurement& one) {
        return one.entries == entries && one.factor == factor;
    });
}

int run(const bench_options& options)
{
    std::vector<measurement> all;
    for (const int entries : {1, 3, 7}) {
        const auto results = measure_entries(options, entries);
        all.insert(all.end(), results.begin(), results.end());
    }
    const auto& peak = find(all, 7, peak_factor);
    double writes = 0;
    double reads = 0;
    json runs = json::array();
    // Writes of the same work without group commit: one transaction for each accepted request,
    // start mark and answer.
    double single_writes = 0;
    for (const auto& one : all) {
        writes = std::max(writes, one.writes);
        reads = std::max(reads, one.reads);
        single_writes = std::max(single_writes, one.accepted + 2 * one.finished);
        runs.push_back(one.to_json());
    }
    const auto slope = [&](double measurement::*field, int factor) {
        return (find(all, 7, factor).*field - find(all, 1, factor).*field) / 6;
    };
    const json line = {
        {"bench", "store-cost"},
        {"seed", options.seed},
        {"figures",
         {{"writes_per_s_peak", writes},
          {"reads_per_s_peak", reads},
          {"watches", peak.watches},
          {"writes_per_s_by_entry_1x", slope(&measurement::writes, 1)},
          {"writes_per_s_by_entry_5x", slope(&measurement::writes, peak_factor)},
          {"reads_per_s_by_entry_1x", slope(&measurement::reads, 1)},
          {"reads_per_s_by_entry_5x", slope(&measurement::reads, peak_factor)},
          {"watches_by_entry", slope(&measurement::watches, peak_factor)},
          {"runs", runs}}},
        {"baselines", {{"one_transaction_per_write", {{"writes_per_s_peak", single_writes}}}}}};
    std::printf("%s\n", line.dump().c_str());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    jl::bench::bench_arguments arguments;
    if (!jl::bench::read_arguments(argc, argv, arguments)) {
        std::fprintf(stderr,
                     "usage: store_cost_bench [--seed N] [--deployment co-op|head-office]\n");
        return 2;
    }
    bench_options options;
    options.seed = arguments.seed;
    options.example = arguments.deployment;
    return run(options);
}
