/// \file
/// Which values a datagram of another node may state.
#pragma once

namespace ragwortcove::wire {
class PeerDatagram;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

/// Whether all times and numbers of units of a message are such as a node can mean. Records of
/// prompt parts and paces of upstreams are not looked at: each is checked where it is read, and an
/// odd one costs itself only.
[[nodiscard]] bool is_within_bounds(const wire::PeerDatagram& message);

} // namespace ragwortcove::gateway
