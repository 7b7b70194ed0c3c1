/// \file
/// Converts addresses and limits of the core into the types of the HTTP servers and clients.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/inbound.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <chrono>

namespace ragwortcove::gateway {

[[nodiscard]] inline http::socket_address to_socket_address(const core::endpoint& from)
{
    return {from.address, from.port};
}

[[nodiscard]] inline std::chrono::milliseconds to_millis(core::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

[[nodiscard]] inline http::inbound_limits make_limits(const core::caller_limits& from,
                                                      std::size_t max_connections)
{
    http::inbound_limits result;
    result.max_connections = max_connections;
    result.message.header_bytes = from.header_bytes;
    result.message.body_bytes = from.body_bytes;
    result.header_time = to_millis(from.header_time);
    result.idle_time = to_millis(from.idle_time);
    return result;
}

} // namespace ragwortcove::gateway
