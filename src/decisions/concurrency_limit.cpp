#include "decisions/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace jl::decisions {

namespace {

constexpr int window = 16; // answers per decision
// One very long call must not look like overload, so a sample counts at most this much.
constexpr double max_ratio = 4;
constexpr double overload_ratio = 2;
constexpr double normal_ratio = 1.25;
constexpr double decrease = 0.75;
constexpr double increase = 0.125;

} // namespace

void concurrency_limit::set_maximum(int slots)
{
    maximum_ = slots;
}

void concurrency_limit::record(double ratio, bool busy)
{
    sum_ += std::min(ratio, max_ratio);
    busy_ = busy_ || busy;
    if (++samples_ < window) {
        return;
    }
    const double mean = sum_ / window;
    if (mean > overload_ratio && busy_) {
        reduction_ = std::max(reduction_ * decrease, 1.0 / std::max(maximum_, 1));
    }
    else if (mean < normal_ratio || !busy_) {
        reduction_ = std::min(reduction_ + increase, 1.0);
    }
    sum_ = 0;
    samples_ = 0;
    busy_ = false;
}

int concurrency_limit::current() const
{
    if (maximum_ <= 0) {
        return 0;
    }
    return std::max(1, static_cast<int>(std::floor(maximum_ * reduction_ + 1e-9)));
}

} // namespace jl::decisions
