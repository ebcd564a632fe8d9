#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace jl::decisions {

// Learns how long tasks take in comparison with their estimates, by the image that they run, and by
// their queue where the image is unknown.
//
//   duration_model durations;
//   durations.record("plans", "image-7", estimate, actual);
//   const auto expected = durations.expected("plans", "image-7", estimate);
//
// Load pattern: the estimates of whole queues are off by 20 to 90 percent, so that waits that are
// derived from them end too early or too late. Not thread-safe.
class duration_model {
public:
    // A task of the queue has ended as done after `actual`. Empty `image`: none.
    void record(const std::string& queue, const std::string& image,
                std::chrono::milliseconds estimate, std::chrono::milliseconds actual);
    std::chrono::milliseconds expected(const std::string& queue, const std::string& image,
                                       std::chrono::milliseconds estimate) const;

private:
    struct ratio {
        double mean = 1.0; // actual duration divided by the estimate
        int samples = 0;
    };
    static void add_sample(ratio& learned, double sample);
    const ratio* find(const std::string& queue, const std::string& image) const;

    std::unordered_map<std::string, ratio> by_queue_;
    std::unordered_map<std::string, ratio> by_image_;
};

} // namespace jl::decisions
