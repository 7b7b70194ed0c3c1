#include "ragwortcove/core/team_quota.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Part of the tolerance's units in a window that its bucket holds; the rest flows in.
static constexpr double tolerance_fill = 0.25;
/// Part of the burst that a bucket begins with when nothing is known of the time before.
static constexpr double initial_fill = 0.1;
/// Part of the tolerance that is not given out: what the team's rate yields in this time. So much
/// may be given out twice before all nodes know that another one accounts.
static constexpr duration reserved_time = 650ms;
/// Part of its share of the burst that a node holds which spends without asking: the node that
/// accounts may be spending, too.
static constexpr double local_burst_share = 0.3;
/// Part of the burst up to which a request counts as small.
static constexpr double small_request_share = 0.005;
/// Debt, as a part of the burst, up to which small requests pass without waiting.
static constexpr double max_overdraft = 0.1;
/// How long units that were handed over wait for this node to know that it accounts.
static constexpr duration handover_memory = 1s;
/// Time after which a bucket that is not asked for is full again in any case.
static constexpr duration bucket_memory = 60s;

static double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Units beyond the quota that this node gives out in a window, at most. A request that fits the
/// tolerance harms nobody while places stand free.
double team_quota::tolerated_units(const team_rule& team) const
{
    const double in_window = team.rate * seconds(this->tolerance.window) + team.burst;
    const double all = this->tolerance.overrun * in_window + this->tolerance.slack;
    return std::max(0.0, all - team.rate * seconds(reserved_time));
}

// What the bucket of the tolerance holds and what flows into it in a window make up its units.
void team_quota::fill(bucket& target, const team_rule& team, double share, double full,
                      time_point now) const
{
    const double passed = seconds(now - target.filled_at);
    target.filled_at = now;
    target.available = std::min(full, target.available + team.rate * share * passed);
    const double units = this->tolerated_units(team) * share;
    const double held = units * tolerance_fill;
    const double flow = (units - held) / seconds(this->tolerance.window);
    target.tolerated = std::min(held, target.tolerated + flow * passed);
}

void team_quota::begin(const team_rule& team, time_point now)
{
    bucket& own = this->buckets[team.name];
    if (own.accounts)
        return;
    const bool was_handed_over = now - own.handed_over_at < handover_memory;
    bucket made;
    made.filled_at = now;
    made.accounts = true;
    made.assumed = was_handed_over ? 0.0 : team.burst * initial_fill;
    made.handed_over_at = now;
    made.available =
        std::min(own.available, 0.0) + (was_handed_over ? own.handed_over : made.assumed);
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

// A bucket may run into debt for requests that wait until it is paid: a clump of requests within
// the rate is spread, not refused.
quota_decision team_quota::take(const team_rule& team, const quota_request& request, time_point now)
{
    if (team.rate <= 0.0)
        return {};
    const double held = request.accounts ? team.burst : team.burst * local_burst_share;
    const double full = std::max(held * request.share, 1.0);
    const auto [found, is_new] = this->buckets.try_emplace(team.name);
    bucket& own = found->second;
    if (is_new) {
        own.available = request.accounts ? full * initial_fill : 0.0;
        own.filled_at = now;
    }
    this->fill(own, team, request.share, full, now);
    // A request larger than the whole bucket passes when the bucket is full.
    const double needed = std::min(request.cost, full);
    if (own.available >= needed) {
        own.available -= request.cost;
        return {};
    }
    // A team's large requests must not shut out its small ones, which hardly count.
    const bool is_small = request.cost <= full * small_request_share;
    if (is_small && own.available - request.cost >= -full * max_overdraft) {
        own.available -= request.cost;
        return {};
    }
    const double lacking = (needed - own.available) / (team.rate * request.share);
    const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(lacking));
    if (!request.has_free_slots)
        return {false, wait};
    if (request.accounts && own.tolerated >= needed) {
        own.tolerated -= request.cost;
        return {};
    }
    if (wait > request.max_wait)
        return {false, wait};
    own.available -= request.cost;
    return {true, wait};
}

void team_quota::refund(const team_rule& team, double cost, time_point now)
{
    bucket& own = this->buckets[team.name];
    if (own.accounts) {
        const bool is_handover = own.assumed > 0.0 && now - own.handed_over_at < handover_memory;
        const double assumed = is_handover ? std::exchange(own.assumed, 0.0) : 0.0;
        own.available = std::min(std::max(team.burst, 1.0), own.available + cost - assumed);
        return;
    }
    if (now - own.handed_over_at >= handover_memory)
        own.handed_over = 0.0;
    own.handed_over = std::min(std::max(team.burst, 1.0), own.handed_over + cost);
    own.handed_over_at = now;
}

void team_quota::forget_unused(time_point now)
{
    std::erase_if(this->buckets, [now](const auto& each) {
        return !each.second.accounts && now - each.second.filled_at > bucket_memory;
    });
}

} // namespace ragwortcove::core
