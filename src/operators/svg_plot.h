#pragma once

#include <string>
#include <utility>
#include <vector>

namespace jl::operators::internal {

struct plot_series {
    std::string label;
    std::vector<std::pair<double, double>> points; // in order of x
};

struct plot_bar {
    std::string label;
    double value = 0;
    double maximum = 0; // length of the whole bar
    std::string note;   // shown to the right
};

// Text with the characters that HTML reserves replaced.
std::string escape_html(const std::string& text);

// A number with at most two decimals.
std::string format_number(double value);

// Lines over time in seconds, with axes and a legend.
std::string line_plot(const std::vector<plot_series>& series, const std::string& unit);

// Horizontal bars, one below the other.
std::string bar_plot(const std::vector<plot_bar>& bars);

} // namespace jl::operators::internal
