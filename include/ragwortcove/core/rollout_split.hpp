/// \file
/// What every entry does for a roll-out: decides which version gets a request, counts how the
/// versions respond, and stops sending to a version that was found to be bad.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// What an upstream is used for.
enum class upstream_role {
    /// Gets the target's requests.
    regular,
    /// Runs the new version of a roll-out: gets only the requests that are chosen for it.
    canary,
    /// Gets no requests.
    excluded,
};

/// Properties of a request that the choice of its version depends on.
struct rollout_request {
    target_name target;
    route_name route;
    /// Whether the request may run more than once.
    bool may_repeat = true;
};

/// One observation of an attempt at an upstream. An attempt gives several, as it goes on.
struct rollout_observation {
    target_name target;
    version_name version;
    route_name route;
    enum class event_kind {
        /// The request was sent.
        sent,
        /// The first part of the response came after `time`.
        first_part,
        /// Mean time between events of a stream, once there are enough of them, is `time`.
        between_events,
        /// The response ended well, or the attempt failed. An attempt ends once; a refusal by a
        /// full upstream, or an attempt that the caller gave up, is neither.
        passed,
        failed,
        /// The attempt ended without saying anything about the version.
        abandoned,
    };
    event_kind kind = event_kind::sent;
    duration time{0};
    /// Prompt tokens that the upstream had to compute, for `first_part`.
    std::uint32_t uncached_tokens = 0;
};

class rollout_split {
public:
    /// Sets all orders in force. An order that is not in `all` any more is forgotten.
    void set_orders(std::span<const rollout_order> all, time_point now);
    /// Applies a message of a controller. A halt holds whoever sends it, for as long as the order
    /// lives; a share holds only for `directive_lifetime`, so that an entry that loses the
    /// controller sends nothing more to the new version.
    void on_directive(const rollout_directive& directive, time_point now);

    [[nodiscard]] upstream_role role_of(const announced_upstream& upstream) const;
    /// Whether the request is to be placed on a canary.
    [[nodiscard]] bool choose_canary(const rollout_request& request, random_engine& random,
                                     time_point now);
    /// Whether a request may still be sent to an upstream that was granted for it before.
    [[nodiscard]] bool may_send(const announced_upstream& upstream, time_point now) const;
    /// Learns the usual times of every target's responses, and counts for roll-outs under way.
    void observe(const rollout_observation& seen, time_point now);

    /// Orders that have not ended.
    [[nodiscard]] std::vector<rollout_order> active_orders() const;
    [[nodiscard]] std::vector<rollout_report> reports(time_point now) const;
};

} // namespace ragwortcove::core
