#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace prometheus {
class Registry;
}

namespace jl {

using metric_labels = std::map<std::string, std::string>;

// Metrics of one process, exported in the Prometheus text format.
//
//   metrics.count("jl_requests_total", "Requests by outcome", {{"outcome", "answered"}});
//   metrics.observe("jl_start_seconds", "Time until start", {{"class", "urgent"}}, 12ms);
//
// Label values must come from bounded sets (classes, teams, services, outcomes): each combination
// of values is a time series that is kept in memory. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Increments a counter.
    void count(const std::string& name, const std::string& help, const metric_labels& labels = {},
               double amount = 1);
    // Sets a gauge.
    void set(const std::string& name, const std::string& help, const metric_labels& labels,
             double value);
    // Adds an observation, in seconds, to a histogram.
    void observe(const std::string& name, const std::string& help, const metric_labels& labels,
                 std::chrono::nanoseconds value);
    // Returns all metrics in the Prometheus text exposition format.
    std::string to_text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<families> families_;
};

} // namespace jl
