/// \file
/// Settings of a daemon that serves HTTP traffic on the users' platform, read from INI.
#pragma once

#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/team_quota.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/settings/ini_document.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

struct gateway_settings {
    core::node_name name;
    core::region_name region;
    core::failure_domain_name failure_domain;
    /// Where callers connect.
    core::endpoint callers;
    /// Where readiness is asked for.
    core::endpoint readiness;
    /// Where callers ask which addresses to use.
    core::endpoint directory;
    /// TCP and UDP for other nodes.
    core::endpoint peers;
    /// Metrics; port zero serves them at `peers` only.
    core::endpoint metrics;
    /// Other nodes to greet first.
    std::vector<core::endpoint> seeds;
    core::endpoint store;
    /// How long callers may keep an address answer.
    core::duration address_time_to_live = std::chrono::seconds{1};
    /// Time from a stop's request until the process is killed.
    core::duration stop_limit = std::chrono::seconds{8};
    core::repeat_limits repeats;
    core::quota_tolerance quotas;
    /// Plain connections are allowed beyond loopback.
    bool trusted_network = false;
    daemon::log_settings log;
};

struct gateway_settings_outcome {
    std::optional<gateway_settings> settings;
    std::vector<settings::located_error> errors;
};

/// Whether a settings file is one of a gateway: it has a section `[gateway]`.
[[nodiscard]] bool is_gateway_document(const settings::ini_document& document);
[[nodiscard]] gateway_settings_outcome
read_gateway_settings(const settings::ini_document& document);

} // namespace ragwortcove::gateway
