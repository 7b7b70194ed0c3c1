#include "ragwortcove/core/warmup_limit.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// The users' bound counts requests within any second.
static constexpr duration counted_time = 1s;
/// Time within which a granted request is sent: the grant's way to its entry, a repeat of a lost
/// datagram, a new connection.
static constexpr duration send_delay = 100ms;
/// Grants within this time may reach an upstream within one second.
static constexpr duration window = counted_time + send_delay;
/// Longest pause between two grants.
static constexpr duration max_pause = 1h;
/// Parts of the bound for an owner that has been the owner for some time, and for all nodes
/// together that have become owners lately.
static constexpr double settled_part = 0.7;
static constexpr double unsettled_part = 0.3;
/// Requests in a window that a former owner grants. There can be many of them at the same time,
/// each with requests that wait with it while their entries have asked the new one, too. A node
/// that gets requests without having been the owner is likely to be the next one: entries that do
/// not reach the owner all choose the same.
static constexpr double former_owner_count = 1.0;
/// Time within which two owners that cannot reach each other both know so. Nodes that do not
/// respond are considered dead well before.
static constexpr duration settling_time = 3s;

void warmup_limit::set_upstreams(std::span<const limited_upstream> all, time_point now)
{
    std::set<upstream_name> present;
    for (const limited_upstream& each : all) {
        present.insert(each.process.name);
        const auto [found, is_new] = this->upstreams.try_emplace(each.process.name);
        upstream_state& state = found->second;
        const bool has_started = is_new || state.started_at != each.process.started_at;
        const bool owner_changed = each.is_owned != state.is_owned;
        if (owner_changed)
            state.was_owned = state.is_owned;
        if (has_started || owner_changed)
            state.owner_since = now;
        if (has_started)
            state.warm_at = this->has_first_list ? now + each.warmup_time : time_point{};
        state.started_at = each.process.started_at;
        state.rate = each.rate;
        state.warm_at = std::max(state.warm_at, each.warm_at);
        state.is_owned = each.is_owned;
    }
    this->has_first_list = this->has_first_list || !all.empty();
    std::erase_if(this->upstreams, [&](const auto& each) { return !present.contains(each.first); });
}

// After a partition has ended, one owner learns of it before the other: until both have, each
// remains within its own part.
void warmup_limit::set_fleet_share(double share, time_point now)
{
    if (share > this->fleet_share && now < this->share_holds_until)
        return;
    if (share < this->fleet_share || share < 1.0)
        this->share_holds_until = now + settling_time;
    this->fleet_share = share;
}

// The parts of all owners that may grant at the same time add up to the bound at most:
// - An owner that has settled, and one that has just taken over from it and may not be able to
//   reach it, have a part each.
// - Owners that take over one after the other share one part, since their grants are spaced, and
//   each begins with a pause.
// - Nodes that have started together, and do not know yet which of the others serve, have parts by
//   the nodes that they know to serve.
// - Owners that know that they cannot reach each other have parts by the nodes that they reach.
warmup_limit::allowance warmup_limit::allowance_of(const upstream_state& state,
                                                   time_point now) const
{
    const double bound = std::floor(state.rate * this->tolerance.overrun + this->tolerance.slack);
    const bool is_settled = state.is_owned && now - state.owner_since >= settling_time;
    const double part = is_settled ? settled_part : unsettled_part;
    double count = bound * std::min({part, this->fleet_share, this->serving_share});
    if (state.was_owned && now - state.owner_since < settling_time)
        count = std::min(count, former_owner_count);
    const bool is_warming_up = now < state.warm_at;
    if (is_warming_up)
        count = std::min(count, state.rate);
    // Only whole requests can be granted; less than one is granted by a longer pause.
    if (count >= 1.0)
        count = std::floor(count);
    return {count, is_warming_up || !is_settled || count < 1.0};
}

/// Pause between two grants when `count` are spaced evenly over the window.
static duration pause_between(double count)
{
    const double pause = std::ceil(static_cast<double>(window.count()) / count);
    return duration{
        static_cast<duration::rep>(std::min(pause, static_cast<double>(max_pause.count())))};
}

bool warmup_limit::may_grant(const upstream_name& name, time_point now) const
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end())
        return true;
    const upstream_state& state = found->second;
    const allowance allowed = this->allowance_of(state, now);
    if (allowed.count <= 0.0)
        return false;
    if (allowed.is_spaced) {
        const time_point last = state.grants.empty()
                                    ? state.owner_since
                                    : std::max(state.grants.back(), state.owner_since);
        if (now - last < pause_between(allowed.count))
            return false;
    }
    const auto first = std::upper_bound(state.grants.begin(), state.grants.end(), now - window);
    const auto recent = static_cast<double>(std::distance(first, state.grants.end()));
    return recent + 1.0 <= std::max(1.0, allowed.count);
}

void warmup_limit::record_grant(const upstream_name& name, time_point now)
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end())
        return;
    std::deque<time_point>& grants = found->second.grants;
    grants.push_back(now);
    // The last one is kept: a pause may be longer than the window.
    while (grants.size() > 1 && grants.front() <= now - window)
        grants.pop_front();
}

bool warmup_limit::is_warming_up(const upstream_name& name, time_point now) const
{
    const auto found = this->upstreams.find(name);
    return found != this->upstreams.end() && now < found->second.warm_at;
}

std::size_t warmup_limit::count_warming_up(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(),
                      [now](const auto& each) { return now < each.second.warm_at; }));
}

} // namespace ragwortcove::core
