/// \file
/// Learns the usual range of a time, so that late ones can be told apart.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortcove::core {

/// Distribution of the newest samples of a positive quantity, on a logarithmic scale. Old samples
/// lose weight as new ones come.
class usual_times {
public:
    void add(double sample);
    /// Value that few samples exceed, and value above which a sample is late; unset while there are
    /// too few samples.
    [[nodiscard]] std::optional<double> upper_value() const;
    [[nodiscard]] std::optional<double> late_limit() const;

private:
    static constexpr std::size_t bin_count = 96;
    std::array<std::uint16_t, bin_count> bins{};
    std::uint32_t total = 0;
};

/// The newest few samples of one upstream.
class recent_times {
public:
    void add(double sample);
    /// A sample divided by the smaller ones of the newest, or the only earlier one by it if that is
    /// larger; unset without samples.
    [[nodiscard]] std::optional<double> ratio_of(double sample) const;

    /// Largest of the newest samples; unset without samples.
    [[nodiscard]] std::optional<double> largest() const;
    /// Median of the newest samples; unset without samples.
    [[nodiscard]] std::optional<double> median() const;

private:
    [[nodiscard]] std::vector<double> sorted_samples() const;

    static constexpr std::size_t max_samples = 5;
    std::array<double, max_samples> samples{};
    std::size_t count = 0;
};

} // namespace ragwortcove::core
