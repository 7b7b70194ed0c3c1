/// \file
/// Compares the speed of the upstreams of a new version with that of the old version's upstreams.
#pragma once

#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace ragwortcove::core {

/// Upstreams of one target differ in speed, so that a slow version's fastest upstream may be as
/// fast as the old version's slowest one. Every upstream weighs the same here, however many
/// requests it gets: entries prefer the fast ones.
class pace_comparison {
public:
    void add(const upstream_pace& seen);
    /// Part of all pairs of a new and an old upstream in which the new one is much slower, from 0
    /// to 1; zero while too few upstreams are known.
    [[nodiscard]] double slow_pairs() const;
    /// Whether the version is several times slower than the old one.
    [[nodiscard]] bool is_slow() const;
    /// Whether it may be, so that its share must not grow.
    [[nodiscard]] bool is_suspicious() const;

private:
    struct known_upstream {
        bool runs_new_version = false;
        /// Logarithm of the time, averaged over the newest reports.
        double log_time = 0.0;
    };
    [[nodiscard]] std::vector<double> log_times(bool of_new_version) const;

    std::map<upstream_name, known_upstream> upstreams;
};

} // namespace ragwortcove::core
