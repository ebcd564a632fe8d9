#include "decisions/duration_model.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace jl::decisions {

namespace {

// Of the ratio between actual and estimated duration; a task that stood still must not spoil it.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 10.0;
// Weight of a new sample once there are many, and the samples needed before a ratio is used.
constexpr double sample_weight = 0.1;
constexpr int min_samples = 5;
// Bounds the memory if each job names images of its own.
constexpr std::size_t max_images = 2000;

} // namespace

void duration_model::add_sample(ratio& learned, double sample)
{
    ++learned.samples;
    const double weight = std::max(sample_weight, 1.0 / learned.samples);
    learned.mean += weight * (sample - learned.mean);
}

void duration_model::record(const std::string& queue, const std::string& image,
                            std::chrono::milliseconds estimate, std::chrono::milliseconds actual)
{
    if (estimate.count() <= 0) {
        return;
    }
    const double sample =
        std::clamp(static_cast<double>(actual.count()) / static_cast<double>(estimate.count()),
                   min_ratio, max_ratio);
    add_sample(by_queue_[queue], sample);
    if (image.empty()) {
        return;
    }
    if (by_image_.size() >= max_images && by_image_.count(image) == 0) {
        by_image_.erase(by_image_.begin());
    }
    add_sample(by_image_[image], sample);
}

const duration_model::ratio* duration_model::find(const std::string& queue,
                                                  const std::string& image) const
{
    const auto usable = [](const auto& learned, const std::string& key) -> const ratio* {
        const auto found = learned.find(key);
        const bool known = found != learned.end() && found->second.samples >= min_samples;
        return known ? &found->second : nullptr;
    };
    const auto* const of_image = usable(by_image_, image);
    return of_image != nullptr ? of_image : usable(by_queue_, queue);
}

std::chrono::milliseconds duration_model::expected(const std::string& queue,
                                                   const std::string& image,
                                                   std::chrono::milliseconds estimate) const
{
    const auto* const learned = find(queue, image);
    if (learned == nullptr) {
        return estimate;
    }
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(estimate.count()) * learned->mean));
}

} // namespace jl::decisions
