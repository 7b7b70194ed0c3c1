#include "ragwortcove/core/adaptive_limit.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Weight of a new sample in the smoothed time.
static constexpr double smoothing = 0.2;
/// Weight of a new sample in the slow and the unloaded time, once there are many samples.
static constexpr double slow_smoothing = 0.02;
/// Samples after which the slow time is a reliable mean.
static constexpr std::uint64_t settled_samples = 50;
/// Samples at the reference load, or else in total, that are required before the limit changes.
static constexpr std::uint64_t min_reference_samples = 10;
static constexpr std::uint64_t min_samples = 20;
/// Number of samples that the earlier unloaded time counts as when a lower reference load is found.
static constexpr std::uint64_t carried_samples = 4;
/// Multiple of the unloaded time that a unit of work may take before the limit shrinks.
static constexpr double tolerance = 2.0;
static constexpr double min_limit = 1.0;
/// Largest share of the limit by which one sample over the tolerance reduces it.
static constexpr double max_decrease = 0.05;

adaptive_limit::adaptive_limit(std::uint32_t slots)
    : max_limit{std::max<double>(slots, min_limit)}, limit{this->max_limit}
{
}

void adaptive_limit::set_max(std::uint32_t slots)
{
    this->max_limit = std::max<double>(slots, min_limit);
    this->limit = std::min(this->limit, this->max_limit);
}

static double weight_of(std::uint64_t sample_number)
{
    return std::max(1.0 / static_cast<double>(sample_number), slow_smoothing);
}

// The unloaded time is a mean, not a minimum: the calls of one service differ several times in
// length, and compared with its shortest call a service would look loaded even with one request at
// a time. It is the mean at the lowest load observed, so that it does not rise while the upstream
// is busy. A limit that has shrunk too far leads to a lower load, and the samples at that load
// correct it.
void adaptive_limit::update_unloaded(double time, std::uint32_t in_flight)
{
    ++this->samples;
    this->slow_us += weight_of(this->samples) * (time - this->slow_us);
    if (in_flight * 2 <= this->reference_load) {
        this->reference_load = in_flight;
        this->reference_samples = std::min(this->reference_samples, carried_samples);
    }
    if (in_flight <= this->reference_load) {
        ++this->reference_samples;
        this->unloaded_us += weight_of(this->reference_samples) * (time - this->unloaded_us);
    }
    if (this->samples >= settled_samples)
        this->unloaded_us = std::min(this->unloaded_us, this->slow_us);
}

bool adaptive_limit::has_settled() const
{
    return this->reference_samples >= min_reference_samples || this->samples >= min_samples;
}

void adaptive_limit::sample(duration unit_time, std::uint32_t in_flight)
{
    const auto time = static_cast<double>(unit_time.count());
    if (time <= 0.0)
        return;
    if (this->samples == 0) {
        this->smoothed_us = time;
        this->reference_load = std::max<std::uint32_t>(in_flight, 1);
    }
    this->smoothed_us += smoothing * (time - this->smoothed_us);
    this->update_unloaded(time, in_flight);
    if (!this->has_settled())
        return;
    const double gradient = tolerance * this->unloaded_us / this->smoothed_us;
    if (gradient < 1.0) {
        this->limit *= std::max(gradient, 1.0 - max_decrease);
    }
    else if (static_cast<double>(in_flight) >= this->limit - 1.0) {
        this->limit += 1.0 / this->limit;
    }
    this->limit = std::clamp(this->limit, min_limit, this->max_limit);
}

void adaptive_limit::failed()
{
    this->limit = std::max(min_limit, this->limit * (1.0 - max_decrease));
}

std::uint32_t adaptive_limit::value() const
{
    return static_cast<std::uint32_t>(this->limit);
}
duration adaptive_limit::unloaded() const
{
    return duration{static_cast<duration::rep>(this->unloaded_us)};
}
duration adaptive_limit::smoothed() const
{
    return duration{static_cast<duration::rep>(this->smoothed_us)};
}

} // namespace ragwortcove::core
