#include "base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jl {

namespace {

// Histogram bucket bounds. They include 4.4 s, the guaranteed start time of urgent work, so that
// the share of late starts can be computed exactly.
const prometheus::Histogram::BucketBoundaries duration_bounds_seconds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4.4, 10, 30, 60, 300};

} // namespace

struct metrics::families {
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()), families_(std::make_unique<families>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& help, const metric_labels& labels,
                    double amount)
{
    prometheus::Family<prometheus::Counter>* family = nullptr;
    {
        const std::lock_guard lock(families_->mutex);
        auto& entry = families_->counters[name];
        if (entry == nullptr) {
            entry = &prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
        }
        family = entry;
    }
    family->Add(labels).Increment(amount);
}

void metrics::set(const std::string& name, const std::string& help, const metric_labels& labels,
                  double value)
{
    prometheus::Family<prometheus::Gauge>* family = nullptr;
    {
        const std::lock_guard lock(families_->mutex);
        auto& entry = families_->gauges[name];
        if (entry == nullptr) {
            entry = &prometheus::BuildGauge().Name(name).Help(help).Register(*registry_);
        }
        family = entry;
    }
    family->Add(labels).Set(value);
}

void metrics::observe(const std::string& name, const std::string& help, const metric_labels& labels,
                      std::chrono::nanoseconds value)
{
    prometheus::Family<prometheus::Histogram>* family = nullptr;
    {
        const std::lock_guard lock(families_->mutex);
        auto& entry = families_->histograms[name];
        if (entry == nullptr) {
            entry = &prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
        }
        family = entry;
    }
    const std::chrono::duration<double> seconds = value;
    family->Add(labels, duration_bounds_seconds).Observe(seconds.count());
}

std::string metrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jl
