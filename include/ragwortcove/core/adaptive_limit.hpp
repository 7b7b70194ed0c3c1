/// \file
/// Adaptive concurrency limit of an upstream, derived from its response times.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Concurrency limit that shrinks while responses take too long compared with the upstream's
/// unloaded time, and grows while they do not and the limit is reached.
class adaptive_limit {
public:
    /// `slots` is the number of slots that the upstream announces, the upper bound of the limit.
    explicit adaptive_limit(std::uint32_t slots);
    /// Records the time of one unit of work (a token, or a whole call) while `in_flight` requests
    /// were in flight.
    void sample(duration unit_time, std::uint32_t in_flight);
    /// Shrinks the limit after an attempt that failed or timed out.
    void failed();
    /// Changes the upper bound of the limit.
    void set_max(std::uint32_t slots);
    /// The current limit.
    [[nodiscard]] std::uint32_t value() const;
    /// Mean time of a unit of work without load.
    [[nodiscard]] duration unloaded() const;
    /// Exponentially weighted moving average of the recent times.
    [[nodiscard]] duration smoothed() const;

private:
    void update_unloaded(double time, std::uint32_t in_flight);
    /// Whether there are enough samples to change the limit.
    [[nodiscard]] bool has_settled() const;

    double max_limit;
    double limit;
    double unloaded_us = 0.0;
    double smoothed_us = 0.0;
    /// Average over many more samples than `smoothed_us`.
    double slow_us = 0.0;
    std::uint64_t samples = 0;
    /// Number of requests in flight up to which a sample counts as unloaded.
    std::uint32_t reference_load = 0;
    std::uint64_t reference_samples = 0;
};

} // namespace ragwortcove::core
