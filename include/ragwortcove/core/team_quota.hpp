/// \file
/// Teams' quotas over all nodes: one node at a time accounts for a team, the others ask it.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Whether a request fits the quota.
struct quota_answer {
    bool granted = true;
    /// How long to wait before the request may run; or, when it was refused, until it would fit.
    duration wait{0};
};

/// What a request asks of its team's quota.
struct quota_request {
    double cost = 0.0;
    /// Part of the team's rate that this node may give out: one when it speaks for all nodes, less
    /// while some may spend on their own.
    double share = 1.0;
    /// How long the request can wait for its units.
    duration most_wait{0};
    /// Whether places stand free, so that what the quota tolerates harms nobody.
    bool has_room = false;
    /// Whether this node accounts for the team; otherwise it spends without having asked.
    bool accounts = true;
};

/// How far a team may go over its quota in any window before that counts as a breach.
struct quota_tolerance {
    duration window = std::chrono::seconds{8};
    /// Part of what the quota allows in a window.
    double overrun = 0.0;
    /// Units beyond that.
    double slack = 0.0;
};

/// Token buckets of the teams that this node accounts for.
class team_quota {
public:
    explicit team_quota(const quota_tolerance& given) : tolerance{given} {}
    /// This node accounts for a team from now on. Its bucket begins with what the node before hands
    /// over. Until that comes, or if that node has ended, it holds a part of the burst.
    void begin(const team_rule& team, time_point now);
    /// Another node accounts for the team; this one may still spend its own share. Gives the units
    /// that are left for the other to hand out.
    [[nodiscard]] double end(const team_name& team);
    /// Takes units for a request.
    [[nodiscard]] quota_answer take(const team_rule& team, const quota_request& request,
                                    time_point now);
    /// Gives back units of a request that did not run; negative units were spent elsewhere.
    void give_back(const team_rule& team, double cost, time_point now);
    /// Drops buckets that nobody has asked for a while.
    void forget_unused(time_point now);

private:
    struct bucket {
        double available = 0.0;
        /// Units of the tolerance, for requests that find free places.
        double tolerated = 0.0;
        time_point filled_at;
        bool accounts = false;
        /// Units handed over before this node knew that it accounts, and when.
        double handed_over = 0.0;
        time_point handed_at;
        /// Units assumed at the beginning, in place of what may still be handed over.
        double assumed = 0.0;
    };
    [[nodiscard]] double tolerated_units(const team_rule& team) const;
    void fill(bucket& of, const team_rule& team, double share, double full, time_point now) const;

    quota_tolerance tolerance;
    std::map<team_name, bucket> buckets;
};

} // namespace ragwortcove::core
