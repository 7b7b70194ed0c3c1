/// \file
/// Shares of teams that compete for too few slots: start-time fair queueing (Goyal, Vin and Cheng,
/// 1996). Answers a load in which one team sends many times its usual, and all teams together send
/// more than the upstreams can serve.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace ragwortcove::core {

/// Virtual time of requests that share slots: the start tag of the last one served. A flow's next
/// request has the later of this time and the finish tag of the flow's last request as start tag,
/// so that a flow gets no credit for the time in which it sent nothing.
class fair_clock {
public:
    [[nodiscard]] double virtual_time() const { return this->latest_start; }
    /// Start tag of a flow's next request, whose last one finished at `finish`.
    [[nodiscard]] double start_after(double finish) const;
    /// Serves a request of this length in virtual time; returns its finish tag.
    double serve(double start, double length);

private:
    double latest_start = 0.0;
};

/// Weight of each team with a quota, in proportion to the quota's rate; the mean is 1. Rates in
/// tokens and in requests are not comparable, so each kind has a mean of 1.
using team_weights = std::map<team_name, double>;
[[nodiscard]] team_weights make_team_weights(const ruleset& rules);
/// A team without a quota has the mean weight.
[[nodiscard]] double weight_of(const team_weights& weights, const team_name& team);

/// What one team has asked for and has used of the slots for requests of one rank.
struct share_account {
    std::uint32_t rank = 0;
    double weight = 1.0;
    /// Finish tag of the team's last request.
    double finish = 0.0;
    time_point charged_at;
    /// Slot time that requests of the last seconds need, in microseconds; decays.
    double asked_us = 0.0;
    time_point asked_at;
    /// Whether the team asks for much more than its share of what all teams ask for.
    bool is_over_share = false;
};

/// Accounts of the teams that use one group of slots.
class team_shares {
public:
    /// The account of a team, which stays valid until `forget_idle`.
    [[nodiscard]] share_account& account_for(std::uint32_t rank, const team_name& team,
                                             double weight);
    /// How far in virtual time the team's next request starts after the present. Negative for a
    /// team that has left a part of its share unused in the last seconds; a team that was not
    /// served for a short time has no lead, however much it has used before.
    [[nodiscard]] double lead_of(const share_account& account, time_point now) const;
    /// Records that a new request needs this slot time.
    void record_request(share_account& account, duration slot_time, time_point now);
    /// Charges the slot time of a placed request.
    void charge(share_account& account, duration slot_time, time_point now);
    /// Removes accounts of teams that have not asked for some seconds.
    void forget_idle(time_point now);
    [[nodiscard]] std::size_t size() const { return this->accounts.size(); }

private:
    /// Virtual time of a rank, and what it was some time ago.
    struct rank_clock {
        fair_clock present;
        std::deque<std::pair<time_point, double>> past;
    };
    static void record_past(rank_clock& clock, time_point now);
    void compare_with_shares(time_point now);

    std::map<std::uint32_t, rank_clock> clocks;
    std::map<std::pair<std::uint32_t, team_name>, share_account> accounts;
    time_point compared_at;
};

/// Numbers the waiting requests of each team, in the order given, by their leads.
class share_order {
public:
    share_order(const team_shares& given, time_point at) : shares(given), now(at) {}
    /// Lead of the team's next waiting request, which needs this slot time.
    [[nodiscard]] double next_lead(const share_account& account, duration slot_time);

private:
    const team_shares& shares;
    time_point now;
    std::map<const share_account*, double> leads;
};

} // namespace ragwortcove::core
