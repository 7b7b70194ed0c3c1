#include "ragwortcove/core/rollout_split.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ragwortcove::core {

using kind = rollout_observation::event_kind;

/// Bounds of what is kept.
static constexpr std::size_t max_targets = 64;
static constexpr std::size_t max_routes = 64;
static constexpr std::size_t max_versions = 16;
static constexpr std::size_t max_upstreams = 512;

/// A response is late when it exceeds the faster ones of its upstream by more than is usual on the
/// old version, and by this factor at least.
static constexpr double min_first_part_spread = 2.5;
static constexpr double min_between_events_spread = 2.0;
/// The same while too little is known of the old version.
static constexpr double unknown_first_part_spread = 3.2;
/// Below this share, an entry's canaries go to one upstream, so that their times can be compared,
/// unless it has that many in flight.
static constexpr std::uint32_t one_upstream_share_permille = 500;
static constexpr std::uint32_t max_in_flight_on_one = 3;

/// Paces in one report, so that it fits into a datagram, and how often others are chosen.
static constexpr std::size_t max_reported_paces = 24;
static constexpr duration pace_rotation_period = std::chrono::milliseconds{200};

/// Time to a first part of a request without prompt tokens to compute, and the rate of computing
/// them on a usual engine: times are compared after division by what the request would take there.
static constexpr double first_part_base_us = 20'000.0;
static constexpr double us_per_token = 1000.0 / 66.0;

static double normalised_first_part(const rollout_observation& seen)
{
    const double usual_us = first_part_base_us + us_per_token * seen.uncached_tokens;
    return static_cast<double>(seen.time.count()) / usual_us;
}

static double milliseconds_of(const rollout_observation& seen)
{
    return static_cast<double>(seen.time.count()) / 1000.0;
}

const rollout_split::target_state* rollout_split::find(const target_name& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second;
}

rollout_split::target_state* rollout_split::state_of(const target_name& target)
{
    const auto found = this->targets.find(target);
    if (found != this->targets.end())
        return &found->second;
    return this->targets.size() >= max_targets ? nullptr : &this->targets[target];
}

// The first list is complete, so that after a start all versions in it count as serving. A version
// that joins others later is held out.
void rollout_split::set_upstreams(std::span<const announced_upstream> all, time_point now)
{
    this->latest = std::max(this->latest, now);
    for (auto& [name, target] : this->targets)
        for (auto& [version, state] : target.versions)
            state = {state.in_flight, false, {}, state.held_until};
    for (const announced_upstream& upstream : all) {
        target_state* target = this->state_of(upstream.target);
        if (target == nullptr)
            continue;
        const bool is_new = !target->versions.contains(upstream.version);
        if (is_new && target->versions.size() >= max_versions)
            continue;
        version_state& state = target->versions[upstream.version];
        state.is_known = true;
        if (!upstream.leaving)
            state.upstreams.push_back(upstream.name);
        if (is_new && this->has_upstreams)
            state.held_until = now + unordered_version_hold;
    }
    this->has_upstreams = true;
    std::set<upstream_name> known;
    for (const announced_upstream& upstream : all)
        known.insert(upstream.name);
    for (auto& [name, target] : this->targets)
        std::erase_if(target.by_upstream,
                      [&](const auto& entry) { return !known.contains(entry.first); });
    for (auto& [name, target] : this->targets)
        std::erase_if(target.versions, [](const auto& entry) {
            return !entry.second.is_known && entry.second.in_flight == 0;
        });
}

// Order of preference (rendezvous hash) between upstreams, which differs between entries.
static std::uint64_t preference_of(const upstream_name& upstream, std::uint64_t seed)
{
    std::uint64_t hash = seed;
    for (const char byte : upstream.value) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x9E3779B97F4A7C15ULL;
        hash ^= hash >> 29U;
    }
    return hash;
}

bool rollout_split::is_preferred_canary(const target_state& target,
                                        const announced_upstream& upstream) const
{
    const auto version = target.versions.find(upstream.version);
    const bool may_use_all = target.rollout->share_permille >= one_upstream_share_permille ||
                             version == target.versions.end() ||
                             version->second.in_flight >= max_in_flight_on_one;
    if (may_use_all)
        return true;
    const std::uint64_t own = preference_of(upstream.name, this->preference);
    const std::vector<upstream_name>& all = version->second.upstreams;
    return std::all_of(all.begin(), all.end(), [&](const upstream_name& other) {
        return preference_of(other, this->preference) <= own;
    });
}

