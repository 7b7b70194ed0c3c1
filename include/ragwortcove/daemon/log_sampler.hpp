/// \file
/// Bounds how many lines of one event go to the log.
#pragma once

#include "ragwortcove/daemon/log_event.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace ragwortcove::daemon {

/// Lines of one event that were left out.
struct left_out_lines {
    log_event event = log_event::process_started;
    std::uint64_t count = 0;
};

/// A bucket of lines for each event. What it leaves out is counted and told of, never dropped
/// silently.
class log_sampler {
public:
    using time = std::chrono::steady_clock::time_point;

    /// Lines of one event a second, and at once after a quiet time.
    static constexpr double lines_per_second = 200.0;
    static constexpr double burst = 400.0;

    /// Whether a line may be written; a line that may not is counted.
    [[nodiscard]] bool admit(log_event event, time now);
    /// Counts since the last call, in the order of the events; empty within a second of it.
    [[nodiscard]] std::vector<left_out_lines> take_left_out(time now);

private:
    struct bucket {
        double lines = burst;
        time filled_at;
        std::uint64_t left_out = 0;
    };
    std::map<log_event, bucket> buckets;
    time told_at;
};

} // namespace ragwortcove::daemon
