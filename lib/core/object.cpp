#include "ragwortcove/core/object.hpp"

#include <algorithm>

namespace ragwortcove::core {

bool matches(const label_selector& selector, const label_set& labels)
{
    return std::all_of(selector.equals.begin(), selector.equals.end(), [&](const auto& wanted) {
        const auto found = labels.find(wanted.first);
        return found != labels.end() && found->second == wanted.second;
    });
}

std::string_view to_string(object_kind kind)
{
    switch (kind) {
    case object_kind::tier:
        return "tier";
    case object_kind::team:
        return "team";
    case object_kind::version:
        return "version";
    case object_kind::upstream:
        return "upstream";
    case object_kind::route:
        return "route";
    case object_kind::move:
        return "move";
    case object_kind::move_status:
        return "move_status";
    case object_kind::lease:
        return "lease";
    case object_kind::claim:
        return "claim";
    }
    return "unknown";
}

std::string_view to_string(move_phase phase)
{
    switch (phase) {
    case move_phase::pending:
        return "pending";
    case move_phase::preparing:
        return "preparing";
    case move_phase::shifting:
        return "shifting";
    case move_phase::soaking:
        return "soaking";
    case move_phase::done:
        return "done";
    case move_phase::reverted:
        return "reverted";
    }
    return "unknown";
}

std::string_view to_string(upstream_kind kind)
{
    switch (kind) {
    case upstream_kind::engine:
        return "engine";
    case upstream_kind::service:
        return "service";
    }
    return "unknown";
}

} // namespace ragwortcove::core