void rollout_split::set_orders(std::span<const rollout_order> all, time_point now)
{
    this->latest = std::max(this->latest, now);
    std::set<target_name> named;
    for (const rollout_order& order : all) {
        named.insert(order.target);
        this->set_order(order, now);
    }
    for (auto& [name, target] : this->targets)
        if (!named.contains(name))
            target.rollout.reset();
}

void rollout_split::learned_times::set_floors()
{
    this->first_part_floor = this->first_part.late_limit();
    this->between_events_floor = this->between_events.late_limit();
}

// The upstreams of a version that was taken back are announced for some time after that.
std::set<version_name> rollout_split::versions_taken_back(const target_state& target,
                                                          const version_name& ordered)
{
    if (!target.rollout)
        return {};
    std::set<version_name> found = target.rollout->taken_back;
    if (target.rollout->halted || target.rollout->order.state == rollout_state::reverted)
        found.insert(target.rollout->order.version);
    found.erase(ordered);
    std::erase_if(found,
                  [&](const version_name& version) { return !target.versions.contains(version); });
    return found;
}

time_point rollout_split::stored_start(const rollout_order& order, time_point now)
{
    return order.progress ? now - order.progress->order_age : now;
}

void rollout_split::set_order(const rollout_order& order, time_point now)
{
    target_state* target = this->state_of(order.target);
    if (target == nullptr)
        return;
    std::optional<ordered>& current = target->rollout;
    const bool is_same = current && current->order.version == order.version &&
                         (order.has_ended() || !current->order.has_ended());
    const time_point start = stored_start(order, now);
    if (is_same) {
        current->order = order;
        current->ordered_at = std::min(current->ordered_at, start);
        return;
    }
    // What has passed since the progress was stored is not known; at most one interval if other
    // nodes are running.
    const duration unsaved =
        order.progress ? progress_interval(order.time_limit) : duration::zero();
    current = ordered{order, start - unsaved, now, 0,
                      now,   false,           {},  versions_taken_back(*target, order.version)};
    target->all_times.set_floors();
    for (auto& [route, times] : target->times)
        times.set_floors();
}

void rollout_split::on_directive(const rollout_directive& directive, time_point now)
{
    this->latest = std::max(this->latest, now);
    target_state* target = this->state_of(directive.target);
    if (target == nullptr || !target->rollout ||
        target->rollout->order.version != directive.version)
        return;
    ordered& rollout = *target->rollout;
    rollout.halted = rollout.halted || directive.halted;
    rollout.share_permille = directive.share_permille;
    rollout.share_until = now + directive_lifetime;
}

std::uint32_t rollout_split::share_of(const ordered& rollout, time_point now)
{
    const bool applies = !rollout.halted && !rollout.order.has_ended() && now < rollout.share_until;
    return applies ? rollout.share_permille : 0;
}

bool rollout_split::is_held(const target_state& target, const version_name& version) const
{
    const auto found = target.versions.find(version);
    if (found == target.versions.end() || this->latest >= found->second.held_until)
        return false;
    return std::any_of(target.versions.begin(), target.versions.end(), [&](const auto& other) {
        const bool is_regular_version =
            !target.rollout || (other.first != target.rollout->order.version &&
                                !target.rollout->taken_back.contains(other.first));
        return other.second.is_known && other.first != version && is_regular_version &&
               this->latest >= other.second.held_until;
    });
}

upstream_role rollout_split::role_beside_order(const target_state& target,
                                               const version_name& version) const
{
    const bool is_excluded =
        target.rollout->taken_back.contains(version) || this->is_held(target, version);
    return is_excluded ? upstream_role::excluded : upstream_role::regular;
}

upstream_role rollout_split::role_of(const announced_upstream& upstream) const
{
    const upstream_role role = this->role_by_version(upstream);
    if (role != upstream_role::canary)
        return role;
    const bool is_preferred = this->is_preferred_canary(*this->find(upstream.target), upstream);
    return is_preferred ? upstream_role::canary : upstream_role::excluded;
}

