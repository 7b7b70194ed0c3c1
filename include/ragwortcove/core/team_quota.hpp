/// \file
/// Quotas of teams over all nodes: one node at a time accounts for a team, the others send it their
/// requests.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Result of a quota request.
struct quota_decision {
    bool granted = true;
    /// Time to wait before a granted request may run, or until a denied one would fit the quota.
    duration wait{0};
};

/// Request for units of a team's quota.
struct quota_request {
    /// In units of the quota.
    double cost = 0.0;
    /// Share of the team's rate that this node may grant: one when it accounts for all nodes, less
    /// while other nodes may grant units on their own.
    double share = 1.0;
    /// Longest time that the request can wait for its units.
    duration max_wait{0};
    /// Whether the target has free slots, so that granting units of the tolerance delays no other
    /// request.
    bool has_free_slots = false;
    /// Whether this node accounts for the team; otherwise it grants units without having asked the
    /// node that does.
    bool accounts = true;
};

/// How far a team may exceed its quota in any window before that counts as a violation.
struct quota_tolerance {
    duration window = std::chrono::seconds{8};
    /// Tolerated excess, as a fraction of what the quota allows in a window.
    double overrun = 0.0;
    /// Tolerated units in a window in addition to `overrun`.
    double slack = 0.0;
};

/// Token buckets of teams: of those that this node accounts for, and of those from whose quota it
/// grants units on its own.
class team_quota {
public:
    explicit team_quota(const quota_tolerance& given) : tolerance{given} {}
    /// Starts accounting for a team. The bucket starts with the units that the previous accounting
    /// node hands over (by `refund`). Until they arrive, or if that node has ended, the bucket
    /// starts with a part of the burst.
    void begin(const team_rule& team, time_point now);
    /// Stops accounting for a team; this node may still grant units of its own share. Returns the
    /// remaining units, to be handed over to the node that accounts now.
    [[nodiscard]] double end(const team_name& team);
    /// Takes units for a request from the team's bucket, or denies it.
    [[nodiscard]] quota_decision take(const team_rule& team, const quota_request& request,
                                      time_point now);
    /// Returns the units of a request that did not run, or adds units that another node hands over.
    /// Negative units were spent by another node.
    void refund(const team_rule& team, double cost, time_point now);
    /// Removes buckets of teams that this node does not account for and that were unused for a
    /// while.
    void forget_unused(time_point now);

private:
    struct bucket {
        double available = 0.0;
        /// Available units of the tolerance, for requests that find free slots.
        double tolerated = 0.0;
        time_point filled_at;
        bool accounts = false;
        /// Units handed over before this node knew that it accounts, and when they were.
        double handed_over = 0.0;
        time_point handed_over_at;
        /// Units that the bucket started with in place of those that may still be handed over.
        double assumed = 0.0;
    };
    [[nodiscard]] double tolerated_units(const team_rule& team) const;
    void fill(bucket& target, const team_rule& team, double share, double full,
              time_point now) const;

    quota_tolerance tolerance;
    std::map<team_name, bucket> buckets;
};

} // namespace ragwortcove::core
