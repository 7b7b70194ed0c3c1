/// \file
/// gRPC's credentials and channels from the transport's settings.
#pragma once

#include "ragwortcove/peer/transport.hpp"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace ragwortcove::peer {

/// Null when a file cannot be read.
[[nodiscard]] std::shared_ptr<grpc::ServerCredentials> server_credentials(const tls_files& files);
/// A channel with a connection of its own; null when a file cannot be read.
[[nodiscard]] std::shared_ptr<grpc::Channel> open_channel(const core::endpoint& to,
                                                          const transport_settings& settings);
/// Address and port as gRPC's servers take them.
[[nodiscard]] std::string format_listen_address(const core::endpoint& value);
/// Pings that find a silent connection, for either end.
[[nodiscard]] std::vector<std::pair<std::string, int>>
keepalive_arguments(const transport_settings& settings);

} // namespace ragwortcove::peer
