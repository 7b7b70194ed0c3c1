/// \file
/// How many requests an upstream gets side by side, learned from its own answer times.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Concurrency limit that shrinks while answers take longer than the upstream's own unloaded time
/// allows, and grows while it is used up and they do not.
class adaptive_limit {
public:
    /// `most` is the upstream's own number of slots.
    explicit adaptive_limit(std::uint32_t most);
    /// Takes the time of one unit of work (a token, or a whole call) seen at `in_flight` requests.
    void sample(duration unit_time, std::uint32_t in_flight);
    /// An attempt failed or went silent.
    void failed();
    void set_most(std::uint32_t most);
    [[nodiscard]] std::uint32_t value() const;
    [[nodiscard]] duration unloaded() const;
    [[nodiscard]] duration smoothed() const;

private:
    void learn_unloaded(double time, std::uint32_t in_flight);
    /// Whether enough has been seen to move the limit.
    [[nodiscard]] bool has_settled() const;

    double most;
    double limit;
    double unloaded_us = 0.0;
    double smoothed_us = 0.0;
    /// Smoothed over many more samples than `smoothed_us`.
    double slow_us = 0.0;
    std::uint64_t samples = 0;
    /// Load, in requests side by side, up to which a sample counts as unloaded.
    std::uint32_t reference_load = 0;
    std::uint64_t reference_samples = 0;
};

} // namespace ragwortcove::core
