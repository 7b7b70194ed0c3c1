#include "ragwortcove/core/effect.hpp"

namespace ragwortcove::core {

std::string_view to_string(decision_kind kind)
{
    switch (kind) {
    case decision_kind::placed:
        return "placed";
    case decision_kind::queued:
        return "queued";
    case decision_kind::granted:
        return "granted";
    case decision_kind::denied:
        return "denied";
    case decision_kind::displaced:
        return "displaced";
    case decision_kind::refused:
        return "refused";
    case decision_kind::retried:
        return "retried";
    case decision_kind::resumed:
        return "resumed";
    case decision_kind::attempt_failed:
        return "attempt_failed";
    case decision_kind::answered:
        return "answered";
    case decision_kind::cut:
        return "cut";
    case decision_kind::upstream_ejected:
        return "upstream_ejected";
    case decision_kind::upstream_restored:
        return "upstream_restored";
    case decision_kind::member_changed:
        return "member_changed";
    case decision_kind::configuration_applied:
        return "configuration_applied";
    case decision_kind::move_stepped:
        return "move_stepped";
    case decision_kind::move_ended:
        return "move_ended";
    case decision_kind::brake_set:
        return "brake_set";
    case decision_kind::platform_lost:
        return "platform_lost";
    case decision_kind::platform_regained:
        return "platform_regained";
    case decision_kind::drained:
        return "drained";
    }
    return "unknown";
}

} // namespace ragwortcove::core
