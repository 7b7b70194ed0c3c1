/// \file
/// Seeded randomness of the stand-in models and the runner.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <random>

namespace ragwortcove::standin {

/// Random numbers that depend on the seed alone.
class random_source {
public:
    explicit random_source(std::uint64_t seed);

    /// A number in [0, 1).
    [[nodiscard]] double uniform();
    /// A whole number in [0, bound); zero when `bound` is zero.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    [[nodiscard]] bool chance(double probability);
    /// Exponentially distributed, as the time between independent arrivals is.
    [[nodiscard]] double exponential(double mean);
    /// Log-uniform in [least, most]: each order of magnitude is equally likely.
    [[nodiscard]] double log_uniform(double least, double most);
    [[nodiscard]] core::duration between(core::duration least, core::duration most);

private:
    std::mt19937_64 engine;
};

} // namespace ragwortcove::standin
