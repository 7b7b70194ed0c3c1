#include "ragwortcove/daemon/status_report.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/daemon_settings.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace ragwortcove::daemon {

namespace json = boost::json;

std::string_view to_string(core::member_state state)
{
    switch (state) {
    case core::member_state::joining:
        return "joining";
    case core::member_state::live:
        return "live";
    case core::member_state::leaving:
        return "leaving";
    case core::member_state::suspect:
        return "suspect";
    case core::member_state::dead:
        return "dead";
    }
    return "unknown";
}

static json::object render_member(const core::member_claim& member)
{
    json::object rendered;
    rendered["name"] = member.name.value;
    rendered["incarnation"] = member.run.value;
    rendered["state"] = to_string(member.state);
    rendered["callers"] = format_endpoint(member.callers);
    rendered["peers"] = format_endpoint(member.peers);
    rendered["region"] = member.region.value;
    rendered["failure_domain"] = member.failure_domain.value;
    return rendered;
}

static json::object render_cell(const core::cell_digest& cell)
{
    json::object rendered;
    rendered["target"] = cell.cell.target.value;
    rendered["failure_domain"] = cell.cell.failure_domain.value;
    rendered["index"] = cell.cell.index;
    rendered["free_permits"] = cell.free_permits;
    rendered["queued"] = cell.queued;
    rendered["queued_tokens"] = cell.queued_tokens;
    return rendered;
}

static json::object render_object(const core::object& value)
{
    json::object fields;
    for (const core::field& each : core::to_fields(value))
        fields[each.key] = each.value;
    json::object rendered;
    rendered["kind"] = core::to_string(value.key.kind);
    rendered["name"] = value.key.name;
    rendered["revision"] = value.written_at.value;
    rendered["fields"] = std::move(fields);
    return rendered;
}

template <class Range, class Render>
static json::array render_each(const Range& range, Render render)
{
    json::array rendered;
    for (const auto& each : range)
        rendered.push_back(render(each));
    return rendered;
}

std::string render_status(const core::node_status& status)
{
    using std::chrono::milliseconds;
    json::object body;
    body["name"] = status.name.value;
    body["incarnation"] = status.run.value;
    body["store"] = status.store.value;
    body["configuration_revision"] = status.configuration.value;
    body["configuration_age_ms"] =
        std::chrono::duration_cast<milliseconds>(status.configuration_age).count();
    body["ready"] = status.ready;
    body["draining"] = status.draining;
    body["open_requests"] = status.open_requests;
    body["members"] = render_each(status.members, render_member);
    body["owned_cells"] = render_each(status.owned_cells, render_cell);
    body["objects"] = render_each(status.objects, render_object);
    return json::serialize(body);
}

metric_gauges make_gauges(const core::node_status& status)
{
    const auto live =
        std::ranges::count(status.members, core::member_state::live, &core::member_claim::state);
    metric_gauges gauges;
    gauges.open_requests = status.open_requests;
    gauges.configuration_revision = status.configuration.value;
    gauges.live_members = static_cast<std::uint32_t>(live);
    gauges.ready = status.ready;
    gauges.draining = status.draining;
    return gauges;
}

} // namespace ragwortcove::daemon
