/// \file
/// Teams' quotas over all nodes: one node at a time accounts for a team, the others ask it.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Whether a request fits the quota, and if not, when it would.
struct quota_answer {
    bool granted = true;
    duration retry_after{0};
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
    /// Takes units for a request. `share` is the part of the team's rate that this node may give
    /// out: one when it speaks for all nodes, less while some may spend on their own.
    [[nodiscard]] quota_answer take(const team_rule& team, double cost, double share,
                                    time_point now);
    /// Gives back units of a request that did not run.
    void give_back(const team_rule& team, double cost);
    /// Drops buckets that nobody has asked for a while.
    void forget_unused(time_point now);

private:
    struct bucket {
        double available = 0.0;
        time_point filled_at;
    };
    [[nodiscard]] double fill_rate(const team_rule& team) const;

    quota_tolerance tolerance;
    std::map<team_name, bucket> buckets;
};

} // namespace ragwortcove::core
