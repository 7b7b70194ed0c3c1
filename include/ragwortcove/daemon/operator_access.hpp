/// \file
/// Who may use the operators' paths: a bearer token, a client certificate, or loopback without TLS.
#pragma once

#include "ragwortcove/daemon/daemon_settings.hpp"
#include "ragwortcove/http/message.hpp"

#include <string>

namespace ragwortcove::daemon {

/// What a request brings to show that an operator sent it.
struct operator_proof {
    std::string bearer_token;
    std::string certificate_name;
};

[[nodiscard]] operator_proof read_operator_proof(const http::request& message);
/// Whether a proof admits to the operators' paths under these settings.
[[nodiscard]] bool admits_operator(const daemon_settings& settings, const operator_proof& proof);

} // namespace ragwortcove::daemon
