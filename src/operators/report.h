#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jl::operators {

// One line of the Prometheus text format.
struct metric_sample {
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

// Ignores comments and lines that cannot be read.
std::vector<metric_sample> parse_metrics(std::string_view text);

struct report_sample {
    std::chrono::milliseconds at{};     // since the first sample
    std::vector<metric_sample> metrics; // of all live entries together
    std::string services_json;          // GET /v1/services
};

// What the page shows besides the metrics, as JSON answers of the administration API.
struct report_input {
    std::string title;
    std::string status_json;  // GET /v1/status
    std::string budgets_json; // GET /v1/budgets
    std::vector<report_sample> samples;
};

// One self-contained HTML page with inline SVG plots: backlog by class, urgent starts, budget
// headroom, wave progress, moves and buffer cost. A plot whose metrics are missing says so.
std::string make_report(const report_input& input);

} // namespace jl::operators