upstream_role rollout_split::role_by_version(const announced_upstream& upstream) const
{
    const target_state* target = this->find(upstream.target);
    if (target == nullptr)
        return upstream_role::regular;
    if (!target->rollout)
        return this->is_held(*target, upstream.version) ? upstream_role::excluded
                                                        : upstream_role::regular;
    const ordered& rollout = *target->rollout;
    const bool is_new = upstream.version == rollout.order.version;
    switch (rollout.order.state) {
    case rollout_state::pending:
    case rollout_state::running:
        return is_new ? upstream_role::canary : this->role_beside_order(*target, upstream.version);
    case rollout_state::reverted:
        return is_new ? upstream_role::excluded
                      : this->role_beside_order(*target, upstream.version);
    case rollout_state::complete:
        break;
    }
    const auto ordered_version = target->versions.find(rollout.order.version);
    const bool is_replaced = !this->has_upstreams || (ordered_version != target->versions.end() &&
                                                      ordered_version->second.is_known);
    return is_new || !is_replaced ? upstream_role::regular : upstream_role::excluded;
}

bool rollout_split::choose_canary(const rollout_request& request, random_engine& random,
                                  time_point now)
{
    this->latest = std::max(this->latest, now);
    target_state* target = this->state_of(request.target);
    if (target == nullptr)
        return false;
    if (this->preference == 0)
        this->preference = random();
    target->has_repeatable = target->has_repeatable || request.may_repeat;
    if (!target->rollout)
        return false;
    const std::uint32_t share = share_of(*target->rollout, now);
    const bool after_others = !request.may_repeat && target->has_repeatable;
    if (share == 0 || (after_others && share < all_requests_share_permille))
        return false;
    return uniform(random) * 1000.0 < static_cast<double>(share);
}

bool rollout_split::may_send(const announced_upstream& upstream, time_point now) const
{
    const upstream_role role = this->role_by_version(upstream);
    if (role != upstream_role::canary)
        return role == upstream_role::regular;
    return share_of(*this->find(upstream.target)->rollout, now) > 0;
}

void rollout_split::count_in_flight(target_state& target, const rollout_observation& seen)
{
    const bool is_known = target.versions.contains(seen.version);
    if (!is_known && (seen.kind != kind::sent || target.versions.size() >= max_versions))
        return;
    std::uint32_t& in_flight = target.versions[seen.version].in_flight;
    if (seen.kind == kind::sent)
        ++in_flight;
    const bool has_ended =
        seen.kind == kind::passed || seen.kind == kind::failed || seen.kind == kind::abandoned;
    if (has_ended && in_flight > 0)
        --in_flight;
}

version_counts* rollout_split::counts_for(target_state& target, const rollout_observation& seen)
{
    if (!target.rollout || target.rollout->order.has_ended())
        return nullptr;
    ordered& rollout = *target.rollout;
    auto found = rollout.counts.find(seen.route);
    if (found == rollout.counts.end()) {
        if (rollout.counts.size() >= max_routes)
            return nullptr;
        found = rollout.counts.emplace(seen.route, rollout_route_counts{seen.route, {}, {}}).first;
    }
    return seen.version == rollout.order.version ? &found->second.new_version
                                                 : &found->second.old_version;
}

static std::optional<double> highest_limit(const usual_times& usual,
                                           const std::optional<double>& floor)
{
    const std::optional<double> limit = usual.late_limit();
    return limit && floor ? std::max(*limit, *floor) : std::max(limit, floor);
}

std::optional<double> rollout_split::late_limit(const learned_times& times, kind of)
{
    return of == kind::first_part ? highest_limit(times.first_part, times.first_part_floor)
                                  : highest_limit(times.between_events, times.between_events_floor);
}

bool rollout_split::is_regular(const target_state& target, const version_name& version)
{
    return !target.rollout || target.rollout->order.version != version ||
           target.rollout->order.state == rollout_state::complete;
}

std::optional<bool> rollout_split::compare_at_upstream(target_state& target,
                                                       const rollout_observation& seen,
                                                       double value)
{
    const bool is_new = !target.by_upstream.contains(seen.upstream);
    if (seen.upstream.empty() || (is_new && target.by_upstream.size() >= max_upstreams))
        return std::nullopt;
    const bool is_first = seen.kind == kind::first_part;
    upstream_times& times = target.by_upstream[seen.upstream];
    times.version = seen.version;
    recent_times& recent = is_first ? times.first_part : times.between_events;
    const std::optional<double> ratio = recent.ratio_of(value);
    recent.add(value);
    if (!ratio)
        return std::nullopt;
    usual_times& usual = is_first ? target.first_part_ratios : target.between_events_ratios;
    const double least = is_first ? min_first_part_spread : min_between_events_spread;
    const double unknown = is_first ? unknown_first_part_spread : min_between_events_spread;
    const double limit = std::max(least, usual.upper_value().value_or(unknown));
    if (is_regular(target, seen.version))
        usual.add(*ratio);
    return *ratio > limit;
}

