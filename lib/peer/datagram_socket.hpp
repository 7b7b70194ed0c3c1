/// \file
/// UDP socket bound to one address.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <functional>
#include <string_view>

namespace ragwortcove::peer {

/// Largest datagram that is sent, in bytes.
inline constexpr std::size_t most_datagram_bytes = 8U << 10U;

/// Opens a socket that does not block; negative, with the reason in `errno`, when it cannot be
/// bound.
[[nodiscard]] int open_datagram_socket(const core::endpoint& at);
/// False when the datagram was not handed to the network.
[[nodiscard]] bool send_datagram(int descriptor, const core::endpoint& to, std::string_view bytes);
/// Reads datagrams that are there, a bounded number a call.
void receive_datagrams(int descriptor, const std::function<void(std::string_view)>& received);

} // namespace ragwortcove::peer
