#include "rollout_messages.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace ragwortcove::gateway {

/// A share of all requests.
static constexpr std::uint32_t max_share_permille = 1000;

static void write_counts(const core::version_counts& from, wire::RolloutCounts& to)
{
    to.set_sent(from.sent);
    to.set_passed(from.passed);
    to.set_failed(from.failed);
    to.set_first_parts_on_time(from.first_parts_on_time);
    to.set_first_parts_late(from.first_parts_late);
    to.set_streams_on_time(from.streams_on_time);
    to.set_streams_late(from.streams_late);
}

static core::version_counts read_counts(const wire::RolloutCounts& from)
{
    return {from.sent(),
            from.passed(),
            from.failed(),
            from.first_parts_on_time(),
            from.first_parts_late(),
            from.streams_on_time(),
            from.streams_late()};
}

void write_rollout_report(const core::rollout_report& from, wire::RolloutReport& to)
{
    to.set_target(from.target.value);
    to.set_version(from.version.value);
    to.set_order_age(from.order_age.count());
    to.set_counted_for(from.counted_for.count());
    to.set_share_permille(from.share_permille);
    to.set_old_in_flight(from.old_in_flight);
    for (const core::rollout_route_counts& each : from.routes) {
        wire::RolloutReport::Route& added = *to.add_routes();
        added.set_route(each.route.value);
        write_counts(each.old_version, *added.mutable_old_version());
        write_counts(each.new_version, *added.mutable_new_version());
    }
    for (const core::upstream_pace& each : from.paces) {
        wire::RolloutPace& added = *to.add_paces();
        added.set_upstream(each.upstream.value);
        added.set_new_version(each.runs_new_version);
        added.set_time_ms(static_cast<float>(each.time_ms));
    }
}

core::rollout_report read_rollout_report(const wire::RolloutReport& from)
{
    core::rollout_report result;
    result.target.value = from.target();
    result.version.value = from.version();
    result.order_age = core::duration{from.order_age()};
    result.counted_for = core::duration{from.counted_for()};
    result.share_permille = std::min(from.share_permille(), max_share_permille);
    result.old_in_flight = from.old_in_flight();
    for (const wire::RolloutReport::Route& each : from.routes())
        result.routes.push_back(
            {{each.route()}, read_counts(each.old_version()), read_counts(each.new_version())});
    for (const wire::RolloutPace& each : from.paces()) {
        const bool is_time = std::isfinite(each.time_ms()) && each.time_ms() >= 0.0F;
        if (is_time)
            result.paces.push_back({{each.upstream()}, each.new_version(), each.time_ms()});
    }
    return result;
}

void write_rollout_directive(const core::rollout_directive& from, wire::RolloutDirective& to)
{
    to.set_target(from.target.value);
    to.set_version(from.version.value);
    to.set_share_permille(from.share_permille);
    to.set_halted(from.halted);
}

core::rollout_directive read_rollout_directive(const wire::RolloutDirective& from)
{
    return {{from.target()},
            {from.version()},
            std::min(from.share_permille(), max_share_permille),
            from.halted()};
}

} // namespace ragwortcove::gateway
