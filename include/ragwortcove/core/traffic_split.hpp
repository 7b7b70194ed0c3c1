/// \file
/// Which version of its target a route's requests get: the route's own, or a split by a move.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortcove::core {

/// Share that the new version gets while little or nothing is known of it, in thousandths.
inline constexpr std::uint32_t canary_share_permille = 20;
/// Answers of the new version before its requests in flight are no longer bounded.
inline constexpr std::uint32_t passes_before_unbounded = 12;
/// Answers to idempotent requests before the new version gets others.
inline constexpr std::uint32_t passes_before_non_idempotent = 8;

/// A move and its status, as the configuration in force has them.
struct route_move {
    move_name name;
    move_spec spec;
    /// Pending while there is no status of this very move.
    move_status_spec status;
    /// Whether the route's target is also asked for by requests that may be repeated.
    bool has_idempotent_requests = false;

    [[nodiscard]] bool ended() const
    {
        return this->status.phase == move_phase::done || this->status.phase == move_phase::reverted;
    }
};

/// Whether a status is of this very move, not of an earlier one of the same name.
[[nodiscard]] bool is_status_of(const move_status_spec& status, const move_spec& move);

/// What a node has seen of a move's new version.
struct move_standing {
    /// The brake is on: nothing more goes to the new version.
    bool halted = false;
    /// Signs of a bad version, not enough to set the brake: back to the canary's bounds.
    bool suspicious = false;
    /// Answers of the new version that came whole.
    std::uint32_t passed = 0;
};

/// What is to be known of a request to choose its version.
struct split_request {
    bool idempotent = true;
    /// Requests of this entry that are on the new version now.
    std::uint32_t canaries_in_flight = 0;
    /// This entry's part of the move's bound.
    std::uint32_t canary_quota = 0;
    /// Entries for each one that has a part of the bound: a canary's whole share is theirs.
    double entries_per_quota_holder = 1.0;
    /// Uniform in [0, 1).
    double draw = 0.0;
};

/// Share of the route's requests that may go to the new version now, in thousandths.
[[nodiscard]] std::uint32_t share_permille(const route_move& move, const move_standing& standing,
                                           unix_millis wall);
/// Whether requests in flight on the new version are bounded.
[[nodiscard]] bool is_canary(const move_standing& standing);
/// The version that a request of the move's route gets.
[[nodiscard]] const version_name& pick_version(const route_move& move,
                                               const move_standing& standing,
                                               const split_request& request, unix_millis wall);

/// Moves of a configuration by route.
class traffic_split {
public:
    void rebuild(const configuration& from);
    /// The move that a route's version comes from, or null: the one with the latest finish-by time.
    [[nodiscard]] const route_move* find(const route_name& route) const;
    /// A move of another route of the same target whose canaries this idempotent route lends, or
    /// null.
    [[nodiscard]] const route_move* find_assisted_move(const route_name& route) const;
    /// Every route's latest move.
    [[nodiscard]] const std::map<route_name, route_move>& all() const { return this->by_route; }

private:
    void find_lenders(route_move& move, const route_spec& moved, const configuration& from);

    std::map<route_name, route_move> by_route;
    /// From an idempotent route without a move to the route whose move it helps.
    std::map<route_name, route_name> assisted_routes;
};

} // namespace ragwortcove::core
