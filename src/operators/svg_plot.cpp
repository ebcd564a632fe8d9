#include "operators/svg_plot.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace jl::operators::internal {

namespace {

constexpr double width = 640;
constexpr double height = 220;
constexpr double left = 60;
constexpr double right = 20;
constexpr double top = 12;
constexpr double bottom = 30;
constexpr double bar_height = 22;
constexpr double bar_left = 230;
constexpr double bar_width = 260;
// Distinguishable also for readers with color vision deficiency (Okabe and Ito).
constexpr std::array<const char*, 6> colors = {"#0072b2", "#d55e00", "#009e73",
                                               "#cc79a7", "#e69f00", "#56b4e9"};

// Next number of the form 1, 2 or 5 times a power of ten, for the upper end of an axis.
double round_up(double value)
{
    double step = 1;
    while (step * 10 < value) {
        step *= 10;
    }
    for (const double factor : {1.0, 2.0, 5.0, 10.0}) {
        if (step * factor >= value) {
            return step * factor;
        }
    }
    return value;
}

void text(std::ostream& svg, double x, double y, const char* anchor, const std::string& content)
{
    svg << R"(<text x=")" << format_number(x) << R"(" y=")" << format_number(y)
        << R"(" text-anchor=")" << anchor << R"(">)" << escape_html(content) << "</text>";
}

void axes(std::ostream& svg, double max_x, double max_y, const std::string& unit)
{
    constexpr int ticks = 4;
    for (int tick = 0; tick <= ticks; ++tick) {
        const double share = static_cast<double>(tick) / ticks;
        const double y = height - bottom - share * (height - top - bottom);
        svg << R"(<line class="grid" x1=")" << left << R"(" x2=")" << width - right << R"(" y1=")"
            << format_number(y) << R"(" y2=")" << format_number(y) << R"("/>)";
        text(svg, left - 6, y + 4, "end", format_number(share * max_y));
        const double x = left + share * (width - left - right);
        text(svg, x, height - bottom + 16, "middle", format_number(share * max_x) + " s");
    }
    svg << R"(<text x="12" y=")" << height / 2
        << R"(" text-anchor="middle" transform="rotate(-90 12 )" << height / 2 << R"svg()">)svg"
        << escape_html(unit) << "</text>";
}

} // namespace

std::string escape_html(const std::string& text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string format_number(double value)
{
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.2f", value);
    std::string text = buffer.data();
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string line_plot(const std::vector<plot_series>& series, const std::string& unit)
{
    double max_x = 1;
    double max_y = 1;
    for (const auto& line : series) {
        for (const auto& [x, y] : line.points) {
            max_x = std::max(max_x, x);
            max_y = std::max(max_y, y);
        }
    }
    max_y = round_up(max_y);
    std::ostringstream svg;
    svg << R"(<svg viewBox="0 0 )" << width << " " << height << R"(" role="img">)";
    axes(svg, max_x, max_y, unit);
    for (std::size_t index = 0; index < series.size(); ++index) {
        svg << R"(<polyline fill="none" stroke-width="2" stroke=")"
            << colors.at(index % colors.size()) << R"(" points=")";
        for (const auto& [x, y] : series[index].points) {
            svg << format_number(left + x / max_x * (width - left - right)) << ","
                << format_number(height - bottom - y / max_y * (height - top - bottom)) << " ";
        }
        svg << R"("/>)";
    }
    svg << R"(</svg><p class="legend">)";
    for (std::size_t index = 0; index < series.size(); ++index) {
        const auto& points = series[index].points;
        svg << R"(<span><i style="background:)" << colors.at(index % colors.size()) << R"("></i>)"
            << escape_html(series[index].label);
        if (!points.empty()) {
            svg << " (" << format_number(points.back().second) << ")";
        }
        svg << "</span> ";
    }
    svg << "</p>";
    return svg.str();
}

std::string bar_plot(const std::vector<plot_bar>& bars)
{
    std::ostringstream svg;
    svg << R"(<svg viewBox="0 0 )" << width << " "
        << format_number(bar_height * static_cast<double>(bars.size()) + 4) << R"(" role="img">)";
    for (std::size_t index = 0; index < bars.size(); ++index) {
        const auto& bar = bars[index];
        const double y = bar_height * static_cast<double>(index) + 3;
        const double share = bar.maximum > 0 ? std::clamp(bar.value / bar.maximum, 0.0, 1.0) : 0;
        text(svg, bar_left - 8, y + 13, "end", bar.label);
        svg << R"(<rect class="whole" x=")" << bar_left << R"(" y=")" << y << R"(" width=")"
            << bar_width << R"(" height="16"/>)";
        svg << R"(<rect fill=")" << colors.front() << R"(" x=")" << bar_left << R"(" y=")" << y
            << R"(" width=")" << format_number(share * bar_width) << R"(" height="16"/>)";
        text(svg, bar_left + bar_width + 8, y + 13, "start", bar.note);
    }
    svg << "</svg>";
    return svg.str();
}

} // namespace jl::operators::internal
