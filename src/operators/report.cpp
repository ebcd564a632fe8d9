#include "operators/report.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <nlohmann/json.hpp>

#include "operators/ctl_commands.h"
#include "operators/svg_plot.h"

namespace jl::operators {

namespace {

using internal::bar_plot;
using internal::escape_html;
using internal::format_number;
using internal::line_plot;
using internal::plot_bar;
using internal::plot_series;
using nlohmann::json;

constexpr const char* queue_metric = "jl_waiting_calls";      // by class
constexpr const char* start_metric = "jl_start_seconds";      // histogram, by class
constexpr const char* step_metric = "jl_planner_steps_total"; // by kind

constexpr double no_bound = 1e9;
// Shorter bounds of the histogram tell nothing about the promise of 4.4 s.
constexpr double shortest_start_s = 0.05;

constexpr const char* style = R"(
body{font:15px/1.45 system-ui,sans-serif;max-width:720px;margin:24px auto;padding:0 16px;color:#222}
h1{font-size:22px}h2{font-size:17px;margin:28px 0 6px}
svg{width:100%;height:auto}svg text{font-size:11px;fill:#444}
.grid{stroke:#ddd}.whole{fill:#eee}.legend span{margin-right:14px}
.legend i{display:inline-block;width:12px;height:12px;margin-right:5px}
.missing{color:#777}table{border-collapse:collapse}td,th{padding:3px 12px 3px 0;text-align:left}
@media(prefers-color-scheme:dark){body{background:#181818;color:#ddd}svg text{fill:#bbb}
.grid{stroke:#333}.whole{fill:#333}})";

std::string missing(const std::string& what)
{
    return "<p class=\"missing\">No data: " + escape_html(what) + "</p>";
}

double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// Sums a metric over the entries, by the value of one label, for each sample.
std::vector<plot_series> sum_by_label(const std::vector<report_sample>& samples,
                                      const std::string& metric, const std::string& label)
{
    std::map<std::string, plot_series> by_label;
    for (const auto& sample : samples) {
        std::map<std::string, double> sums;
        for (const auto& item : sample.metrics) {
            const auto found = item.labels.find(label);
            if (item.name == metric && found != item.labels.end()) {
                sums[found->second] += item.value;
            }
        }
        for (const auto& [name, sum] : sums) {
            by_label[name].label = name;
            by_label[name].points.emplace_back(seconds(sample.at), sum);
        }
    }
    std::vector<plot_series> series;
    series.reserve(by_label.size());
    for (auto& entry : by_label) {
        series.push_back(std::move(entry.second));
    }
    return series;
}

struct service_totals {
    double waiting = 0;
    double backlog = 0;
    double slots = 0;
    double running = 0;
};

service_totals add_services(const std::string& services_json)
{
    service_totals totals;
    const auto body = json::parse(services_json, nullptr, false);
    if (!body.is_object()) {
        return totals;
    }
    for (const auto& service : body.value("services", json::array())) {
        totals.waiting += service.value("waiting", 0.0);
        totals.backlog += service.value("backlog", 0.0);
        totals.slots += service.value("slots", 0.0);
        totals.running += service.value("running", 0.0);
    }
    return totals;
}

std::string plot_backlog(const report_input& input)
{
    // Calls wait at the entries; deferred requests are kept in the store and counted by the owners
    // of their queues.
    auto series = sum_by_label(input.samples, queue_metric, "class");
    plot_series calls{"waiting calls", {}};
    plot_series deferred{"deferred backlog", {}};
    for (const auto& sample : input.samples) {
        const auto totals = add_services(sample.services_json);
        calls.points.emplace_back(seconds(sample.at), totals.waiting);
        deferred.points.emplace_back(seconds(sample.at), totals.backlog);
    }
    for (auto& line : series) {
        line.label = "waiting, " + line.label;
    }
    if (series.empty()) {
        series.push_back(std::move(calls));
    }
    series.push_back(std::move(deferred));
    return line_plot(series, "requests");
}

std::string plot_buffer(const report_input& input)
{
    plot_series idle{"slots held and not in use", {}};
    plot_series running{"slots in use", {}};
    for (const auto& sample : input.samples) {
        const auto totals = add_services(sample.services_json);
        idle.points.emplace_back(seconds(sample.at), totals.slots - totals.running);
        running.points.emplace_back(seconds(sample.at), totals.running);
    }
    return line_plot({idle, running}, "slots");
}

// Upper bounds in text order would place 10 before 2.
double bound_of(const metric_sample& sample)
{
    const auto found = sample.labels.find("le");
    return found == sample.labels.end() || found->second == "+Inf"
               ? no_bound
               : std::strtod(found->second.c_str(), nullptr);
}

std::string describe_bound(double seconds)
{
    if (seconds >= no_bound) {
        return "all";
    }
    return seconds < 1 ? "within " + format_number(seconds * 1000) + " ms"
                       : "within " + format_number(seconds) + " s";
}

std::string plot_urgent_starts(const report_input& input)
{
    std::map<double, double> counts; // cumulative count by upper bound
    if (!input.samples.empty()) {
        for (const auto& sample : input.samples.back().metrics) {
            const auto priority = sample.labels.find("class");
            if (sample.name == std::string(start_metric) + "_bucket" &&
                priority != sample.labels.end() && priority->second == "urgent") {
                counts[bound_of(sample)] += sample.value;
            }
        }
    }
    if (counts.empty()) {
        return missing(std::string("the entries report no ") + start_metric + " of class urgent");
    }
    const double total = counts.rbegin()->second;
    std::vector<plot_bar> bars;
    for (const auto& [bound, count] : counts) {
        const auto share = total > 0 ? 100 * count / total : 100;
        if (bound >= shortest_start_s) {
            bars.push_back({describe_bound(bound), count, total, format_number(share) + "%"});
        }
    }
    return bar_plot(bars);
}

std::string plot_budgets(const report_input& input)
{
    const auto body = json::parse(input.budgets_json, nullptr, false);
    std::vector<plot_bar> bars;
    if (body.is_object()) {
        for (const auto& budget : body.value("budgets", json::array())) {
            bars.push_back({budget.value("budget", "") + ": " + budget.value("scope_name", ""),
                            budget.value("unavailable", 0.0), budget.value("allowed", 0.0),
                            std::to_string(budget.value("unavailable", 0)) + " of " +
                                std::to_string(budget.value("allowed", 0)) + " used"});
        }
    }
    return bars.empty() ? missing("no budget is configured") : bar_plot(bars);
}

std::string plot_waves(const report_input& input)
{
    const auto body = json::parse(input.status_json, nullptr, false);
    std::vector<plot_bar> bars;
    if (body.is_object()) {
        for (const auto& wave : body.value("waves", json::array())) {
            bars.push_back({wave.value("wave", ""), wave.value("done", 0.0), wave.value("vms", 0.0),
                            std::to_string(wave.value("done", 0)) + " of " +
                                std::to_string(wave.value("vms", 0)) + ", " +
                                wave.value("state", "")});
        }
    }
    return bars.empty() ? missing("no wave is configured") : bar_plot(bars);
}

std::string plot_moves(const report_input& input)
{
    auto series = sum_by_label(input.samples, step_metric, "kind");
    series.erase(
        std::remove_if(series.begin(), series.end(),
                       [](const plot_series& item) { return item.label != "change_pool"; }),
        series.end());
    return series.empty() ? missing(std::string("no ") + step_metric +
                                    " of a move was read; name the planners with --metrics")
                          : line_plot(series, "moves");
}

std::string summary(const report_input& input)
{
    const auto body = json::parse(input.status_json, nullptr, false);
    if (!body.is_object()) {
        return missing("the status could not be read");
    }
    const auto report = body.value("configuration", json::object());
    std::ostringstream text;
    text << "<p>Generation " << report.value("generation", 0LL) << ", acknowledged by "
         << report.value("acknowledged", 0) << " of " << report.value("entries", 0)
         << " entries.</p>";
    return text.str();
}

std::string trim_quotes(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    return std::string(text);
}

std::map<std::string, std::string> parse_labels(std::string_view text)
{
    std::map<std::string, std::string> labels;
    while (!text.empty()) {
        const auto equals = text.find("=\"");
        if (equals == std::string_view::npos) {
            break;
        }
        const auto end = text.find('"', equals + 2);
        if (end == std::string_view::npos) {
            break;
        }
        labels[std::string(text.substr(0, equals))] =
            trim_quotes(text.substr(equals + 1, end - equals));
        text.remove_prefix(std::min(text.size(), end + 2)); // the comma as well
    }
    return labels;
}

} // namespace

std::vector<metric_sample> parse_metrics(std::string_view text)
{
    std::vector<metric_sample> samples;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const auto brace = line.find('{');
        const auto name_end = std::min(brace, line.find(' '));
        if (name_end == std::string::npos) {
            continue;
        }
        metric_sample sample;
        sample.name = line.substr(0, name_end);
        std::size_t value_start = name_end;
        if (name_end == brace) {
            const auto close = line.rfind('}');
            if (close == std::string::npos) {
                continue;
            }
            sample.labels =
                parse_labels(std::string_view(line).substr(brace + 1, close - brace - 1));
            value_start = close + 1;
        }
        const char* start = line.c_str() + value_start;
        char* end = nullptr;
        sample.value = std::strtod(start, &end);
        if (end != start) {
            samples.push_back(std::move(sample));
        }
    }
    return samples;
}

std::string make_report(const report_input& input)
{
    std::ostringstream page;
    page << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
         << escape_html(input.title) << "</title><style>" << style << "</style></head><body><h1>"
         << escape_html(input.title) << "</h1>\n"
         << summary(input);
    const auto section = [&](const char* title, const std::string& content) {
        page << "<h2>" << title << "</h2>\n" << content << "\n";
    };
    section("Backlog by class", plot_backlog(input));
    section("Urgent starts", plot_urgent_starts(input));
    section("Budget headroom", plot_budgets(input));
    section("Wave progress", plot_waves(input));
    section("Moves", plot_moves(input));
    section("Buffer", plot_buffer(input));
    page << "</body></html>\n";
    return page.str();
}

namespace internal {

namespace {

std::vector<endpoint> metrics_servers(const invocation& invocation, const json& status)
{
    std::vector<endpoint> servers;
    for (const auto& member : status.value("members", json::array())) {
        const auto server = parse_endpoint(member.value("caller_address", ""));
        if (member.value("alive", false) && server) {
            servers.push_back(*server);
        }
    }
    std::istringstream more(invocation.option("metrics"));
    for (std::string item; std::getline(more, item, ',');) {
        if (const auto server = parse_endpoint(item)) {
            servers.push_back(*server);
        }
        else {
            invocation.environment.errors << "jlctl: --metrics: expected ADDRESS:PORT, found \""
                                          << item << "\"\n";
        }
    }
    return servers;
}

} // namespace

ctl_exit run_report(const invocation& invocation)
{
    const auto status = invocation.client->get("/v1/status");
    if (!status || status->status >= 400) {
        return report_failure(invocation, status);
    }
    const auto budgets = invocation.client->get("/v1/budgets");
    if (!budgets || budgets->status >= 400) {
        return report_failure(invocation, budgets);
    }
    report_input input{"jasminelink report", status->body, budgets->body, {}};
    const auto servers = metrics_servers(invocation, json::parse(status->body, nullptr, false));
    const auto count =
        std::max(1L, std::strtol(invocation.option("samples", "10").c_str(), nullptr, 10));
    const std::chrono::seconds interval(
        std::strtol(invocation.option("interval-s", "1").c_str(), nullptr, 10));
    for (long index = 0; index < count; ++index) {
        if (index > 0) {
            invocation.environment.sleep(interval);
        }
        report_sample sample;
        sample.at = interval * index;
        for (const auto& server : servers) {
            const auto text = invocation.environment.fetch_metrics(server);
            if (!text) {
                invocation.environment.errors << "jlctl: no metrics from " << server.to_string()
                                              << "\n";
                continue;
            }
            auto metrics = parse_metrics(*text);
            sample.metrics.insert(sample.metrics.end(), metrics.begin(), metrics.end());
        }
        const auto services = invocation.client->get("/v1/services");
        sample.services_json = services ? services->body : "";
        input.samples.push_back(std::move(sample));
    }
    const auto& path = invocation.arguments.front();
    if (!invocation.environment.write_file(path, make_report(input))) {
        invocation.environment.errors << "jlctl: " << path << ": cannot be written\n";
        return ctl_exit::failed;
    }
    invocation.environment.output << "wrote " << path << "\n";
    return ctl_exit::done;
}

} // namespace internal

} // namespace jl::operators
