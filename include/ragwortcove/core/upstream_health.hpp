/// \file
/// Outlier ejection: consecutive failures eject an upstream, successful probes restore it.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Health of one upstream as its placement owner sees it.
class upstream_health {
public:
    enum class change { none, ejected, restored };

    /// Record the result of a request or of a probe, and return the change that it caused.
    change succeeded();
    change failed(time_point now);
    change probed(bool healthy, time_point now);
    /// Whether a probe is due. If so, schedules the next one; the caller sends the due one.
    [[nodiscard]] bool take_probe(time_point now);
    [[nodiscard]] bool ejected() const { return this->is_ejected; }
    /// Concurrency limit that the health allows, at most `healthy_limit`; zero while ejected.
    [[nodiscard]] std::uint32_t limit(std::uint32_t healthy_limit) const;
    /// When the next probe is due; `time_point::max()` if there is none.
    [[nodiscard]] time_point next_probe() const;

private:
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0;
    bool is_ejected = false;
    /// After a successful probe: one request at a time until one succeeds.
    bool on_trial = false;
    time_point probe_at = time_point::max();
};

} // namespace ragwortcove::core
