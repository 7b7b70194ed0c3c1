/// \file
/// Decides when a move takes its next step, and which step that is.
#pragma once

#include "ragwortcove/core/traffic_split.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <optional>

namespace ragwortcove::core {

/// A controller's state on the current step of a move.
struct move_progress {
    /// Whether the step's start is known; it is unknown when this node has just become controller.
    bool started = false;
    unix_millis started_at;
    /// Earliest end of the step; it also needs enough evidence.
    unix_millis earliest_end;
    std::uint32_t pairs_before = 0;
    std::uint32_t passed_before = 0;
    /// How often signs of a bad version reduced the share to the canary's.
    std::uint32_t setbacks = 0;
    bool was_suspicious = false;
};

/// Input of the decision on the next step.
struct move_situation {
    move_standing standing;
    /// Responses of the new version that were compared with one of the old version.
    std::uint32_t pairs = 0;
    /// Whether every upstream that should serve the new version serves it.
    bool loaded = false;
    /// Wall-clock time.
    unix_millis wall;
};

/// Next status of a move, or nothing while the status does not change. Records the step's start in
/// `progress` if it is not recorded.
[[nodiscard]] std::optional<move_status_spec> plan_next(const move_spec& move,
                                                        const move_status_spec& status,
                                                        const move_situation& situation,
                                                        move_progress& progress);

} // namespace ragwortcove::core
