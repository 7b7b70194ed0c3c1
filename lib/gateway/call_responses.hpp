/// \file
/// Statuses and retry times of the responses that a node creates itself.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace ragwortcove::gateway {

inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_bad_request = 400;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;
/// Time after which a caller may retry when an upstream refused the request.
inline constexpr core::duration retry_after_refusal = std::chrono::milliseconds{300};

inline std::string_view to_text(bool value)
{
    return value ? "true" : "false";
}

/// A name as a log line holds it, whose writer may have given it any length.
inline std::string shorten_name(std::string_view name)
{
    constexpr std::size_t max_bytes = 80;
    const bool is_long = name.size() > max_bytes;
    return std::string(name.substr(0, max_bytes)) + (is_long ? "..." : "");
}

/// Formats a duration in whole milliseconds, for the log.
inline std::string to_ms_text(core::duration value)
{
    return std::to_string(value.count() / 1000);
}

} // namespace ragwortcove::gateway
