/// \file
/// Settings of the daemon, read from one INI file and checked whole.
#pragma once

#include "ragwortcove/core/node.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/settings/ini_document.hpp"
#include "ragwortcove/settings/located_error.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::daemon {

/// Where the object store is: behind an HTTP address, or in this process's memory.
enum class platform_mode { http, embedded };

struct platform_settings {
    platform_mode mode = platform_mode::http;
    /// Where the object API is; the embedded store is served there by this process.
    core::endpoint address;
};

/// Certificate, key and authority that daemons prove themselves to each other with.
struct peer_tls_settings {
    std::string certificate_file;
    std::string private_key_file;
    std::string authority_file;
    [[nodiscard]] bool enabled() const { return !this->certificate_file.empty(); }
    bool operator==(const peer_tls_settings&) const = default;
};

struct daemon_settings {
    core::node_settings node;
    platform_settings platform;
    log_settings log;
    http::tls_settings tls;
    peer_tls_settings peer_tls;
    /// Bearer token of operators; empty admits none by token.
    std::string admin_token;
};

/// What a settings file gave: settings to run with, or every mistake in it.
struct settings_outcome {
    std::optional<daemon_settings> settings;
    std::vector<settings::located_error> errors;
};

[[nodiscard]] settings_outcome read_daemon_settings(const settings::ini_document& document);
[[nodiscard]] settings_outcome load_daemon_settings(const std::string& path);
[[nodiscard]] bool is_loopback(const core::endpoint& address);

} // namespace ragwortcove::daemon