bool rollout_split::streams(const target_state& target)
{
    return std::any_of(target.by_upstream.begin(), target.by_upstream.end(), [](const auto& entry) {
        return entry.second.between_events.median().has_value();
    });
}

void rollout_split::classify(target_state& target, const rollout_observation& seen)
{
    const bool is_first = seen.kind == kind::first_part;
    const double value = is_first ? normalised_first_part(seen) : milliseconds_of(seen);
    const std::optional<bool> is_late_there = compare_at_upstream(target, seen, value);
    const bool has_route = target.times.contains(seen.route) || target.times.size() < max_routes;
    learned_times& times = has_route ? target.times[seen.route] : target.all_times;
    std::optional<double> limit = late_limit(times, seen.kind);
    if (!limit)
        limit = late_limit(target.all_times, seen.kind);
    version_counts* counts = counts_for(target, seen);
    if (counts != nullptr && (limit || is_late_there)) {
        const bool is_late = (limit && value > *limit) || is_late_there.value_or(false);
        std::uint32_t& on_time = is_first ? counts->first_parts_on_time : counts->streams_on_time;
        std::uint32_t& late = is_first ? counts->first_parts_late : counts->streams_late;
        ++(is_late ? late : on_time);
    }
    if (!is_regular(target, seen.version))
        return;
    (is_first ? target.all_times.first_part : target.all_times.between_events).add(value);
    if (has_route)
        (is_first ? times.first_part : times.between_events).add(value);
}

void rollout_split::observe(const rollout_observation& seen, time_point now)
{
    this->latest = std::max(this->latest, now);
    target_state* target = this->state_of(seen.target);
    if (target == nullptr)
        return;
    if (seen.kind == kind::first_part || seen.kind == kind::between_events) {
        if (!seen.is_warming_up)
            classify(*target, seen);
        return;
    }
    count_in_flight(*target, seen);
    // The other upstreams of the version get canaries then, if this one alone has failed.
    if (seen.kind == kind::failed && target->rollout &&
        target->rollout->order.version == seen.version && this->preference != 0)
        this->preference = preference_of(seen.upstream, this->preference) | 1U;
    version_counts* counts = counts_for(*target, seen);
    if (counts == nullptr)
        return;
    counts->sent += seen.kind == kind::sent ? 1 : 0;
    counts->passed += seen.kind == kind::passed ? 1 : 0;
    counts->failed += seen.kind == kind::failed ? 1 : 0;
}

std::vector<rollout_order> rollout_split::active_orders() const
{
    std::vector<rollout_order> active;
    for (const auto& [name, target] : this->targets)
        if (target.rollout && !target.rollout->order.has_ended())
            active.push_back(target.rollout->order);
    return active;
}

// First parts of a stream also wait for other prompts, so that the time between events tells more.
std::vector<upstream_pace> rollout_split::paces_of(const target_state& target, time_point now)
{
    const bool by_events = streams(target);
    std::vector<upstream_pace> old_paces;
    std::vector<upstream_pace> chosen;
    for (const auto& [name, times] : target.by_upstream) {
        const std::optional<double> median =
            by_events ? times.between_events.median() : times.first_part.median();
        const bool is_new = times.version == target.rollout->order.version;
        if (median)
            (is_new ? chosen : old_paces).push_back({name, is_new, *median});
    }
    chosen.resize(std::min(chosen.size(), max_reported_paces));
    const std::size_t free = max_reported_paces - chosen.size();
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / pace_rotation_period) *
                      max_reported_paces;
    for (std::size_t i = 0; i < std::min(free, old_paces.size()); ++i)
        chosen.push_back(old_paces.at((turn + i) % old_paces.size()));
    return chosen;
}

std::vector<rollout_report> rollout_split::reports(time_point now) const
{
    std::vector<rollout_report> made;
    for (const auto& [name, target] : this->targets) {
        if (!target.rollout || target.rollout->order.has_ended())
            continue;
        const ordered& rollout = *target.rollout;
        rollout_report report{
            name, rollout.order.version, now - rollout.ordered_at,   share_of(rollout, now), 0,
            {},   paces_of(target, now), now - rollout.counted_since};
        for (const auto& [version, state] : target.versions)
            if (version != rollout.order.version)
                report.old_in_flight += state.in_flight;
        for (const auto& [route, counts] : rollout.counts)
            report.routes.push_back(counts);
        made.push_back(std::move(report));
    }
    return made;
}

} // namespace ragwortcove::core
