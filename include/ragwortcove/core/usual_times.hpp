/// \file
/// Learns the usual range of a time, so that late ones can be told apart.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ragwortcove::core {

/// Distribution of the newest samples of a positive quantity, on a logarithmic scale. Old samples
/// lose weight as new ones come.
class usual_times {
public:
    void add(double sample);
    /// Value above which a sample is late; unset while there are too few samples.
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
    /// Whether a sample exceeds the smaller ones of the newest by a factor; unset without samples.
    [[nodiscard]] std::optional<bool> exceeds(double sample, double factor) const;

private:
    static constexpr std::size_t max_samples = 5;
    std::array<double, max_samples> samples{};
    std::size_t count = 0;
};

} // namespace ragwortcove::core
