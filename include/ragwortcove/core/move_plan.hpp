/// \file
/// When a move may take its next step, and which one it is.
#pragma once

#include "ragwortcove/core/traffic_split.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <optional>

namespace ragwortcove::core {

/// What a controller remembers of a move's present step.
struct move_progress {
    /// Whether the step's start is known: not so after a takeover.
    bool started = false;
    unix_millis started_at;
    /// When the step may end, if the evidence is there.
    unix_millis earliest_end;
    std::uint32_t pairs_before = 0;
    std::uint32_t passed_before = 0;
    /// How often signs of a bad version brought the share back.
    std::uint32_t setbacks = 0;
    bool was_suspicious = false;
};

/// What the next step is decided on.
struct move_situation {
    move_standing standing;
    /// Answers held against the old version's.
    std::uint32_t pairs = 0;
    /// Whether every upstream that should serve the new version does.
    bool loaded = false;
    unix_millis wall;
};

/// Next status of a move, or nothing while it stays as it is. Starts the step in `progress` when it
/// is not started.
[[nodiscard]] std::optional<move_status_spec> plan_next(const move_spec& move,
                                                        const move_status_spec& status,
                                                        const move_situation& seen,
                                                        move_progress& progress);

} // namespace ragwortcove::core
