/// \file
/// Roll-outs that operators order on the users' platform: the order, what entries count during it,
/// and what its controller tells the entries.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortcove::core {

/// Stored state of a roll-out.
enum class rollout_state {
    /// No state is stored for this order yet.
    pending,
    running,
    /// All requests of the target go to the new version; its other upstreams may stop at once.
    complete,
    /// The new version gets no requests.
    reverted,
};

/// What is stored of a roll-out under way, since no node may remember it after a restart of all.
struct rollout_progress {
    /// Age of the order when this was written.
    duration order_age{0};
    /// Requests sent until then to the new version, and to the other ones.
    std::uint32_t new_sent = 0;
    std::uint32_t old_sent = 0;
    bool operator==(const rollout_progress&) const = default;
};

/// An operator's order to move a target's requests to the upstreams of one version.
struct rollout_order {
    target_name target;
    version_name version;
    /// Time from the order until the roll-out must be complete or reverted.
    duration time_limit{0};
    /// Pending if the stored state belongs to an order for another version.
    rollout_state state = rollout_state::pending;
    /// Position of the order's document; a write of the state is conditional on its revision.
    store_position at;
    /// Unset until it has been stored with `running`.
    std::optional<rollout_progress> progress;
    bool operator==(const rollout_order&) const = default;

    [[nodiscard]] bool has_ended() const
    {
        return this->state == rollout_state::complete || this->state == rollout_state::reverted;
    }
};

/// Interval at which the progress of a roll-out is stored: short beside its time limit, so that a
/// restart of all nodes does not delay its end much.
[[nodiscard]] constexpr duration progress_interval(duration time_limit)
{
    constexpr duration min_interval = std::chrono::seconds{1};
    constexpr duration max_interval = std::chrono::seconds{30};
    constexpr int writes_per_rollout = 20;
    return std::clamp(time_limit / writes_per_rollout, min_interval, max_interval);
}

/// What one entry has counted on one version of a target, on one route; all counts only grow.
struct version_counts {
    /// Requests sent.
    std::uint32_t sent = 0;
    /// Responses that ended well, and attempts that failed.
    std::uint32_t passed = 0;
    std::uint32_t failed = 0;
    /// First parts of responses that came in a usual time, and late ones.
    std::uint32_t first_parts_on_time = 0;
    std::uint32_t first_parts_late = 0;
    /// Streams with the usual time between events, and with a longer one.
    std::uint32_t streams_on_time = 0;
    std::uint32_t streams_late = 0;
    bool operator==(const version_counts&) const = default;
};

struct rollout_route_counts {
    route_name route;
    version_counts old_version;
    version_counts new_version;
    bool operator==(const rollout_route_counts&) const = default;
};

/// Typical time of an upstream's responses, as one entry has seen it.
struct upstream_pace {
    upstream_name upstream;
    bool runs_new_version = false;
    /// Time between two events of a stream, in milliseconds; of a plain upstream, the time of a
    /// response. Only compared with paces of the same target.
    double time_ms = 0.0;
    bool operator==(const upstream_pace&) const = default;
};

/// One entry's report to the controller of a roll-out.
struct rollout_report {
    target_name target;
    version_name version;
    /// Age of the order as far as the entry knows. Entries that start late know a shorter one, so
    /// the longest one counts.
    duration order_age{0};
    /// Share that the entry applies now, in thousandths.
    std::uint32_t share_permille = 0;
    /// Requests that the entry has in flight on other versions than the new one.
    std::uint32_t old_in_flight = 0;
    std::vector<rollout_route_counts> routes;
    /// Some of the upstreams whose pace the entry knows; other reports have others.
    std::vector<upstream_pace> paces;
    /// How long the entry's process has counted.
    duration counted_for{0};
    bool operator==(const rollout_report&) const = default;
};

/// From this share on, in thousandths, requests that may not be repeated are canaries too: the
/// controller stays below it until some requests have passed.
inline constexpr std::uint32_t all_requests_share_permille = 40;

/// What the controller of a roll-out tells every entry.
struct rollout_directive {
    target_name target;
    version_name version;
    /// Share of the target's requests that may go to the new version, in thousandths.
    std::uint32_t share_permille = 0;
    /// The new version is bad and gets no more requests. Never taken back.
    bool halted = false;
    bool operator==(const rollout_directive&) const = default;
};

} // namespace ragwortcove::core
