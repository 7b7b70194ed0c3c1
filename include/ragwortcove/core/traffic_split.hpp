/// \file
/// Chooses the version of the target that a route's requests are sent to: the route's own, or one
/// of a move's two versions.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ragwortcove::core {

/// Share of requests that the new version gets while there is little or no evidence on it, in
/// thousandths.
inline constexpr std::uint32_t canary_share_permille = 20;
/// Complete responses of the new version after which its requests in flight are no longer bounded.
inline constexpr std::uint32_t passes_before_unbounded = 12;
/// Complete responses of the new version after which it also gets requests that are not idempotent.
inline constexpr std::uint32_t passes_before_non_idempotent = 8;

/// A move and its status, as the configuration in force has them.
struct route_move {
    move_name name;
    move_spec spec;
    /// Pending while no status has been stored for this move.
    move_status_spec status;
    /// Whether an idempotent route has the same target, so that its requests can test the new
    /// version first.
    bool has_idempotent_requests = false;

    [[nodiscard]] bool ended() const
    {
        return this->status.phase == move_phase::done || this->status.phase == move_phase::reverted;
    }
};

/// Whether a status belongs to this move, and not to an earlier one of the same name.
[[nodiscard]] bool is_status_of(const move_status_spec& status, const move_spec& move);

/// A node's assessment of a move's new version.
struct move_standing {
    /// The move is halted: no more requests go to the new version.
    bool halted = false;
    /// Signs of a bad version, not enough to halt the move: the canary's limits apply again.
    bool suspicious = false;
    /// Complete responses of the new version.
    std::uint32_t passed = 0;
};

/// Properties of a request that the choice of its version depends on.
struct split_request {
    bool idempotent = true;
    /// Requests of this entry that are in flight on the new version.
    std::uint32_t canaries_in_flight = 0;
    /// This entry's part of the move's limit of requests in flight.
    std::uint32_t canary_quota = 0;
    /// Number of entries divided by the number of those with a quota: the entries with a quota send
    /// the canary's whole share, so each one's share is multiplied by it.
    double entries_per_quota_holder = 1.0;
    /// Uniform in [0, 1).
    double draw = 0.0;
};

/// Share of the route's requests that may go to the new version now, in thousandths.
[[nodiscard]] std::uint32_t share_permille(const route_move& move, const move_standing& standing,
                                           unix_millis wall);
/// Whether requests in flight on the new version are bounded.
[[nodiscard]] bool is_canary(const move_standing& standing);
/// The version that a request of the move's route is sent to.
[[nodiscard]] const version_name& pick_version(const route_move& move,
                                               const move_standing& standing,
                                               const split_request& request, unix_millis wall);

/// Moves of a configuration, by route.
class traffic_split {
public:
    void rebuild(const configuration& from);
    /// The route's move with the latest finish-by time, which decides the route's version; null if
    /// the route has no move.
    [[nodiscard]] const route_move* find(const route_name& route) const;
    /// A move of another, non-idempotent route of the same target for which this idempotent route's
    /// requests serve as canaries, or null.
    [[nodiscard]] const route_move* find_assisted_move(const route_name& route) const;
    /// Every route's latest move.
    [[nodiscard]] const std::map<route_name, route_move>& all() const { return this->by_route; }

private:
    void find_assisting_routes(route_move& move, const route_spec& moved,
                               const configuration& from);

    std::map<route_name, route_move> by_route;
    /// Maps an idempotent route without a move to the route whose move it provides canaries for.
    std::map<route_name, route_name> assisted_routes;
};

} // namespace ragwortcove::core
