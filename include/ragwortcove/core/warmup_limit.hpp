/// \file
/// Limits the requests a second to upstreams that are warming up, or may be at any moment, over all
/// nodes together. Answers a whole failure domain that comes back at once under full load.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>

namespace ragwortcove::core {

/// What the fleet may send to an upstream that is warming up, beyond its target's rate.
struct warmup_tolerance {
    /// Factor of the rate.
    double overrun = 1.0;
    /// Requests beyond that in any second.
    double slack = 0.0;
    bool operator==(const warmup_tolerance&) const = default;
};

/// An upstream whose target has a rate for its warm-up.
struct limited_upstream {
    upstream_process process;
    /// Requests a second that the upstream bears while it is warming up.
    double rate = 0.0;
    /// Length of the warm-up after a start.
    duration warmup_time{0};
    /// Until when the upstream is warming up, as it announces.
    time_point warm_at;
    /// Whether this node owns the upstream's cell.
    bool is_owned = false;
};

/// What one node, as the owner of a cell, may grant to each upstream of a limited target. An
/// upstream can lose its warmth at any moment and says so only later, so that the limit holds for
/// warm ones, too. Upstreams that were never listed are not limited.
class warmup_limit {
public:
    void set_tolerance(warmup_tolerance given) { this->tolerance = given; }
    /// Replaces the limited upstreams. A process that is not among the first ones listed has just
    /// started, and is warming up.
    void set_upstreams(std::span<const limited_upstream> all, time_point now);
    /// Sets the share of the fleet's nodes, from 0 to 1, that this node can reach. The others may
    /// have an owner of their own, which grants requests to the same upstreams.
    void set_fleet_share(double share, time_point now);
    /// Sets the share of the running nodes, from 0 to 1, that serve as far as this node knows.
    /// Nodes that start together each take themselves for the owner until they know of each other.
    void set_serving_share(double share) { this->serving_share = share; }

    /// Whether an upstream may be granted a request now.
    [[nodiscard]] bool may_grant(const upstream_name& name, time_point now) const;
    /// Counts a grant, whether or not it is used.
    void record_grant(const upstream_name& name, time_point now);

    [[nodiscard]] bool is_warming_up(const upstream_name& name, time_point now) const;
    /// Number of limited upstreams that are warming up.
    [[nodiscard]] std::size_t count_warming_up(time_point now) const;

private:
    struct upstream_state {
        std::int64_t started_at = 0;
        double rate = 0.0;
        time_point warm_at;
        bool is_owned = false;
        /// Whether this node was the owner before the present one.
        bool was_owned = false;
        /// Since when the process has been listed with the same owner, this node or another one.
        time_point owner_since;
        /// Times of the grants within the last window.
        std::deque<time_point> grants;
    };
    /// How many requests may be granted within the window, and whether evenly spaced.
    struct allowance {
        double count = 0.0;
        bool is_spaced = false;
    };
    [[nodiscard]] allowance allowance_of(const upstream_state& state, time_point now) const;

    warmup_tolerance tolerance;
    std::map<upstream_name, upstream_state> upstreams;
    bool has_first_list = false;
    double fleet_share = 1.0;
    double serving_share = 1.0;
    /// Until when a larger share has no effect.
    time_point share_holds_until;
};

} // namespace ragwortcove::core
