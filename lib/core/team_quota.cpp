#include "ragwortcove/core/team_quota.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Part of the burst that a bucket starts with: the node that accounted before may have given out
/// the rest just now.
static constexpr double first_fill = 0.4;
/// Part of the tolerance that is given out. A request that fits the tolerance harms nobody while
/// places stand free; the rest is left for a change of the accounting node.
static constexpr double used_tolerance = 0.5;
/// Time after which a bucket that is not asked for is full again in any case.
static constexpr duration bucket_memory = 60s;

static double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// A quota is what a team may use in any window. A bucket that holds the burst and is filled a
// little faster than the rate spreads the part of the tolerance over the window.
double team_quota::fill_rate(const team_rule& team) const
{
    const double window = seconds(this->tolerance.window);
    const double in_window = team.rate * window + team.burst;
    const double tolerated = this->tolerance.overrun * in_window + this->tolerance.slack;
    return team.rate + used_tolerance * tolerated / window;
}

quota_answer team_quota::take(const team_rule& team, double cost, double share, time_point now)
{
    if (team.rate <= 0.0)
        return {};
    const double rate = this->fill_rate(team) * share;
    const double full = std::max(team.burst * share, 1.0);
    const auto [found, is_new] = this->buckets.try_emplace(team.name);
    bucket& own = found->second;
    if (is_new) {
        own.available = full * first_fill;
        own.filled_at = now;
    }
    own.available = std::min(full, own.available + rate * seconds(now - own.filled_at));
    own.filled_at = now;
    // A request larger than the whole bucket passes when the bucket is full.
    const double needed = std::min(cost, full);
    if (own.available >= needed) {
        own.available -= cost;
        return {};
    }
    const double wait = rate > 0.0 ? (needed - own.available) / rate : seconds(bucket_memory);
    return {false, std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait))};
}

void team_quota::give_back(const team_rule& team, double cost)
{
    const auto found = this->buckets.find(team.name);
    if (found != this->buckets.end())
        found->second.available = std::min(std::max(team.burst, 1.0), found->second.available + cost);
}

void team_quota::forget_unused(time_point now)
{
    std::erase_if(this->buckets, [now](const auto& each) {
        return now - each.second.filled_at > bucket_memory;
    });
}

} // namespace ragwortcove::core
