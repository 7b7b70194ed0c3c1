/// \file
/// Reports of the units of quotas that a node grants without asking the node that accounts for
/// them. Each report repeats the last periods, so that no unit is missed when some reports are
/// lost, and none counts twice.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace ragwortcove::core {

/// Units of one team's quota that a node has granted on its own.
struct quota_spending {
    team_name team;
    /// Number of the period in which the report was made, on the reporting node's clock.
    std::uint64_t last_period = 0;
    /// Units granted in each period, from the newest one backwards.
    std::vector<double> units;
};

/// What this node has granted on its own lately.
class quota_spending_log {
public:
    void add(const team_name& team, double units, time_point now);
    /// One report for each team of whose quota something was granted within the reported time.
    [[nodiscard]] std::vector<quota_spending> reports(time_point now);

private:
    using units_by_period = std::map<std::uint64_t, double>;
    std::map<team_name, units_by_period> granted;
};

/// What other nodes have reported to this one, which accounts for the quotas.
class quota_spending_ledger {
public:
    /// Starts to count what is granted of a team's quota from now on.
    void begin(const team_name& team, time_point now);
    /// Stops that.
    void end(const team_name& team);
    /// Returns the units that no earlier report of the same process contained, of a team that is
    /// counted.
    [[nodiscard]] double add(const node_name& reporter, incarnation run,
                             const quota_spending& report, time_point now);
    /// Removes what processes have reported that have been quiet for a while.
    void forget_quiet(time_point now);

private:
    struct account_key {
        node_name reporter;
        incarnation run;
        team_name team;
        auto operator<=>(const account_key&) const = default;
    };
    struct account {
        std::uint64_t last_period = 0;
        std::map<std::uint64_t, double> counted;
        time_point reported_at;
    };

    std::map<team_name, time_point> counted_since;
    std::map<account_key, account> accounts;
};

} // namespace ragwortcove::core
