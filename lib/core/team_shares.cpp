#include "ragwortcove/core/team_shares.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// How long a team's lead counts after its last request was placed. Callers have objectives of
/// about a second; a team that has sent less for that long is not held back for what it did before.
static constexpr duration max_lead_age = 1s;
/// How long a team may use later what it has left of its share. A team's share of a cell is a few
/// slots, and a request takes a slot for seconds: without this time, a team that sends no more than
/// its share would wait for the share of its own last request.
static constexpr duration unused_share_window = 2s;
/// Interval at which past virtual times are kept.
static constexpr duration past_interval = 100ms;
/// Half-life of the slot time that a team has asked for.
static constexpr duration asked_half_life = 2s;
/// A team is over its share when it asks for this many times its share.
static constexpr double tolerated_excess = 2.0;
/// Interval at which the teams are compared with their shares.
static constexpr duration compare_interval = 100ms;
/// A team without a request for this long does not compete for slots.
static constexpr duration active_time = 2s;
/// How long an account is kept without a request.
static constexpr duration account_retention = 10s;
/// Bounds of a weight, so that a very small quota still gets a request through now and then.
static constexpr double min_weight = 0.01;
static constexpr double max_weight = 100.0;

double fair_clock::start_after(double finish) const
{
    return std::max(finish, this->latest_start);
}

double fair_clock::serve(double start, double length)
{
    this->latest_start = std::max(this->latest_start, start);
    return start + length;
}

static double mean_rate(const ruleset& rules, bool counts_tokens)
{
    double total = 0.0;
    std::size_t count = 0;
    for (const team_rule& team : rules.teams) {
        if (team.rate <= 0.0 || team.counts_tokens != counts_tokens)
            continue;
        total += team.rate;
        ++count;
    }
    return count == 0 ? 1.0 : total / static_cast<double>(count);
}

team_weights make_team_weights(const ruleset& rules)
{
    const double token_rate = mean_rate(rules, true);
    const double request_rate = mean_rate(rules, false);
    team_weights weights;
    for (const team_rule& team : rules.teams) {
        if (team.rate <= 0.0)
            continue;
        const double mean = team.counts_tokens ? token_rate : request_rate;
        weights[team.name] = std::clamp(team.rate / mean, min_weight, max_weight);
    }
    return weights;
}

double weight_of(const team_weights& weights, const team_name& team)
{
    const auto found = weights.find(team);
    return found == weights.end() ? 1.0 : found->second;
}

share_account& team_shares::account_for(std::uint32_t rank, const team_name& team, double weight)
{
    share_account& account = this->accounts[{rank, team}];
    account.rank = rank;
    account.weight = weight;
    return account;
}

double team_shares::lead_of(const share_account& account, time_point now) const
{
    const auto found = this->clocks.find(account.rank);
    if (found == this->clocks.end())
        return 0.0;
    const rank_clock& clock = found->second;
    const double present = clock.present.virtual_time();
    const bool is_old = now - account.charged_at > max_lead_age;
    const double finish = is_old ? std::min(account.finish, present) : account.finish;
    const double earliest = clock.past.empty() ? present : clock.past.front().second;
    return std::max(finish, earliest) - present;
}

void team_shares::record_past(rank_clock& clock, time_point now)
{
    if (clock.past.empty() || now - clock.past.back().first >= past_interval)
        clock.past.emplace_back(now, clock.present.virtual_time());
    while (clock.past.size() > 1 && now - clock.past[1].first >= unused_share_window)
        clock.past.pop_front();
}

static double decayed_request_time(const share_account& account, time_point now)
{
    const auto elapsed = static_cast<double>((now - account.asked_at).count());
    return account.asked_us * std::exp2(-elapsed / static_cast<double>(asked_half_life.count()));
}

void team_shares::record_request(share_account& account, duration slot_time, time_point now)
{
    account.asked_us = decayed_request_time(account, now) + static_cast<double>(slot_time.count());
    account.asked_at = now;
    if (now - this->compared_at >= compare_interval)
        this->compare_with_shares(now);
}

void team_shares::compare_with_shares(time_point now)
{
    struct sums {
        double asked_us = 0.0;
        double weight = 0.0;
    };
    this->compared_at = now;
    std::map<std::uint32_t, sums> by_rank;
    for (const auto& [key, each] : this->accounts) {
        if (now - each.asked_at > active_time)
            continue;
        sums& rank = by_rank[each.rank];
        rank.asked_us += decayed_request_time(each, now);
        rank.weight += each.weight;
    }
    for (auto& [key, each] : this->accounts) {
        if (now - each.asked_at > active_time) {
            each.is_over_share = false;
            continue;
        }
        const sums& rank = by_rank.at(each.rank);
        const double share_us = rank.asked_us * each.weight / rank.weight;
        each.is_over_share = decayed_request_time(each, now) > tolerated_excess * share_us;
    }
}

void team_shares::charge(share_account& account, duration slot_time, time_point now)
{
    rank_clock& clock = this->clocks[account.rank];
    record_past(clock, now);
    const auto slot_time_us = static_cast<double>(slot_time.count());
    const double start = clock.present.virtual_time() + this->lead_of(account, now);
    account.finish = clock.present.serve(start, slot_time_us / account.weight);
    account.charged_at = now;
}

void team_shares::forget_idle(time_point now)
{
    std::erase_if(this->accounts, [now](const auto& each) {
        return now - each.second.asked_at > account_retention;
    });
}

double share_order::next_lead(const share_account& account, duration slot_time)
{
    const auto [found, is_new] = this->leads.try_emplace(&account, 0.0);
    if (is_new)
        found->second = this->shares.lead_of(account, this->now);
    const double lead = found->second;
    found->second += static_cast<double>(slot_time.count()) / account.weight;
    return lead;
}

} // namespace ragwortcove::core
