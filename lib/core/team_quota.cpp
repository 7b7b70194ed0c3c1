#include "ragwortcove/core/team_quota.hpp"

#include "seconds.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Share of the tolerance's units of a window that its bucket can hold; the rest is refilled during
/// the window.
static constexpr double tolerance_fill = 0.25;
/// Share of the burst that a bucket starts with when nothing is known about earlier requests.
static constexpr double initial_fill = 0.1;
/// The units that the team's rate yields in this time are held back from the tolerance, since so
/// many may be granted twice before all nodes know that another one accounts for the team.
static constexpr duration reserved_time = 650ms;
/// Share of its part of the burst that a node may hold while it grants units without asking; the
/// accounting node may be granting units, too.
static constexpr double local_burst_share = 0.3;
/// Share of the burst up to which a request counts as small.
static constexpr double small_request_share = 0.005;
/// Debt, as a share of the burst, up to which small requests are granted without waiting.
static constexpr double max_overdraft = 0.1;
/// How long handed-over units are kept until this node knows that it accounts for the team.
static constexpr duration handover_memory = 1s;
/// Time after which an unused bucket is removed; by then it is full again in any case.
static constexpr duration bucket_memory = 60s;

// Maximum number of units beyond the quota that this node grants in a window. A request within the
// tolerance delays no other request while there are free slots.
double team_quota::tolerated_units(const team_rule& team) const
{
    const double in_window = team.rate * seconds(this->tolerance.window) + team.burst;
    const double all = this->tolerance.overrun * in_window + this->tolerance.slack;
    return std::max(0.0, all - team.rate * seconds(reserved_time));
}

// The capacity of the tolerance's bucket and its refill during a window add up to the units that
// the tolerance allows in the window.
void team_quota::fill(bucket& target, const team_rule& team, double share, double full,
                      time_point now) const
{
    const double elapsed_s = seconds(now - target.filled_at);
    target.filled_at = now;
    target.available = std::min(full, target.available + team.rate * share * elapsed_s);
    const double units = this->tolerated_units(team) * share;
    const double held = units * tolerance_fill;
    const double flow = (units - held) / seconds(this->tolerance.window);
    target.tolerated = std::min(held, target.tolerated + flow * elapsed_s);
}

void team_quota::begin(const team_rule& team, time_point now)
{
    bucket& own = this->buckets[team.name];
    if (own.accounts)
        return;
    const bool was_handed_over = now - own.handed_over_at < handover_memory;
    bucket started;
    started.filled_at = now;
    started.accounts = true;
    started.assumed = was_handed_over ? 0.0 : team.burst * initial_fill;
    started.handed_over_at = now;
    started.available =
        std::min(own.available, 0.0) + (was_handed_over ? own.handed_over : started.assumed);
    own = started;
}

double team_quota::end(const team_name& team)
{
    const auto found = this->buckets.find(team);
    if (found == this->buckets.end() || !found->second.accounts)
        return 0.0;
    found->second.accounts = false;
    return std::exchange(found->second.available, 0.0);
}

// A bucket may go into debt for requests that wait until the debt is repaid, so that a burst of
// requests within the rate is spread over time instead of denied.
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
    // A request larger than the bucket's capacity is granted when the bucket is full.
    const double needed = std::min(request.cost, full);
    if (own.available >= needed) {
        own.available -= request.cost;
        return {};
    }
    // A team's large requests must not block its small ones, whose cost is negligible.
    const bool is_small = request.cost <= full * small_request_share;
    if (is_small && own.available - request.cost >= -full * max_overdraft) {
        own.available -= request.cost;
        return {};
    }
    const double missing_s = (needed - own.available) / (team.rate * request.share);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing_s));
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
