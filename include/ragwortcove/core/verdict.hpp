/// \file
/// What a caller may conclude from a response: whether its request may have run.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <string_view>

namespace ragwortcove::core {

/// Whether a request may have run on an upstream.
enum class verdict {
    /// No upstream received the request; the caller may send it again.
    not_run,
    /// An upstream received or may have received the request, and the response is not complete.
    may_have_run,
    /// The caller has the complete response.
    answered,
};

/// Why a request was refused or its response truncated; a fixed list that callers may rely on.
enum class refusal_reason {
    bad_request,
    unknown_route,
    unknown_team,
    overloaded,
    displaced,
    deadline_unreachable,
    deadline_passed,
    no_upstream,
    upstream_failed,
    upstream_silent,
    answer_cut,
    key_in_progress,
    key_already_used,
    key_owner_gone,
    key_expired,
    platform_unavailable,
    shutting_down,
    caller_gone,
};

/// Final result of a request that did not get its complete response.
struct refusal {
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::overloaded;
    /// How long to wait before a retry; zero when a retry does not help.
    duration retry_after{0};
};

[[nodiscard]] std::string_view to_string(verdict value);
[[nodiscard]] std::string_view to_string(refusal_reason value);

} // namespace ragwortcove::core
