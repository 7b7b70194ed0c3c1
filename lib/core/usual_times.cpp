#include "ragwortcove/core/usual_times.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

static constexpr double min_value = 1e-6;
static constexpr double bins_per_octave = 4.0;
/// Binary logarithm of the lower end of the first bin.
static constexpr double first_bin_log = -10.0;
/// All weights are halved at this total, so that the distribution follows changes.
static constexpr std::uint32_t max_total = 512;
static constexpr std::uint32_t min_samples = 10;
/// Added to that factor, divided by the number of samples: the quantile of few is uncertain.
static constexpr double few_samples_margin = 5.0;
/// From so many samples of one upstream on, the second smallest is the reference.
static constexpr std::size_t min_samples_for_second = 3;
/// A sample is late when it exceeds this quantile of the samples by this factor.
static constexpr double upper_quantile = 0.95;
static constexpr double late_factor = 1.4;

void usual_times::add(double sample)
{
    const double position =
        (std::log2(std::max(sample, min_value)) - first_bin_log) * bins_per_octave;
    const double last_bin = static_cast<double>(bin_count - 1);
    ++this->bins.at(static_cast<std::size_t>(std::clamp(position, 0.0, last_bin)));
    ++this->total;
    if (this->total < max_total)
        return;
    this->total = 0;
    for (std::uint16_t& bin : this->bins) {
        bin /= 2;
        this->total += bin;
    }
}

std::optional<double> usual_times::upper_value() const
{
    if (this->total < min_samples)
        return std::nullopt;
    const double rank = upper_quantile * static_cast<double>(this->total);
    std::uint32_t below = 0;
    std::size_t bin = 0;
    while (bin + 1 < bin_count && static_cast<double>(below + this->bins.at(bin)) < rank)
        below += this->bins.at(bin++);
    const double upper_end = static_cast<double>(bin + 1) / bins_per_octave + first_bin_log;
    return std::exp2(upper_end);
}

std::optional<double> usual_times::late_limit() const
{
    const std::optional<double> upper = this->upper_value();
    if (!upper)
        return std::nullopt;
    return late_factor * (1.0 + few_samples_margin / static_cast<double>(this->total)) * *upper;
}

void recent_times::add(double sample)
{
    this->samples.at(this->count % max_samples) = sample;
    ++this->count;
}

std::vector<double> recent_times::sorted_samples() const
{
    const std::size_t held = std::min(this->count, max_samples);
    std::vector<double> sorted(this->samples.begin(),
                               this->samples.begin() + static_cast<std::ptrdiff_t>(held));
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

std::optional<double> recent_times::largest() const
{
    if (this->count == 0)
        return std::nullopt;
    return this->sorted_samples().back();
}

std::optional<double> recent_times::median() const
{
    if (this->count == 0)
        return std::nullopt;
    const std::vector<double> sorted = this->sorted_samples();
    return sorted.at(sorted.size() / 2);
}

std::optional<double> recent_times::ratio_of(double sample) const
{
    if (this->count == 0)
        return std::nullopt;
    if (this->count == 1) {
        const double earlier = std::max(this->samples.front(), min_value);
        return std::max(sample / earlier, earlier / std::max(sample, min_value));
    }
    const std::vector<double> sorted = this->sorted_samples();
    // One response may be fast by chance.
    const double least = sorted.at(sorted.size() < min_samples_for_second ? 0 : 1);
    return sample / std::max(least, min_value);
}

} // namespace ragwortcove::core
