#include <string>

#include <gtest/gtest.h>

#include "jobs/job_metrics.h"

namespace jl::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a client that makes up a method for each request: each was a time series of its
// own, kept as long as the process ran, until the process was over its memory.
TEST(job_metrics, made_up_methods_share_one_time_series)
{
    job_metrics metrics;
    for (const auto* const method : {"GET", "POST", "DELETE"}) {
        metrics.record_request(method, 404, 1ms);
    }
    metrics.record_request("M0", 404, 1ms);
    const auto before = metrics.to_text().size();
    for (int number = 1; number < 1000; ++number) {
        metrics.record_request("M" + std::to_string(number), 404, 1ms);
    }
    const auto text = metrics.to_text();
    EXPECT_LT(text.size(), before + 100);
    EXPECT_NE(text.find("method=\"other\""), std::string::npos);
    EXPECT_NE(text.find("method=\"DELETE\""), std::string::npos);
}

} // namespace
} // namespace jl::jobs
