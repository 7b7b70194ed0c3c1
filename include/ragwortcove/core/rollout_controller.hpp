/// \file
/// Decides, on one node for the whole fleet, how a roll-out goes on: the share of the new version,
/// whether that version is bad, and when the roll-out is complete.
#pragma once

#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace ragwortcove::core {

/// Limits on the requests that a new version may get before it is known to be good.
struct rollout_limits {
    /// Share of all requests of the target during the roll-out.
    double max_share = 0.1;
    /// Requests beyond that share.
    std::uint32_t extra_requests = 50;
};

/// What the controller wants done.
struct rollout_step {
    rollout_directive directive;
    /// State to be stored; unset while the stored one is right.
    std::optional<rollout_state> store_state;
    /// Why, with the figures that decided it; for the log.
    std::string reason;
};

/// Controller of one order. A node that becomes the controller starts with none of the earlier
/// controller's knowledge; the entries' counts are cumulative and bring it back.
class rollout_controller {
public:
    rollout_controller(const rollout_order& order, const rollout_limits& limits, time_point now);

    /// Takes a node's newest report; `reporter` is the node's incarnation.
    void on_report(incarnation reporter, const rollout_report& report, time_point now);
    /// Decides the next step. `order` is the order with its stored state now in force,
    /// `canary_count` the number of ready upstreams of the new version.
    [[nodiscard]] rollout_step decide(const rollout_order& order, std::size_t canary_count,
                                      time_point now);
};

} // namespace ragwortcove::core
