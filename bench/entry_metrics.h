#pragma once

#include <optional>
#include <sstream>
#include <string>

#include "tests/harness/deployment.h"

namespace jl::bench {

// Sum of the samples of a metric of an entry whose labels contain `label`; nothing if the entry
// does not answer.
inline std::optional<double> read_metric(const harness::deployment& deployment, int entry,
                                         const std::string& name, const std::string& label = "")
{
    const auto answer = deployment.request(deployment.caller_address(entry), "GET", "/metrics", "",
                                           {}, std::chrono::seconds(1));
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    double sum = 0;
    std::istringstream lines(answer->body);
    for (std::string line; std::getline(lines, line);) {
        const auto value = line.rfind(' ');
        const bool named = line.compare(0, name.size(), name) == 0 &&
                           (line[name.size()] == ' ' || line[name.size()] == '{');
        if (named && value != std::string::npos && line.find(label) < value) {
            sum += std::stod(line.substr(value + 1));
        }
    }
    return sum;
}

} // namespace jl::bench
