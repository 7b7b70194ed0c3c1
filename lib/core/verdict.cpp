#include "ragwortcove/core/verdict.hpp"

namespace ragwortcove::core {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::answered:
        return "answered";
    }
    return "unknown";
}

std::string_view to_string(refusal_reason value)
{
    switch (value) {
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::unknown_route:
        return "unknown_route";
    case refusal_reason::unknown_team:
        return "unknown_team";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::displaced:
        return "displaced";
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::no_upstream:
        return "no_upstream";
    case refusal_reason::upstream_failed:
        return "upstream_failed";
    case refusal_reason::upstream_silent:
        return "upstream_silent";
    case refusal_reason::answer_cut:
        return "answer_cut";
    case refusal_reason::key_in_progress:
        return "key_in_progress";
    case refusal_reason::key_already_used:
        return "key_already_used";
    case refusal_reason::key_owner_gone:
        return "key_owner_gone";
    case refusal_reason::key_expired:
        return "key_expired";
    case refusal_reason::platform_unavailable:
        return "platform_unavailable";
    case refusal_reason::shutting_down:
        return "shutting_down";
    case refusal_reason::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

} // namespace ragwortcove::core
