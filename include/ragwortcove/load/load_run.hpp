/// \file
/// Open-loop load over real sockets: requests are sent when they are due, whether or not earlier
/// ones have been answered.
#pragma once

#include "ragwortcove/load/load_result.hpp"
#include "ragwortcove/load/load_settings.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace ragwortcove::load {

/// How far a run is.
struct load_progress {
    std::chrono::microseconds elapsed{0};
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;
};

struct load_outcome {
    /// In the order of the settings' classes.
    std::vector<class_result> classes;
    std::chrono::microseconds counted_time{0};
};

/// Runs to the end, on a loop of its own; tells its progress once a second.
[[nodiscard]] load_outcome
run_load(const load_settings& settings,
         const std::function<void(const load_progress&)>& progressed = {});

} // namespace ragwortcove::load
