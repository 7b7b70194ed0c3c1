/// \file
/// Statuses and times of the answers that a node makes itself.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <chrono>
#include <string>

namespace ragwortcove::gateway {

inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_bad_request = 400;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;
/// When a caller may come back after a dispatch that was refused.
inline constexpr core::duration retry_after_refusal = std::chrono::milliseconds{300};

/// A time in whole milliseconds, for the log.
inline std::string to_ms(core::duration value)
{
    return std::to_string(value.count() / 1000);
}

} // namespace ragwortcove::gateway
