#include "ragwortcove/core/team_quota.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Part of the burst that a bucket begins with when nothing is known of the time before.
static constexpr double first_fill = 0.3;
/// Part of the tolerance that is given out. A request that fits the tolerance harms nobody while
/// places stand free; the rest is left for a change of the accounting node.
static constexpr double used_tolerance = 0.5;
/// Part of the burst up to which a request counts as small.
static constexpr double small_share = 0.005;
/// Debt, as a part of the burst, up to which small requests pass without waiting.
static constexpr double most_overdraft = 0.2;
/// How long units that were handed over wait for this node to know that it accounts.
static constexpr duration handover_memory = 1s;
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

void team_quota::begin(const team_rule& team, time_point now)
{
    bucket& own = this->buckets[team.name];
    if (own.accounts)
        return;
    const bool was_handed = now - own.handed_at < handover_memory;
    bucket made;
    made.filled_at = now;
    made.accounts = true;
    made.assumed = was_handed ? 0.0 : team.burst * first_fill;
    made.handed_at = now;
    made.available =
        std::min(own.available, 0.0) + (was_handed ? own.handed_over : made.assumed);
    own = made;
}

double team_quota::end(const team_name& team)
{
    const auto found = this->buckets.find(team);
    if (found == this->buckets.end() || !found->second.accounts)
        return 0.0;
    found->second.accounts = false;
    return std::exchange(found->second.available, 0.0);
}

// A bucket may run into debt for requests that wait until it is paid: a clump of requests within the
// rate is spread, not refused.
quota_answer team_quota::take(const team_rule& team, double cost, double share, duration most_wait,
                              time_point now)
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
    // A team's large requests must not shut out its small ones, which hardly count.
    const bool is_small = cost <= full * small_share;
    if (is_small && own.available - cost >= -full * most_overdraft) {
        own.available -= cost;
        return {};
    }
    const double lacking = rate > 0.0 ? (needed - own.available) / rate : seconds(bucket_memory);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(lacking));
    if (wait > most_wait)
        return {false, wait};
    own.available -= cost;
    return {true, wait};
}

void team_quota::give_back(const team_rule& team, double cost, time_point now)
{
    bucket& own = this->buckets[team.name];
    if (own.accounts) {
        const bool is_handover = own.assumed > 0.0 && now - own.handed_at < handover_memory;
        const double assumed = is_handover ? std::exchange(own.assumed, 0.0) : 0.0;
        own.available = std::min(std::max(team.burst, 1.0), own.available + cost - assumed);
        return;
    }
    if (now - own.handed_at >= handover_memory)
        own.handed_over = 0.0;
    own.handed_over = std::min(std::max(team.burst, 1.0), own.handed_over + cost);
    own.handed_at = now;
}

void team_quota::forget_unused(time_point now)
{
    std::erase_if(this->buckets, [now](const auto& each) {
        return !each.second.accounts && now - each.second.filled_at > bucket_memory;
    });
}

} // namespace ragwortcove::core
