/// \file
/// Refusals as callers read them: application/problem+json with a verdict and a fixed reason.
#pragma once

#include "ragwortcove/core/verdict.hpp"
#include "ragwortcove/http/message.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::daemon {

inline constexpr std::string_view problem_content_type = "application/problem+json";

/// A refusal and what is said about it in words.
struct problem {
    int status = 400;
    core::refusal refusal;
    std::string detail;
    /// Header that tells a client which methods a path takes; empty for other problems.
    std::string allowed_methods;
};

/// HTTP status of a refusal's reason.
[[nodiscard]] int status_of(core::refusal_reason reason);
[[nodiscard]] problem make_problem(const core::refusal& refusal);
[[nodiscard]] problem make_bad_request(int status, std::string_view detail);
[[nodiscard]] std::string render_problem(const problem& value, std::string_view request_id);
/// Headers of a problem's response, beside its content type.
[[nodiscard]] std::vector<http::header> problem_headers(const problem& value,
                                                        std::string_view request_id);

} // namespace ragwortcove::daemon
